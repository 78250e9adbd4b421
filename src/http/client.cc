#include "src/http/client.h"

#include <algorithm>

#include "src/http/client_connection.h"

namespace saltquay::http {

Call::~Call() { Cancel(); }

void Call::Cancel() {
  const auto connection = connection_.lock();
  if (connection != nullptr && connection->use() == use_) connection->Close();
  connection_.reset();
}

Client::Client(boost::asio::io_context& loop) : loop_(loop) {}

Client::~Client() {
  *alive_ = false;
  for (auto& [name, pool] : pools_) {
    const auto resting = std::move(pool.resting);
    for (const auto& connection : resting) connection->Close();
  }
}

std::unique_ptr<Call> Client::Start(const Endpoint& endpoint, const std::string& pool, std::string request,
                                    const CallOptions& options, CallHandlers handlers) {
  auto call = std::make_unique<Call>();
  std::shared_ptr<ClientConnection> connection;
  if (!options.on_new_connection) connection = TakeResting(pool, options, call->description_.passed_over);
  call->description_.kept = connection != nullptr;
  if (connection == nullptr) connection = Open(endpoint, pool, options);
  call->connection_ = connection;
  call->description_.number = connection->number();
  connection->Begin(std::move(request), options, std::move(handlers));
  call->use_ = connection->use();
  return call;
}

std::shared_ptr<ClientConnection> Client::Open(const Endpoint& endpoint, const std::string& pool,
                                               const CallOptions& options) {
  auto connection = std::make_shared<ClientConnection>(*this, loop_, pool, ++connections_opened_);
  ++pools_[pool].open;
  connection->Connect(endpoint, options);
  return connection;
}

std::shared_ptr<ClientConnection> Client::TakeResting(const std::string& pool, const CallOptions& options,
                                                      int& passed_over) {
  const auto entry = pools_.find(pool);
  if (entry == pools_.end()) return nullptr;
  std::vector<std::shared_ptr<ClientConnection>>& resting = entry->second.resting;
  // The most recently used first: the others may run out their time.
  for (std::size_t i = resting.size(); i > 0; --i) {
    std::shared_ptr<ClientConnection> connection = resting[i - 1];
    const bool fit = connection->FitForUse() && !connection->LeadsToOtherServer(options);
    if (fit && connection->MayHaveCarried(options.call_id)) {
      ++passed_over;
      continue;
    }
    resting.erase(resting.begin() + static_cast<std::ptrdiff_t>(i - 1));
    if (fit) return connection;
    connection->Close();
  }
  // A new connection takes the place of one that was passed over, so that the pool does not grow.
  if (!resting.empty()) resting.front()->Close();
  return nullptr;
}

void Client::ForgetPool(const std::string& pool) {
  const auto entry = pools_.find(pool);
  if (entry == pools_.end()) return;
  const auto resting = std::move(entry->second.resting);
  entry->second.resting.clear();
  for (const auto& connection : resting) connection->Close();
}

int Client::Connections(const std::string& pool) const {
  const auto entry = pools_.find(pool);
  return entry == pools_.end() ? 0 : entry->second.open;
}

}  // namespace saltquay::http
