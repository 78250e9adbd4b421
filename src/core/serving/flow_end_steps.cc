// Waiting for an engine, and the ends of a flow that gets no response from one; see serving_core.h for the protocol.
#include <algorithm>

#include <fmt/format.h>

#include "src/base/json_escape.h"
#include "src/core/serving/serving_core.h"

namespace saltquay::serving {
namespace {

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;

}  // namespace

// Requests that still wait get a response while there is time to send it; in the end, the others as well.
void ServingCore::On(const NodeStopping& event) {
  if (event.phase == StopPhase::kBegun) {
    if (limiter_ != nullptr) limiter_->begin_stop(now_);
    return;
  }
  dispatch_ended_ = true;
  std::vector<FlowId> ending;
  for (const auto& [id, flow] : flows_) {
    const bool ends = flow->attempts.empty() || event.phase == StopPhase::kExiting;
    if (ends && !flow->relaying) ending.push_back(id);
  }
  for (const FlowId id : ending) {
    Flow* flow = FindFlow(id);
    if (flow == nullptr) continue;
    CancelAttempts(*flow, 0);
    Advance(*flow);
  }
}

void ServingCore::WaitOrRefuse(Flow& flow) {
  if (!flow.attempts.empty()) return ScheduleWakeUp(flow);  // Another attempt is still in flight.
  if (flow.relaying) {
    const bool has_budget = retry_budget_share_.Remaining(flow.service, now_) >= 1;
    return AbortFlow(flow, has_budget ? "no engine available to resume the stream" : "no retry budget to resume it");
  }
  const std::optional<Time> opens_at = ExecutionOpensAt(flow);
  const bool all_closed = opens_at && *opens_at > now_;
  if (!flow.engine_wait_ends) flow.engine_wait_ends = now_ + EngineWait(flow, all_closed);
  if (all_closed && RetryRejectingEngine(flow)) return;
  if (all_closed && flow.rejected_by.empty() && *opens_at > *flow.engine_wait_ends)
    return Refuse(flow, "engines take no requests yet", *opens_at - now_);
  if (now_ >= *flow.engine_wait_ends)
    return Refuse(flow, "no engine available", all_closed ? *opens_at - now_ : parameters_.retry_after);
  ScheduleWakeUp(flow);
}

// A prompt that has been prefilled waits longer for engines to open: the work would be lost.
Duration ServingCore::EngineWait(const Flow& flow, bool all_closed) const {
  if (flow.kv_cache && all_closed) return std::min(flow.route.objective, parameters_.max_prefilled_wait);
  const Duration share = FromSeconds(ToSeconds(flow.route.objective) * parameters_.engine_wait_share);
  return std::min(share, parameters_.max_engine_wait);
}

bool ServingCore::RetryRejectingEngine(Flow& flow) {
  const auto recovered = std::find_if(flow.rejected_by.begin(), flow.rejected_by.end(), [this](const std::string& id) {
    const EngineState* engine = engines_.Find(id);
    return engine != nullptr && !engine->IsOutOfService(now_) && gate_->IsOpen(*engine, now_);
  });
  if (recovered == flow.rejected_by.end()) return false;
  flow.tried_engines.erase(*recovered);
  flow.rejected_by.erase(recovered);
  return StartExecution(flow);
}

void ServingCore::Refuse(Flow& flow, std::string_view cause) { Refuse(flow, cause, parameters_.retry_after); }

void ServingCore::Refuse(Flow& flow, std::string_view cause, Duration retry_after) {
  Refuse(flow, kUnavailable, cause, retry_after, "");
}

void ServingCore::Refuse(Flow& flow, int status, std::string_view cause, Duration retry_after,
                         std::string_view members) {
  // A refusal promises that the request was not executed.
  if (flow.executions > 0) return Fail(flow, kBadGateway, fmt::format("{}; request may have run", cause));
  CancelAttempts(flow, 0);
  Log(EventId::kRequestRefused, &flow,
      fmt::format(R"("status":{},"cause":"{}","held_ms":{},"tries":{},"version":{},"retry_after_ms":{}{})", status,
                  cause, (now_ - flow.arrived).count() / 1000, flow.attempt_count, version(),
                  retry_after.count() / 1000, members));
  actions_->push_back(SendLocalReply{flow.id, status, retry_after});
  Erase(flow.id);
}

void ServingCore::Fail(Flow& flow, int status, std::string_view cause) {
  CancelAttempts(flow, 0);
  Log(EventId::kRequestFailed, &flow,
      fmt::format(R"("status":{},"cause":"{}","held_ms":{},"tries":{},"version":{})", status, cause,
                  (now_ - flow.arrived).count() / 1000, flow.attempt_count, version()));
  actions_->push_back(SendLocalReply{flow.id, status, std::nullopt});
  Erase(flow.id);
}

void ServingCore::AbortFlow(Flow& flow, std::string_view cause) {
  CancelAttempts(flow, 0);
  Log(EventId::kRequestBrokenOff, &flow,
      fmt::format(R"("cause":"{}","held_ms":{},"tries":{},"last_event":"{}")", cause,
                  (now_ - flow.arrived).count() / 1000, flow.attempt_count, EscapeJson(flow.last_event_id)));
  actions_->push_back(AbortResponse{flow.id});
  Erase(flow.id);
}

}  // namespace saltquay::serving
