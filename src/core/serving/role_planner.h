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

struct RolePlannerKnobs {
  double initial_prefill_share = 0.67;  // Before any demand is known.
  double prefill_weight = 2.0;          // Waiting to be read delays the first event more.
  double idle_demand = 0.15;            // Below it (both together) demand is not known.
  double initial_deadband = 0.6;        // Engines between the present and the ideal split, before demand is known.
  double deadband = 1.4;                // The same under load: a change costs seconds of an engine.
  double pressed_deadband = 0.8;        // The same where the stage that would gain is nearly always busy.
  double pressed_load = 0.85;           // Demand for each engine of a stage, from where it is.
  int keep = 3;                         // Of each stage, or a third where there are fewer.
};

// Returns the ideal number of prefill engines of `engines`, as a fraction.
double IdealPrefillEngines(const RolePlannerKnobs& knobs, const ServiceDemand& demand, int engines);

// Returns the stage that one more engine should take, or nothing. `prefill` and
// `decode` count engines that serve; `known` counts those that are out, too.
std::optional<EngineStage> PlanStageChange(const RolePlannerKnobs& knobs, const ServiceDemand& demand, int prefill,
                                           int decode, int known);

}  // namespace saltquay::serving
