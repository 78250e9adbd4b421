// A token bucket that refills with elapsed time.
#pragma once

#include <algorithm>

#include "src/base/time.h"

namespace saltquay::limits {

class TokenBucket {
public:
    // `rate`: units per second.
    TokenBucket(Time now, double rate, double depth, double level)
        : rate_(rate)
        , depth_(depth)
        , level_(std::min(level, depth))
        , updated_at_(now)
    {
        update_last_full();
    }

    void set_limit(Time now, double rate, double depth)
    {
        fill(now);
        rate_ = rate;
        depth_ = depth;
        level_ = std::min(level_, depth);
        update_last_full();
    }
    // Advances to `now` without refilling, for a period in which an unknown amount was taken elsewhere.
    void skip_to(Time now, double max_level)
    {
        updated_at_ = std::max(updated_at_, now);
        level_ = std::min(level_, max_level);
    }
    // Takes `cost` if the level is at least the smaller of `cost` and `admission_level`. A larger cost makes the level
    // negative.
    bool take(Time now, double cost, double admission_level)
    {
        fill(now);
        if (level_ < std::min(cost, admission_level))
            return false;
        level_ -= cost;
        return true;
    }
    // Removes the units that were filled while the rate was too high by `excess` during the last `duration`. The level
    // may become negative.
    void revoke(Time now, double excess, Duration duration)
    {
        fill(now);
        level_ -= excess * ToSeconds(std::min(duration, now - last_full_at_)); // A full bucket was not filled further.
    }
    // Adds a refund or the level of another bucket.
    void credit(Time now, double amount)
    {
        fill(now);
        level_ = std::min(depth_, level_ + amount);
        update_last_full();
    }
    // Returns the time until `take` would succeed if nothing else is taken; at most `max_wait`, also if it never would.
    Duration time_until_available(Time now, double cost, double admission_level, Duration max_wait)
    {
        fill(now);
        auto const needed = std::min(cost, admission_level);
        auto const missing = needed - level_;
        if (missing <= 0)
            return Duration(0);
        auto const never = needed > depth_ || rate_ * ToSeconds(max_wait) <= missing;
        return never ? max_wait : FromSeconds(missing / rate_) + 1us; // Rounded up, so that the level suffices by then.
    }
    double level(Time now) const { return level_at(now); }

private:
    double level_at(Time now) const
    {
        return now <= updated_at_ ? level_ : std::min(depth_, level_ + rate_ * ToSeconds(now - updated_at_));
    }
    void fill(Time now)
    {
        level_ = level_at(now);
        updated_at_ = std::max(updated_at_, now);
        update_last_full();
    }
    void update_last_full()
    {
        if (level_ >= depth_)
            last_full_at_ = updated_at_;
    }

    double rate_ = 0;
    double depth_ = 0;
    double level_ = 0;
    Time updated_at_ {};
    Time last_full_at_ {}; // When the bucket was last full.
};

}
