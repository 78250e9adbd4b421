// How long an attempt is waited for, and what is given up; see serving_core.h for the protocol.
#include <algorithm>

#include <fmt/format.h>

#include "src/core/serving/serving_core.h"

namespace saltquay::serving {
namespace {

constexpr int kGatewayTimeout = 504;

}  // namespace

void ServingCore::Hedge(Flow& flow) {
  flow.hedge_at.reset();
  const bool silent = flow.attempts.size() == 1 && !flow.attempts.begin()->second.head_seen;
  if (!silent || !MayExecuteAgain(flow)) return;
  flow.tried.insert(flow.attempts.begin()->second.engine_id);
  flow.unanswered = true;
  Retry(flow, "no answer in most of the objective");
}

// A reading may be awaited for some times what it should take; work that may
// run once, for as long as the request has.
Duration ServingCore::AttemptTimeout(const Attempt& attempt, const EngineState& engine) const {
  if (attempt.mode != AttemptMode::kPrefill) return parameters_.silence;
  constexpr double kMillisecond = 0.001;
  // This prompt's tokens are among the outstanding ones.
  const auto tokens = static_cast<double>(engine.outstanding_prompt_tokens + engine.peers_prompt_tokens);
  const Duration expected = FromSeconds(kMillisecond * tokens / selector_.reading().rate());
  return parameters_.silence + FromSeconds(parameters_.prefill_timeout_factor * ToSeconds(expected));
}

// An engine that has said nothing to anybody since our request is taken out.
// What is only read, or may run again, goes elsewhere; other work stays there.
void ServingCore::CheckAttemptTimeouts(Flow& flow) {
  for (auto& [id, attempt] : flow.attempts) {
    if (attempt.timeout_handled || attempt.head_seen || now_ < attempt.times_out_at) continue;
    attempt.timeout_handled = true;
    const bool silent = EngineSilentSince(attempt);
    if (silent) {
      DropIdleConnectionsTo(attempt);
      LogEngineStanding(engines_.RecordFailure(attempt.engine_id, "silent", now_));
    }
    if (!ShouldAbandon(flow, attempt, silent)) continue;
    flow.tried.insert(attempt.engine_id);
    flow.unanswered = true;
    actions_->push_back(CancelAttempt{id});
    EndAttempt(flow, id);
    return Retry(flow, "no answer from the engine");  // The attempts have changed.
  }
}

bool ServingCore::EngineSilentSince(const Attempt& attempt) {
  const EngineState* engine = engines_.Find(attempt.engine_id);
  return engine == nullptr || engine->last_heard < attempt.sent_at;
}

void ServingCore::DropIdleConnectionsTo(const Attempt& attempt) {
  const EngineState* engine = engines_.Find(attempt.engine_id);
  if (engine != nullptr) actions_->push_back(DropIdleConnections{attempt.engine_id, engine->record.address});
}

bool ServingCore::ShouldAbandon(const Flow& flow, const Attempt& attempt, bool silent) {
  if (flow.tries >= parameters_.max_tries) return false;
  // A prompt that was only read may go whole to an engine that answers: its first arrival, which needs no allowance.
  if (attempt.mode == AttemptMode::kPrefill && flow.arrivals == 0) return true;
  if (retry_budget_share_.Left(flow.service, now_) < 1) return false;
  if (attempt.mode == AttemptMode::kPrefill) return true;
  return silent && flow.route.kind == RouteKind::kStreaming && MayExecuteAgain(flow);
}

void ServingCore::OnDeadline(Flow& flow) {
  if (flow.relaying) {
    CancelAttempts(flow, 0);
    return AbortFlow(flow, "time is up");
  }
  const bool may_have_run = flow.runs > 0;
  CountUnansweredUsage(flow);
  for (const auto& [id, attempt] : flow.attempts) {
    if (EngineSilentSince(attempt)) DropIdleConnectionsTo(attempt);
  }
  CancelAttempts(flow, 0);
  if (may_have_run) return Fail(flow, kGatewayTimeout, "time is up; it may have run");
  Refuse(flow, "time is up; not run");
}

// What waits at an engine that is taken to be lost is looked into at once.
void ServingCore::ExpireAttemptsAt(const std::string& engine_id) {
  for (auto& [id, flow] : flows_) {
    bool concerned = false;
    for (auto& [attempt_id, attempt] : flow->attempts) {
      if (attempt.engine_id != engine_id || attempt.head_seen || attempt.timeout_handled) continue;
      attempt.times_out_at = std::min(attempt.times_out_at, now_);
      concerned = true;
    }
    if (concerned) ScheduleWakeUp(*flow);
  }
}

void ServingCore::LogEngineStanding(const std::optional<HealthChange>& change) {
  if (!change) return;
  Log(EventId::kEngineEjected, nullptr,
      fmt::format(R"("engine":"{}","cause":"{}","for_ms":{})", change->engine, change->cause,
                  change->span.count() / 1000));
  if (change->lost) ExpireAttemptsAt(change->engine);
}

}  // namespace saltquay::serving
