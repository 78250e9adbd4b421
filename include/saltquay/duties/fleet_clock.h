// The time of day as most of the fleet has it.
//
// A machine's own clock may be seconds off, and may jump there and back. Each node
// tells its peers what its clock says; against a clock that only runs on, that
// gives one offset for each. The median is not moved by a minority of
// wrong clocks, wherever they jump. The way of a message is counted as nothing:
// a few milliseconds.
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <string_view>

#include "src/base/time.h"

namespace saltquay::duties {

// Since 1970.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

class FleetClock {
public:
    // What this machine's clock says at `now`.
    void record_own_clock(Time now, WallTime);
    // What a peer's clock said in a message that came at `now`.
    void record_peer_clock(std::string_view node, Time now, WallTime);

    // The median of what the peers heard lately and this machine say.
    WallTime at(Time now) const;
    // How far this machine's own clock is ahead of the fleet's; negative: behind.
    std::chrono::milliseconds own_clock_error(Time now) const;

private:
    struct Sample {
        std::chrono::milliseconds offset {}; // Of the wall clock from the running one.
        Time at {};
    };

    std::chrono::milliseconds median_offset(Time now) const;

    std::chrono::milliseconds own_offset_ {};
    std::map<std::string, Sample, std::less<>> peers_;
};

}
