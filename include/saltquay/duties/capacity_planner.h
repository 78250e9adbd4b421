// Computes how many engines a service should have, of which kind, and in which zone.
//
// Engines are billed by the second. Spot engines cost a fraction of on-demand engines, but all spot engines of a zone
// may be reclaimed within seconds, and their KV caches are lost then. Capacity is therefore bought as spot engines in
// all zones, with enough spare engines that the loss of one zone and of some failing engines leaves enough, plus a
// share of on-demand engines that are never reclaimed. The saving in a quiet hour is small compared with the cost of
// missing engines in a surge, so the planner scales out at once, and scales in only after the demand was low for a long
// time.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/base/time.h"
#include "src/core/serving/engine_directory.h"
#include "src/core/serving/peer_table.h"
#include "src/core/serving/serving_config.h"

namespace saltquay::duties {

struct CapacityPlannerParameters {
    // Engines per engine that is busy on average: covers bursts of 1.7 times the mean over a boot time, with short
    // queueing.
    double headroom = 1.3;
    // Share of all engines that may be unresponsive or broken at the time when a zone's spot engines are reclaimed.
    double failure_allowance = 0.2;
    // Share of a zone's engines that are on-demand if spot engines are offered: these continue to serve if the spot
    // engines of all zones are reclaimed at once. Spot engines are spread over the zones because only one zone's are
    // expected to be reclaimed at a time.
    double on_demand_share = 0.05;
    // Engines per initial engine before the first requests. KV caches are empty then and shared prompt parts all have
    // to be prefilled once: twice as many tokens were prefilled in the first ten seconds as later.
    double cold_start_factor = 2.0;
    // Engines are scaled in only when this share of the engines has sufficed for `scale_in_delay`: the prefill that a
    // new engine has to repeat costs more than a shorter removal saves.
    double scale_in_threshold = 0.75;
    Duration scale_in_delay = 120s;
    // Between two scale-in steps after that: time to prefill the prompt parts on other engines.
    Duration scale_in_interval = 10s;
    // Demand below which the service counts as idle: all engines may be replaced at once.
    double idle_demand = 0.15;
    // Otherwise the maximum share of a zone's engines that is replaced in one step.
    double max_replacement_share = 0.08;
    Duration replacement_interval = 2s;
};

// Engines of one service in one zone.
struct ZoneEngines {
    int on_demand = 0;
    int spot = 0;

    int all() const { return on_demand + spot; }
    bool operator==(ZoneEngines const&) const = default;
};

using EnginesByZone = std::map<std::string, ZoneEngines>;

// Returns how many engines all zones together should have for the demand; `zones`: the number of zones that they are
// distributed over.
int target_engine_count(
    CapacityPlannerParameters const&, serving::ServiceDemand const&, serving::ScalingTraits const&, std::size_t zones);

// Returns how many engines the demand needs now, allowing for failures but not for the loss of a zone.
int minimum_engine_count(CapacityPlannerParameters const&, serving::ServiceDemand const&);

// Distributes `engines` over the service's zones; a remainder goes to the cheaper zones.
EnginesByZone distribute_over_zones(CapacityPlannerParameters const&, serving::ScalingTraits const&, int engines);

}
