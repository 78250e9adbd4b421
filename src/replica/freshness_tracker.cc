#include "saltquay/replica/freshness_tracker.h"

#include <algorithm>

#include "src/base/boot_clock.h"

namespace saltquay::replica {

FreshnessTracker::FreshnessTracker(
    boost::asio::io_context& loop, FreshnessParameters const& parameters, std::function<void()> on_stale)
    : parameters_(parameters)
    , on_stale_(std::move(on_stale))
    , timer_(loop)
    , retry_delay_(parameters.initial_retry_delay)
{
}

void FreshnessTracker::confirm(Time valid_as_of, int hops)
{
    if (valid_as_of <= confirmed_)
        return;
    confirmed_ = valid_as_of;
    hops_ = hops;
    retry_delay_ = parameters_.initial_retry_delay;
    schedule_check(std::max(Duration {}, confirmed_ + limit() - BootNow()));
}

std::chrono::milliseconds FreshnessTracker::time_to_next_confirmation(Time now) const
{
    constexpr std::chrono::milliseconds min_watch_wait { 1 };
    auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(parameters_.confirm_interval - age(now));
    return std::clamp(left, min_watch_wait, parameters_.confirm_interval);
}

void FreshnessTracker::schedule_check(Duration delay)
{
    timer_.expires_after(delay);
    timer_.async_wait([this](boost::system::error_code error) {
        if (error || is_fresh(BootNow()))
            return;
        schedule_check(retry_delay_);
        retry_delay_ = std::min(2 * retry_delay_, parameters_.max_retry_delay);
        on_stale_();
    });
}

}
