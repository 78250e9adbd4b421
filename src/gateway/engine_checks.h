// Nodes ask each other whether they can connect to an engine that seems to have crashed: GET /engine-checks/ID at the
// address for peers, with the hash of the engine's incarnation as `incarnation`. The response's body is "accepted",
// "refused" or "unknown". The node that is asked connects to a second engine as well: if it cannot connect to that one
// either, it does not know whether the engine has crashed or only its own path is broken.
#pragma once

#include <memory>
#include <string>

#include <utility>  // Boost 1.74's Asio needs it first under C++20.

#include <boost/asio/io_context.hpp>

#include "saltquay/fetch/fetcher.h"
#include "src/gateway/engine_probe.h"
#include "src/gateway/gateway.h"

namespace saltquay::gateway {

class EngineChecks {
 public:
  EngineChecks(boost::asio::io_context& loop, Gateway& gateway) : gateway_(gateway), fetcher_(loop), probe_(loop) {}

  // Asks the peers. The results are dispatched to the gateway's core.
  void Ask(const serving::CheckEngineAtPeers& action);
  // Responds to a peer; returns false if the request is no such question.
  bool Handle(const std::shared_ptr<http::Exchange>& exchange);

 private:
  struct Check;

  void FinishOne(const std::shared_ptr<Check>& check);

  Gateway& gateway_;
  fetch::Fetcher fetcher_;
  EngineProbe probe_;
  std::size_t checks_ = 0;  // Under way for peers.
};

}  // namespace saltquay::gateway
