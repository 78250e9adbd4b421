#include "saltquay/admission/prefill_time_model.h"

#include <algorithm>
#include <cmath>

namespace saltquay::admission {

namespace {

constexpr double microseconds_in_millisecond = 1000;
constexpr double least_fixed_ms = 0.1;
constexpr double halving_readings = 4; // After so many the first step is half as large.

}

double PrefillTimeModel::step(int readings) const
{
    return std::max(parameters_.last_step, parameters_.first_step / (1 + readings / halving_readings));
}

void PrefillTimeModel::note(std::int64_t tokens, Duration time)
{
    if (tokens <= 0 || time <= 0s)
        return;
    auto const milliseconds = static_cast<double>(time.count()) / microseconds_in_millisecond;
    constexpr double error_step = 0.05;
    relative_error_ += error_step * (std::abs(predict_ms(tokens) - milliseconds) / milliseconds - relative_error_);
    auto const typical = static_cast<double>(tokens) / milliseconds;
    // The first guess may be wrong several times over.
    auto const change =
        std::max(parameters_.typical_step, parameters_.first_step / (1 + typical_readings_++ / halving_readings));
    typical_rate_ *= typical > typical_rate_ ? 1 + change : 1 / (1 + change);
    if (tokens <= parameters_.short_tokens)
        note_fixed(milliseconds);
    if (tokens >= parameters_.long_tokens && milliseconds > fixed_ms_)
        note_rate(static_cast<double>(tokens) / (milliseconds - fixed_ms_));
}

// Steps up and down in proportions that balance at the quantile.
void PrefillTimeModel::note_fixed(double milliseconds)
{
    if (fixed_readings_ == 0)
        fixed_ms_ = milliseconds;
    auto const up = parameters_.fixed_quantile;
    auto const change = step(fixed_readings_++);
    fixed_ms_ *= milliseconds > fixed_ms_ ? 1 + change * up : 1 - change * (1 - up);
    fixed_ms_ = std::max(fixed_ms_, least_fixed_ms);
}

void PrefillTimeModel::note_rate(double rate)
{
    if (rate_readings_ == 0)
        rate_ = rate;
    auto const up = parameters_.rate_quantile;
    auto const change = step(rate_readings_++);
    rate_ *= rate > rate_ ? 1 + change * up : 1 - change * (1 - up);
}

}
