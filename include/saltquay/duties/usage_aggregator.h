// Merges the counts of all nodes, at the lease holder and at nodes that may hold the lease next.
//
// A contribution holds the counts of one incarnation of one node. Contributions are merged by maximum, so any node may
// forward any of them.
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
    // A node without reports for this time is not waited for. It is longer than most network partitions last, and short
    // enough for a report within ten seconds of its window.
    Duration unresponsive_after = 6s;
    // A node that just began to merge has received reports of all nodes after this time: each node reports all its
    // counts once a second.
    Duration collection_period = 1300ms;
    Duration retention = 60s;
};

class UsageAggregator {
public:
    UsageAggregator(UsageAggregatorParameters const& parameters, Time began)
        : parameters_(parameters)
        , collection_start_(began)
    {
    }

    // Merges a report of scope kUsage, received from the counting node or forwarded by another.
    void record_usage(serving::PeerReport const&, Time now);
    // Waits for first reports of all nodes again, because no node reported to this one until now.
    void restart_collection(Time now) { collection_start_ = now; }

    TenantCounts counts(std::int64_t window) const;
    // Whether all known nodes have reported their final counts of the window.
    bool is_complete(std::int64_t window, Time now) const;
    // Whether an incarnation that began at or before that time is known.
    bool covers_time(WallTime) const;
    void discard(Time now, std::int64_t before_window);
    // All contributions except those of `excluded_node`, for forwarding; each report has at most `max_counts` counts.
    std::vector<serving::PeerReport> contributions(std::string const& excluded_node, std::size_t max_counts) const;
    std::size_t incarnation_count() const { return incarnations_.size(); }

private:
    using NodeIncarnation = std::pair<std::string, std::uint64_t>; // The node, and when this incarnation began.
    struct Contribution {
        std::map<std::int64_t, TenantCounts> counts; // By window.
        std::int64_t closed_through = 0;
        Time last_report_at {};
    };

    bool is_superseded(NodeIncarnation const&) const;

    UsageAggregatorParameters parameters_;
    Time collection_start_;
    std::map<NodeIncarnation, Contribution> incarnations_;
};

}
