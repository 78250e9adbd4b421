// Distinguishes an engine whose process crashed from one of which only a connection broke.
//
// Protocol. The first response of an engine that is interrupted triggers a probe: one connection to its address. The
// process is taken to have crashed if that connection is refused and none of this node's other work there makes
// progress. Anything that the engine sends, other than data already in flight, or an accepted connection clears it. A
// probe without result (network partition, unresponsive engine) proves nothing. An engine that announced its shutdown
// is not probed: its work was lost as planned.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/base/time.h"
#include "src/core/serving/engine_key.h"

namespace saltquay::serving {

// The result of a connection attempt to an engine's address.
enum class EngineProbeOutcome {
  kRefused,   // No process is listening.
  kAccepted,  // A process is listening.
  kUnknown,   // Neither before the timeout.
};

// A crashed engine and the fingerprints of the requests that were running there.
struct CrashedEngine {
  std::string engine_id;
  EngineKey incarnation;  // The incarnation that crashed; another one may have started under the same id.
  Time first_failure_at{};
  std::vector<std::uint64_t> requests;
};

class EngineCrashDetector {
 public:
  // A response of this incarnation was interrupted; `request`: its fingerprint, 0 if unknown. Returns whether to probe
  // the engine now.
  bool RecordBrokenResponse(const std::string& engine_id, EngineKey incarnation, std::uint64_t request, Time now);
  void RecordProbeOutcome(const std::string& engine_id, EngineProbeOutcome outcome);
  // The engine responded to a request sent at `sent_at`, or sent more of a response at `now`.
  void RecordActivity(const std::string& engine_id, Time sent_at, Time now);
  // Removes and returns the engines that have crashed. `has_work`: whether this node has work in flight at an engine.
  template <typename HasWork>
  std::vector<CrashedEngine> TakeCrashed(HasWork has_work, Time now) {
    std::vector<CrashedEngine> crashed;
    for (auto& [id, suspect] : suspects_) {
      if (suspect.refused && !has_work(id))
        crashed.push_back({id, suspect.incarnation, suspect.since, RequestsOf(suspect)});
    }
    for (const CrashedEngine& engine : crashed) suspects_.erase(engine.engine_id);
    ForgetExpired(now);
    return crashed;
  }
  bool empty() const { return suspects_.empty(); }

 private:
  struct Suspect {
    EngineKey incarnation;
    Time since{};
    bool refused = false;
    std::set<std::uint64_t> requests;
  };

  static std::vector<std::uint64_t> RequestsOf(const Suspect& suspect);
  void ForgetExpired(Time now);

  std::map<std::string, Suspect> suspects_;  // By engine.
};

}  // namespace saltquay::serving
