#include "src/core/serving/role_planner.h"

#include <algorithm>
#include <cmath>

namespace saltquay::serving {

double InitialPrefillShare(const RolePlannerParameters& parameters, int slots_per_engine) {
  if (slots_per_engine <= 0 || slots_per_engine >= parameters.initial_share_slots)
    return parameters.initial_prefill_share;
  const double prefill_ratio = parameters.initial_prefill_share * slots_per_engine;
  const double decode_ratio = (1 - parameters.initial_prefill_share) * parameters.initial_share_slots;
  return prefill_ratio / (prefill_ratio + decode_ratio);
}

double IdealPrefillEngines(const RolePlannerParameters& parameters, const ServiceDemand& demand, int engines,
                           int slots_per_engine) {
  const double prefill = demand.prefill_engines;
  const double decode = demand.decode_engines;
  if (parameters.IsIdle(demand)) return InitialPrefillShare(parameters, slots_per_engine) * engines;
  const double spare = engines - prefill - decode;
  if (spare <= 0) return engines * prefill / (prefill + decode);
  const double prefill_root = std::sqrt(parameters.prefill_weight * prefill);
  const double decode_root = std::sqrt(decode);
  return prefill + spare * prefill_root / (prefill_root + decode_root);
}

namespace {

// How many of the `serving` engines of the other stage should change, for a gap of this many engines beyond the
// deadband.
int EnginesToChange(double gap, int serving, int min_per_stage, int allowed) {
  const int wanted = 1 + static_cast<int>(std::max(0.0, gap));
  return std::min({wanted, serving - min_per_stage, allowed});
}

// The number of engines of a stage beyond which one more saves less waiting than `min_saving`.
double SufficientEngines(double demand, double weight, double min_saving) {
  return demand + std::sqrt(weight * demand / min_saving);
}

// The ideal split, with each stage limited to the engines that still save waiting.
struct StageTargets {
  double prefill = 0;
  double decode = 0;
};

StageTargets TargetsOf(const RolePlannerParameters& parameters, const ServiceDemand& demand, const StageCounts& counts,
                       int engines, int min_per_stage) {
  const double ideal = std::clamp(IdealPrefillEngines(parameters, demand, engines, counts.slots_per_engine),
                                  static_cast<double>(min_per_stage), static_cast<double>(engines - min_per_stage));
  StageTargets targets{ideal, engines - ideal};
  const bool idle = parameters.IsIdle(demand);
  if (idle && counts.nodes == 0) return targets;
  const double assumed = parameters.assumed_demand_per_node * counts.nodes;
  const double prefill_demand = idle ? assumed : demand.prefill_engines;
  const double decode_demand = idle ? assumed : demand.decode_engines;
  targets.prefill =
      std::min(targets.prefill, SufficientEngines(prefill_demand, parameters.prefill_weight, parameters.min_saving));
  targets.decode = std::min(targets.decode, SufficientEngines(decode_demand, 1, parameters.min_saving));
  return targets;
}

int MaxConcurrentChanges(const RolePlannerParameters& parameters, bool idle, int known) {
  const double share = idle ? parameters.idle_change_share : parameters.change_share;
  return std::max(1, static_cast<int>(share * known));
}

}  // namespace

std::optional<StageChangePlan> PlanStageChange(const RolePlannerParameters& parameters, const ServiceDemand& demand,
                                               const StageCounts& counts) {
  const int serving = counts.prefill + counts.decode;
  if (serving < 2) return std::nullopt;
  const bool idle = parameters.IsIdle(demand);
  const bool empty_stage = (counts.prefill == 0) != (counts.decode == 0);
  const int changing = counts.to_prefill + counts.to_decode;
  // A stage without engines cannot wait for changes in progress.
  const int allowed = empty_stage ? 1 : MaxConcurrentChanges(parameters, idle, counts.known) - changing;
  if (allowed <= 0) return std::nullopt;
  // Ejected engines may not return soon, but losing them must not lower the minimum.
  const int min_per_stage = std::min(std::clamp(counts.known / 3, 1, parameters.min_per_stage), serving / 2);
  const int engines = serving + changing;
  const int prefill = counts.prefill + counts.to_prefill;
  const StageTargets targets = TargetsOf(parameters, demand, counts, engines, min_per_stage);
  const double normal_deadband = idle ? parameters.initial_deadband : parameters.deadband;
  const bool prefill_saturated = demand.prefill_engines > parameters.saturated_load * counts.prefill;
  const bool decode_saturated = demand.decode_engines > parameters.saturated_load * counts.decode;
  const double prefill_deadband =
      prefill_saturated && !decode_saturated ? parameters.saturated_deadband : normal_deadband;
  const double decode_deadband =
      decode_saturated && !prefill_saturated ? parameters.saturated_deadband : normal_deadband;
  const double to_prefill = targets.prefill - prefill - prefill_deadband;
  const double to_decode = targets.decode - (engines - prefill) - decode_deadband;
  StageChangePlan plan;
  if (counts.prefill < min_per_stage || to_prefill > 0) {
    plan = {EngineStage::kPrefill, EnginesToChange(to_prefill, counts.decode, min_per_stage, allowed)};
  } else if (counts.decode < min_per_stage || to_decode > 0) {
    plan = {EngineStage::kDecode, EnginesToChange(to_decode, counts.prefill, min_per_stage, allowed)};
  }
  return plan.engines > 0 ? std::optional(plan) : std::nullopt;
}

}  // namespace saltquay::serving
