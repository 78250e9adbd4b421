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
        ++(record.spot ? count.spot : count.on_demand);
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

void CapacityController::step(Time now, bool holds_lease, std::int64_t lease_token,
    serving::ServingConfig const& config, std::map<std::string, serving::ServiceDemand> const& demand,
    serving::EngineDirectory const& engines, std::vector<CapacityAction>& actions)
{
    if (!holds_lease || now < next_step_)
        return;
    if (lease_token != lease_token_) {
        orders_.clear();
        services_.clear();
    }
    lease_token_ = lease_token;
    next_step_ = now + parameters_.interval;
    remaining_orders_ = parameters_.max_orders_per_interval;
    for (auto const& service : config.services) {
        if (!service.scaling || service.scaling->zone_prices.empty())
            continue;
        auto const known = demand.find(service.name);
        auto const service_demand = known == demand.end() ? serving::ServiceDemand { service.name } : known->second;
        plan(now, service, service_demand, count_engines(engines, service), actions);
    }
}

// Until the demand is known, the initial engines are the best estimate, chosen by whoever set up the service.
void CapacityController::observe_initial_engines(
    Time now, ServiceState& state, EnginesByZone const& present, bool idle) const
{
    if (state.is_settled)
        return;
    if (state.initial_spot_engines < 0) {
        state.initial_spot_engines = spot_total(present);
        state.first_observed_at = state.unchanged_since = now;
    }
    auto const initial_engines = total(present) - spot_total(present) + state.initial_spot_engines;
    if (initial_engines != state.initial_engines)
        state.unchanged_since = now;
    state.initial_engines = initial_engines;
    auto const factor = idle ? parameters_.planner.cold_start_factor : 1.0;
    state.wanted = std::max(state.wanted, static_cast<int>(std::ceil(factor * initial_engines)));
    state.low_since = now;
    state.is_settled = now - state.unchanged_since >= parameters_.settle_time
        || now - state.first_observed_at >= parameters_.max_settle_periods * parameters_.settle_time;
}

int CapacityController::update_wanted(Time now, serving::Service const& service,
    serving::ServiceDemand const& service_demand, EnginesByZone const& present)
{
    auto& state = services_[service.name];
    auto const needed = target_engine_count(parameters_.planner, service_demand, *service.scaling, present.size());
    observe_initial_engines(now, state, present, is_idle(service_demand));
    if (needed > parameters_.planner.scale_in_threshold * state.wanted) {
        state.low_since = now;
        state.peak_needed = 0;
    } else {
        state.peak_needed = std::max(state.peak_needed, static_cast<double>(needed));
    }
    auto const max_engines = service.scaling->max * static_cast<int>(service.scaling->zone_prices.size());
    if (needed > parameters_.scale_out_threshold * state.wanted)
        state.wanted = needed;
    state.wanted = std::min(state.wanted, max_engines);
    if (now - state.low_since >= parameters_.planner.scale_in_delay) {
        // In small steps: the other engines would have to prefill again at once everything in the KV caches of
        // terminated engines.
        auto const step = std::max(1, static_cast<int>(parameters_.planner.max_replacement_share * state.wanted));
        state.wanted = std::max({ 1, static_cast<int>(state.peak_needed), state.wanted - step });
        state.low_since += parameters_.planner.scale_in_interval;
    }
    return needed;
}

bool CapacityController::is_idle(serving::ServiceDemand const& service_demand) const
{
    return service_demand.prefill_engines + service_demand.decode_engines < parameters_.planner.idle_demand;
}

void CapacityController::plan(Time now, serving::Service const& service, serving::ServiceDemand const& service_demand,
    EnginesByZone const& present, std::vector<CapacityAction>& actions)
{
    auto const needed = update_wanted(now, service, service_demand, present);
    auto& state = services_[service.name];
    auto const target = distribute_over_zones(parameters_.planner, *service.scaling, state.wanted);
    auto const idle = is_idle(service_demand);
    auto const spot_shortfall = spot_shortfall_per_zone(service, service_demand, present);
    if (now >= state.next_log) {
        state.next_log = now + parameters_.log_interval;
        actions.push_back(LogCapacity { EventId::kCapacityPlan,
            fmt::format(
                R"("service":"{}","engines":{},"wanted":{},"needed":{},"prefill_demand":{:.1f},"decode_demand":{:.1f})",
                service.name, total(present), state.wanted, needed, service_demand.prefill_engines,
                service_demand.decode_engines) });
    }
    auto const may_replace = state.is_settled && (idle || now >= state.next_replacement);
    if (may_replace)
        state.next_replacement = now + parameters_.planner.replacement_interval;
    // As many as there were initially, or as many as the demand needs.
    auto const zones = static_cast<int>(target.size());
    auto const min_serving = (std::max(baseline_engines(state), needed) + zones - 1) / zones;
    for (auto const& [zone, engines] : target) {
        auto const found = present.find(zone);
        auto const present_here = found == present.end() ? ZoneEngines {} : found->second;
        plan_zone(now,
            { service, zone, engines, present_here, idle, state.is_settled, may_replace, spot_shortfall, min_serving },
            actions);
    }
}

void CapacityController::plan_zone(Time now, ZonePlan const& plan, std::vector<CapacityAction>& actions)
{
    auto const& name = plan.service.name;
    auto const max_engines = plan.service.scaling->max;
    if (plan.service.scaling->spot_price) {
        auto const room = std::max(0, max_engines - plan.present.on_demand);
        // If there is no room, the order in place is kept, so that spot engines still to come are not cancelled.
        if (room > 0)
            order(now, { name, plan.zone, std::min(plan.target.spot, room), true }, plan, actions);
    }
    // An order replaces the count that the platform stores. While some engines have not registered yet, an order based
    // on the known ones would terminate the others.
    if (!plan.is_settled)
        return;
    auto on_demand = plan.target.on_demand;
    if (plan.spot_shortfall > 0 && is_unavailable({ name, plan.zone, true }))
        on_demand = std::min(max_engines, plan.present.on_demand + plan.spot_shortfall);
    if (on_demand < plan.present.on_demand) {
        if (!plan.may_replace)
            return;
        // Only engines that others can replace may be terminated, and under load only a few per step. If the limit
        // leaves no room to order replacements first, they are ordered afterwards.
        auto const spare = std::max(0, plan.present.all() - std::min(plan.target.all(), plan.min_serving));
        auto const step = std::max(1, static_cast<int>(parameters_.planner.max_replacement_share * plan.present.all()));
        auto const leaving = std::min(spare, plan.idle ? spare : step);
        on_demand = std::max(on_demand, plan.present.on_demand - leaving);
    }
    order(now, { name, plan.zone, on_demand, false }, plan, actions);
}

// The number of engines that the service was set up with. If there were spot engines initially, an earlier lease holder
// has already planned, perhaps for a cold start.
int CapacityController::baseline_engines(ServiceState const& state) const
{
    auto const factor = state.initial_spot_engines > 0 ? parameters_.planner.cold_start_factor : 1.0;
    return static_cast<int>(std::ceil(state.initial_engines / factor));
}

// Until spot engines are available again, on-demand engines cover the demand. The KV caches of the lost engines are
// being rebuilt by prefill now, which shows in the demand only later; this is included, up to the baseline number.
int CapacityController::spot_shortfall_per_zone(
    serving::Service const& service, serving::ServiceDemand const& service_demand, EnginesByZone const& present)
{
    auto zones = 0; // Zones without available spot engines.
    for (auto const& [zone, engines] : present)
        zones += is_unavailable({ service.name, zone, true }) ? 1 : 0;
    if (zones == 0)
        return 0;
    auto const& state = services_[service.name];
    auto const needed = minimum_engine_count(parameters_.planner, service_demand);
    auto const remaining = std::max(1, total(present)) / static_cast<double>(std::max(1, state.wanted));
    auto const with_prefill_again = std::min(static_cast<int>(needed / remaining), baseline_engines(state));
    return (std::max(0, std::max(needed, with_prefill_again) - total(present)) + zones - 1) / zones;
}

bool CapacityController::is_unavailable(OrderKey const& key) const
{
    auto const entry = orders_.find(key);
    return entry != orders_.end() && entry->second.unavailable;
}

void CapacityController::order(
    Time now, ScalingOrder const& order, ZonePlan const& plan, std::vector<CapacityAction>& actions)
{
    auto const present = order.spot ? plan.present.spot : plan.present.on_demand;
    OrderKey const key { order.service, order.zone, order.spot };
    auto entry = orders_.find(key);
    if (entry == orders_.end()) {
        if (order.engines == present)
            return;
        entry = orders_.emplace(key, Order { present, Time {}, false, Time {}, false }).first;
    }
    auto& last = entry->second;
    auto const same = order.engines == last.engines
        && now < last.ordered_at + plan.service.scaling->boot + parameters_.order_retry_margin;
    auto const satisfied = order.engines == last.engines && order.engines == present;
    if (satisfied)
        last.unavailable = false; // The engines became available after all.
    if (last.in_flight || now < last.not_before || same || satisfied || remaining_orders_ <= 0)
        return;
    --remaining_orders_;
    last.in_flight = true;
    last.engines = order.engines;
    last.ordered_at = now;
    actions.push_back(order);
}

void CapacityController::on_order_completed(Time now, ScalingOrder const& order, DutyOutcome outcome)
{
    auto const entry = orders_.find(OrderKey { order.service, order.zone, order.spot });
    if (entry == orders_.end())
        return;
    auto& last = entry->second;
    last.in_flight = false;
    last.unavailable = outcome == DutyOutcome::Refused;
    if (outcome == DutyOutcome::Done)
        return;
    last.ordered_at = Time {}; // The order has to be repeated.
    last.not_before =
        now + (outcome == DutyOutcome::Refused ? parameters_.spot_retry_delay : parameters_.unknown_retry_delay);
}

}
