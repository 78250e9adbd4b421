#include "saltquay/replica/freshness.h"

#include <algorithm>

#include "src/base/boot_clock.h"

namespace saltquay::replica {

Freshness::Freshness(boost::asio::io_context& loop, FreshnessKnobs const& knobs, std::function<void()> on_stale)
    : knobs_(knobs)
    , on_stale_(std::move(on_stale))
    , timer_(loop)
    , next_attempt_(knobs.first_retry)
{
}

void Freshness::confirm(Time complete_until, int hops)
{
    if (complete_until <= confirmed_)
        return;
    confirmed_ = complete_until;
    hops_ = hops;
    next_attempt_ = knobs_.first_retry;
    arm(std::max(Duration {}, confirmed_ + limit() - BootNow()));
}

std::chrono::milliseconds Freshness::until_next_confirmation(Time now) const
{
    // A watch that returns at once would be a poll.
    constexpr std::chrono::milliseconds shortest { 100 };
    auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(knobs_.confirm_interval - age(now));
    return std::clamp(left, shortest, knobs_.confirm_interval);
}

void Freshness::arm(Duration delay)
{
    timer_.expires_after(delay);
    timer_.async_wait([this](boost::system::error_code error) {
        if (error || is_fresh(BootNow()))
            return;
        arm(next_attempt_);
        next_attempt_ = std::min(2 * next_attempt_, knobs_.longest_retry);
        on_stale_();
    });
}

}
