// How many engines a service should have, of which kind, in which zone.
//
// Engines are paid for by the second. Spot engines cost a fraction of the others, but all of a zone may be taken away
// within seconds; what they keep in memory is lost then. So capacity is bought as spot engines in all zones, with so
// many to spare that the loss of one zone's and of some that fail leaves enough, and a share of ordinary ones that
// stay whatever happens. A quiet hour's saving is small against engines that are missed in a surge: more are ordered
// at once, fewer only after demand was low for long.
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
    // Engines for each that is kept busy on average: bursts of 1.7 times the mean over a boot time, with waiting kept
    // short.
    double headroom = 1.3;
    // Of all engines, that may be silent or broken at the same time as a zone's spot engines are taken away.
    double failure_allowance = 0.2;
    // Of a zone's engines that are ordinary where spot engines are to be had: what reads and answers on if those of all
    // zones go at once. Spot engines are spread over the zones because only one zone's are expected to go.
    double on_demand_share = 0.05;
    // Engines wanted for each that was there before anything was asked. Memories are empty then, and shared parts of
    // prompts are all read once: twice as much was read in the first ten seconds as later.
    double cold_start_factor = 2.0;
    // Fewer are ordered only when so much less than what there is has been enough for so long: what a new engine
    // must read again costs more than it saves in less.
    double scale_in_threshold = 0.75;
    Duration scale_in_delay = 120s;
    Duration scale_in_interval = 10s; // Then between two steps: time for parts to be read elsewhere.
    // Demand below which nothing is being asked: engines may be exchanged all at once.
    double idle_demand = 0.15;
    // Otherwise at most this share of a zone's engines in one step.
    double max_replacement_share = 0.08;
    Duration replacement_interval = 2s;
};

// Engines of one service in one zone.
struct ZoneEngines {
    int ordinary = 0;
    int spot = 0;

    int all() const { return ordinary + spot; }
    bool operator==(ZoneEngines const&) const = default;
};

using EnginesByZone = std::map<std::string, ZoneEngines>;

// Returns how many engines all zones together should have for that demand; `zones`: among how many they are shared out.
int target_engine_count(
    CapacityPlannerParameters const&, serving::ServiceDemand const&, serving::ScalingTraits const&, std::size_t zones);

// Returns how many engines that demand needs now, some of which fail, with nothing to spare for a zone's loss.
int minimum_engine_count(CapacityPlannerParameters const&, serving::ServiceDemand const&);

// Shares `engines` out among the service's zones, cheaper ones first where they do not come out even.
EnginesByZone distribute_over_zones(CapacityPlannerParameters const&, serving::ScalingTraits const&, int engines);

}
