// Counts the requests of each tenant that began to execute through this node, by window.
//
// Counts only grow, so messages that carry them may be lost, duplicated or reordered: the maximum is correct. Changed
// counts are sent several times in a row, and all counts periodically. A node that is killed loses the counts
// since its last message.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "saltquay/duties/fleet_clock.h"
#include "src/core/serving/peer_table.h"

namespace saltquay::duties {

using serving::UsageCount;

// A period of wall-clock time; window k starts at k times the length after the start of 1970.
class UsageWindows {
public:
    explicit UsageWindows(std::chrono::milliseconds length)
        : length_(length)
    {
    }

    std::int64_t number_at(WallTime at) const { return at.time_since_epoch() / length_; }
    WallTime start_of(std::int64_t number) const { return WallTime(number * length_); }
    WallTime end_of(std::int64_t number) const { return start_of(number + 1); }

private:
    std::chrono::milliseconds length_;
};

class UsageCounter {
public:
    explicit UsageCounter(UsageWindows windows)
        : windows_(windows)
    {
    }

    // Counts a request that began to execute at `began`.
    void record_usage(std::string_view tenant, WallTime began, Time now);
    // The counts that changed since then; all() returns every count.
    std::vector<UsageCount> counts_changed_since(Time) const;
    std::vector<UsageCount> all() const { return counts_changed_since(Time {}); }
    // Discards the windows before this one: they were reported, or are too old to be.
    void discard_before(std::int64_t window);

private:
    struct Count {
        std::int64_t requests = 0;
        Time changed {};
    };

    UsageWindows windows_;
    std::map<std::int64_t, std::map<std::string, Count, std::less<>>> counts_; // By window and tenant.
};

}
