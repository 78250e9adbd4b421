#include "saltquay/duties/fleet_clock.h"

#include <algorithm>
#include <vector>

namespace saltquay::duties {

namespace {

// In a large fleet a node receives reports from some ten peers directly in this time; a clock drifts by far less than a
// millisecond.
constexpr Duration sample_retention = 15s;

std::chrono::milliseconds offset_of(Time now, WallTime wall)
{
    return wall.time_since_epoch() - std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
}

}

void FleetClock::record_local_clock(Time now, WallTime wall)
{
    local_offset_ = offset_of(now, wall);
    std::erase_if(peers_, [&](auto const& entry) { return now - entry.second.at > sample_retention; });
}

void FleetClock::record_peer_clock(std::string_view node, Time now, WallTime wall)
{
    auto entry = peers_.find(node);
    if (entry == peers_.end())
        entry = peers_.emplace(std::string(node), Sample {}).first;
    entry->second = { offset_of(now, wall), now };
}

std::chrono::milliseconds FleetClock::median_offset(Time now) const
{
    std::vector<std::chrono::milliseconds> offsets { local_offset_ };
    for (auto const& [node, sample] : peers_) {
        if (now - sample.at <= sample_retention)
            offsets.push_back(sample.offset);
    }
    auto const middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    return *middle;
}

WallTime FleetClock::at(Time now) const
{
    return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()) + median_offset(now));
}

std::chrono::milliseconds FleetClock::local_clock_error(Time now) const { return local_offset_ - median_offset(now); }

}
