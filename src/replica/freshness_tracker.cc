#include "saltquay/replica/freshness_tracker.h"

#include <algorithm>

#include "src/base/boot_clock.h"

namespace saltquay::replica {

FreshnessTracker::FreshnessTracker(
    boost::asio::io_context& loop, FreshnessParameters const& parameters, std::function<void()> on_stale)
    : parameters_(parameters)
    , on_stale_(std::move(on_stale))
    , timer_(loop)
    , next_attempt_(parameters.initial_retry_delay)
{
}

void FreshnessTracker::confirm(Time valid_as_of, int hops)
{
    if (valid_as_of <= confirmed_)
        return;
    confirmed_ = valid_as_of;
    hops_ = hops;
    next_attempt_ = parameters_.initial_retry_delay;
    arm(std::max(Duration {}, confirmed_ + limit() - BootNow()));
}

std::chrono::milliseconds FreshnessTracker::time_to_next_confirmation(Time now) const
{
    // A watch that returns at once would be a poll.
    constexpr std::chrono::milliseconds shortest { 100 };
    auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(parameters_.confirm_interval - age(now));
    return std::clamp(left, shortest, parameters_.confirm_interval);
}

void FreshnessTracker::arm(Duration delay)
{
    timer_.expires_after(delay);
    timer_.async_wait([this](boost::system::error_code error) {
        if (error || is_fresh(BootNow()))
            return;
        arm(next_attempt_);
        next_attempt_ = std::min(2 * next_attempt_, parameters_.max_retry_delay);
        on_stale_();
    });
}

}
