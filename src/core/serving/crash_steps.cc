// Crashes of engines, and the quarantine of requests and prompt parts that are suspected of causing them; see
// engine_crash_detector.h and crash_ledger.h for the protocols.
#include <algorithm>
#include <set>
#include <span>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "src/base/log_stream.h"
#include "src/core/serving/serving_core.h"

namespace saltquay::serving {
namespace {

// Maximum number of requests, and of prompt parts of each, listed in a log line.
constexpr std::size_t kMaxLogged = 16;
constexpr std::size_t kMaxLoggedParts = 8;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kFirstRedirect = 300;
// Peers report the responses that they got within this time before their reports.
constexpr Duration kPeerResponseWindow = 2s;

std::string_view QuarantineCause(const CrashSubject& subject) {
  return subject.is_part() ? "quarantined: engines crashed while running prompts with one of its parts"
                           : "quarantined: engines crashed while running it";
}

// JSON members that name the subject.
std::string SubjectMembers(const CrashSubject& subject) {
  return fmt::format(R"("{}":"{:016x}")", subject.is_part() ? "part" : "fingerprint", subject.fingerprint);
}

std::string HexList(std::span<const std::uint64_t> fingerprints, std::size_t max_listed) {
  std::vector<std::string> texts;
  for (const std::uint64_t fingerprint : fingerprints.first(std::min(max_listed, fingerprints.size()))) {
    texts.push_back(fmt::format("\"{:016x}\"", fingerprint));
  }
  return fmt::format("[{}]", fmt::join(texts, ","));
}

std::vector<std::uint64_t> RequestsOf(const CrashedEngine& crashed) {
  std::set<std::uint64_t> requests;
  for (const InterruptedRun& run : crashed.runs) {
    if (run.fingerprint != 0) requests.insert(run.fingerprint);
  }
  return {requests.begin(), requests.end()};
}

// The runs with the youngest responses first: whatever crashes an engine at the start of a response is among them.
std::string RunList(std::vector<InterruptedRun> runs) {
  std::stable_sort(runs.begin(), runs.end(), [](const InterruptedRun& first, const InterruptedRun& second) {
    return first.response_age.value_or(Duration::max()) < second.response_age.value_or(Duration::max());
  });
  std::vector<std::string> texts;
  for (const InterruptedRun& run : runs) {
    if (texts.size() == kMaxLogged) break;
    const auto age_ms = run.response_age ? run.response_age->count() / 1000 : -1;
    texts.push_back(fmt::format(R"({{"request":"{}","response_age_ms":{},"parts":{}}})", EscapeJson(run.request_id),
                                age_ms, HexList(run.shared_parts, kMaxLoggedParts)));
  }
  return fmt::format("[{}]", fmt::join(texts, ","));
}

}  // namespace

void ServingCore::TrackDetachedAttempts(const Flow& flow) {
  for (const auto& [id, attempt] : flow.attempts)
    detached_attempts_[id] = {attempt.engine_id, DescribeInterruptedRun(flow, attempt)};
}

InterruptedRun ServingCore::DescribeInterruptedRun(const Flow& flow, const Attempt& attempt) const {
  InterruptedRun run;
  run.request_id = flow.metadata.request_id;
  run.fingerprint = flow.fingerprint;
  if (flow.metadata.prompt) run.shared_parts = flow.metadata.prompt->SharedPartFingerprints();
  if (attempt.head_seen) run.response_age = now_ - attempt.head_received_at;
  return run;
}

void ServingCore::RecordBrokenResponse(const std::string& engine_id, InterruptedRun run) {
  const EngineState* engine = engines_.Find(engine_id);
  // An engine that was leaving or already removed exits as planned.
  if (engine == nullptr || engine->gone || engine->record.leaving) return;
  if (crash_detector_.RecordBrokenResponse(engine_id, engine->key, std::move(run), now_)) RequestProbe(*engine);
}

void ServingCore::RecordRefusedConnection(const EngineState& engine) {
  if (engine.gone || engine.record.leaving || !recent_runs_.HasRuns(engine.key)) return;
  if (crash_detector_.RecordRefusedConnection(engine.record.id, engine.key, engine.last_response_time))
    RequestProbe(engine);
}

void ServingCore::AskPeersAbout(const EngineState& engine) {
  std::vector<PeerNode> peers = forwarding_peers_.Sample(EngineCrashDetector::kPeersAsked, random_);
  crash_detector_.RecordPeersAsked(engine.record.id, peers.size());
  if (!peers.empty()) actions_->push_back(CheckEngineAtPeers{engine.record.id, engine.key, std::move(peers)});
}

void ServingCore::On(const PeerProbedEngine& event) {
  crash_detector_.RecordPeerProbe(event.engine_id, event.engine, event.outcome);
}

// Prefers one of the same zone: partitions often concern the path to a zone.
const EngineState* ServingCore::ControlEngine(const std::string& engine_id) const {
  const auto checked = engines_.all().find(engine_id);
  const EngineState* control = nullptr;
  for (const auto& [id, engine] : engines_.all()) {
    if (id == engine_id || engine.gone || engine.record.leaving || engine.unreachable) continue;
    const bool same_zone = checked != engines_.all().end() && engine.record.zone == checked->second.record.zone;
    if (control == nullptr || same_zone) control = &engine;
    if (same_zone) break;
  }
  return control;
}

void ServingCore::HandleCrashedEngines() {
  const auto has_work = [this](const std::string& id) {
    const EngineState* engine = engines_.Find(id);
    return engine != nullptr && engine->outstanding > 0;
  };
  for (const CrashedEngine& crashed : crash_detector_.TakeCrashed(has_work, now_)) {
    const std::vector<std::uint64_t> requests = RequestsOf(crashed);
    Log(EventId::kEngineEnded, nullptr,
        fmt::format(R"("engine":"{}","after_ms":{},"requests":{},"fingerprints":{},"runs":{})", crashed.engine_id,
                    (now_ - crashed.alive_until).count() / 1000, requests.size(), HexList(requests, kMaxLogged),
                    RunList(crashed.runs)));
    BlameSubjects(RunsAtCrash(crashed), crashed.incarnation, crashed.alive_until);
  }
}

std::set<CrashSubject> ServingCore::RunsAtCrash(const CrashedEngine& crashed) {
  RecordEngineAlive(crashed.incarnation, crashed.alive_until);
  const std::vector<CrashSubject> recent = recent_runs_.TakeUnsurvived(crashed.incarnation, crashed.alive_until);
  std::set<CrashSubject> subjects(recent.begin(), recent.end());
  for (const InterruptedRun& run : crashed.runs) {
    if (run.fingerprint != 0) subjects.insert(CrashSubject::Request(run.fingerprint));
    if (run.response_age && *run.response_age >= parameters_.crash_delay) continue;
    for (const std::uint64_t part : run.shared_parts) subjects.insert(CrashSubject::PromptPart(part));
  }
  return subjects;
}

void ServingCore::BlameSubjects(const std::set<CrashSubject>& subjects, EngineKey engine, Time crashed_at) {
  for (const CrashSubject& subject : subjects) {
    if (crashes_.RecordCrash(subject, engine, crashed_at, now_)) OnCrashCountIncreased(subject, "own");
  }
  // The client's next retry may reach any node before the next round of reports would.
  if (!subjects.empty()) actions_->push_back(ReportCrashes{});
}

void ServingCore::BlameOwnRuns(const std::vector<CrashMark>& marks) {
  for (const CrashMark& mark : marks) {
    if (!mark.names_crash()) continue;
    crash_detector_.RecordReportedCrash(mark.engine);
    const Time crashed_at = now_ - mark.age;
    const std::vector<CrashSubject> recent = recent_runs_.TakeUnsurvived(mark.engine, crashed_at);
    BlameSubjects({recent.begin(), recent.end()}, mark.engine, crashed_at);
  }
}

void ServingCore::On(const PeerCrashesReported& event) {
  BlameOwnRuns(event.marks);
  for (const CrashSubject& subject : crashes_.Merge(event.marks, now_)) {
    OnCrashCountIncreased(subject, "peer");
    if (crashes_.CrashCount(subject) > 0) continue;
    Log(EventId::kRequestCleared, nullptr, fmt::format(R"({},"cause":"reported by a peer")", SubjectMembers(subject)));
  }
}

std::vector<CrashSubject> ServingCore::SubjectsOf(const Flow& flow) {
  std::vector<CrashSubject> subjects = {CrashSubject::Request(flow.fingerprint)};
  if (!flow.metadata.prompt) return subjects;
  for (const std::uint64_t part : flow.metadata.prompt->SharedPartFingerprints())
    subjects.push_back(CrashSubject::PromptPart(part));
  return subjects;
}

void ServingCore::OnCrashCountIncreased(const CrashSubject& subject, std::string_view source) {
  const std::optional<Duration> remaining = crashes_.QuarantineRemaining(subject, now_);
  if (!remaining) return;
  Log(EventId::kRequestQuarantined, nullptr,
      fmt::format(R"({},"engines_ended":{},"source":"{}","for_ms":{})", SubjectMembers(subject),
                  crashes_.CrashCount(subject), source, remaining->count() / 1000));
  std::vector<FlowId> affected_flows;
  for (const auto& [id, flow] : flows_) {
    const std::vector<CrashSubject> subjects = SubjectsOf(*flow);
    if (std::find(subjects.begin(), subjects.end(), subject) != subjects.end()) affected_flows.push_back(id);
  }
  for (const FlowId id : affected_flows) TerminateQuarantined(*FindFlow(id), subject, *remaining);
}

// A refusal promises that the request was not executed, so it is sent only if that is certain. Attempts that are queued
// at an engine are cancelled, for they would crash it. A response that has begun goes on: it shows within moments
// whether the parts of its prompt are harmless.
void ServingCore::TerminateQuarantined(Flow& flow, const CrashSubject& subject, Duration remaining) {
  const bool has_begun =
      std::any_of(flow.attempts.begin(), flow.attempts.end(), [](const auto& entry) { return entry.second.head_seen; });
  if (subject.is_part() && has_begun) return;
  const std::string_view cause = QuarantineCause(subject);
  if (flow.relaying) return AbortFlow(flow, cause);
  if (flow.executions > 0) return Fail(flow, kBadGateway, cause);
  Refuse(flow, kUnavailable, cause, remaining, "," + SubjectMembers(subject));
}

// A client's retry is a new request that no engine has executed and none will, so it can be refused at once, with the
// end of the quarantine as Retry-After.
bool ServingCore::StopIfQuarantined(Flow& flow) {
  for (const CrashSubject& subject : SubjectsOf(flow)) {
    const std::optional<Duration> remaining = crashes_.QuarantineRemaining(subject, now_);
    if (!remaining) continue;
    TerminateQuarantined(flow, subject, *remaining);
    return true;
  }
  return false;
}

void ServingCore::RecordResponseBegun(const Flow& flow, const Attempt& attempt) {
  const bool responds = attempt.response_head.status < kFirstRedirect && attempt.response_head.signed_by_engine;
  const bool decodes = attempt.mode == AttemptMode::kWhole || attempt.mode == AttemptMode::kContinue;
  if (!responds || !decodes) return;
  std::vector<CrashSubject> parts = SubjectsOf(flow);
  std::erase_if(parts, [](const CrashSubject& subject) { return !subject.is_part(); });
  recent_runs_.Add(attempt.engine_key, std::move(parts), now_);
}

void ServingCore::RecordCompletion(const Flow& flow, const Attempt& attempt) {
  if (attempt.mode == AttemptMode::kForward) return;  // The peer does it.
  recent_runs_.Add(attempt.engine_key, {CrashSubject::Request(flow.fingerprint)}, now_);
  const bool end_is_certain = attempt.progress && attempt.progress->framing != ResponseFraming::kConnectionEnd;
  // The rest of a stream may be shorter than the time after which a part crashes the engine.
  const bool is_resumed = flow.executions > 1 || !flow.metadata.last_event_id.empty();
  if (!end_is_certain || is_resumed || !flow.metadata.prompt) return;
  for (const std::uint64_t part : flow.metadata.prompt->SharedPartFingerprints())
    crashes_.RecordPartCompletion(part, now_);
}

void ServingCore::RecordEngineAlive(const EngineKey& engine, Time alive_at) {
  bool cleared = false;
  for (const CrashSubject& subject : recent_runs_.TakeSurvived(engine, alive_at)) {
    if (!crashes_.RecordSuccess(subject, now_)) continue;
    cleared = true;
    Log(EventId::kRequestCleared, nullptr,
        fmt::format(R"({},"cause":"an engine survived it")", SubjectMembers(subject)));
  }
  if (cleared) actions_->push_back(ReportCrashes{});
}

void ServingCore::RecordEnginesAlive(const PeersChanged& event) {
  const Time alive_at = now_ - event.age - kPeerResponseWindow;
  for (const EngineKey& engine : recent_runs_.EnginesWithRunsBefore(alive_at)) {
    const auto work = event.work.find(engine);
    if (work != event.work.end() && work->second.response_count > 0) RecordEngineAlive(engine, alive_at);
  }
}

}  // namespace saltquay::serving
