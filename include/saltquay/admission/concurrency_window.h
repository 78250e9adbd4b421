// How many prompts a node may have under way at a service's engines.
//
// The engines are shared by many nodes that know each other's work late. The
// nodes blend_depth on a depth, the prompts under way for each engine, and divide it
// by what is asked of each. A node moves the depth by what it observes: while
// its prompts come back within their targets on average and its window is in
// use, deeper; while they take longer, shallower by a share, at most once in a
// target's time. It reports its depth to its peers and follows their mean, so
// that no node keeps a wide window while others are pressed to nothing.
#pragma once

#include <algorithm>

#include "src/base/time.h"

namespace saltquay::admission {

struct ConcurrencyWindowParameters {
    double initial_depth = 8; // Prompts under way at an engine, before anything was observed.
    double least_depth = 1;
    double max_depth = 32;
    double widening = 1;             // Added to the depth by each full window of prompts within their targets.
    double sharpest_narrowing = 0.8; // Least factor of one narrowing.
    double smoothing = 0.15;         // Of the average of time over target.
    double borrowed_share = 0.6;     // Up to this fill of all engines a node may go beyond its share.
    double agreement = 0.15;         // How far one report of the peers moves the depth to their mean.
};

class ConcurrencyWindow {
public:
    explicit ConcurrencyWindow(ConcurrencyWindowParameters const& parameters)
        : parameters_(parameters)
        , depth_(parameters.initial_depth)
    {
    }

    // The service's engines, this node's share of what is asked for, and what the
    // peers have under way there by their last reports.
    void set_capacity(int engines, double share, int peers_under_way)
    {
        fleet_ = engines;
        share_ = share;
        peers_under_way_ = peers_under_way;
    }
    // The mean depth of the peers that told one.
    void blend_depth(double peers_depth) { depth_ += parameters_.agreement * (peers_depth - depth_); }

    // Whether one more prompt may be sent; `share` of the window, for what may wait longer.
    bool has_room(double share = 1) const
    {
        return under_way_ == 0 || under_way_ + 1 <= share * limit() || is_fleet_free(share);
    }
    void record_dispatch() { ++under_way_; }
    // A prompt is over, whatever its outcome.
    void record_completion() { --under_way_; }
    // A prompt came back after `took`; `target`: what it should have taken at most.
    void record_latency(Time now, Duration took, Duration target);
    // An engine refused a prompt for lack of room.
    void record_rejection(Time now, Duration target);

    double limit() const { return std::max(1.0, depth_ * share_ * fleet_); }
    double depth() const { return depth_; }
    int under_way() const { return under_way_; }
    // Average of the time that prompts took.
    Duration mean_latency() const { return FromSeconds(mean_seconds_); }
    // Average of the time between two places that become free, while the window is full.
    Duration mean_slot_interval() const { return FromSeconds(mean_seconds_ / limit()); }
    // Average of the time that prompts took over their targets.
    double ratio() const { return ratio_; }

private:
    void narrow(Time now, Duration pause, double factor);
    // Whether so much is free that a node may go beyond its share; reports are
    // late, so a part is left for what others send at the same time.
    bool is_fleet_free(double share) const
    {
        return under_way_ + peers_under_way_ + 1 <= share * parameters_.borrowed_share * depth_ * fleet_;
    }

    ConcurrencyWindowParameters parameters_;
    double depth_ = 1;
    double share_ = 1;
    int fleet_ = 1;
    int peers_under_way_ = 0;
    double ratio_ = 0;
    double mean_seconds_ = 0;
    int under_way_ = 0;
    Time narrowed_at_ {};
};

}
