#include "saltquay/duties/capacity_planner.h"

#include <algorithm>
#include <cmath>

namespace saltquay::duties {

namespace {

// Nodes of an earlier version do not tell the reading apart.
double engines_busy(serving::ServiceDemand const& demand)
{
    auto const reading = demand.reading_engines > 0 ? demand.reading_engines : demand.prefill_engines;
    return reading + demand.decode_engines;
}

}

int target_engine_count(CapacityPlannerParameters const& parameters, serving::ServiceDemand const& demand,
    serving::ScalingTraits const& scaling, std::size_t zones)
{
    constexpr double least_left = 0.1;
    auto const zone_share = scaling.spot_price && zones > 1 ? 1.0 / static_cast<double>(zones) : 0.0;
    auto const left = std::max(least_left, 1 - zone_share - parameters.failure_allowance);
    return static_cast<int>(std::ceil(parameters.headroom * engines_busy(demand) / left));
}

int minimum_engine_count(CapacityPlannerParameters const& parameters, serving::ServiceDemand const& demand)
{
    return static_cast<int>(std::ceil(parameters.headroom * engines_busy(demand) / (1 - parameters.failure_allowance)));
}

EnginesByZone distribute_over_zones(
    CapacityPlannerParameters const& parameters, serving::ScalingTraits const& scaling, int engines)
{
    std::vector<std::pair<double, std::string>> zones;
    for (auto const& [zone, price] : scaling.zone_prices)
        zones.emplace_back(price, zone);
    std::sort(zones.begin(), zones.end());
    EnginesByZone shares;
    auto left = engines;
    for (std::size_t i = 0; i < zones.size(); ++i) {
        auto const others = static_cast<int>(zones.size() - i);
        auto const share = std::clamp((left + others - 1) / others, scaling.min, scaling.max);
        left = std::max(0, left - share);
        auto const ordinary =
            scaling.spot_price ? static_cast<int>(std::ceil(parameters.on_demand_share * share)) : share;
        shares[zones[i].second] = { ordinary, share - ordinary };
    }
    return shares;
}

}
