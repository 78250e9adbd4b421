#include "saltquay/duties/capacity_controller.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace saltquay::duties {

namespace {

EnginesByZone count_engines(serving::EngineDirectory const& engines, serving::Service const& service)
{
    EnginesByZone counts;
    for (auto const& [zone, price] : service.scaling->zone_prices)
        counts[zone] = {};
    for (auto const& [id, engine] : engines.all()) {
        auto const& record = engine.record;
        if (record.service != service.name || engine.gone || record.leaving)
            continue;
        auto& count = counts[record.zone];
        ++(record.spot ? count.spot : count.ordinary);
    }
    return counts;
}

int spot_total(EnginesByZone const& zones)
{
    auto sum = 0;
    for (auto const& [zone, engines] : zones)
        sum += engines.spot;
    return sum;
}

int total(EnginesByZone const& zones)
{
    auto sum = 0;
    for (auto const& [zone, engines] : zones)
        sum += engines.all();
    return sum;
}

}

void CapacityController::step(Time now, bool holds, std::int64_t lease_token, serving::ServingConfig const& config,
    std::map<std::string, serving::ServiceDemand> const& demand, serving::EngineDirectory const& engines,
    std::vector<CapacityAction>& actions)
{
    if (!holds || now < next_step_)
        return;
    if (lease_token != tenure_) {
        orders_.clear();
        services_.clear();
    }
    tenure_ = lease_token;
    next_step_ = now + parameters_.interval;
    orders_left_ = parameters_.max_orders_per_interval;
    for (auto const& service : config.services) {
        if (!service.scaling || service.scaling->zone_prices.empty())
            continue;
        auto const known = demand.find(service.name);
        auto const asked = known == demand.end() ? serving::ServiceDemand { service.name } : known->second;
        plan(now, service, asked, count_engines(engines, service), actions);
    }
}

// Before anything is known of the demand, who set the service up knew best.
void CapacityController::settle(Time now, ServiceState& state, EnginesByZone const& present, bool idle) const
{
    if (state.settled)
        return;
    if (state.first_spot < 0) {
        state.first_spot = spot_total(present);
        state.first_seen = state.seen_since = now;
    }
    auto const seen = total(present) - spot_total(present) + state.first_spot;
    if (seen != state.seen)
        state.seen_since = now;
    state.seen = seen;
    auto const factor = idle ? parameters_.planner.cold_start_factor : 1.0;
    state.wanted = std::max(state.wanted, static_cast<int>(std::ceil(factor * seen)));
    state.low_since = now;
    state.settled = now - state.seen_since >= parameters_.rest
        || now - state.first_seen >= parameters_.max_settle_periods * parameters_.rest;
}

int CapacityController::update_wanted(
    Time now, serving::Service const& service, serving::ServiceDemand const& asked, EnginesByZone const& present)
{
    auto& state = services_[service.name];
    auto const needed = target_engine_count(parameters_.planner, asked, *service.scaling, present.size());
    settle(now, state, present, is_idle(asked));
    if (needed > parameters_.planner.scale_in_threshold * state.wanted) {
        state.low_since = now;
        state.peak = 0;
    } else {
        state.peak = std::max(state.peak, static_cast<double>(needed));
    }
    auto const most = service.scaling->max * static_cast<int>(service.scaling->zone_prices.size());
    if (needed > parameters_.scale_out_threshold * state.wanted)
        state.wanted = needed;
    state.wanted = std::min(state.wanted, most);
    if (now - state.low_since >= parameters_.planner.scale_in_delay) {
        // Little by little: what the engines keep would have to be read again by the others at once.
        auto const step = std::max(1, static_cast<int>(parameters_.planner.max_replacement_share * state.wanted));
        state.wanted = std::max({ 1, static_cast<int>(state.peak), state.wanted - step });
        state.low_since += parameters_.planner.scale_in_interval;
    }
    return needed;
}

bool CapacityController::is_idle(serving::ServiceDemand const& asked) const
{
    return asked.prefill_engines + asked.decode_engines < parameters_.planner.idle_demand;
}

void CapacityController::plan(Time now, serving::Service const& service, serving::ServiceDemand const& asked,
    EnginesByZone const& present, std::vector<CapacityAction>& actions)
{
    auto const needed = update_wanted(now, service, asked, present);
    auto& state = services_[service.name];
    auto const target = distribute_over_zones(parameters_.planner, *service.scaling, state.wanted);
    auto const idle = is_idle(asked);
    auto const missing = missing_without_spot(service, asked, present);
    if (now >= state.next_log) {
        state.next_log = now + parameters_.log_interval;
        actions.push_back(LogCapacity { EventId::kCapacityPlan,
            fmt::format(
                R"("service":"{}","engines":{},"wanted":{},"needed":{},"prefill_demand":{:.1f},"decode_demand":{:.1f})",
                service.name, total(present), state.wanted, needed, asked.prefill_engines, asked.decode_engines) });
    }
    auto const may_exchange = state.settled && (idle || now >= state.next_exchange);
    if (may_exchange)
        state.next_exchange = now + parameters_.planner.replacement_interval;
    // As many as there were, or as many as the demand wants.
    auto const zones = static_cast<int>(target.size());
    auto const least = (std::max(usual_engines(state), needed) + zones - 1) / zones;
    for (auto const& [zone, engines] : target) {
        auto const there = present.find(zone);
        auto const now_there = there == present.end() ? ZoneEngines {} : there->second;
        plan_zone(
            now, { service, zone, engines, now_there, idle, state.settled, may_exchange, missing, least }, actions);
    }
}

void CapacityController::plan_zone(Time now, ZonePlan const& plan, std::vector<CapacityAction>& actions)
{
    auto const& name = plan.service.name;
    auto const most = plan.service.scaling->max;
    if (plan.service.scaling->spot_price) {
        auto const room = std::max(0, most - plan.present.ordinary);
        // For want of room nothing is taken back that waits to come.
        if (room > 0)
            order(now, { name, plan.zone, std::min(plan.target.spot, room), true }, plan, actions);
    }
    // An order replaces the number that the platform keeps: one for some more than are known yet would send the others
    // away.
    if (!plan.settled)
        return;
    auto ordinary = plan.target.ordinary;
    if (plan.missing > 0 && is_unavailable({ name, plan.zone, true }))
        ordinary = std::min(most, plan.present.ordinary + plan.missing);
    if (ordinary < plan.present.ordinary) {
        if (!plan.may_exchange)
            return;
        // Only what others serve for may go, and under load little at a time. Where the limit leaves no room to order
        // the others first, they come after.
        auto const spare = std::max(0, plan.present.all() - std::min(plan.target.all(), plan.least));
        auto const step = std::max(1, static_cast<int>(parameters_.planner.max_replacement_share * plan.present.all()));
        auto const leaving = std::min(spare, plan.idle ? spare : step);
        ordinary = std::max(ordinary, plan.present.ordinary - leaving);
    }
    order(now, { name, plan.zone, ordinary, false }, plan, actions);
}

// What the service was set up with. Where spot engines were there at first, an earlier holder of the lease has planned
// already, perhaps for a cold start.
int CapacityController::usual_engines(ServiceState const& state) const
{
    auto const factor = state.first_spot > 0 ? parameters_.planner.cold_start_factor : 1.0;
    return static_cast<int>(std::ceil(state.seen / factor));
}

// Until spot engines come back, ordinary ones fill what the demand needs. What the lost ones kept is read again now,
// and shows in the demand only later: up to the usual number, that is counted in.
int CapacityController::missing_without_spot(
    serving::Service const& service, serving::ServiceDemand const& asked, EnginesByZone const& present)
{
    auto zones = 0; // Where there are none to be had.
    for (auto const& [zone, engines] : present)
        zones += is_unavailable({ service.name, zone, true }) ? 1 : 0;
    if (zones == 0)
        return 0;
    auto const& state = services_[service.name];
    auto const needed = minimum_engine_count(parameters_.planner, asked);
    auto const left = std::max(1, total(present)) / static_cast<double>(std::max(1, state.wanted));
    auto const with_rereading = std::min(static_cast<int>(needed / left), usual_engines(state));
    return (std::max(0, std::max(needed, with_rereading) - total(present)) + zones - 1) / zones;
}

bool CapacityController::is_unavailable(OrderKey const& key) const
{
    auto const entry = orders_.find(key);
    return entry != orders_.end() && entry->second.unavailable;
}

void CapacityController::order(
    Time now, ScalingOrder const& order, ZonePlan const& plan, std::vector<CapacityAction>& actions)
{
    auto const present = order.spot ? plan.present.spot : plan.present.ordinary;
    OrderKey const key { order.service, order.zone, order.spot };
    auto entry = orders_.find(key);
    if (entry == orders_.end()) {
        if (order.engines == present)
            return;
        entry = orders_.emplace(key, Order { present, Time {}, false, Time {}, false }).first;
    }
    auto& last = entry->second;
    auto const same =
        order.engines == last.engines && now < last.at + plan.service.scaling->boot + parameters_.order_retry_margin;
    auto const satisfied = order.engines == last.engines && order.engines == present;
    if (satisfied)
        last.unavailable = false; // They came after all.
    if (last.under_way || now < last.not_before || same || satisfied || orders_left_ <= 0)
        return;
    --orders_left_;
    last.under_way = true;
    last.engines = order.engines;
    last.at = now;
    actions.push_back(order);
}

void CapacityController::on_order_completed(Time now, ScalingOrder const& order, DutyOutcome outcome)
{
    auto const entry = orders_.find(OrderKey { order.service, order.zone, order.spot });
    if (entry == orders_.end())
        return;
    auto& last = entry->second;
    last.under_way = false;
    last.unavailable = outcome == DutyOutcome::Refused;
    if (outcome == DutyOutcome::Done)
        return;
    last.at = Time {}; // It is still to be ordered.
    last.not_before =
        now + (outcome == DutyOutcome::Refused ? parameters_.spot_retry_delay : parameters_.unknown_retry_delay);
}

}
