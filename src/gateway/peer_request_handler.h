// Serves the requests that other nodes hand to this one (see forward_protocol.h), and answers their questions about
// engines (see engine_checks.h).
//
// Both arrive at the address for peers and are accepted only from the addresses of known nodes. A request that this
// node does not take (it is stopping, or serves too many for others) is refused at once, so that the sender asks
// another node.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "src/gateway/engine_checks.h"
#include "src/gateway/gateway.h"

namespace saltquay::gateway {

class PeerRequestHandler {
 public:
  // `is_peer`: whether an IP address is a known node's.
  PeerRequestHandler(Gateway& gateway, EngineChecks& checks, std::function<bool(const std::string&)> is_peer)
      : gateway_(gateway), checks_(checks), is_peer_(std::move(is_peer)) {}

  // Returns false if the request is of another kind.
  bool Handle(const std::shared_ptr<http::Exchange>& exchange);
  // From now on, requests are refused so that their senders ask other nodes.
  void StartStopping() { stopping_ = true; }

 private:
  // Refuses the request; nothing was executed.
  void Reject(http::Exchange& exchange, int status, std::string_view cause, serving::PeerReply reply);

  void HandleForwarded(const std::shared_ptr<http::Exchange>& exchange);

  Gateway& gateway_;
  EngineChecks& checks_;
  std::function<bool(const std::string&)> is_peer_;
  bool stopping_ = false;
};

}  // namespace saltquay::gateway
