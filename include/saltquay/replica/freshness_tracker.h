// How old a node's knowledge of the store is: the time since the store confirmed it, over all nodes that it came
// through.
//
// Protocol. A node that reads the store asks again so often that each answer confirms what it knows within
// `confirm_interval`. What it passes on tells its age, and how long the question was held, so that a follower knows the
// age at its own end without a common clock, and counts time on the way as age. Knowledge that is older than a limit is
// stale: whoever holds it asks elsewhere, at last the store itself, and passes it on no more. The limit
// grows with the nodes between, so that the first node of a chain acts first and those behind it hear of
// the result.
#pragma once

#include <chrono>
#include <functional>

#include "src/base/time.h"
#include "src/http/boot_timer.h"

namespace saltquay::replica {

struct FreshnessParameters {
    // The wait of a watch at the store. Together with the limits below it bounds how late a change is known: see
    // docs/design/freshness.md.
    std::chrono::milliseconds confirm_interval { 800 };
    std::chrono::milliseconds stale_limit { 1000 };        // At a node that reads the store,
    std::chrono::milliseconds stale_limit_per_hop { 150 }; // and so much later for each node in between.
    // Between two attempts to become fresh; doubled each time, for a store that is down is not to be pressed.
    std::chrono::milliseconds initial_retry_delay { 300 };
    std::chrono::milliseconds max_retry_delay { 1600 };
};

class FreshnessTracker {
public:
    // `on_stale` is called when the limit passes, and again while nothing is confirmed; it may confirm.
    FreshnessTracker(boost::asio::io_context&, FreshnessParameters const&, std::function<void()> on_stale);

    // What this node knows is complete up to that time. An earlier one changes nothing.
    void confirm(Time valid_as_of, int hops);
    // Nothing is known for as long as this is Time {}.
    Time confirmed() const { return confirmed_; }
    Duration age(Time now) const { return now - confirmed_; }
    bool is_fresh(Time now) const { return confirmed_ != Time {} && age(now) < limit(); }
    // What is left until the store should have confirmed it anew.
    std::chrono::milliseconds time_to_next_confirmation(Time now) const;

private:
    Duration limit() const { return parameters_.stale_limit + hops_ * parameters_.stale_limit_per_hop; }
    void arm(Duration delay);

    FreshnessParameters parameters_;
    std::function<void()> on_stale_;
    BootTimer timer_;
    Time confirmed_ {};
    int hops_ = 0;
    std::chrono::milliseconds next_attempt_;
};

}
