#include "src/core/serving/engine_crash_detector.h"

namespace saltquay::serving {
namespace {

// Data that an engine sent before it crashed is read within a few iterations of the event loop.
constexpr Duration kInFlightTolerance = 20ms;
// Longer than a probe takes, and the connections of other work take to fail.
constexpr Duration kSuspicionTimeout = 5s;

}  // namespace

bool EngineCrashDetector::RecordBrokenResponse(const std::string& engine_id, EngineKey incarnation,
                                               std::uint64_t request, Time now) {
  const auto [entry, is_new] = suspects_.try_emplace(engine_id);
  if (is_new) {
    entry->second.incarnation = incarnation;
    entry->second.since = now;
  }
  if (request != 0) entry->second.requests.insert(request);
  return is_new;
}

void EngineCrashDetector::RecordProbeOutcome(const std::string& engine_id, EngineProbeOutcome outcome) {
  const auto suspect = suspects_.find(engine_id);
  if (suspect == suspects_.end()) return;
  if (outcome == EngineProbeOutcome::kRefused) {
    suspect->second.refused = true;
  } else {
    suspects_.erase(suspect);
  }
}

void EngineCrashDetector::RecordActivity(const std::string& engine_id, Time sent_at, Time now) {
  const auto suspect = suspects_.find(engine_id);
  if (suspect == suspects_.end()) return;
  if (sent_at > suspect->second.since || now > suspect->second.since + kInFlightTolerance) suspects_.erase(suspect);
}

std::vector<std::uint64_t> EngineCrashDetector::RequestsOf(const Suspect& suspect) {
  return {suspect.requests.begin(), suspect.requests.end()};
}

void EngineCrashDetector::ForgetExpired(Time now) {
  std::erase_if(suspects_, [&](const auto& entry) { return now - entry.second.since > kSuspicionTimeout; });
}

}  // namespace saltquay::serving
