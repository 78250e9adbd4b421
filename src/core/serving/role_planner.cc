#include "src/core/serving/role_planner.h"

#include <algorithm>
#include <cmath>

namespace saltquay::serving {

double IdealPrefillEngines(const RolePlannerKnobs& knobs, const ServiceDemand& demand, int engines) {
  const double prefill = demand.prefill_engines;
  const double decode = demand.decode_engines;
  if (prefill + decode < knobs.idle_demand) return knobs.initial_prefill_share * engines;
  const double spare = engines - prefill - decode;
  if (spare <= 0) return engines * prefill / (prefill + decode);
  const double prefill_root = std::sqrt(knobs.prefill_weight * prefill);
  const double decode_root = std::sqrt(decode);
  return prefill + spare * prefill_root / (prefill_root + decode_root);
}

std::optional<EngineStage> PlanStageChange(const RolePlannerKnobs& knobs, const ServiceDemand& demand, int prefill,
                                           int decode, int known) {
  const int engines = prefill + decode;
  if (engines < 2) return std::nullopt;
  // What is out may not come back soon, but its loss must not lower what is kept.
  const int keep = std::min(std::clamp(known / 3, 1, knobs.keep), engines / 2);
  const double ideal = std::clamp(IdealPrefillEngines(knobs, demand, engines), static_cast<double>(keep),
                                  static_cast<double>(engines - keep));
  const bool idle = demand.prefill_engines + demand.decode_engines < knobs.idle_demand;
  const double calm = idle ? knobs.initial_deadband : knobs.deadband;
  const bool prefill_pressed = demand.prefill_engines > knobs.pressed_load * prefill;
  const bool decode_pressed = demand.decode_engines > knobs.pressed_load * decode;
  const double prefill_deadband = prefill_pressed && !decode_pressed ? knobs.pressed_deadband : calm;
  const double decode_deadband = decode_pressed && !prefill_pressed ? knobs.pressed_deadband : calm;
  if (prefill < keep || ideal - prefill > prefill_deadband) {
    return decode > keep ? std::optional(EngineStage::kPrefill) : std::nullopt;
  }
  if (decode < keep || prefill - ideal > decode_deadband) {
    return prefill > keep ? std::optional(EngineStage::kDecode) : std::nullopt;
  }
  return std::nullopt;
}

}  // namespace saltquay::serving
