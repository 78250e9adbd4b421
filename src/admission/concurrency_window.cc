#include "saltquay/admission/concurrency_window.h"

#include <algorithm>
#include <cmath>

namespace saltquay::admission {

namespace {

// Rejections may decrease the depth this many times per target duration, slow prompts only once: each rejection may
// cost a retry.
constexpr int rejection_decreases_per_target = 4;

}

void ConcurrencyWindow::record_latency(Time now, Duration took, Duration target)
{
    // Limits the influence of outliers: one very slow prompt only shows that the engines are busy.
    constexpr double max_ratio = 4;
    auto const ratio = std::min(max_ratio, ToSeconds(took) / ToSeconds(target));
    mean_latency_s_ += parameters_.smoothing * (ToSeconds(took) - mean_latency_s_);
    latency_ratio_ += parameters_.smoothing * (ratio - latency_ratio_);
    if (latency_ratio_ <= 1) {
        // Good latency in an unused window is no evidence that a larger one would work.
        constexpr double min_utilization = 0.75;
        if (in_flight_ + 1 >= min_utilization * limit())
            depth_ = std::min(parameters_.max_depth, depth_ + parameters_.depth_increase / limit());
        return;
    }
    decrease_depth(now, target, std::max(parameters_.min_decrease_factor, std::sqrt(1 / latency_ratio_)));
}

void ConcurrencyWindow::record_rejection(Time now, Duration target)
{
    decrease_depth(now, target / rejection_decreases_per_target, parameters_.min_decrease_factor);
}

void ConcurrencyWindow::decrease_depth(Time now, Duration min_interval, double factor)
{
    if (now < decreased_at_ + min_interval)
        return;
    decreased_at_ = now;
    depth_ = std::max(parameters_.min_depth, depth_ * factor);
}

}
