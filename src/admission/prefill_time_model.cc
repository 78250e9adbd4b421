#include "saltquay/admission/prefill_time_model.h"

#include <algorithm>
#include <cmath>

namespace saltquay::admission {

namespace {

constexpr double microseconds_per_millisecond = 1000;
constexpr double min_overhead_ms = 0.1;
// After n samples the step is initial_step / (1 + n / step_halving_samples): half of the initial one after this many.
constexpr double step_halving_samples = 4;

}

double PrefillTimeModel::step_size(int samples) const
{
    return std::max(parameters_.min_step, parameters_.initial_step / (1 + samples / step_halving_samples));
}

void PrefillTimeModel::record_sample(std::int64_t tokens, Duration time)
{
    if (tokens <= 0 || time <= 0s)
        return;
    auto const milliseconds = static_cast<double>(time.count()) / microseconds_per_millisecond;
    constexpr double error_step = 0.05;
    relative_error_ += error_step * (std::abs(predict_ms(tokens) - milliseconds) / milliseconds - relative_error_);
    // The median rate follows all samples; predict_ms() uses only `rate_` and the overhead.
    auto const tokens_per_ms = static_cast<double>(tokens) / milliseconds;
    // Starts with large steps, since the initial rate may be wrong by several times.
    auto const change =
        std::max(parameters_.median_step, parameters_.initial_step / (1 + median_samples_++ / step_halving_samples));
    median_rate_ *= tokens_per_ms > median_rate_ ? 1 + change : 1 / (1 + change);
    if (tokens <= parameters_.max_overhead_sample_tokens)
        update_overhead(milliseconds);
    if (tokens >= parameters_.min_rate_sample_tokens && milliseconds > fixed_overhead_ms_)
        update_rate(static_cast<double>(tokens) / (milliseconds - fixed_overhead_ms_));
}

// Stochastic quantile estimate, here and in update_rate(): with steps up weighted by the quantile q and steps down by
// 1 - q, the estimate settles where a share q of the samples lies below it.
void PrefillTimeModel::update_overhead(double milliseconds)
{
    if (overhead_samples_ == 0)
        fixed_overhead_ms_ = milliseconds;
    auto const quantile = parameters_.overhead_quantile;
    auto const change = step_size(overhead_samples_++);
    fixed_overhead_ms_ *= milliseconds > fixed_overhead_ms_ ? 1 + change * quantile : 1 - change * (1 - quantile);
    fixed_overhead_ms_ = std::max(fixed_overhead_ms_, min_overhead_ms);
}

void PrefillTimeModel::update_rate(double rate)
{
    if (rate_samples_ == 0)
        rate_ = rate;
    auto const quantile = parameters_.rate_quantile;
    auto const change = step_size(rate_samples_++);
    rate_ *= rate > rate_ ? 1 + change * quantile : 1 - change * (1 - quantile);
}

}
