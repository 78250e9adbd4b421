#include "src/core/serving/role_controller.h"

#include <algorithm>

#include <fmt/format.h>

namespace saltquay::serving {
namespace {

std::string_view StageName(EngineStage stage) {
  if (stage == EngineStage::kPrefill) return "prefill";
  return stage == EngineStage::kDecode ? "decode" : "uniform";
}

EngineStage OtherStage(EngineStage stage) {
  return stage == EngineStage::kPrefill ? EngineStage::kDecode : EngineStage::kPrefill;
}

}  // namespace

RoleController::RoleController(const RoleControllerKnobs& knobs, const std::string& node, std::uint64_t seed,
                               Time started)
    : knobs_(knobs), lease_(node, knobs.lease, seed), started_(started) {}

void RoleController::OnTick(Time now, bool candidate, const ServingConfig& config,
                            const std::map<std::string, ServiceDemand>& demand, EngineDirectory& engines,
                            std::vector<RoleAction>& actions) {
  // A record that shows the new stage ends the wait for it.
  std::erase_if(away_until_, [&](const auto& entry) {
    const EngineState* engine = engines.Find(entry.first);
    return now >= entry.second || engine == nullptr || engine->changing_until == Time{};
  });
  if (phase_ == Phase::kHolding) return ContinueHold(now, engines, actions);
  if (phase_ != Phase::kIdle || !candidate) return;
  if (now < started_ + knobs_.settle_in || now < next_plan_) return;
  next_plan_ = now + knobs_.plan_interval;
  Plan(now, config, demand, engines, actions);
}

void RoleController::Plan(Time now, const ServingConfig& config, const std::map<std::string, ServiceDemand>& demand,
                          EngineDirectory& engines, std::vector<RoleAction>& actions) {
  for (const Service& service : config.services) {
    if (!service.language) continue;
    const auto known = demand.find(service.name);
    const ServiceDemand asked = known == demand.end() ? ServiceDemand{service.name, 0, 0} : known->second;
    int prefill = 0;
    int decode = 0;
    int known_engines = 0;
    bool changing = false;
    engines.ForEachServing(service.name, [&](EngineState& engine) {
      changing = changing || now < engine.changing_until;
      ++known_engines;
      // One that is out serves nobody: it must not count as what is kept.
      if (now < std::max(engine.ejected_until, engine.changing_until)) return;
      if (engine.record.stage == EngineStage::kPrefill) ++prefill;
      if (engine.record.stage == EngineStage::kDecode) ++decode;
    });
    LogPlan(now, asked, prefill, decode, changing, actions);
    // A stage without any engine cannot wait for the change before.
    const bool empty_stage = (prefill == 0) != (decode == 0);
    if (!empty_stage && (changing || now < cooled_at_[service.name])) continue;
    const std::optional<EngineStage> stage = PlanStageChange(knobs_.planner, asked, prefill, decode, known_engines);
    if (!stage) continue;
    const EngineState* engine = PickEngine(engines, service.name, OtherStage(*stage), now);
    if (engine == nullptr) continue;
    if (!lease_.MayOrder(now, knobs_.order_time)) return StepLease(now, actions);
    change_ =
        Change{service.name, engine->record.id, engine->record.address, *stage, service.language->role_change, now};
    phase_ = Phase::kHolding;
    actions.push_back(AnnounceHolds{});
    actions.push_back(
        LogRole{EventId::kEngineDraining,
                fmt::format(R"("engine":"{}","stage":"{}","prefill":{},"decode":{},"prefill_demand":{:.2f},)"
                            R"("decode_demand":{:.2f})",
                            change_.engine_id, StageName(*stage), prefill, decode, asked.prefill_engines,
                            asked.decode_engines)});
    return;
  }
}

void RoleController::LogPlan(Time now, const ServiceDemand& asked, int prefill, int decode, bool changing,
                             std::vector<RoleAction>& actions) {
  if (now < next_plan_log_) return;
  next_plan_log_ = now + knobs_.plan_log_interval;
  const double ideal = IdealPrefillEngines(knobs_.planner, asked, prefill + decode);
  actions.push_back(LogRole{
      EventId::kRolePlan,
      fmt::format(
          R"("service":"{}","prefill":{},"decode":{},"prefill_demand":{:.2f},"decode_demand":{:.2f},"ideal":{:.1f},)"
          R"("changing":{})",
          asked.service, prefill, decode, asked.prefill_engines, asked.decode_engines, ideal, changing)});
}

void RoleController::StepLease(Time now, std::vector<RoleAction>& actions) {
  const LeaseStep step = lease_.Next(now, knobs_.order_time);
  if (step == LeaseStep::kRead) actions.push_back(ReadLease{});
  if (step == LeaseStep::kWrite) actions.push_back(WriteLease{lease_.draft()});
}

// The engine with the least work, in a zone that has most engines of the stage.
const EngineState* RoleController::PickEngine(EngineDirectory& engines, const std::string& service, EngineStage from,
                                              Time now) {
  std::map<std::string, int> in_zone;
  engines.ForEachServing(service, [&](EngineState& engine) {
    if (engine.record.stage == from) ++in_zone[engine.record.zone];
  });
  const EngineState* best = nullptr;
  const auto work = [](const EngineState& engine) { return engine.outstanding + engine.peers_outstanding; };
  engines.ForEachServing(service, [&](EngineState& engine) {
    const auto settled = settled_at_.find(engine.record.id);
    const bool unsettled = settled != settled_at_.end() && now < settled->second;
    if (engine.record.stage != from || now < engine.ejected_until || unsettled) return;
    if (best == nullptr) {
      best = &engine;
      return;
    }
    const int zone_gain = in_zone[engine.record.zone] - in_zone[best->record.zone];
    if (zone_gain > 0 || (zone_gain == 0 && work(engine) < work(*best))) best = &engine;
  });
  return best;
}

void RoleController::ContinueHold(Time now, EngineDirectory& engines, std::vector<RoleAction>& actions) {
  const EngineState* engine = engines.Find(change_.engine_id);
  if (engine == nullptr || engine->gone || engine->record.leaving) return EndChange();
  const int work = engine->outstanding + engine->peers_outstanding;
  const bool short_queue = work <= knobs_.short_queue && now >= change_.began + knobs_.shortest_hold;
  if (!short_queue && now < change_.began + knobs_.longest_hold) return;
  if (!lease_.MayOrder(now, knobs_.order_time)) {
    if (now < change_.began + knobs_.longest_hold * 2) return StepLease(now, actions);
    return EndChange();  // The lease is another node's by now.
  }
  phase_ = Phase::kReading;
  actions.push_back(ReadEngineState{change_.engine_id, change_.address});
}

void RoleController::OnEngineState(Time now, const std::string& engine_id,
                                   const std::optional<EngineStateReport>& report, EngineDirectory& /*engines*/,
                                   std::vector<RoleAction>& actions) {
  if (phase_ != Phase::kReading || engine_id != change_.engine_id) return;
  // Between the reading and the order the lease may have run out.
  const bool fit = report && !report->busy && report->stage != change_.stage && lease_.MayOrder(now);
  if (!fit) {
    cooled_at_[change_.service] = now + knobs_.idle_cooldown;
    return EndChange();
  }
  phase_ = Phase::kOrdering;
  actions.push_back(
      SendStageOrder{change_.engine_id, change_.address, change_.stage, lease_.token(), report->sequence});
  actions.push_back(LogRole{EventId::kOrderSent,
                            fmt::format(R"("engine":"{}","stage":"{}","token":{},"sequence":{})", change_.engine_id,
                                        StageName(change_.stage), lease_.token(), report->sequence)});
}

void RoleController::OnOrderAnswered(Time now, const std::string& engine_id, OrderOutcome outcome,
                                     EngineDirectory& engines, std::vector<RoleAction>& actions) {
  if (phase_ != Phase::kOrdering || engine_id != change_.engine_id) return;
  constexpr Duration kDrainTime = 3s;  // For what runs there; the record tells when it is over.
  if (outcome == OrderOutcome::kAccepted || outcome == OrderOutcome::kUnknown) {
    away_until_[engine_id] = now + change_.away + kDrainTime;
    if (EngineState* engine = engines.Find(engine_id)) engine->changing_until = away_until_[engine_id];
    cooled_at_[change_.service] = now + knobs_.cooldown;
  } else {
    cooled_at_[change_.service] = now + knobs_.idle_cooldown;
  }
  if (outcome == OrderOutcome::kUnknown) settled_at_[engine_id] = now + knobs_.order_settle;
  if (outcome == OrderOutcome::kFenced) lease_.OnFenced();
  actions.push_back(LogRole{EventId::kOrderAnswered,
                            fmt::format(R"("engine":"{}","outcome":{})", engine_id, static_cast<int>(outcome))});
  EndChange();
  actions.push_back(AnnounceHolds{});
}

std::vector<EngineHold> RoleController::Holds(Time now) const {
  constexpr Duration kHoldTime = 1500ms;
  std::vector<EngineHold> holds;
  if (phase_ != Phase::kIdle) holds.push_back({change_.engine_id, kHoldTime});
  for (const auto& [engine_id, until] : away_until_) {
    if (until > now) holds.push_back({engine_id, until - now});
  }
  return holds;
}

void RoleController::EndChange() {
  phase_ = Phase::kIdle;
  change_ = Change{};
}

}  // namespace saltquay::serving
