// A token bucket that fills by elapsed time.
#pragma once

#include <algorithm>

#include "src/base/time.h"

namespace saltquay::limits {

class TokenBucket {
public:
    // `rate`: units a second.
    TokenBucket(Time now, double rate, double depth, double level)
        : rate_(rate)
        , depth_(depth)
        , level_(std::min(level, depth))
        , filled_at_(now)
    {
        note_full();
    }

    void set_limit(Time now, double rate, double depth)
    {
        fill(now);
        rate_ = rate;
        depth_ = depth;
        level_ = std::min(level_, depth);
        note_full();
    }
    // Time passed of which it is not known what was taken elsewhere: nothing is filled for it.
    void skip_to(Time now, double most)
    {
        filled_at_ = std::max(filled_at_, now);
        level_ = std::min(level_, most);
    }
    // Takes the cost if the level holds it, or `enough` of it: the level goes below zero by the rest then.
    bool take(Time now, double cost, double enough)
    {
        fill(now);
        if (level_ < std::min(cost, enough))
            return false;
        level_ -= cost;
        return true;
    }
    // For `span` up to now the rate was too high by `excess`: takes back what that filled. The level may go below zero.
    void take_back(Time now, double excess, Duration span)
    {
        fill(now);
        level_ -= excess * ToSeconds(std::min(span, now - full_at_)); // A full bucket fills no further.
    }
    // Adds what was taken and not used, or what another bucket held.
    void credit(Time now, double amount)
    {
        fill(now);
        level_ = std::min(depth_, level_ + amount);
        note_full();
    }
    // How long until `take` would succeed, if nothing else is taken meanwhile; `longest` where it never would.
    Duration time_until(Time now, double cost, double enough, Duration longest)
    {
        fill(now);
        auto const needed = std::min(cost, enough);
        auto const missing = needed - level_;
        if (missing <= 0)
            return Duration(0);
        auto const never = needed > depth_ || rate_ * ToSeconds(longest) <= missing;
        return never ? longest : FromSeconds(missing / rate_) + 1us; // Rounded up: the level holds it by then.
    }
    double level(Time now) const { return level_at(now); }

private:
    double level_at(Time now) const
    {
        return now <= filled_at_ ? level_ : std::min(depth_, level_ + rate_ * ToSeconds(now - filled_at_));
    }
    void fill(Time now)
    {
        level_ = level_at(now);
        filled_at_ = std::max(filled_at_, now);
        note_full();
    }
    void note_full()
    {
        if (level_ >= depth_)
            full_at_ = filled_at_;
    }

    double rate_ = 0;
    double depth_ = 0;
    double level_ = 0;
    Time filled_at_ {};
    Time full_at_ {}; // When it was full last.
};

}
