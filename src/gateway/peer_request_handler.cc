#include "src/gateway/peer_request_handler.h"

#include <fmt/format.h>

#include "src/gateway/forward_protocol.h"

namespace saltquay::gateway {
namespace {

constexpr int kBadRequest = 400;
constexpr int kForbidden = 403;
constexpr int kUnavailable = 503;
constexpr std::size_t kMaxRequestsOfPeers = 512;

}  // namespace

bool PeerRequestHandler::Handle(const std::shared_ptr<http::Exchange>& exchange) {
  if (!exchange->head.fields.Has(kForwardedField)) return false;
  if (!is_peer_(exchange->remote_address())) {
    Reject(*exchange, kForbidden, "the sender is not a known node", serving::PeerReply::kElsewhere);
    return true;
  }
  const absl::StatusOr<serving::ForwardedRequest> state = DecodeForwardedState(exchange->head);
  if (!state.ok()) {
    Reject(*exchange, kBadRequest, MessageOf(state.status()), serving::PeerReply::kElsewhere);
  } else if (stopping_) {
    Reject(*exchange, kUnavailable, "this node is stopping", serving::PeerReply::kElsewhere);
  } else if (gateway_.requests_of_peers() >= kMaxRequestsOfPeers) {
    Reject(*exchange, kUnavailable, "too many requests of peers", serving::PeerReply::kElsewhere);
  } else {
    gateway_.HandleForwarded(exchange, *state);
  }
  return true;
}

void PeerRequestHandler::Reject(http::Exchange& exchange, int status, std::string_view cause,
                                serving::PeerReply reply) {
  gateway_.Log(EventId::kPeerDataRefused, "",
               fmt::format(R"("sender":"{}","cause":"{}")", exchange.remote_address(), EscapeJson(cause)));
  http::ResponseHead head;
  head.status = status;
  MarkForwardOutcome(head, reply);
  exchange.Respond(head, std::string(cause) + "\n");
}

}  // namespace saltquay::gateway
