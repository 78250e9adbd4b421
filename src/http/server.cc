#include "src/http/server.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>

#include <boost/asio/write.hpp>

#include "src/http/server_connection.h"
#include "src/http/socket.h"

namespace saltquay::http {
namespace {

constexpr std::chrono::milliseconds kSweepInterval{500};

}  // namespace

absl::StatusOr<std::unique_ptr<Server>> Server::Listen(boost::asio::io_context& loop, const std::string& address,
                                                       const ServerLimits& limits, Handler handler) {
  const absl::StatusOr<Endpoint> endpoint = ParseEndpoint(address);
  if (!endpoint.ok()) return endpoint.status();
  std::unique_ptr<Server> server(new Server(loop, limits, std::move(handler)));
  boost::system::error_code error;
  auto& acceptor = server->acceptor_;
  acceptor.open(endpoint->protocol(), error);
  if (!error) acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
  if (!error) acceptor.bind(*endpoint, error);
  if (!error) acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  if (error) {
    return MakeError(ErrorKind::kInvalidSetting, "cannot listen on " + address + " (" + error.message() +
                                                     "); free the port or set another address");
  }
  server->Accept();
  server->Sweep();
  return server;
}

Server::Server(boost::asio::io_context& loop, const ServerLimits& limits, Handler handler)
    : loop_(loop), limits_(limits), handler_(std::move(handler)), acceptor_(loop), sweep_timer_(loop) {}

Server::~Server() {
  const auto connections = std::move(connections_);
  connections_.clear();
  for (const auto& connection : connections) connection->Close();
}

void Server::Accept() {
  acceptor_.async_accept([this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (!error) {
      auto connection = std::make_shared<ServerConnection>(*this, std::move(socket));
      connections_.insert(connection);
      connection->Start();
    }
    Accept();
  });
}

void Server::Sweep() {
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    const auto now = BootClock::now();
    const auto connections = connections_;  // A check may remove its connection.
    for (const auto& connection : connections) connection->CheckTimes(now);
    Sweep();
  });
}

void Server::RelieveBudget() {
  while (budget_ != nullptr && budget_->exceeded()) {
    std::shared_ptr<ServerConnection> body;
    std::shared_ptr<ServerConnection> answer;
    for (const auto& connection : connections_) {
      if (connection->MayRefuseBody() && (body == nullptr || connection->since() < body->since())) body = connection;
      if (connection->MayEndAnswer() && (answer == nullptr || connection->unread_bytes() > answer->unread_bytes()))
        answer = connection;
    }
    if (body == nullptr && answer == nullptr) return;
    if (body != nullptr) {
      budget_->RecordRefusal("request body", body->held_bytes());
      body->RefuseBody();
    } else {
      budget_->RecordRefusal("unread answer", answer->held_bytes());
      answer->EndAnswer();
    }
  }
}

void Server::StopAccepting() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  closing_ = true;
  const auto connections = connections_;
  for (const auto& connection : connections) connection->CloseIfIdle();
}

}  // namespace saltquay::http
