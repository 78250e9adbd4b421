// Crashes of engines, and the quarantine of requests that are suspected of causing them; see engine_crash_detector.h
// and crash_ledger.h for the protocols.
#include <algorithm>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "src/core/serving/serving_core.h"

namespace saltquay::serving {
namespace {

// Maximum number of requests listed in a log line.
constexpr std::size_t kMaxLogged = 16;
constexpr int kBadGateway = 502;
constexpr std::string_view kQuarantineCause = "quarantined: engines crashed while running it";

std::string HexList(const std::vector<std::uint64_t>& fingerprints) {
  std::vector<std::string> texts;
  for (std::size_t i = 0; i < std::min(kMaxLogged, fingerprints.size()); ++i) {
    texts.push_back(fmt::format("\"{:016x}\"", fingerprints[i]));
  }
  return fmt::format("[{}]", fmt::join(texts, ","));
}

}  // namespace

void ServingCore::TrackDetachedAttempts(const Flow& flow) {
  for (const auto& [id, attempt] : flow.attempts) detached_attempts_[id] = {attempt.engine_id, flow.fingerprint};
}

void ServingCore::RecordBrokenResponse(const std::string& engine_id, std::uint64_t fingerprint) {
  const EngineState* engine = engines_.Find(engine_id);
  // An engine that was leaving or already removed exits as planned.
  if (engine == nullptr || engine->gone || engine->record.leaving) return;
  if (crash_detector_.RecordBrokenResponse(engine_id, engine->key, fingerprint, now_)) RequestProbe(*engine);
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
    Log(EventId::kEngineEnded, nullptr,
        fmt::format(R"("engine":"{}","after_ms":{},"requests":{},"fingerprints":{})", crashed.engine_id,
                    (now_ - crashed.first_failure_at).count() / 1000, crashed.requests.size(),
                    HexList(crashed.requests)));
    for (const std::uint64_t request : crashed.requests) {
      if (crashes_.RecordCrash(request, crashed.incarnation, crashed.first_failure_at, now_))
        OnCrashCountIncreased(request, "own");
    }
    // The client's next retry may reach any node before the next round of reports would.
    if (!crashed.requests.empty()) actions_->push_back(ReportCrashes{});
  }
}

void ServingCore::On(const PeerCrashesReported& event) {
  for (const std::uint64_t request : crashes_.Merge(event.marks, now_)) {
    OnCrashCountIncreased(request, "peer");
    if (crashes_.CrashCount(request) > 0) continue;
    Log(EventId::kRequestCleared, nullptr,
        fmt::format(R"("fingerprint":"{:016x}","cause":"reported by a peer")", request));
  }
}

void ServingCore::OnCrashCountIncreased(std::uint64_t fingerprint, std::string_view source) {
  const std::optional<Duration> remaining = crashes_.QuarantineRemaining(fingerprint, now_);
  if (!remaining) return;
  Log(EventId::kRequestQuarantined, nullptr,
      fmt::format(R"("fingerprint":"{:016x}","engines_ended":{},"source":"{}","for_ms":{})", fingerprint,
                  crashes_.CrashCount(fingerprint), source, remaining->count() / 1000));
  std::vector<FlowId> affected_flows;
  for (const auto& [id, flow] : flows_) {
    if (flow->fingerprint == fingerprint) affected_flows.push_back(id);
  }
  for (const FlowId id : affected_flows) TerminateQuarantined(*FindFlow(id), *remaining);
}

// A refusal promises that the request was not executed, so it is sent only if that is certain. Attempts that are queued
// at an engine are cancelled, for they would crash it.
void ServingCore::TerminateQuarantined(Flow& flow, Duration remaining) {
  if (flow.relaying) return AbortFlow(flow, kQuarantineCause);
  if (flow.executions > 0) return Fail(flow, kBadGateway, kQuarantineCause);
  Refuse(flow, kQuarantineCause, remaining);
}

// A client's retry is a new request that no engine has executed and none will, so it can be refused at once, with the
// end of the quarantine as Retry-After.
bool ServingCore::RefuseIfQuarantined(Flow& flow) {
  const std::optional<Duration> remaining = crashes_.QuarantineRemaining(flow.fingerprint, now_);
  if (!remaining) return false;
  Refuse(flow, kQuarantineCause, *remaining);
  return true;
}

void ServingCore::RecordSuccess(const Flow& flow) {
  if (!crashes_.RecordSuccess(flow.fingerprint, now_)) return;
  Log(EventId::kRequestCleared, &flow, R"("cause":"request succeeded")");
  actions_->push_back(ReportCrashes{});
}

}  // namespace saltquay::serving
