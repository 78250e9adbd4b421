// Decides when an engine should change its role.
//
// For each split pool the planner compares the engine-seconds of prefill and
// decode work offered in a second with the engines in each role. It proposes
// one change when the work served over the horizon would grow by clearly more
// than the seconds that the engine is out of service, within the bundle's
// bounds, and so that a zone with two engines or more keeps a decode engine.
// Cooldowns, the threshold, and a higher one for turning back soon are the
// hysteresis.
//
// Pure decisions over its inputs and its own memory of past changes. Not
// thread-safe; owned by OrderExecutor.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/core/bundle/bundle.h"
#include "src/core/context.h"

namespace saltquay {

// Work offered to a pool, engine-seconds a second.
struct PoolDemand {
  double prefill = 0;
  double decode = 0;
};

// An engine of the pool as the planner sees it.
struct PlannedEngine {
  EngineId engine;
  ZoneId zone;
  EngineRole role = EngineRole::kWhole;
  double streams = 0;     // Fewer make a cheaper change.
  bool changing = false;  // To `role`; not to be picked again.
};

struct RoleChange {
  EngineId engine;
  EngineRole role = EngineRole::kWhole;
  double gain = 0;  // Engine-seconds over the horizon.
  double cost = 0;
};

class RolePlanner {
 public:
  // Returns the change worth making now, if any.
  std::optional<RoleChange> Plan(const NodeContext& context, const PoolDeclaration& pool, const PoolDemand& demand,
                                 const std::vector<PlannedEngine>& engines);
  // A change was begun; starts the cooldowns.
  void NoteChange(const NodeContext& context, const std::string& pool, EngineId engine, EngineRole role);

 private:
  bool Cooling(const NodeContext& context, const std::string& pool, EngineId engine) const;
  std::optional<EngineId> PickEngine(const NodeContext& context, const PoolDeclaration& pool, EngineRole from,
                                     const std::vector<PlannedEngine>& engines) const;

  // Gain over cost that a change to `to` must show now: more for turning back.
  double Threshold(const NodeContext& context, const std::string& pool, EngineRole to) const;

  struct PoolChange {
    Time at{};
    EngineRole role = EngineRole::kWhole;
  };

  std::map<std::string, PoolChange> last_change_;
  std::map<EngineId, Time> engine_changed_at_;
};

// Engine-seconds a second that `demands` ask of `pool`, which serves the model
// with identity `model`. `between_tokens`: the tightest class's limit.
PoolDemand ComputePoolDemand(const PoolDeclaration& pool, std::uint32_t model, Duration between_tokens,
                             const std::vector<ModelDemand>& demands);

// Work served a second, in engine-seconds, with these numbers of engines.
double ServedWork(const PoolDemand& demand, double prefill_engines, double decode_engines);

}  // namespace saltquay
