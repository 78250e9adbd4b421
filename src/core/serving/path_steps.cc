// What failed calls say about engines and about the paths to them; see engine_path_monitor.h for the protocol.
#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "src/core/serving/serving_core.h"

namespace saltquay::serving {
namespace {

// Engines that are checked when another one turns out to be unreachable. If they are as well, each of them causes the
// same number of checks.
constexpr std::size_t kRelatedChecks = 4;
// An engine that was heard within this time needs no check.
constexpr Duration kRecentlyHeard = 500ms;
// A probe has ended by then.
constexpr Duration kCheckTime = 300ms;

std::string_view NameOf(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kNotSent:
      return "not sent";
    case AttemptFailure::kUnidentified:
      return "unidentified";
    case AttemptFailure::kBroken:
      return "broken";
    case AttemptFailure::kInsideEvent:
      return "ended inside an event";
    case AttemptFailure::kNoEvents:
      return "ended without events";
    default:
      return "malformed";
  }
}

}  // namespace

std::string_view NameOf(ResponseFraming framing) {
  if (framing == ResponseFraming::kLength) return "length";
  return framing == ResponseFraming::kChunked ? "chunked" : "connection end";
}

void ServingCore::On(const AttemptFailed& event) {
  if (auto detached = detached_attempts_.extract(event.attempt)) {
    if (IsInterrupted(event.failure)) {
      RecordBrokenResponse(detached.mapped().engine_id, std::move(detached.mapped().run));
    }
    return;
  }
  Flow* flow = FindFlow(event.flow);
  if (flow == nullptr || !flow->attempts.contains(event.attempt)) return;
  flow->attempts[event.attempt].progress = event.progress;
  const Attempt attempt = flow->attempts[event.attempt];
  // A plain request whose response is lost has usually been executed; a prompt has usually not reached its first token.
  if (WasSent(event.failure) && !flow->language) CountTenantUsage(*flow, attempt);
  EndAttempt(*flow, event.attempt);
  if (attempt.mode == AttemptMode::kForward) return OnForwardLost(*flow, attempt, event.failure);
  LogAttemptFailure(*flow, attempt, event.failure);
  AttributeFailure(*flow, attempt, event.failure);
  OnAttemptLost(*flow, attempt, event.failure);
}

void ServingCore::AttributeFailure(const Flow& flow, const Attempt& attempt, AttemptFailure failure) {
  EngineState* engine = engines_.Find(attempt.engine_id);
  if (engine == nullptr) return;
  if (IsInterrupted(failure)) RecordBrokenResponse(attempt.engine_id, DescribeInterruptedRun(flow, attempt));
  if (failure == AttemptFailure::kUnidentified) engine->RecordUnidentified(now_);
  if (failure != AttemptFailure::kNotSent) return SuspectEngine(*engine, failure);
  // An engine that has responded to other requests since then is alive and only rejects connections.
  if (engine->last_response_time > attempt.sent_at) return engines_.RecordRejection(attempt.engine_id, now_);
  const bool timed_out = now_ - attempt.sent_at >= ConnectTimeout(engine->record.zone);
  MarkUnreachable(*engine, timed_out ? "connection timed out" : "connection refused");
  timed_out ? CheckRelatedEngines() : RecordRefusedConnection(*engine);
}

void ServingCore::SuspectEngine(EngineState& engine, AttemptFailure failure) {
  constexpr std::string_view kCause = "response interrupted";
  // Of an engine that leaves, no connection tells why its response ended.
  if (failure == AttemptFailure::kMalformed || engine.gone || engine.record.leaving)
    return LogEngineHealth(engines_.RecordFailure(engine.record.id, std::string(kCause), now_));
  if (paths_.RecordSuspicion(engine.record.id, kCause)) RequestProbe(engine);
}

void ServingCore::RequestProbe(const EngineState& engine) {
  const bool requested = std::any_of(actions_->begin(), actions_->end(), [&](const Action& action) {
    const auto* probe = std::get_if<ProbeEngine>(&action);
    return probe != nullptr && probe->engine_id == engine.record.id;
  });
  if (!requested) actions_->push_back(ProbeEngine{engine.record.id, engine.record.address});
}

void ServingCore::On(const EngineProbed& event) {
  const bool ask_peers = crash_detector_.RecordProbeOutcome(event.engine_id, event.outcome);
  paths_.RecordProbeEnd(event.engine_id, now_);
  const std::vector<std::string_view> suspicions = paths_.TakeSuspicions(event.engine_id);
  EngineState* engine = engines_.Find(event.engine_id);
  if (engine == nullptr) return;
  if (ask_peers) AskPeersAbout(*engine);
  if (event.outcome != EngineProbeOutcome::kAccepted) return OnProbeFailed(*engine, event.outcome);
  engine->path_checked_until = Time{};
  if (engine->listening_since <= engine->last_response_time) engine->listening_since = now_;
  dispatch_pending_ = true;
  MarkReachable(*engine, "connection accepted");
  for (const std::string_view cause : suspicions)
    LogEngineHealth(engines_.RecordFailure(event.engine_id, std::string(cause), now_));
}

// An engine that neither accepts nor refuses does not respond on open connections either.
void ServingCore::OnProbeFailed(EngineState& engine, EngineProbeOutcome outcome) {
  const bool was_reachable = !engine.unreachable;
  const bool silent = outcome == EngineProbeOutcome::kUnknown;
  MarkUnreachable(engine, silent ? "probe timed out" : "probe refused");
  if (!silent || !was_reachable) return;
  actions_->push_back(DropIdleConnections{engine.record.id, engine.record.address});
  ExpireAttemptsAt(engine.record.id);
  CheckRelatedEngines();
}

// Requests on open connections to other engines would be lost as well if the whole path is silent.
void ServingCore::CheckRelatedEngines() {
  std::vector<EngineState*> candidates;
  engines_.ForEachPresent([&](EngineState& engine) {
    const bool heard = now_ - engine.last_response_time < kRecentlyHeard && engine.last_response_time != Time{};
    if (!engine.record.leaving && !engine.unreachable && !heard) candidates.push_back(&engine);
  });
  std::size_t started = 0;
  const std::size_t first = candidates.empty() ? 0 : random_.Below(candidates.size());
  for (std::size_t i = 0; i < candidates.size() && started < kRelatedChecks; ++i) {
    EngineState& engine = *candidates[(first + i) % candidates.size()];
    if (!paths_.TryStartCheck(engine.record.id, now_)) continue;
    engine.path_checked_until = now_ + kCheckTime;
    RequestProbe(engine);
    ++started;
  }
}

// Nothing was heard from the engine since the attempt was sent.
void ServingCore::CheckSilentEngine(const Attempt& attempt) {
  const EngineState* engine = engines_.Find(attempt.engine_id);
  if (engine == nullptr || engine->gone || !EngineUnresponsiveSince(attempt)) return;
  if (paths_.TryStartCheck(attempt.engine_id, now_)) RequestProbe(*engine);
}

void ServingCore::MarkUnreachable(EngineState& engine, std::string_view cause) {
  if (engine.gone || engine.record.leaving || !paths_.RecordUnreachable(engine.record.id, now_)) return;
  engine.unreachable = true;
  engine.unreachable_since = now_;
  paths_lost_ = true;
  LogPath(engine, cause);
}

void ServingCore::MarkReachable(EngineState& engine, std::string_view cause) {
  if (!paths_.RecordReachable(engine.record.id, now_)) return;
  engine.unreachable = false;
  engine.reachable_since = now_;
  LogPath(engine, cause);
  dispatch_pending_ = true;
}

void ServingCore::RecordEngineHeard(const Attempt& attempt) {
  EngineState* engine = engines_.Find(attempt.engine_id);
  // A response to an earlier request may have been on its way when the path broke.
  if (engine != nullptr && engine->unreachable && attempt.sent_at > engine->unreachable_since)
    MarkReachable(*engine, "response received");
}

void ServingCore::StepPaths() {
  if (std::exchange(paths_lost_, false)) ForwardQueuedPrompts();
  for (const std::string& id : paths_.TakeDueProbes(now_)) {
    EngineState* engine = engines_.Find(id);
    const bool exists = engine != nullptr && !engine->gone && !engine->record.leaving && engine->unreachable;
    if (exists) {
      RequestProbe(*engine);
    } else {
      paths_.Forget(id);
    }
  }
}

void ServingCore::LogPath(const EngineState& engine, std::string_view cause) {
  Log(EventId::kEnginePath, nullptr,
      fmt::format(R"("engine":"{}","reachable":{},"cause":"{}","unreachable_engines":{},"peers_responses":{})",
                  engine.record.id, !engine.unreachable, cause, paths_.unreachable_count(), engine.peers_responses));
}

// What this node and its peers last heard from the engine tells a broken path from a broken engine.
void ServingCore::LogAttemptFailure(const Flow& flow, const Attempt& attempt, AttemptFailure failure) {
  const EngineState* engine = engines_.Find(attempt.engine_id);
  if (engine == nullptr) return;
  const bool heard = engine->last_response_time != Time{};
  Log(EventId::kAttemptFailed, &flow,
      fmt::format(R"("engine":"{}","outcome":"{}","after_ms":{},"heard_ms_ago":{},"peers_responses":{}{})",
                  attempt.engine_id, NameOf(failure), (now_ - attempt.sent_at).count() / 1000,
                  heard ? (now_ - engine->last_response_time).count() / 1000 : -1, engine->peers_responses,
                  ProgressMembers(attempt)));
}

std::string ServingCore::ProgressMembers(const Attempt& attempt) {
  if (!attempt.progress) return "";
  return fmt::format(R"(,"framing":"{}","incomplete_event_bytes":{})", NameOf(attempt.progress->framing),
                     attempt.progress->incomplete_event_bytes);
}

}  // namespace saltquay::serving
