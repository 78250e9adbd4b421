// Counts the requests of each tenant that began to run through this node, by window.
//
// Counts only grow, so that messages about them may be lost, doubled or come in any order: the largest stands. What
// changed is told several times in a row, and everything now and then; a node that is killed takes with it what it
// counted since its last message.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "saltquay/duties/fleet_clock.h"
#include "src/core/serving/peer_table.h"

namespace saltquay::duties {

using serving::UsageCount;

// A stretch of the wall clock; number k starts k times its length after the start of 1970.
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

    // A request began to run at `began`.
    void note(std::string_view tenant, WallTime began, Time now);
    // What changed since then, or all of it.
    std::vector<UsageCount> counts_changed_since(Time) const;
    std::vector<UsageCount> all() const { return counts_changed_since(Time {}); }
    // Windows before this one were reported, or are too old to be.
    void forget_before(std::int64_t window);

private:
    struct Count {
        std::int64_t requests = 0;
        Time changed {};
    };

    UsageWindows windows_;
    std::map<std::int64_t, std::map<std::string, Count, std::less<>>> counts_; // By window and tenant.
};

}
