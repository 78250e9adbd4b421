// What all nodes counted, merged by the one that holds the duties, and by others that may hold them next.
//
// A contribution is what one life of one node counted. Contributions merge by the larger count, so that any node may
// pass any of them on.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "saltquay/duties/usage_counter.h"

namespace saltquay::duties {

// Requests by tenant.
using TenantCounts = std::map<std::string, std::int64_t>;

struct UsageAggregatorParameters {
    // A node that is silent for so long is not waited for: longer than most cuts of a link last, and short enough for
    // a report within ten seconds of its window.
    Duration silence = 6s;
    // Whoever just began to merge has heard of all nodes after this time: each tells everything once a second.
    Duration collection_period = 1300ms;
    Duration memory = 60s;
};

class UsageAggregator {
public:
    UsageAggregator(UsageAggregatorParameters const& parameters, Time began)
        : parameters_(parameters)
        , began_(began)
    {
    }

    // Takes a report of kind kUsage, of the node that counted or passed on by another.
    void note(serving::PeerReport const&, Time now);
    // Starts to wait for a first word of all nodes again, for until now nobody told this one.
    void restart_collection(Time now) { began_ = now; }

    TenantCounts counts(std::int64_t window) const;
    // Whether all nodes that are heard will count no more for the window, and their counts are here.
    bool is_complete(std::int64_t window, Time now) const;
    // Whether a life that began before then was heard of.
    bool covers_time(WallTime) const;
    void forget(Time now, std::int64_t before_window);
    // All contributions of other nodes, to be passed on; each in messages of at most `most` counts.
    std::vector<serving::PeerReport> contributions(std::string const& excluded_node, std::size_t most) const;
    std::size_t incarnation_count() const { return lives_.size(); }

private:
    using Life = std::pair<std::string, std::uint64_t>; // Node, and when this life of it began.
    struct Contribution {
        std::map<std::int64_t, TenantCounts> counts; // By window.
        std::int64_t closed_through = 0;
        Time heard {};
    };

    bool is_over(Life const&) const;

    UsageAggregatorParameters parameters_;
    Time began_;
    std::map<Life, Contribution> lives_;
};

}
