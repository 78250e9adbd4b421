#include "src/core/serving/role_controller.h"

#include <algorithm>
#include <tuple>

#include <fmt/format.h>

namespace saltquay::serving {
namespace {

std::string_view StageName(EngineStage stage) {
  if (stage == EngineStage::kPrefill) return "prefill";
  return stage == EngineStage::kDecode ? "decode" : "uniform";
}

// Identifies orders to a service's stage in the crash ledger.
CrashSubject SubjectOf(const std::string& service, EngineStage stage) {
  return {CrashSubjectKind::kStageOrder, HashPair(HashText(service), static_cast<std::uint64_t>(stage) + 1)};
}

EngineStage OtherStage(EngineStage stage) {
  return stage == EngineStage::kPrefill ? EngineStage::kDecode : EngineStage::kPrefill;
}

}  // namespace

RoleController::RoleController(const RoleControllerParameters& parameters, DutyLease& lease, const Topology& topology,
                               Time started)
    : parameters_(parameters),
      lease_(lease),
      topology_(topology),
      started_(started),
      order_crashes_(parameters.order_crashes) {}

void RoleController::OnTick(Time now, bool candidate, const ServingConfig& config, const DemandSum& demand,
                            EngineDirectory& engines, std::vector<RoleAction>& actions) {
  // The change is over when the engine's record shows the new stage.
  for (auto entry = ordered_changes_.begin(); entry != ordered_changes_.end();) {
    const bool is_over = CheckChangeProgress(entry->first, entry->second, engines, now, actions);
    entry = is_over ? ordered_changes_.erase(entry) : std::next(entry);
  }
  std::vector<std::string> held;
  for (const auto& [engine_id, change] : changes_) {
    if (change.phase == Phase::kHolding) held.push_back(engine_id);
  }
  for (const std::string& engine_id : held) AdvanceHeldChange(now, changes_.at(engine_id), engines, actions);
  if (!candidate || now < started_ + parameters_.startup_delay || now < next_plan_) return;
  next_plan_ = now + parameters_.plan_interval;
  Plan(now, config, demand, engines, actions);
}

bool RoleController::CheckChangeProgress(const std::string& engine_id, OrderedChange& ordered,
                                         const EngineDirectory& engines, Time now, std::vector<RoleAction>& actions) {
  const auto known = engines.all().find(engine_id);
  const bool is_gone = known == engines.all().end() || known->second.gone;
  if (is_gone && !ordered.was_leaving) {
    const CrashSubject order = SubjectOf(ordered.service, ordered.stage);
    order_crashes_.RecordCrash(order, engine_id, now, now);
    actions.push_back(LogRole{EventId::kEngineEnded,
                              fmt::format(R"("engine":"{}","ordered_to":"{}","ends_under_the_order":{},"paused":{})",
                                          engine_id, StageName(ordered.stage), order_crashes_.CrashCount(order),
                                          order_crashes_.QuarantineRemaining(order, now).has_value())});
  }
  if (is_gone) return true;
  ordered.was_leaving = ordered.was_leaving || known->second.record.leaving;
  if (known->second.changing_until == Time{}) {
    order_crashes_.RecordSuccess(SubjectOf(ordered.service, ordered.stage), now);
    return true;
  }
  return now >= ordered.until;
}

void RoleController::Plan(Time now, const ServingConfig& config, const DemandSum& demand, EngineDirectory& engines,
                          std::vector<RoleAction>& actions) {
  for (const Service& service : config.services) {
    if (!service.language) continue;
    const std::vector<RolePool> pools = PoolsOf(service, engines);
    // The minimum number of engines per stage is shared by all regions: a region that lacks a stage uses the others'.
    RolePlannerParameters planner = parameters_.planner;
    const auto regions = static_cast<int>(pools.size());
    planner.min_per_stage = (planner.min_per_stage + regions - 1) / regions;
    for (const RolePool& pool : pools) {
      PlanRolePool(now, service, pool, planner, demand.Of(service.name, pool.region), engines, actions);
    }
  }
}

std::vector<RoleController::RolePool> RoleController::PoolsOf(const Service& service, EngineDirectory& engines) const {
  const RolePool whole{service.name, ""};
  if (!topology_.HasMultipleRegions()) return {whole};
  std::map<std::string, int> in_region;
  engines.ForEachServing(
      service.name, [&](EngineState& engine) { ++in_region[std::string(topology_.RegionOf(engine.record.zone))]; });
  std::vector<RolePool> pools;
  for (const auto& [region, count] : in_region) {
    if (count < parameters_.min_engines_per_region) return {whole};
    pools.push_back({service.name, region});
  }
  return pools.size() > 1 ? pools : std::vector<RolePool>{whole};
}

void RoleController::PlanRolePool(Time now, const Service& service, const RolePool& pool,
                                  const RolePlannerParameters& planner, const ServiceDemand& pool_demand,
                                  EngineDirectory& engines, std::vector<RoleAction>& actions) {
  StageCounts counts = CountStages(now, engines, pool);
  counts.slots_per_engine = service.language ? service.language->slots : 0;
  counts.nodes = nodes_;
  const bool idle = planner.IsIdle(pool_demand);
  accepted_cooldown_[pool] = idle ? parameters_.idle_cooldown : parameters_.cooldown;
  LogPlan(now, pool, pool_demand, counts, actions);
  if (IsGrowing(now, pool, counts.known) && idle) return;
  const bool empty_stage = (counts.prefill == 0) != (counts.decode == 0);
  const std::optional<StageChangePlan> plan = PlanStageChange(planner, pool_demand, counts);
  if (idle) pending_plans_.erase(pool);
  const bool persists = idle || HasPersisted(now, service, pool, plan, counts);
  if (!empty_stage && now < cooldown_until_[pool]) return;
  if (plan && order_crashes_.QuarantineRemaining(SubjectOf(service.name, plan->stage), now)) return;
  if (!plan || PickEngine(engines, pool, OtherStage(plan->stage), now) == nullptr) return;
  if (!lease_.IsHeldFor(now, parameters_.order_time)) return lease_.Want(now);
  if (persists) BeginChanges(now, service, pool, *plan, engines, actions);
}

bool RoleController::IsGrowing(Time now, const RolePool& pool, int engines) {
  PoolSize& size = pool_sizes_[pool];
  if (engines > size.engines) size.grew_at = now;
  size.engines = engines;
  return now - size.grew_at < parameters_.idle_settle_time;
}

bool RoleController::HasPersisted(Time now, const Service& service, const RolePool& pool,
                                  const std::optional<StageChangePlan>& plan, const StageCounts& counts) {
  if (!plan) {
    pending_plans_.erase(pool);
    return false;
  }
  PendingPlan& pending_plan = pending_plans_[pool];
  if (pending_plan.stage != plan->stage) pending_plan = {plan->stage, now};
  // Ejected engines that return would fill the gap as well, and sooner than engines changed now.
  const int ejected = plan->stage == EngineStage::kPrefill ? counts.prefill_ejected : counts.decode_ejected;
  const Duration needed = ejected >= plan->engines ? service.language->role_change : parameters_.persistence;
  return now - pending_plan.since >= needed;
}

StageCounts RoleController::CountStages(Time now, EngineDirectory& engines, const RolePool& pool) const {
  StageCounts counts;
  engines.ForEachServing(pool.service, [&](EngineState& engine) {
    if (!IsInPool(pool, engine)) return;
    ++counts.known;
    const auto change = changes_.find(engine.record.id);
    const auto ordered = ordered_changes_.find(engine.record.id);
    const bool changing = now < engine.changing_until;
    if (change != changes_.end() || changing) {
      EngineStage stage = OtherStage(engine.record.stage);
      if (change != changes_.end()) stage = change->second.stage;
      if (ordered != ordered_changes_.end()) stage = ordered->second.stage;
      ++(stage == EngineStage::kPrefill ? counts.to_prefill : counts.to_decode);
      return;
    }
    // An ejected engine serves no requests, and one that limits them serves few, so it must not count towards the
    // minimum.
    const bool ejected = now < std::max(engine.ejected_until, engine.rests_until) || engine.rate_limit;
    if (engine.record.stage == EngineStage::kPrefill) ++(ejected ? counts.prefill_ejected : counts.prefill);
    if (engine.record.stage == EngineStage::kDecode) ++(ejected ? counts.decode_ejected : counts.decode);
  });
  return counts;
}

void RoleController::BeginChanges(Time now, const Service& service, const RolePool& pool, const StageChangePlan& plan,
                                  EngineDirectory& engines, std::vector<RoleAction>& actions) {
  for (int i = 0; i < plan.engines; ++i) {
    const EngineState* engine = PickEngine(engines, pool, OtherStage(plan.stage), now);
    if (engine == nullptr) break;
    const std::string& id = engine->record.id;
    changes_[id] =
        Change{Phase::kHolding, pool, id, engine->record.address, plan.stage, service.language->role_change, now};
    actions.push_back(LogRole{EventId::kEngineDraining, fmt::format(R"("engine":"{}","stage":"{}","planned":{})", id,
                                                                    StageName(plan.stage), plan.engines)});
  }
  actions.push_back(AnnounceHolds{});
}

void RoleController::LogPlan(Time now, const RolePool& pool, const ServiceDemand& pool_demand,
                             const StageCounts& counts, std::vector<RoleAction>& actions) {
  Time& next = next_plan_log_[pool];
  if (now < next) return;
  next = now + parameters_.plan_log_interval;
  const double ideal =
      IdealPrefillEngines(parameters_.planner, pool_demand, counts.prefill + counts.decode, counts.slots_per_engine);
  actions.push_back(LogRole{
      EventId::kRolePlan,
      fmt::format(
          R"("service":"{}","region":"{}","prefill":{},"decode":{},"prefill_demand":{:.2f},"decode_demand":{:.2f},"ideal":{:.1f},)"
          R"("to_prefill":{},"to_decode":{})",
          pool.service, pool.region, counts.prefill, counts.decode, pool_demand.prefill_engines,
          pool_demand.decode_engines, ideal, counts.to_prefill, counts.to_decode)});
}

// Chooses the engine with the least work, from a zone with the most engines of the stage. The last decode engine of a
// software version comes last: streams that it began can go on nowhere else.
const EngineState* RoleController::PickEngine(EngineDirectory& engines, const RolePool& pool, EngineStage from,
                                              Time now) {
  const auto fits = [&](const EngineState& engine) {
    const bool busy = changes_.contains(engine.record.id) || now < engine.changing_until;
    return engine.record.stage == from && !busy && IsInPool(pool, engine);
  };
  std::map<std::string, int> in_zone;
  std::map<std::string, int> of_version;
  engines.ForEachServing(pool.service, [&](EngineState& engine) {
    if (!fits(engine)) return;
    ++in_zone[engine.record.zone];
    ++of_version[engine.record.software_version];
  });
  const auto rank = [&](const EngineState& engine) {
    const bool last_of_version = from == EngineStage::kDecode && of_version[engine.record.software_version] == 1;
    return std::tuple(last_of_version, -in_zone[engine.record.zone], engine.outstanding + engine.peers_outstanding);
  };
  const EngineState* best = nullptr;
  engines.ForEachServing(pool.service, [&](EngineState& engine) {
    const auto unknown_order = unknown_order_until_.find(engine.record.id);
    const bool has_unknown_order = unknown_order != unknown_order_until_.end() && now < unknown_order->second;
    const bool out_of_service = now < std::max(engine.ejected_until, engine.rests_until) || engine.rate_limit;
    if (!fits(engine) || out_of_service || has_unknown_order) return;
    if (best == nullptr || rank(engine) < rank(*best)) best = &engine;
  });
  return best;
}

void RoleController::AdvanceHeldChange(Time now, Change& change, EngineDirectory& engines,
                                       std::vector<RoleAction>& actions) {
  const std::string engine_id = change.engine_id;
  const EngineState* engine = engines.Find(engine_id);
  if (engine == nullptr || engine->gone || engine->record.leaving) {
    changes_.erase(engine_id);
    return;
  }
  const int work = engine->outstanding + engine->peers_outstanding;
  const bool short_queue = work <= parameters_.short_queue && now >= change.started_at + parameters_.min_hold;
  if (!short_queue && now < change.started_at + parameters_.max_hold) return;
  if (!lease_.IsHeldFor(now, parameters_.order_time)) {
    if (now < change.started_at + parameters_.max_hold * 2) return lease_.Want(now);
    changes_.erase(engine_id);  // Another node holds the lease by now.
    return;
  }
  change.phase = Phase::kReading;
  actions.push_back(ReadEngineState{engine_id, change.address});
}

void RoleController::OnEngineStateRead(Time now, const std::string& engine_id,
                                       const std::optional<EngineStateReport>& report, EngineDirectory& /*engines*/,
                                       std::vector<RoleAction>& actions) {
  Change* change = FindChange(engine_id, Phase::kReading);
  if (change == nullptr) return;
  // The lease may have expired since the state was requested.
  const bool can_order = report && !report->busy && report->stage != change->stage && lease_.IsHeldFor(now);
  if (!can_order) {
    cooldown_until_[change->pool] = now + parameters_.idle_cooldown;
    changes_.erase(engine_id);
    return;
  }
  change->phase = Phase::kOrdering;
  actions.push_back(SendStageOrder{engine_id, change->address, change->stage, lease_.token(), report->sequence});
  actions.push_back(
      LogRole{EventId::kOrderSent, fmt::format(R"("engine":"{}","stage":"{}","token":{},"sequence":{})", engine_id,
                                               StageName(change->stage), lease_.token(), report->sequence)});
}

void RoleController::OnOrderResponse(Time now, const std::string& engine_id, OrderOutcome outcome,
                                     EngineDirectory& engines, std::vector<RoleAction>& actions) {
  const Change* change = FindChange(engine_id, Phase::kOrdering);
  if (change == nullptr) return;
  // Time for running requests to finish; the engine's record shows when they have.
  constexpr Duration kDrainTime = 15s;
  if (outcome == OrderOutcome::kAccepted || outcome == OrderOutcome::kUnknown) {
    const Time until = now + change->duration + kDrainTime;
    ordered_changes_[engine_id] = OrderedChange{until, change->stage, change->pool.service};
    if (EngineState* engine = engines.Find(engine_id)) engine->changing_until = until;
    cooldown_until_[change->pool] = now + accepted_cooldown_[change->pool];
  } else {
    cooldown_until_[change->pool] = now + parameters_.idle_cooldown;
  }
  if (outcome == OrderOutcome::kUnknown) unknown_order_until_[engine_id] = now + parameters_.unknown_order_timeout;
  if (outcome == OrderOutcome::kFenced) lease_.OnFenced();
  actions.push_back(LogRole{EventId::kOrderAnswered,
                            fmt::format(R"("engine":"{}","outcome":{})", engine_id, static_cast<int>(outcome))});
  changes_.erase(engine_id);
  actions.push_back(AnnounceHolds{});
}

std::vector<EngineHold> RoleController::Holds(Time now) const {
  constexpr Duration kHoldTime = 1500ms;
  std::vector<EngineHold> holds;
  for (const auto& [engine_id, change] : changes_) holds.push_back({engine_id, kHoldTime});
  for (const auto& [engine_id, ordered] : ordered_changes_) {
    if (ordered.until > now) holds.push_back({engine_id, ordered.until - now});
  }
  return holds;
}

RoleController::Change* RoleController::FindChange(const std::string& engine_id, Phase phase) {
  const auto entry = changes_.find(engine_id);
  return entry == changes_.end() || entry->second.phase != phase ? nullptr : &entry->second;
}

}  // namespace saltquay::serving
