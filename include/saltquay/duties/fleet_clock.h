// The time of day according to the majority of the fleet.
//
// A machine's wall clock may be off by seconds and may jump. Each node reports its wall clock to its peers; relative to
// the local monotonic clock that gives one offset per node. The median of the offsets is not affected by a minority of
// wrong clocks, however they jump. The transit time of the reports is neglected: it is a few milliseconds.
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <string_view>

#include "src/base/time.h"

namespace saltquay::duties {

// Milliseconds since 1970.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

class FleetClock {
public:
    // Records the reading of this machine's wall clock at `now`.
    void record_local_clock(Time now, WallTime);
    // Records the reading of a peer's wall clock in a message that arrived at `now`.
    void record_peer_clock(std::string_view node, Time now, WallTime);

    // The median of this machine's clock and the peer clocks reported within `sample_retention` (see the source file).
    WallTime at(Time now) const;
    // How far this machine's clock is ahead of the fleet's; negative if behind.
    std::chrono::milliseconds local_clock_error(Time now) const;

private:
    struct Sample {
        std::chrono::milliseconds offset {}; // Wall clock minus monotonic clock.
        Time at {};
    };

    std::chrono::milliseconds median_offset(Time now) const;

    std::chrono::milliseconds local_offset_ {};
    std::map<std::string, Sample, std::less<>> peers_;
};

}
