// Requests that nodes hand to each other, in the fleet of serving_fleet.h.
#include <fmt/format.h>

#include "tests/support/serving_fleet.h"

namespace saltquay::serving {
namespace {

constexpr Duration kLinkDelay = 1ms;

std::string NodeName(int node) { return fmt::format("n{}", node); }

}  // namespace

void ServingFleet::ListPeers() {
  for (int to = 0; to < static_cast<int>(nodes_.size()); ++to) {
    PeersListed listed;
    for (int node = 0; node < static_cast<int>(nodes_.size()); ++node) {
      if (node != to) listed.nodes.push_back({NodeName(node), fmt::format("10.1.0.{}:1", node), "a"});
    }
    Send(to, listed);
  }
}

void ServingFleet::Forward(int from, const ForwardRequest& forward) {
  ++forwards_;
  const int to = std::stoi(forward.peer.node.substr(1));
  const FlowId flow = ++last_flow_;
  forwarded_[{to, flow}] = {from, forward.flow, forward.attempt};
  forwarded_flows_[{from, forward.attempt}] = {to, flow};
  request_ids_[{to, flow}] = request_ids_[{from, forward.flow}];
  if (poison_.contains({from, forward.flow})) poison_.insert({to, flow});
  RequestArrived arrived;
  arrived.flow = flow;
  arrived.metadata = sent_.at(request_ids_[{to, flow}]);
  arrived.metadata.deadline = forward.time_left;
  arrived.metadata.last_event_id = forward.last_event_id;
  arrived.metadata.forwarded = forward.state;
  arrived.metadata.forwarded->node = NodeName(from);
  Send(to, arrived);
}

bool ServingFleet::PerformForwarding(int node, const Action& action) {
  if (const auto* forward = std::get_if<ForwardRequest>(&action)) {
    At(now_ + 2 * kLinkDelay, [this, node, forward = *forward] { Forward(node, forward); });
    return true;
  }
  if (const auto* cancel = std::get_if<CancelAttempt>(&action)) return CancelForward(node, cancel->attempt);
  if (const auto* own = std::get_if<SendLocalReply>(&action)) return ForwardLocalReply(node, *own);
  if (const auto* relay = std::get_if<BeginRelay>(&action)) {
    const auto entry = forwarded_.find({node, relay->flow});
    if (entry == forwarded_.end()) return false;
    ReplyToForward(entry->second, heads_.at({node, relay->attempt}), false);
    return true;
  }
  if (const auto* whole = std::get_if<RelayResponse>(&action)) {
    const auto entry = forwarded_.extract({node, whole->flow});
    if (entry.empty()) return false;
    ReplyToForward(entry.mapped(), heads_.at({node, whole->attempt}), true);
    return true;
  }
  if (const auto* end = std::get_if<EndRelay>(&action)) return EndForward(node, end->flow, true);
  if (const auto* broken = std::get_if<AbortResponse>(&action)) return EndForward(node, broken->flow, false);
  return false;
}

bool ServingFleet::CancelForward(int node, AttemptId attempt) {
  const auto flow = forwarded_flows_.find({node, attempt});
  if (flow == forwarded_flows_.end()) return false;
  const auto [to, id] = flow->second;
  forwarded_.erase(flow->second);
  At(now_ + kLinkDelay, [this, to = to, id = id] { Send(to, ClientDisconnected{id}); });
  return true;
}

bool ServingFleet::ForwardLocalReply(int node, const SendLocalReply& reply) {
  const auto entry = forwarded_.extract({node, reply.flow});
  if (entry.empty()) return false;
  const PeerReply refusal = reply.elsewhere ? PeerReply::kElsewhere : PeerReply::kRefused;
  const PeerReply kind = reply.retry_after ? refusal : PeerReply::kFailed;
  ReplyToForward(entry.mapped(), {reply.status, false, false, std::nullopt, kind, reply.retry_after}, true);
  return true;
}

bool ServingFleet::EndForward(int node, FlowId flow, bool complete) {
  const auto entry = forwarded_.extract({node, flow});
  if (entry.empty()) return false;
  At(now_ + kLinkDelay, [this, to = entry.mapped(), complete] {
    if (complete) return Send(to.from, AttemptCompleted{to.flow, to.attempt, ""});
    Send(to.from, AttemptFailed{to.flow, to.attempt, AttemptFailure::kBroken});
  });
  return true;
}

void ServingFleet::ReplyToForward(const Forwarded& forwarded, const EngineResponseHead& head, bool completes) {
  At(now_ + kLinkDelay, [this, forwarded, head, completes] {
    Send(forwarded.from, AttemptHeadReceived{forwarded.flow, forwarded.attempt, head});
    if (completes) Send(forwarded.from, AttemptCompleted{forwarded.flow, forwarded.attempt, ""});
  });
}

}  // namespace saltquay::serving
