// Tracks how old a node's copy of the store's records is: the time since the store confirmed the copy, summed over all
// nodes that it was relayed through.
//
// Records flow along a chain, for example store -> A -> B. A reads the store (0 hops), and B follows A, its upstream
// (1 hop).
//
// Protocol. A watch is a long-polling request: the response comes when there is a change or when the watch times out. A
// node that reads the store repeats its watch often enough for each response to confirm the copy within
// `confirm_interval`. Each relayed response carries the age of its content and how long the request was held open, so
// that a follower can compute the age locally without a common clock; transit time is counted as age. A copy that is
// older than its staleness limit is stale: its node asks another upstream, at last the store itself, and stops relaying
// the copy. The limit grows with the number of hops, so that if the store's responses stop, A finds its copy stale and
// turns to another connection or upstream before B does, and B receives the result from A.
#pragma once

#include <chrono>
#include <functional>

#include "src/base/time.h"
#include "src/http/boot_timer.h"

namespace saltquay::replica {

struct FreshnessParameters {
    // Timeout of a watch at the store. Together with the limits below it bounds how late a change arrives: see
    // docs/design/freshness.md.
    std::chrono::milliseconds confirm_interval { 800 };
    std::chrono::milliseconds staleness_limit { 1000 }; // Maximum age of the copy of a node that reads the store.
    std::chrono::milliseconds staleness_limit_per_hop { 150 }; // Added for each hop.
    // Delay between two attempts to become fresh. It doubles each time, so that a store that is down is not overloaded.
    std::chrono::milliseconds initial_retry_delay { 300 };
    std::chrono::milliseconds max_retry_delay { 1600 };
};

class FreshnessTracker {
public:
    // Calls `on_stale` when the age of the copy reaches its staleness limit, and again at each retry until the copy is
    // confirmed. `on_stale` may call confirm().
    FreshnessTracker(boost::asio::io_context&, FreshnessParameters const&, std::function<void()> on_stale);

    // Records that the local copy is complete as of `valid_as_of`. An earlier time than the last one is ignored.
    // `hops`: from the node that reads the store to this one; 0 if this node reads the store itself.
    void confirm(Time valid_as_of, int hops);
    // Time {} until the first confirmation.
    Time confirmed() const { return confirmed_; }
    Duration age(Time now) const { return now - confirmed_; }
    bool is_fresh(Time now) const { return confirmed_ != Time {} && age(now) < limit(); }
    // Time left until the store should confirm the copy again.
    std::chrono::milliseconds time_to_next_confirmation(Time now) const;

private:
    Duration limit() const { return parameters_.staleness_limit + hops_ * parameters_.staleness_limit_per_hop; }
    void schedule_check(Duration delay);

    FreshnessParameters parameters_;
    std::function<void()> on_stale_;
    BootTimer timer_;
    Time confirmed_ {};
    int hops_ = 0;
    std::chrono::milliseconds retry_delay_;
};

}
