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
  const bool forwarded = exchange->head.fields.Has(kForwardedField);
  if (!forwarded) return is_peer_(exchange->remote_address()) && checks_.Handle(exchange);
  HandleForwarded(exchange);
  return true;
}

void PeerRequestHandler::HandleForwarded(const std::shared_ptr<http::Exchange>& exchange) {
  constexpr serving::PeerReply kElsewhere = serving::PeerReply::kElsewhere;
  if (!is_peer_(exchange->remote_address()))
    return Reject(*exchange, kForbidden, "the sender is not a known node", kElsewhere);
  const absl::StatusOr<serving::ForwardedRequest> state = DecodeForwardedState(exchange->head);
  if (!state.ok()) return Reject(*exchange, kBadRequest, MessageOf(state.status()), kElsewhere);
  if (stopping_) return Reject(*exchange, kUnavailable, "this node is stopping", kElsewhere);
  if (gateway_.requests_of_peers() >= kMaxRequestsOfPeers)
    return Reject(*exchange, kUnavailable, "too many requests of peers", kElsewhere);
  gateway_.HandleForwarded(exchange, *state);
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
