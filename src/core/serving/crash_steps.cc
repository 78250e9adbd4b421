// Engines that ended while they ran requests, and requests that are kept from engines for it; see
// engine_crash_detector.h and crash_ledger.h for the protocols.
#include <algorithm>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "src/core/serving/serving_core.h"

namespace saltquay::serving {
namespace {

// A log line names so many requests at most.
constexpr std::size_t kMostLogged = 16;
constexpr int kBadGateway = 502;
constexpr std::string_view kQuarantined = "engines ended under it";

std::string HexList(const std::vector<std::uint64_t>& fingerprints) {
  std::vector<std::string> texts;
  for (std::size_t i = 0; i < std::min(kMostLogged, fingerprints.size()); ++i) {
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
  // Who had announced its end, or had gone before, ends by plan.
  if (engine == nullptr || engine->gone || engine->record.leaving) return;
  const bool check = crash_detector_.RecordBrokenResponse(engine_id, engine->key, fingerprint, now_);
  if (check) actions_->push_back(ProbeEngine{engine_id, engine->record.address});
}

void ServingCore::On(const EngineProbed& event) { crash_detector_.RecordProbeOutcome(event.engine_id, event.outcome); }

void ServingCore::HandleCrashedEngines() {
  const auto has_work = [this](const std::string& id) {
    const EngineState* engine = engines_.Find(id);
    return engine != nullptr && engine->outstanding > 0;
  };
  for (const CrashedEngine& ended : crash_detector_.TakeCrashed(has_work, now_)) {
    Log(EventId::kEngineEnded, nullptr,
        fmt::format(R"("engine":"{}","after_ms":{},"requests":{},"fingerprints":{})", ended.engine_id,
                    (now_ - ended.first_failure_at).count() / 1000, ended.requests.size(), HexList(ended.requests)));
    for (const std::uint64_t request : ended.requests) {
      if (crashes_.RecordCrash(request, ended.life, ended.first_failure_at, now_))
        OnCrashCountIncreased(request, "own");
    }
    // The next repeat may reach any node: what a round of reports takes is too long for it.
    if (!ended.requests.empty()) actions_->push_back(ReportCrashes{});
  }
}

void ServingCore::On(const PeerCrashesReported& event) {
  for (const std::uint64_t request : crashes_.Merge(event.marks, now_)) {
    OnCrashCountIncreased(request, "peer");
    if (crashes_.Ends(request) > 0) continue;
    Log(EventId::kRequestCleared, nullptr, fmt::format(R"("fingerprint":"{:016x}","cause":"a peer says so")", request));
  }
}

void ServingCore::OnCrashCountIncreased(std::uint64_t fingerprint, std::string_view source) {
  const std::optional<Duration> left = crashes_.QuarantineRemaining(fingerprint, now_);
  if (!left) return;
  Log(EventId::kRequestQuarantined, nullptr,
      fmt::format(R"("fingerprint":"{:016x}","engines_ended":{},"source":"{}","for_ms":{})", fingerprint,
                  crashes_.Ends(fingerprint), source, left->count() / 1000));
  std::vector<FlowId> under_way;
  for (const auto& [id, flow] : flows_) {
    if (flow->fingerprint == fingerprint) under_way.push_back(id);
  }
  for (const FlowId id : under_way) TerminateQuarantined(*FindFlow(id), *left);
}

// Only what has not run may be promised not to; an attempt that waits at an engine would end it.
void ServingCore::TerminateQuarantined(Flow& flow, Duration left) {
  if (flow.relaying) return AbortFlow(flow, kQuarantined);
  if (flow.runs > 0) return Fail(flow, kBadGateway, kQuarantined);
  Refuse(flow, kQuarantined, left);
}

// Each repeat of the caller is a new request that no engine has run, and none will: a refusal says so at once, and when
// it is worth coming back.
bool ServingCore::RefuseIfQuarantined(Flow& flow) {
  const std::optional<Duration> left = crashes_.QuarantineRemaining(flow.fingerprint, now_);
  if (!left) return false;
  Refuse(flow, kQuarantined, *left);
  return true;
}

void ServingCore::NoteServed(const Flow& flow) {
  if (!crashes_.NoteServed(flow.fingerprint, now_)) return;
  Log(EventId::kRequestCleared, &flow, R"("cause":"a run ended well")");
  actions_->push_back(ReportCrashes{});
}

}  // namespace saltquay::serving
