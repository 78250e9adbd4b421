#include "saltquay/admission/concurrency_window.h"

#include <algorithm>
#include <cmath>

namespace saltquay::admission {

namespace {

// Refusals narrow the window so many times as often as slow prompts: each may cost a retry.
constexpr int refusals_in_target = 4;

}

void ConcurrencyWindow::record_latency(Time now, Duration took, Duration target)
{
    // One prompt that took very long says no more than that the engines are busy.
    constexpr double largest_ratio = 4;
    auto const ratio = std::min(largest_ratio, ToSeconds(took) / ToSeconds(target));
    mean_seconds_ += parameters_.smoothing * (ToSeconds(took) - mean_seconds_);
    ratio_ += parameters_.smoothing * (ratio - ratio_);
    if (ratio_ <= 1) {
        // What was not used says nothing of a deeper window.
        constexpr double used_share = 0.75;
        if (under_way_ + 1 >= used_share * limit())
            depth_ = std::min(parameters_.max_depth, depth_ + parameters_.widening / limit());
        return;
    }
    narrow(now, target, std::max(parameters_.sharpest_narrowing, std::sqrt(1 / ratio_)));
}

void ConcurrencyWindow::record_rejection(Time now, Duration target)
{
    narrow(now, target / refusals_in_target, parameters_.sharpest_narrowing);
}

void ConcurrencyWindow::narrow(Time now, Duration pause, double factor)
{
    if (now < narrowed_at_ + pause)
        return;
    narrowed_at_ = now;
    depth_ = std::max(parameters_.least_depth, depth_ * factor);
}

}
