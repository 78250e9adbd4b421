#include "src/core/serving/engine_crash_detector.h"

#include <algorithm>
#include <utility>

namespace saltquay::serving {
namespace {

// Data that an engine sent before it crashed is read within a few iterations of the event loop.
constexpr Duration kInFlightTolerance = 20ms;
// Longer than the platform takes to remove the record of an engine that sends no more heartbeats.
constexpr Duration kSuspicionTimeout = 8s;
// Besides this node.
constexpr std::size_t kRequiredPeers = 2;

}  // namespace

bool EngineCrashDetector::RecordBrokenResponse(const std::string& engine_id, EngineKey incarnation, InterruptedRun run,
                                               Time now) {
  const auto [entry, is_new] = suspects_.try_emplace(engine_id);
  if (is_new) {
    entry->second.incarnation = incarnation;
    entry->second.since = now;
  }
  entry->second.runs.push_back(std::move(run));
  return is_new;
}

bool EngineCrashDetector::RecordRefusedConnection(const std::string& engine_id, EngineKey incarnation,
                                                  Time last_response) {
  const auto [entry, is_new] = suspects_.try_emplace(engine_id);
  if (!is_new) return false;
  entry->second.incarnation = incarnation;
  entry->second.since = last_response;
  return true;
}

bool EngineCrashDetector::RecordProbeOutcome(const std::string& engine_id, EngineProbeOutcome outcome) {
  const auto suspect = suspects_.find(engine_id);
  if (suspect == suspects_.end()) return false;
  if (outcome != EngineProbeOutcome::kRefused) {
    suspects_.erase(suspect);
    return false;
  }
  return !std::exchange(suspect->second.refused, true);
}

void EngineCrashDetector::RecordPeersAsked(const std::string& engine_id, std::size_t count) {
  const auto suspect = suspects_.find(engine_id);
  if (suspect != suspects_.end()) suspect->second.peers_awaited = count;
}

void EngineCrashDetector::RecordPeerProbe(const std::string& engine_id, EngineKey incarnation,
                                          std::optional<EngineProbeOutcome> outcome) {
  const auto entry = suspects_.find(engine_id);
  if (entry == suspects_.end() || entry->second.incarnation != incarnation) return;
  Suspect& suspect = entry->second;
  if (suspect.peers_awaited > 0) --suspect.peers_awaited;
  if (outcome) ++suspect.peers_responded;
  if (outcome == EngineProbeOutcome::kRefused) ++suspect.peers_refused;
  if (outcome == EngineProbeOutcome::kAccepted) suspects_.erase(entry);
}

void EngineCrashDetector::RecordReportedCrash(EngineKey incarnation) {
  for (auto& [id, suspect] : suspects_) {
    if (suspect.incarnation == incarnation) suspect.reported = true;
  }
}

void EngineCrashDetector::RecordRemoval(const std::string& engine_id) {
  const auto suspect = suspects_.find(engine_id);
  if (suspect != suspects_.end()) suspect->second.removed = suspect->second.records_reliable;
}

void EngineCrashDetector::RecordStoreLost() {
  for (auto& [id, suspect] : suspects_) suspect.records_reliable = false;
}

void EngineCrashDetector::RecordActivity(const std::string& engine_id, Time sent_at, Time now) {
  const auto suspect = suspects_.find(engine_id);
  if (suspect == suspects_.end()) return;
  if (sent_at > suspect->second.since || now > suspect->second.since + kInFlightTolerance) suspects_.erase(suspect);
}

bool EngineCrashDetector::IsConfirmed(const Suspect& suspect) {
  if (!suspect.refused) return false;
  const bool peers_agree = suspect.peers_awaited == 0 && suspect.peers_responded > 0 &&
                           suspect.peers_refused >= std::min(kRequiredPeers, suspect.peers_responded);
  return peers_agree || suspect.removed || suspect.reported;
}

void EngineCrashDetector::ForgetExpired(Time now) {
  std::erase_if(suspects_, [&](const auto& entry) { return now - entry.second.since > kSuspicionTimeout; });
}

}  // namespace saltquay::serving
