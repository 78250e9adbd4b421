// How many of a service's engines should read prompts (prefill) rather than
// answer (decode).
//
// With demands P and D (engines kept busy) and N engines, spare capacity is
// shared in proportion to the square roots of the weighted demands: that split
// minimises the sum of the two queues' waits, w * P / (p - P) + D / (N - p - D).
// An engine is moved only when the ideal split is further away than a deadband.
#pragma once

#include <optional>

#include "src/base/time.h"
#include "src/core/serving/engine_directory.h"
#include "src/core/serving/peer_table.h"

namespace saltquay::serving {

struct RolePlannerParameters {
  double initial_prefill_share = 0.67;  // Before any demand is known, where an engine has
  int initial_share_slots = 18;         // so many places or more; with fewer, more engines have to answer.
  double prefill_weight = 2.0;          // Waiting to be read delays the first event more.
  double idle_demand = 0.15;            // Below it (both together) demand is not known.
  double initial_deadband = 0.6;        // Engines between the present and the ideal split, before demand is known.
  double deadband = 1.4;                // The same under load: a change costs seconds of an engine.
  double saturated_deadband = 0.8;      // The same where the stage that would gain is nearly always busy.
  double saturated_load = 0.85;         // Demand for each engine of a stage, from where it is.
  int keep = 3;                         // Of each stage, or a third where there are fewer.
  double change_share = 0.08;           // Of a service's engines that may be changing at one time under load,
  double idle_change_share = 0.34;      // and before any demand is known. One engine always may.

  bool IsIdle(const ServiceDemand& demand) const {
    return demand.prefill_engines + demand.decode_engines < idle_demand;
  }
};

// A service's engines by stage.
struct StageCounts {
  int prefill = 0;  // That serve.
  int decode = 0;
  int to_prefill = 0;  // On the way to that stage: held for the change, or away.
  int to_decode = 0;
  int known = 0;  // All of these, and those that are out.
  int prefill_out = 0;
  int decode_out = 0;
  int places = 0;  // Requests that one of the engines runs at once; 0: not known.
};

struct StageChangePlan {
  EngineStage stage = EngineStage::kUniform;  // That more engines should take.
  int engines = 0;
};

// Returns the share of the engines that should read before any demand is known. An engine with few places answers as
// many times fewer requests at once, but reads as fast: more of them have to answer.
double InitialPrefillShare(const RolePlannerParameters& parameters, int places);

// Returns the ideal number of prefill engines of `engines`, as a fraction.
double IdealPrefillEngines(const RolePlannerParameters& parameters, const ServiceDemand& demand, int engines,
                           int places = 0);

// Returns the changes that should begin now, or nothing. A small service
// changes one engine at a time; a large one several, so that the split follows
// a shift of the mix as fast as in a small one.
std::optional<StageChangePlan> PlanStageChange(const RolePlannerParameters& parameters, const ServiceDemand& demand,
                                               const StageCounts& counts);

}  // namespace saltquay::serving
