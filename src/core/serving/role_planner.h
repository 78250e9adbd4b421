// Plans how many of a service's engines serve prefill rather than decode.
//
// With demands P and D (engines kept busy) and N engines, spare capacity is divided in proportion to the square roots
// of the weighted demands. This split minimises the sum of the waiting times of both queues, w * P / (p - P) + D / (N -
// p - D). An engine is moved only if the ideal split is further away than a deadband, and only while the move saves a
// minimum of waiting: beyond P + sqrt(w * P / saving) engines (square-root staffing) a stage gains nothing from more
// engines, so a service with much spare capacity is left alone whatever its split and size.
#pragma once

#include <optional>

#include "src/base/time.h"
#include "src/core/serving/engine_directory.h"
#include "src/core/serving/peer_table.h"

namespace saltquay::serving {

struct RolePlannerParameters {
  double initial_prefill_share = 0.67;  // While there is no demand, if an engine has at least
  int initial_share_slots = 18;         // this many slots; with fewer, more decode engines are needed.
  double prefill_weight = 2.0;          // Waiting for prefill adds more to the time to first token.
  double idle_demand = 0.15;            // Below this total there is no usable demand.
  double initial_deadband = 0.6;        // Engines between the current and the ideal split, while there is no demand.
  double deadband = 1.4;                // The same under load: a change takes an engine out of service for seconds.
  double saturated_deadband = 0.8;      // The same if the stage that would gain engines is saturated.
  double saturated_load = 0.85;         // Demand per engine from which a stage counts as saturated.
  int min_per_stage = 3;                // Minimum per stage, or a third of the engines if that is fewer.
  double change_share = 0.08;           // Share of a service's engines that may change at once under load,
  double idle_change_share = 0.34;      // and while there is no demand. One engine always may.
  double min_saving = 0.001;            // Waiting requests, on average, that a change of one engine has to save.
  // Demand on each stage, in engines per node, that is assumed until it is measured.
  double assumed_demand_per_node = 0.1;

  bool IsIdle(const ServiceDemand& demand) const {
    return demand.prefill_engines + demand.decode_engines < idle_demand;
  }
};

// A service's engines by stage.
struct StageCounts {
  int prefill = 0;  // Engines in service.
  int decode = 0;
  int to_prefill = 0;  // Engines held for a change to that stage, or changing.
  int to_decode = 0;
  int known = 0;  // All of these and the ejected ones.
  int prefill_ejected = 0;
  int decode_ejected = 0;
  int slots_per_engine = 0;  // Slots per engine; 0: unknown.
  int nodes = 0;             // Nodes that send requests to the engines; 0: unknown.
};

struct StageChangePlan {
  EngineStage stage = EngineStage::kUniform;  // The stage that should gain engines.
  int engines = 0;
};

// Returns the share of prefill engines while there is no demand. An engine with few slots decodes proportionally fewer
// requests at once, but its prefill is as fast, so more decode engines are needed.
double InitialPrefillShare(const RolePlannerParameters& parameters, int slots_per_engine);

// Returns the ideal number of prefill engines of `engines`, as a fraction.
double IdealPrefillEngines(const RolePlannerParameters& parameters, const ServiceDemand& demand, int engines,
                           int slots_per_engine = 0);

// Returns the changes to start now, if any. A small service changes one engine at a time; a large one changes several,
// so that its split follows a shift of the workload as fast as in a small one.
std::optional<StageChangePlan> PlanStageChange(const RolePlannerParameters& parameters, const ServiceDemand& demand,
                                               const StageCounts& counts);

}  // namespace saltquay::serving
