// Timeouts of attempts and flows; see serving_core.h for the protocol.
#include <algorithm>

#include <fmt/format.h>

#include "src/core/serving/serving_core.h"

namespace saltquay::serving {
namespace {

constexpr int kGatewayTimeout = 504;

}  // namespace

void ServingCore::Hedge(Flow& flow) {
  flow.hedge_at.reset();
  const bool unresponsive = flow.attempts.size() == 1 && !flow.attempts.begin()->second.head_seen;
  if (!unresponsive || !MayExecuteAgain(flow)) return;
  flow.tried_engines.insert(flow.attempts.begin()->second.engine_id);
  flow.response_missing = true;
  Retry(flow, "no response within the hedge delay");
}

// A prefill is given a multiple of its expected time. For other attempts only the engine is checked for being
// unresponsive; at-most-once work is still awaited until the request's deadline.
Duration ServingCore::AttemptTimeout(const Attempt& attempt, const EngineState& engine) const {
  if (attempt.mode != AttemptMode::kPrefill) return parameters_.unresponsive_timeout;
  constexpr double kMillisecond = 0.001;
  // The outstanding tokens include this prompt's.
  const auto tokens = static_cast<double>(engine.outstanding_prompt_tokens + engine.peers_prompt_tokens);
  const Duration expected = FromSeconds(kMillisecond * tokens / selector_.prefill_time_model().rate());
  return parameters_.unresponsive_timeout + FromSeconds(parameters_.prefill_timeout_factor * ToSeconds(expected));
}

// An engine from which nothing has arrived at this node since the attempt was sent is ejected. Prefills and repeatable
// work move to another engine; other work stays.
void ServingCore::CheckAttemptTimeouts(Flow& flow) {
  for (auto& [id, attempt] : flow.attempts) {
    if (attempt.head_seen) continue;
    if (!attempt.silence_checked && now_ >= attempt.sent_at + parameters_.silence_check_delay) {
      attempt.silence_checked = true;
      CheckSilentEngine(attempt);
    }
    if (attempt.timeout_handled || now_ < attempt.times_out_at) continue;
    attempt.timeout_handled = true;
    const bool unresponsive = EngineUnresponsiveSince(attempt);
    if (unresponsive) RecordSilence(attempt);
    if (!ShouldAbandon(flow, attempt, unresponsive)) continue;
    flow.tried_engines.insert(attempt.engine_id);
    flow.response_missing = true;
    actions_->push_back(CancelAttempt{id});
    EndAttempt(flow, id);
    return Retry(flow, "engine response timed out");  // The attempts have changed.
  }
}

// The request may have been lost with the path to the engine unless it was sent after the engine was known to listen.
void ServingCore::RecordSilence(const Attempt& attempt) {
  DropIdleConnectionsTo(attempt);
  const EngineState* engine = engines_.Find(attempt.engine_id);
  if (engine == nullptr) return;
  const bool may_be_lost =
      engine->unreachable || std::max(engine->reachable_since, engine->listening_since) > attempt.sent_at;
  if (!may_be_lost) LogEngineHealth(engines_.RecordFailure(attempt.engine_id, "silent", now_));
}

bool ServingCore::EngineUnresponsiveSince(const Attempt& attempt) {
  const EngineState* engine = engines_.Find(attempt.engine_id);
  return engine == nullptr || engine->last_response_time < attempt.sent_at;
}

void ServingCore::DropIdleConnectionsTo(const Attempt& attempt) {
  const EngineState* engine = engines_.Find(attempt.engine_id);
  if (engine != nullptr) actions_->push_back(DropIdleConnections{attempt.engine_id, engine->record.address});
}

bool ServingCore::ShouldAbandon(const Flow& flow, const Attempt& attempt, bool unresponsive) {
  if (flow.attempt_count >= parameters_.max_attempts_per_flow) return false;
  // After an abandoned prefill the prompt can be sent whole to a decode engine. That is the request's first arrival,
  // which is not charged to the retry budget.
  if (attempt.mode == AttemptMode::kPrefill && flow.arrivals == 0) return true;
  if (retry_budget_share_.Remaining(flow.service, now_) < 1) return false;
  if (attempt.mode == AttemptMode::kPrefill) return true;
  return unresponsive && flow.route.kind == RouteKind::kStreaming && MayExecuteAgain(flow);
}

void ServingCore::OnDeadline(Flow& flow) {
  if (flow.relaying) {
    CancelAttempts(flow, 0);
    return AbortFlow(flow, "deadline exceeded");
  }
  const bool may_have_run = flow.executions > 0;
  CountUsageWithoutResponse(flow);
  for (const auto& [id, attempt] : flow.attempts) {
    if (EngineUnresponsiveSince(attempt)) DropIdleConnectionsTo(attempt);
    if (attempt.mode == AttemptMode::kForward) forwarding_peers_.RecordFailure(attempt.peer, now_);
  }
  CancelAttempts(flow, 0);
  if (may_have_run) return Fail(flow, kGatewayTimeout, "deadline exceeded; request may have run");
  Refuse(flow, "deadline exceeded; request did not run");
}

// The engine is presumed lost: the timeouts of attempts there expire at once.
void ServingCore::ExpireAttemptsAt(const std::string& engine_id) {
  for (auto& [id, flow] : flows_) {
    bool affected = false;
    for (auto& [attempt_id, attempt] : flow->attempts) {
      if (attempt.engine_id != engine_id || attempt.head_seen || attempt.timeout_handled) continue;
      attempt.times_out_at = std::min(attempt.times_out_at, now_);
      affected = true;
    }
    if (affected) ScheduleWakeUp(*flow);
  }
}

void ServingCore::LogEngineHealth(const std::optional<HealthChange>& change) {
  if (!change) return;
  Log(EventId::kEngineEjected, nullptr,
      fmt::format(R"("engine":"{}","cause":"{}","for_ms":{})", change->engine, change->cause,
                  change->span.count() / 1000));
  if (change->lost) ExpireAttemptsAt(change->engine);
}

}  // namespace saltquay::serving
