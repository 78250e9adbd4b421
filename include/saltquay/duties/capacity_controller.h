// Orders engines of the services that may be scaled; see capacity_planner.h for how many.
//
// Protocol. An order names the number of engines of one kind in one zone; the platform keeps the number, so that an
// order may be repeated and comes to the same. New engines are ordered before those that they replace are sent away:
// ordinary engines go only as far as enough others serve. Where no spot engines are to be had, they are asked for again
// after a pause, and ordinary ones fill in if what is left would not do. Whoever holds the lease next starts from the
// engines that it sees.
#pragma once

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "saltquay/duties/capacity_planner.h"
#include "saltquay/duties/duty_outcome.h"
#include "src/base/event_catalogue.h"

namespace saltquay::duties {

struct ScalingOrder {
    std::string service;
    std::string zone;
    int engines = 0;
    bool spot = false;
};

struct LogCapacity {
    EventId event = EventId::kEnginesOrdered;
    std::string details; // JSON members, without braces.
};

using CapacityAction = std::variant<ScalingOrder, LogCapacity>;

struct CapacityControllerParameters {
    CapacityPlannerParameters planner;
    Duration interval = 250ms;
    Duration log_interval = 5s;
    // Beyond the boot time, until an order that did not bring the engines is repeated.
    Duration order_retry_margin = 3s;
    Duration spot_retry_delay = 2s;    // Until spot engines are asked for again where there were none.
    Duration unknown_retry_delay = 1s; // The same after no answer.
    int max_orders_per_interval = 6;   // In one interval, of all services together.
    // Engines make themselves known over two heartbeats. None is sent away until the number of those that were there
    // at first has rested so long, or that many times as long is over.
    Duration rest = 2500ms;
    int max_settle_periods = 4;
    // More are ordered only when so much more than what was wanted is needed, or each moment would bring an order.
    double scale_out_threshold = 1.08;
};

class CapacityController {
public:
    explicit CapacityController(CapacityControllerParameters const& parameters)
        : parameters_(parameters)
    {
    }

    // `holds`: this node may order now. `lease_token`: the lease's token; with another one, others may have ordered
    // meanwhile. `demand`: of all nodes, by service.
    void step(Time now, bool holds, std::int64_t lease_token, serving::ServingConfig const&,
        std::map<std::string, serving::ServiceDemand> const& demand, serving::EngineDirectory const&,
        std::vector<CapacityAction>&);
    void on_order_completed(Time now, ScalingOrder const&, DutyOutcome);

private:
    // What one number at the platform is kept for.
    struct OrderKey {
        std::string service;
        std::string zone;
        bool spot = false;

        auto operator<=>(OrderKey const&) const = default;
    };
    struct Order {
        int engines = 0;
        Time at {};
        bool under_way = false;
        Time not_before {};
        bool unavailable = false;
    };
    struct ZonePlan {
        serving::Service const& service;
        std::string zone;
        ZoneEngines target;
        ZoneEngines present;
        bool idle = false;         // Nothing is being asked.
        bool settled = false;      // All engines that were there at first are known.
        bool may_exchange = false; // Ordinary engines may go now.
        int missing = 0;           // In each zone where there are no spot engines to be had.
        int least = 0;             // Engines that serve here whatever is exchanged.
    };
    struct ServiceState {
        int wanted = 0;       // All zones together.
        bool settled = false; // All engines that were there at first are known.
        int first_spot = -1;  // Spot engines that were there at first; -1: not looked yet.
        int seen = 0;
        Time first_seen {};
        Time seen_since {};
        double peak = 0; // Of what was needed since then.
        Time low_since {};
        Time next_exchange {};
        Time next_log {};
    };

    void plan(Time now, serving::Service const&, serving::ServiceDemand const&, EnginesByZone const& present,
        std::vector<CapacityAction>&);
    // Looks at the engines that were there before any was ordered.
    void settle(Time now, ServiceState&, EnginesByZone const& present, bool idle) const;
    int update_wanted(Time now, serving::Service const&, serving::ServiceDemand const&, EnginesByZone const& present);
    void plan_zone(Time now, ZonePlan const&, std::vector<CapacityAction>&);
    void order(Time now, ScalingOrder const&, ZonePlan const&, std::vector<CapacityAction>&);
    int usual_engines(ServiceState const&) const;
    int missing_without_spot(serving::Service const&, serving::ServiceDemand const&, EnginesByZone const& present);
    bool is_idle(serving::ServiceDemand const&) const;
    bool is_unavailable(OrderKey const&) const;

    CapacityControllerParameters parameters_;
    Time next_step_ {};
    int orders_left_ = 0;
    std::int64_t tenure_ = 0;
    std::map<std::string, ServiceState> services_;
    std::map<OrderKey, Order> orders_;
};

}
