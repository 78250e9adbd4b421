// Orders engines for the services that can be scaled; see capacity_planner.h for how many.
//
// Protocol. A scaling order sets the number of engines of one kind in one zone. The platform stores the number, so that
// repeating an order has no further effect. Replacement engines are ordered before the engines that they replace are
// terminated: on-demand engines are terminated only as far as enough other engines serve. If no spot engines are
// available, they are ordered again after a delay, and on-demand engines fill in if the remaining engines would not
// suffice. The next lease holder starts from the engines that it observes.
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
    // Time beyond the boot time after which an order is repeated if the engines have not arrived.
    Duration order_retry_margin = 3s;
    Duration spot_retry_delay = 2s;    // Until spot engines are ordered again after none were available.
    Duration unknown_retry_delay = 1s; // Until an order without a response is repeated.
    int max_orders_per_interval = 6;   // In one interval, for all services together.
    // Engines register over two heartbeats. None is terminated until the number of initial engines has not changed for
    // `settle_time`, or until `max_settle_periods` times as long has passed.
    Duration settle_time = 2500ms;
    int max_settle_periods = 4;
    // The target grows only when the number of needed engines exceeds it by this factor; otherwise every small
    // fluctuation would cause an order.
    double scale_out_threshold = 1.08;
};

class CapacityController {
public:
    explicit CapacityController(CapacityControllerParameters const& parameters)
        : parameters_(parameters)
    {
    }

    // `holds_lease`: this node may order now. `lease_token`: the token of the duty lease; a new token means that other
    // nodes may have ordered meanwhile. `demand`: of all nodes, by service.
    void step(Time now, bool holds_lease, std::int64_t lease_token, serving::ServingConfig const&,
        std::map<std::string, serving::ServiceDemand> const& demand, serving::EngineDirectory const&,
        std::vector<CapacityAction>&);
    void on_order_completed(Time now, ScalingOrder const&, DutyOutcome);

private:
    // Identifies one engine count that the platform stores.
    struct OrderKey {
        std::string service;
        std::string zone;
        bool spot = false;

        auto operator<=>(OrderKey const&) const = default;
    };
    struct Order {
        int engines = 0;
        Time ordered_at {};
        bool in_flight = false;
        Time not_before {};
        bool unavailable = false;
    };
    struct ZonePlan {
        serving::Service const& service;
        std::string zone;
        ZoneEngines target;
        ZoneEngines present;
        bool idle = false;        // There is no demand.
        bool is_settled = false;  // All initial engines have registered.
        bool may_replace = false; // On-demand engines may be terminated now.
        // On-demand engines to add in each zone where no spot engines are available.
        int spot_shortfall = 0;
        // Engines that must serve in this zone throughout a replacement.
        int min_serving = 0;
    };
    struct ServiceState {
        int wanted = 0;                // The target for all zones together.
        bool is_settled = false;       // All initial engines have registered.
        int initial_spot_engines = -1; // Initial spot engines; -1: not counted yet.
        int initial_engines = 0;
        Time first_observed_at {};
        Time unchanged_since {};
        double peak_needed = 0; // Maximum of the needed engines since `low_since`.
        Time low_since {};
        Time next_replacement {};
        Time next_log {};
    };

    void plan(Time now, serving::Service const&, serving::ServiceDemand const&, EnginesByZone const& present,
        std::vector<CapacityAction>&);
    // Counts the initial engines, that is, those that were present before any was ordered.
    void observe_initial_engines(Time now, ServiceState&, EnginesByZone const& present, bool idle) const;
    int update_wanted(Time now, serving::Service const&, serving::ServiceDemand const&, EnginesByZone const& present);
    void plan_zone(Time now, ZonePlan const&, std::vector<CapacityAction>&);
    void order(Time now, ScalingOrder const&, ZonePlan const&, std::vector<CapacityAction>&);
    int baseline_engines(ServiceState const&) const;
    int spot_shortfall_per_zone(serving::Service const&, serving::ServiceDemand const&, EnginesByZone const& present);
    bool is_idle(serving::ServiceDemand const&) const;
    bool is_unavailable(OrderKey const&) const;

    CapacityControllerParameters parameters_;
    Time next_step_ {};
    int remaining_orders_ = 0;
    std::int64_t lease_token_ = 0;
    std::map<std::string, ServiceState> services_;
    std::map<OrderKey, Order> orders_;
};

}
