// Tells an engine whose process ended from an engine of which only a connection broke.
//
// Protocol. The first answer that breaks at an engine asks for a check: one connection to its address. Its process has
// ended where that connection is refused and nothing that this node had under way there goes on. What the engine still
// says later than what was on its way, or a connection that it accepts, clears it. A check that says nothing (a cut
// link, an engine that is dark) proves nothing. An engine that had announced its end is not watched: its work was lost
// by plan.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/base/time.h"
#include "src/core/serving/engine_key.h"

namespace saltquay::serving {

// What a connection to an engine's address came to.
enum class EngineProbeOutcome {
  kRefused,   // Nobody listens there.
  kAccepted,  // Somebody does.
  kUnknown,   // Neither in time.
};

// An engine that ended, and the fingerprints of the requests that were at it.
struct CrashedEngine {
  std::string engine_id;
  EngineKey life;  // That ended; another may have begun under the same id.
  Time first_failure_at{};
  std::vector<std::uint64_t> requests;
};

class EngineCrashDetector {
 public:
  // An answer of that life broke; `request`: its fingerprint, 0: none. Returns whether the engine is to be checked now.
  bool RecordBrokenResponse(const std::string& engine_id, EngineKey life, std::uint64_t request, Time now);
  void RecordProbeOutcome(const std::string& engine_id, EngineProbeOutcome outcome);
  // The engine answered: a request that was sent at `sent_at`, or at `now` more of an answer.
  void NoteHeard(const std::string& engine_id, Time sent_at, Time now);
  // Engines that have ended. `has_work`: whether this node still has work under way at the engine.
  template <typename HasWork>
  std::vector<CrashedEngine> TakeCrashed(HasWork has_work, Time now) {
    std::vector<CrashedEngine> ended;
    for (auto& [id, suspect] : suspects_) {
      if (suspect.refused && !has_work(id)) ended.push_back({id, suspect.life, suspect.since, Listed(suspect)});
    }
    for (const CrashedEngine& engine : ended) suspects_.erase(engine.engine_id);
    Forget(now);
    return ended;
  }
  bool empty() const { return suspects_.empty(); }

 private:
  struct Suspect {
    EngineKey life;
    Time since{};
    bool refused = false;
    std::set<std::uint64_t> requests;
  };

  static std::vector<std::uint64_t> Listed(const Suspect& suspect);
  void Forget(Time now);

  std::map<std::string, Suspect> suspects_;  // By engine.
};

}  // namespace saltquay::serving
