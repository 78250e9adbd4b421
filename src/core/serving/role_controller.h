// Decides and orders stage changes of engines; see role_planner.h and
// duty_lease.h.
//
// Protocol of a change. The candidate (least name among live nodes) takes the
// lease, announces a hold on the engine so that no node sends it new work,
// waits until its queue is short or `max_hold` is over, reads its state,
// and sends one order with the engine's identity, its sequence, and the fencing
// token. Where the fleet lies in several regions, each has a plan of its own, so that a
// prompt that is read in one is answered there. Several engines of a large service may be on the way at one time. An
// order without an answer may be carried out seconds later: the engine gets no other order until
// `unanswered_order_timeout` is over.
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
  Duration startup_delay = 1500ms;  // After a start, before the first plan.
  Duration plan_interval = 250ms;
  Duration plan_log_interval = 2s;
  // Under load a change must be wanted for so long; as long as a change takes, where as many engines as are wanted are
  // only out: they may be back before.
  Duration persistence = 600ms;
  Duration cooldown = 4s;          // Between changes of one service under load.
  Duration idle_cooldown = 300ms;  // The same before any demand is known.
  Duration min_hold = 60ms;
  Duration max_hold = 900ms;
  Duration order_time = 300ms;  // To read an engine's state and order it.
  Duration unanswered_order_timeout = 14s;
  // Engines in each region from which on each has a plan of its own: with fewer, a region can hardly keep both stages.
  int min_engines_per_region = 4;
  int short_queue = 1;  // Requests at the engine that the order need not wait for.
  // Three engines in a row that ended on the way to a stage: no more are sent there for so long, then one batch at a
  // time.
  CrashLedgerParameters order_crashes{.quarantine = 30s};
};

// What an engine says of itself.
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
// Holds changed: tell the peers now.
struct AnnounceHolds {};
struct LogRole {
  EventId event = EventId::kOrderSent;
  std::string details;
};
using RoleAction = std::variant<ReadEngineState, SendStageOrder, AnnounceHolds, LogRole>;

class RoleController {
 public:
  // `lease` and `topology` outlive it; the lease's driver renews it as long as it is wanted.
  RoleController(const RoleControllerParameters& parameters, DutyLease& lease, const Topology& topology, Time started);

  // `candidate`: this node should plan now. `demand`: of all nodes.
  void OnTick(Time now, bool candidate, const ServingConfig& config, const DemandSum& demand, EngineDirectory& engines,
              std::vector<RoleAction>& actions);
  void OnEngineStateRead(Time now, const std::string& engine_id, const std::optional<EngineStateReport>& report,
                         EngineDirectory& engines, std::vector<RoleAction>& actions);
  void OnOrderAnswered(Time now, const std::string& engine_id, OrderOutcome outcome, EngineDirectory& engines,
                       std::vector<RoleAction>& actions);

  // Engines that get no new work: held for an order, or on the way to the other stage.
  std::vector<EngineHold> Holds(Time now) const;

 private:
  enum class Phase { kHolding, kReading, kOrdering };
  // Engines that are planned together.
  struct RolePool {
    std::string service;
    std::string region;  // Empty: of all regions.

    auto operator<=>(const RolePool&) const = default;
  };
  struct Change {
    Phase phase = Phase::kHolding;
    RolePool group;
    std::string engine_id;
    std::string address;
    EngineStage stage = EngineStage::kUniform;
    Duration away = 0s;
    Time began{};
  };
  // An engine that was ordered to change.
  struct Away {
    Time until{};  // When it should be back at the latest.
    EngineStage stage = EngineStage::kUniform;
    std::string service;
    bool leaves = false;  // It announced its end.
  };

  // Notes what became of an ordered change so far; returns whether it is over.
  bool IsChangeOver(const std::string& engine_id, Away& away, const EngineDirectory& engines, Time now,
                    std::vector<RoleAction>& actions);
  void Plan(Time now, const ServingConfig& config, const DemandSum& demand, EngineDirectory& engines,
            std::vector<RoleAction>& actions);
  void PlanRolePool(Time now, const Service& service, const RolePool& group, const RolePlannerParameters& planner,
                    const ServiceDemand& asked, EngineDirectory& engines, std::vector<RoleAction>& actions);
  // One for each region, or one of all.
  std::vector<RolePool> PoolsOf(const Service& service, EngineDirectory& engines) const;
  bool IsOf(const RolePool& group, const EngineState& engine) const {
    return group.region.empty() || topology_.RegionOf(engine.record.zone) == group.region;
  }
  StageCounts CountStages(Time now, EngineDirectory& engines, const RolePool& group) const;
  void BeginChanges(Time now, const Service& service, const RolePool& group, const StageChangePlan& plan,
                    EngineDirectory& engines, std::vector<RoleAction>& actions);
  const EngineState* PickEngine(EngineDirectory& engines, const RolePool& group, EngineStage from, Time now);
  void AdvanceHeldChange(Time now, Change& change, EngineDirectory& engines, std::vector<RoleAction>& actions);
  void LogPlan(Time now, const RolePool& group, const ServiceDemand& asked, const StageCounts& counts,
               std::vector<RoleAction>& actions);
  // The change that waits for an answer of this engine in that phase; nullptr where there is none.
  Change* FindChange(const std::string& engine_id, Phase phase);

  RoleControllerParameters parameters_;
  DutyLease& lease_;
  const Topology& topology_;
  Time started_;
  Time next_plan_{};
  std::map<RolePool, Time> next_plan_log_;
  std::map<std::string, Change> changes_;    // Engine -> the change that is on the way to its order.
  std::map<RolePool, Time> cooldown_until_;  // When it may change again.
  struct PendingPlan {
    EngineStage stage = EngineStage::kUniform;
    Time since{};
  };
  // Whether the plan has been the same for long enough to be carried out.
  bool HasPersisted(Time now, const Service& service, const RolePool& group, const std::optional<StageChangePlan>& plan,
                    const StageCounts& counts);

  std::map<RolePool, PendingPlan> pending_plans_;
  // The pause after an accepted order: changes cost nobody anything while nothing is asked.
  std::map<RolePool, Duration> accepted_cooldown_;
  std::map<std::string, Away> away_;  // By engine.
  // Orders to a service's stage under which engines ended: an order that ends who carries it out is not given to one
  // engine after the other.
  CrashLedger order_crashes_;
  std::map<std::string, Time> unanswered_until_;  // Engine -> when an unanswered order is surely over.
};

}  // namespace saltquay::serving
