// Requests that this node hands to peers, and that peers hand to it; see forward_protocol.h.
#include <boost/asio/post.hpp>

#include "src/gateway/forward_protocol.h"
#include "src/gateway/gateway.h"

namespace saltquay::gateway {

void Gateway::HandleForwarded(const std::shared_ptr<http::Exchange>& exchange, const serving::ForwardedRequest& state) {
  exchange->head.fields.Remove(kForwardedField);
  ++requests_of_peers_;
  metrics_.CountRequestOfPeer(state.node);
  HandleRequest(exchange, state);
}

void Gateway::Perform(const serving::ForwardRequest& action) {
  const auto flow = flows_.find(action.flow);
  const absl::StatusOr<http::Endpoint> endpoint = http::ParseEndpoint(action.peer.address);
  ActiveAttempt& attempt = attempts_[action.attempt];
  attempt.flow = action.flow;
  attempt.mode = serving::AttemptMode::kForward;
  attempt.peer = action.peer.node;
  attempt.sent_at = Now();
  attempt.streams = action.streams;
  attempt.locality = traffic_.LocalityOf(action.peer.zone);
  if (flow == flows_.end() || !endpoint.ok()) {
    boost::asio::post(loop_, [this, id = action.attempt] { OnFailure(id, http::CallFailure::kNotSent); });
    return;
  }
  attempt.request_id = flow->second.request_id;
  const http::Exchange& exchange = *flow->second.exchange;
  http::RequestHead head = protocol_.MakePeerRequest(exchange.head, action);
  AddForwardedState(head, action.state, node_name_);
  // A kept connection could be silent, and nothing but the client's deadline would show it.
  head.fields.Add("Connection", "close");
  http::CallOptions options;
  options.connect_timeout = std::chrono::duration_cast<std::chrono::milliseconds>(action.connect_timeout);
  options.head_request = exchange.head.method == "HEAD";
  options.on_new_connection = true;
  options.max_body_bytes = kUnboundedBody;  // See OnBody().
  std::string bytes = http::SerializeRequest(head, exchange.body);
  traffic_.Count(TrafficKind::kRequest, attempt.locality, bytes.size());
  attempt.call =
      client_.Start(*endpoint, "peer " + action.peer.node, std::move(bytes), options, MakeHandlers(action.attempt));
}

serving::EngineResponseHead Gateway::DecodeResponse(const ActiveAttempt& attempt,
                                                    const http::ResponseHead& head) const {
  serving::EngineResponseHead decoded = protocol_.DecodeResponse(head);
  if (attempt.mode != serving::AttemptMode::kForward) return decoded;
  DecodeForwardOutcome(head, decoded);
  return decoded;
}

void Gateway::MarkForPeer(const ActiveFlow& flow, http::ResponseHead& head, serving::PeerReply reply) {
  head.fields.Remove(kForwardOutcomeField);
  if (flow.of_peer) MarkForwardOutcome(head, reply);
}

}  // namespace saltquay::gateway
