#include "src/core/serving/role_planner.h"

#include <algorithm>
#include <cmath>

namespace saltquay::serving {

double InitialPrefillShare(const RolePlannerParameters& parameters, int places) {
  if (places <= 0 || places >= parameters.initial_share_slots) return parameters.initial_prefill_share;
  const double reading = parameters.initial_prefill_share * places;
  const double answering = (1 - parameters.initial_prefill_share) * parameters.initial_share_slots;
  return reading / (reading + answering);
}

double IdealPrefillEngines(const RolePlannerParameters& parameters, const ServiceDemand& demand, int engines,
                           int places) {
  const double prefill = demand.prefill_engines;
  const double decode = demand.decode_engines;
  if (parameters.IsIdle(demand)) return InitialPrefillShare(parameters, places) * engines;
  const double spare = engines - prefill - decode;
  if (spare <= 0) return engines * prefill / (prefill + decode);
  const double prefill_root = std::sqrt(parameters.prefill_weight * prefill);
  const double decode_root = std::sqrt(decode);
  return prefill + spare * prefill_root / (prefill_root + decode_root);
}

namespace {

// Of `serving` engines of the other stage, how many should change for a gap of
// so many engines beyond the deadband.
int EnginesToChange(double gap, int serving, int keep, int allowed) {
  const int wanted = 1 + static_cast<int>(std::max(0.0, gap));
  return std::min({wanted, serving - keep, allowed});
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
  // A stage without any engine cannot wait for the changes before.
  const int allowed = empty_stage ? 1 : MaxConcurrentChanges(parameters, idle, counts.known) - changing;
  if (allowed <= 0) return std::nullopt;
  // What is out may not come back soon, but its loss must not lower what is kept.
  const int keep = std::min(std::clamp(counts.known / 3, 1, parameters.keep), serving / 2);
  const int engines = serving + changing;
  const int prefill = counts.prefill + counts.to_prefill;
  const double ideal = std::clamp(IdealPrefillEngines(parameters, demand, engines, counts.places),
                                  static_cast<double>(keep), static_cast<double>(engines - keep));
  const double calm = idle ? parameters.initial_deadband : parameters.deadband;
  const bool prefill_pressed = demand.prefill_engines > parameters.saturated_load * counts.prefill;
  const bool decode_pressed = demand.decode_engines > parameters.saturated_load * counts.decode;
  const double prefill_deadband = prefill_pressed && !decode_pressed ? parameters.saturated_deadband : calm;
  const double decode_deadband = decode_pressed && !prefill_pressed ? parameters.saturated_deadband : calm;
  const double to_prefill = ideal - prefill - prefill_deadband;
  const double to_decode = prefill - ideal - decode_deadband;
  StageChangePlan plan;
  if (counts.prefill < keep || to_prefill > 0) {
    plan = {EngineStage::kPrefill, EnginesToChange(to_prefill, counts.decode, keep, allowed)};
  } else if (counts.decode < keep || to_decode > 0) {
    plan = {EngineStage::kDecode, EnginesToChange(to_decode, counts.prefill, keep, allowed)};
  }
  return plan.engines > 0 ? std::optional(plan) : std::nullopt;
}

}  // namespace saltquay::serving
