// Plans stage changes of engines and orders them; see role_planner.h and duty_lease.h.
//
// Protocol of a change. The candidate (lowest name among live nodes) acquires the lease, announces a hold on the engine
// so that no node sends it new requests, waits until its queue is short or `max_hold` has passed, reads its state, and
// sends one order with the engine's identity, its sequence and the fencing token. If the fleet spans several regions,
// each is planned separately, so that prompts are decoded in the region of their prefill. Several engines of a large
// service may change at once. An order without a response may still be carried out seconds later, so the engine
// receives no other order until `unknown_order_timeout` has passed.
#pragma once

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/base/event_catalogue.h"
#include "src/core/serving/crash_ledger.h"
#include "src/core/serving/demand_sum.h"
#include "src/core/serving/duty_lease.h"
#include "src/core/serving/peer_table.h"
#include "src/core/serving/role_planner.h"
#include "src/core/serving/serving_config.h"
#include "src/core/serving/topology.h"

namespace saltquay::serving {

struct RoleControllerParameters {
  RolePlannerParameters planner;
  Duration startup_delay = 1500ms;  // Delay of the first plan after startup.
  Duration plan_interval = 250ms;
  Duration plan_log_interval = 2s;
  // Under load a change must be planned for this long before it starts. If as many engines as are needed are only
  // ejected, it must be planned for the duration of a change, because they may return sooner.
  Duration persistence = 600ms;
  Duration cooldown = 4s;          // Between changes of one service under load.
  Duration idle_cooldown = 300ms;  // The same while there is no demand.
  // While there is no demand, nothing is changed until no engine has been added for this long: a starting fleet
  // registers its engines over seconds, and a split of the first of them says nothing about the whole.
  Duration idle_settle_time = 1s;
  Duration min_hold = 60ms;
  Duration max_hold = 900ms;
  Duration order_time = 300ms;  // Time to read an engine's state and to order its change.
  Duration unknown_order_timeout = 14s;
  // Minimum number of engines in every region for planning regions separately. With fewer, a region can hardly keep
  // both stages.
  int min_engines_per_region = 4;
  int short_queue = 1;  // Requests in flight on the engine that an order need not wait for.
  // After three consecutive crashes of engines that were ordered to a stage, no engine is sent there for this long,
  // then one batch at a time.
  CrashLedgerParameters order_crashes{.quarantine = 30s};
};

// State reported by an engine.
struct EngineStateReport {
  EngineStage stage = EngineStage::kUniform;
  bool busy = false;
  std::int64_t sequence = 0;
};

enum class OrderOutcome { kAccepted, kConflict, kFenced, kRefused, kUnknown };

struct ReadEngineState {
  std::string engine_id;
  std::string address;
};
struct SendStageOrder {
  std::string engine_id;
  std::string address;
  EngineStage stage = EngineStage::kUniform;
  std::int64_t fencing_token = 0;
  std::int64_t expected_sequence = 0;
};
// The holds changed and should be reported to the peers now.
struct AnnounceHolds {};
struct LogRole {
  EventId event = EventId::kOrderSent;
  std::string details;
};
using RoleAction = std::variant<ReadEngineState, SendStageOrder, AnnounceHolds, LogRole>;

class RoleController {
 public:
  // `lease` and `topology` must outlive the object. The lease's driver renews it as long as it is requested.
  RoleController(const RoleControllerParameters& parameters, DutyLease& lease, const Topology& topology, Time started);

  // Number of nodes of the fleet, for the demand that is assumed until it is measured; unlimited if never set.
  void set_nodes(int nodes) { nodes_ = nodes; }
  // `candidate`: whether this node should plan now. `demand`: of all nodes.
  void OnTick(Time now, bool candidate, const ServingConfig& config, const DemandSum& demand, EngineDirectory& engines,
              std::vector<RoleAction>& actions);
  void OnEngineStateRead(Time now, const std::string& engine_id, const std::optional<EngineStateReport>& report,
                         EngineDirectory& engines, std::vector<RoleAction>& actions);
  void OnOrderResponse(Time now, const std::string& engine_id, OrderOutcome outcome, EngineDirectory& engines,
                       std::vector<RoleAction>& actions);

  // Engines that receive no new requests: held for an order, or changing stage.
  std::vector<EngineHold> Holds(Time now) const;

 private:
  enum class Phase { kHolding, kReading, kOrdering };
  // Engines that are planned together.
  struct RolePool {
    std::string service;
    std::string region;  // Empty: all regions.

    auto operator<=>(const RolePool&) const = default;
  };
  struct Change {
    Phase phase = Phase::kHolding;
    RolePool pool;
    std::string engine_id;
    std::string address;
    EngineStage stage = EngineStage::kUniform;
    Duration duration = 0s;
    Time started_at{};
  };
  // An engine that was ordered to change.
  struct OrderedChange {
    Time until{};  // Latest time at which it should be back.
    EngineStage stage = EngineStage::kUniform;
    std::string service;
    bool was_leaving = false;  // The engine announced that it is leaving.
  };

  // Checks the progress of an ordered change; returns whether it is over.
  bool CheckChangeProgress(const std::string& engine_id, OrderedChange& ordered, const EngineDirectory& engines,
                           Time now, std::vector<RoleAction>& actions);
  void Plan(Time now, const ServingConfig& config, const DemandSum& demand, EngineDirectory& engines,
            std::vector<RoleAction>& actions);
  void PlanRolePool(Time now, const Service& service, const RolePool& pool, const RolePlannerParameters& planner,
                    const ServiceDemand& pool_demand, EngineDirectory& engines, std::vector<RoleAction>& actions);
  // One pool per region, or one for all regions.
  std::vector<RolePool> PoolsOf(const Service& service, EngineDirectory& engines) const;
  bool IsInPool(const RolePool& pool, const EngineState& engine) const {
    return pool.region.empty() || topology_.RegionOf(engine.record.zone) == pool.region;
  }
  StageCounts CountStages(Time now, EngineDirectory& engines, const RolePool& pool) const;
  // Whether engines have been added to the pool lately.
  bool IsGrowing(Time now, const RolePool& pool, int engines);
  void BeginChanges(Time now, const Service& service, const RolePool& pool, const StageChangePlan& plan,
                    EngineDirectory& engines, std::vector<RoleAction>& actions);
  const EngineState* PickEngine(EngineDirectory& engines, const RolePool& pool, EngineStage from, Time now);
  void AdvanceHeldChange(Time now, Change& change, EngineDirectory& engines, std::vector<RoleAction>& actions);
  void LogPlan(Time now, const RolePool& pool, const ServiceDemand& pool_demand, const StageCounts& counts,
               std::vector<RoleAction>& actions);
  // The engine's change in that phase, waiting for a response; nullptr if there is none.
  Change* FindChange(const std::string& engine_id, Phase phase);

  RoleControllerParameters parameters_;
  DutyLease& lease_;
  const Topology& topology_;
  Time started_;
  int nodes_ = 0;
  Time next_plan_{};
  std::map<RolePool, Time> next_plan_log_;
  struct PoolSize {
    int engines = 0;
    Time grew_at{};
  };
  std::map<RolePool, PoolSize> pool_sizes_;
  std::map<std::string, Change> changes_;    // By engine: the change that has not been ordered yet.
  std::map<RolePool, Time> cooldown_until_;  // When the pool may change again.
  struct PendingPlan {
    EngineStage stage = EngineStage::kUniform;
    Time since{};
  };
  // Whether the plan has stayed the same for long enough to be carried out.
  bool HasPersisted(Time now, const Service& service, const RolePool& pool, const std::optional<StageChangePlan>& plan,
                    const StageCounts& counts);

  std::map<RolePool, PendingPlan> pending_plans_;
  // Pause after an accepted order. While there is no demand, changes cost nothing.
  std::map<RolePool, Duration> accepted_cooldown_;
  std::map<std::string, OrderedChange> ordered_changes_;  // By engine.
  // Orders to a service's stage during which engines crashed. An order that crashes engines must not be given to one
  // engine after the other.
  CrashLedger order_crashes_;
  // By engine: when an order with unknown outcome can no longer take effect.
  std::map<std::string, Time> unknown_order_until_;
};

}  // namespace saltquay::serving
