#include "src/gateway/engine_probe.h"

#include <boost/asio/post.hpp>

#include "src/http/socket.h"

namespace saltquay::gateway {
namespace {

using serving::EngineProbeOutcome;

// Much longer than the round trip of a TCP reset within a region; a machine that does not respond within this time is
// partitioned or powered off.
constexpr std::chrono::milliseconds kProbeTimeout{300};

EngineProbeOutcome ToOutcome(const boost::system::error_code& error) {
  if (!error) return EngineProbeOutcome::kAccepted;
  const bool refused = error == boost::asio::error::connection_refused || error == boost::asio::error::connection_reset;
  return refused ? EngineProbeOutcome::kRefused : EngineProbeOutcome::kUnknown;
}

}  // namespace

struct EngineProbe::Probe {
  explicit Probe(boost::asio::io_context& loop) : socket(loop), timer(loop) {}

  boost::asio::ip::tcp::socket socket;
  BootTimer timer;
  Handler done;
};

void EngineProbe::Check(const std::string& address, Handler done) {
  const std::uint64_t id = ++last_id_;
  const auto probe = std::make_shared<Probe>(loop_);
  probe->done = std::move(done);
  probes_[id] = probe;
  const absl::StatusOr<http::Endpoint> endpoint = http::ParseEndpoint(address);
  if (!endpoint.ok()) {
    boost::asio::post(loop_, [this, id, alive = std::weak_ptr<Probe>(probe)] {
      if (!alive.expired()) Finish(id, EngineProbeOutcome::kUnknown);
    });
    return;
  }
  // The handlers hold weak references: erasing a probe closes its socket and timer, and pending handlers do nothing.
  const std::weak_ptr<Probe> alive = probe;
  probe->timer.expires_after(kProbeTimeout);
  probe->timer.async_wait([this, id, alive](boost::system::error_code error) {
    if (!error && !alive.expired()) Finish(id, EngineProbeOutcome::kUnknown);
  });
  probe->socket.async_connect(*endpoint, [this, id, alive](boost::system::error_code error) {
    if (!alive.expired()) Finish(id, ToOutcome(error));
  });
}

void EngineProbe::Finish(std::uint64_t id, EngineProbeOutcome outcome) {
  const auto entry = probes_.find(id);
  if (entry == probes_.end()) return;
  const Handler done = std::move(entry->second->done);
  probes_.erase(entry);
  done(outcome);
}

}  // namespace saltquay::gateway
