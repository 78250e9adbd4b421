// Checkers for the nine points that must always hold. They watch engines,
// callers and operators from outside the core and know what truly happened.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/base/ids.h"
#include "src/base/time.h"
#include "src/core/types.h"

namespace saltquay {

// The users' points, in their order.
enum class Invariant : std::uint8_t {
  kNoConflictingOrders,
  kNoCutByPlannedChange,
  kNoOrderWithoutAuthority,
  kWholeOwnAnswer,
  kNotRunIsTrue,
  kAtMostOnce,
  kLeavingGetsNoWork,
  kPlannedStopCutsNothing,
  kBundleInForceAndNeverReverts,
};
inline constexpr int kInvariantCount = 9;

// A short name, such as "at_most_once".
const char* InvariantName(Invariant invariant);

struct Violation {
  Invariant invariant = Invariant::kNoConflictingOrders;
  Time at{};
  std::string details;
};

// A request as callers know it: the same across submissions of one key.
struct WorkId {
  std::uint64_t prompt_hash = 0;
  auto operator<=>(const WorkId&) const = default;
};

class Truth {
 public:
  void Report(Invariant invariant, Time at, std::string details);

  // ---- Engines --------------------------------------------------------------
  // Work truly began. `sent_at`: when its node sent the attempt.
  void OnWorkStarted(Time at, WorkId work, bool repeatable, const AttemptId& attempt, BootId boot, Time sent_at);
  void OnPlannedCut(Time at, EngineId engine, const AttemptId& attempt);
  void OnConflictingOrder(Time at, EngineId engine);
  // An engine accepted an order of a leader. `sender_holds`: the sender still
  // holds the lease by its own clock, or is dead and nobody has taken over.
  void OnOrderAccepted(Time at, EngineId engine, const FenceToken& token, bool sender_holds);
  // A node obtained the lease.
  void OnLeaseAcquired(const FenceToken& token);

  // ---- Callers --------------------------------------------------------------
  void OnNotRun(Time at, WorkId work);
  void OnAnswer(Time at, WorkId work, bool right_text, bool whole);

  const std::vector<Violation>& violations() const { return violations_; }
  std::vector<std::uint64_t> CountsByInvariant() const;

 private:
  struct Work {
    std::uint32_t starts = 0;
    bool told_not_run = false;
    Time not_run_at{};
  };

  std::map<WorkId, Work> works_;
  FenceToken highest_lease_;
  std::vector<Violation> violations_;
};

}  // namespace saltquay
