// Limits the number of prompts that a node has in flight at a service's engines (AIMD concurrency control).
//
// Many nodes share the engines and learn of each other's load with a delay. The nodes converge on a depth, the number
// of prompts in flight per engine, and each node gets a share of the total in proportion to its demand. A node
// increases the depth additively while its prompts meet their latency targets on average and its window is in use, and
// decreases it multiplicatively, at most once per target duration, while they do not. It reports its depth to its peers
// and moves towards their mean, so that no node keeps a large window while others are starved.
#pragma once

#include <algorithm>

#include "src/base/time.h"

namespace saltquay::admission {

struct ConcurrencyWindowParameters {
    double initial_depth = 8; // Prompts in flight per engine before any measurement.
    double min_depth = 1;
    double max_depth = 32;
    double depth_increase = 1;        // Added to the depth per window of prompts that meet their targets.
    double min_decrease_factor = 0.8; // Smallest factor of a single decrease.
    double smoothing = 0.15;          // Weight of a new sample in the moving averages.
    double borrowing_fill = 0.6; // A node may exceed its share while all engines together are filled below this share.
    double peer_blend_weight = 0.15; // Weight of the peers' mean depth in each update from their reports.
};

class ConcurrencyWindow {
public:
    explicit ConcurrencyWindow(ConcurrencyWindowParameters const& parameters)
        : parameters_(parameters)
        , depth_(parameters.initial_depth)
    {
    }

    // Sets the number of engines of the service, this node's share of the demand, and the number of prompts that peers
    // had in flight there according to their last reports.
    void set_capacity(int engines, double share, int peers_in_flight)
    {
        engines_ = engines;
        share_ = share;
        peers_in_flight_ = peers_in_flight;
    }
    // Moves the depth towards the mean depth of the peers that reported one.
    void blend_depth(double peers_depth) { depth_ += parameters_.peer_blend_weight * (peers_depth - depth_); }

    // Whether one more prompt may be sent. A `share` below 1 restricts less urgent prompts to that share of the window.
    bool has_room(double share = 1) const
    {
        return in_flight_ == 0 || in_flight_ + 1 <= share * limit() || has_spare_capacity(share);
    }
    void record_dispatch() { ++in_flight_; }
    // Records that a prompt ended with any outcome.
    void record_completion() { --in_flight_; }
    // Records that the response to a prompt came after `took`; `target`: its latency target.
    void record_latency(Time now, Duration took, Duration target);
    // Records that an engine rejected a prompt because it was full.
    void record_rejection(Time now, Duration target);

    double limit() const { return std::max(1.0, depth_ * share_ * engines_); }
    double depth() const { return depth_; }
    int in_flight() const { return in_flight_; }
    // Moving average of the latency.
    Duration mean_latency() const { return FromSeconds(mean_latency_s_); }
    // Average interval at which slots become free while the window is full.
    Duration mean_slot_interval() const { return FromSeconds(mean_latency_s_ / limit()); }
    // Moving average of the latency divided by its target.
    double ratio() const { return latency_ratio_; }

private:
    void decrease_depth(Time now, Duration min_interval, double factor);
    // Whether enough capacity is unused to exceed this node's share. Reports are delayed, so some capacity is reserved
    // for prompts that other nodes send at the same time.
    bool has_spare_capacity(double share) const
    {
        return in_flight_ + peers_in_flight_ + 1 <= share * parameters_.borrowing_fill * depth_ * engines_;
    }

    ConcurrencyWindowParameters parameters_;
    double depth_ = 1;
    double share_ = 1;
    int engines_ = 1;
    int peers_in_flight_ = 0;
    double latency_ratio_ = 0;
    double mean_latency_s_ = 0;
    int in_flight_ = 0;
    Time decreased_at_ {};
};

}
