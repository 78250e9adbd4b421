// Requests that are handed to a peer because this node cannot reach the engines; see forwarding_peers.h.
#include <algorithm>

#include <fmt/format.h>

#include "src/base/json_escape.h"
#include "src/core/serving/serving_core.h"

namespace saltquay::serving {
namespace {

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
// After this many failed connections, a request is not tried at a further engine if there is a peer.
constexpr int kMaxConnectFailures = 2;
// After a failed connection, an engine is tried only if it was heard within this time.
constexpr Duration kRecentlyHeard = 500ms;

}  // namespace

void ServingCore::On(const PeersListed& event) {
  forwarding_peers_.Set(event.nodes);
  stream_origins_.set_peers(event.nodes, now_);
}

bool ServingCore::LacksPath(const Flow& flow) {
  if (paths_.unreachable_count() == 0) return false;
  const auto reaches_none = [&](EngineStage stage) {
    return selector_.ReachesNone(engines_, flow.service, stage, now_);
  };
  if (reaches_none(EngineStage::kUniform)) return true;
  if (!flow.language) return false;
  const bool needs_prefill = flow.metadata.prompt->tokens > parameters_.max_unsplit_prompt_tokens && !flow.kv_cache;
  return reaches_none(EngineStage::kDecode) || (needs_prefill && reaches_none(EngineStage::kPrefill));
}

bool ServingCore::CannotReachEngines(const Flow& flow) {
  return flow.connect_failures >= kMaxConnectFailures || LacksPath(flow);
}

bool ServingCore::PrefersPeer(const Flow& flow, const EngineState* engine) {
  if (engine == nullptr) return flow.connect_failures > 0;
  if (engine->HasDoubtfulPath(now_)) return true;
  const bool heard = engine->last_response_time != Time{} && now_ - engine->last_response_time < kRecentlyHeard;
  return flow.connect_failures > 0 && !heard;
}

bool ServingCore::StartForward(Flow& flow) {
  if (flow.metadata.forwarded) return false;
  const PeerNode* peer = forwarding_peers_.Choose(selector_.topology(), flow.tried_peers, random_, now_);
  if (peer == nullptr) return false;
  if (flow.kv_cache) Release(*flow.kv_cache);  // The peer prefills the prompt again.
  flow.kv_cache.reset();
  flow.engine_wait_ends.reset();
  flow.tried_peers.insert(peer->node);
  forwarding_peers_.RecordSent(peer->node);
  // The peer determines where a new stream begins.
  if (flow.metadata.last_event_id.empty()) stream_origins_.Forget(StreamKeyOf(flow));
  Attempt attempt;
  attempt.id = ++last_attempt_;
  attempt.mode = AttemptMode::kForward;
  attempt.peer = peer->node;
  attempt.sent_at = now_;
  attempt.silence_checked = attempt.timeout_handled = true;  // The peer watches the engines.
  attempt.executions_before = flow.executions;
  ForwardRequest forward = MakeForward(flow, *peer);
  forward.attempt = attempt.id;
  // The peer may use all executions that are left.
  flow.executions = std::max(flow.executions + 1, flow.route.repeatable() ? flow.route.max_attempts : 1);
  flow.attempts[attempt.id] = attempt;
  Log(EventId::kRequestForwarded, &flow,
      fmt::format(R"("peer":"{}","zone":"{}","try":{},"engines_tried":{},"unreachable_engines":{},"left_ms":{})",
                  EscapeJson(peer->node), EscapeJson(peer->zone), flow.tried_peers.size(), flow.attempt_count,
                  paths_.unreachable_count(), forward.time_left.count() / 1000));
  actions_->push_back(std::move(forward));
  ScheduleWakeUp(flow);
  return true;
}

ForwardRequest ServingCore::MakeForward(const Flow& flow, const PeerNode& peer) const {
  ForwardRequest forward;
  forward.flow = flow.id;
  forward.peer = peer;
  forward.state.config_version = version();
  forward.state.arrivals = flow.arrivals;
  forward.state.prefills = flow.prefills;
  forward.state.executions = flow.executions;
  forward.state.usage_counted = flow.usage_counted;
  forward.state.tried_engines.assign(flow.tried_engines.begin(), flow.tried_engines.end());
  forward.state.software_version = flow.software_version;
  forward.last_event_id = flow.last_event_id;
  forward.time_left = flow.expires_at + parameters_.response_margin - now_;
  forward.connect_timeout = ConnectTimeout(peer.zone);
  forward.streams = flow.route.kind == RouteKind::kStreaming;
  return forward;
}

void ServingCore::FinishForward(Flow& flow, const Attempt& attempt) {
  const EngineResponseHead& head = attempt.response_head;
  if (head.peer_reply == PeerReply::kNone) return FinishExecution(flow, attempt);
  if (head.peer_reply == PeerReply::kFailed) {
    if (flow.relaying) return AbortFlow(flow, "failed at a peer");
    return Fail(flow, head.status, "failed at a peer");
  }
  flow.executions = attempt.executions_before;
  if (head.peer_reply == PeerReply::kElsewhere) {
    forwarding_peers_.RecordRefusal(attempt.peer, now_);
    return Retry(flow, "peer cannot serve it");
  }
  if (flow.relaying) return AbortFlow(flow, "refused by a peer");
  Refuse(flow, head.status, "refused by a peer", head.retry_after.value_or(parameters_.retry_after), "");
}

void ServingCore::OnForwardLost(Flow& flow, const Attempt& attempt, AttemptFailure failure) {
  forwarding_peers_.RecordFailure(attempt.peer, now_);
  if (failure == AttemptFailure::kNotSent) {
    flow.executions = attempt.executions_before;
    return Retry(flow, "connection to peer failed");
  }
  if (flow.relaying) return AbortFlow(flow, "peer connection lost");
  if (!flow.attempts.empty()) return ScheduleWakeUp(flow);
  Fail(flow, kBadGateway, "peer connection lost; request may have run");
}

bool ServingCore::AdoptForwarded(Flow& flow) {
  const ForwardedRequest& state = *flow.metadata.forwarded;
  if (state.config_version > version()) {
    RefuseElsewhere(flow, "older configuration than the peer's");
    return false;
  }
  flow.arrivals = state.arrivals;
  flow.prefills = state.prefills;
  flow.executions = state.executions;
  flow.usage_counted = state.usage_counted;
  flow.software_version = state.software_version;
  flow.tried_engines.insert(state.tried_engines.begin(), state.tried_engines.end());
  flow.limit_cost = 0;  // Charged by the peer.
  return true;
}

bool ServingCore::MustRefuseElsewhere(const Flow& flow) {
  if (!flow.metadata.forwarded || flow.relaying || !flow.attempts.empty()) return false;
  if (flow.executions > flow.metadata.forwarded->executions) return false;
  return dispatch_ended_ || CannotReachEngines(flow);
}

void ServingCore::RefuseElsewhere(Flow& flow, std::string_view cause) {
  Log(EventId::kRequestRefused, &flow,
      fmt::format(R"("status":{},"cause":"{}","held_ms":{},"tries":{},"version":{},"for":"{}")", kUnavailable, cause,
                  (now_ - flow.arrived).count() / 1000, flow.attempt_count, version(), flow.metadata.forwarded->node));
  actions_->push_back(SendLocalReply{flow.id, kUnavailable, parameters_.retry_after, true});
  Erase(flow.id);
}

void ServingCore::CancelForwards(Flow& flow) {
  std::vector<AttemptId> forwards;
  for (const auto& [id, attempt] : flow.attempts) {
    if (attempt.mode == AttemptMode::kForward) forwards.push_back(id);
  }
  for (const AttemptId id : forwards) {
    actions_->push_back(CancelAttempt{id});
    EndAttempt(flow, id);
  }
}

void ServingCore::ForwardQueuedPrompts() {
  std::vector<FlowId> affected;
  for (const auto& [id, flow] : flows_) {
    if (flow->queued && LacksPath(*flow)) affected.push_back(id);
  }
  for (const FlowId id : affected) {
    Flow* flow = FindFlow(id);
    if (flow == nullptr) continue;
    Dequeue(*flow);
    Advance(*flow);
  }
}

}  // namespace saltquay::serving
