#include "saltquay/duties/capacity_planner.h"

#include <algorithm>
#include <cmath>

namespace saltquay::duties {

namespace {

// Nodes of earlier versions do not report prefill separately.
double busy_engines(serving::ServiceDemand const& demand)
{
    auto const prefill = demand.unloaded_prefill_engines > 0 ? demand.unloaded_prefill_engines : demand.prefill_engines;
    return prefill + demand.decode_engines;
}

}

int target_engine_count(CapacityPlannerParameters const& parameters, serving::ServiceDemand const& demand,
    serving::ScalingTraits const& scaling, std::size_t zones)
{
    constexpr double min_remaining_share = 0.1;
    auto const zone_share = scaling.spot_price && zones > 1 ? 1.0 / static_cast<double>(zones) : 0.0;
    auto const remaining = std::max(min_remaining_share, 1 - zone_share - parameters.failure_allowance);
    return static_cast<int>(std::ceil(parameters.headroom * busy_engines(demand) / remaining));
}

int minimum_engine_count(CapacityPlannerParameters const& parameters, serving::ServiceDemand const& demand)
{
    return static_cast<int>(std::ceil(parameters.headroom * busy_engines(demand) / (1 - parameters.failure_allowance)));
}

EnginesByZone distribute_over_zones(
    CapacityPlannerParameters const& parameters, serving::ScalingTraits const& scaling, int engines)
{
    std::vector<std::pair<double, std::string>> zones;
    for (auto const& [zone, price] : scaling.zone_prices)
        zones.emplace_back(price, zone);
    std::sort(zones.begin(), zones.end());
    EnginesByZone shares;
    auto remaining = engines;
    for (std::size_t i = 0; i < zones.size(); ++i) {
        auto const others = static_cast<int>(zones.size() - i);
        auto const share = std::clamp((remaining + others - 1) / others, scaling.min, scaling.max);
        remaining = std::max(0, remaining - share);
        auto const on_demand =
            scaling.spot_price ? static_cast<int>(std::ceil(parameters.on_demand_share * share)) : share;
        shares[zones[i].second] = { on_demand, share - on_demand };
    }
    return shares;
}

}
