// Predicts the prefill time of a prompt as a fixed overhead plus tokens divided by a rate, learned from prefills that
// ran alone on their engine.
//
// The assumed content of an engine's KV cache may be wrong in both directions, so a prefill seems too slow if cached
// parts had been evicted and too fast if unknown parts were cached. The model therefore tracks quantiles instead of
// means. Short prompts determine the overhead and long ones the rate. Before the first measurement, it uses
// `initial_rate`.
#pragma once

#include <cstdint>

#include "src/base/time.h"

namespace saltquay::admission {

struct PrefillTimeModelParameters {
    double initial_rate = 30; // Prompt tokens per millisecond before any measurement.
    double rate_quantile = 0.8;
    double overhead_quantile = 0.3;
    double initial_step = 0.5;             // Relative change by a sample at the beginning.
    double median_step = 0.03;             // Smallest relative change of the median rate.
    double min_step = 0.05;                // Smallest relative change of the overhead and the rate, after many samples.
    int max_overhead_sample_tokens = 1024; // Prompts up to this size update the overhead.
    int min_rate_sample_tokens = 2048;     // Prompts from this size update the rate.
};

class PrefillTimeModel {
public:
    explicit PrefillTimeModel(PrefillTimeModelParameters const& parameters)
        : parameters_(parameters)
        , rate_(parameters.initial_rate)
        , median_rate_(parameters.initial_rate)
    {
    }

    // Records a prefill of `tokens` that took `time` without delay by other work.
    void record_sample(std::int64_t tokens, Duration time);

    // Prompt tokens per millisecond on an idle engine.
    double rate() const { return rate_; }
    // Median of the effective rate, given the assumed content of the engines' KV caches. Includes the overhead and the
    // prefill of parts that had been evicted.
    double median_rate() const { return median_rate_; }
    // Whether the rate was measured at least once.
    bool learned() const { return rate_samples_ > 0; }
    // The part of the prefill time that does not depend on the prompt's size.
    double fixed_overhead_ms() const { return fixed_overhead_ms_; }
    double predict_ms(std::int64_t tokens) const { return fixed_overhead_ms_ + static_cast<double>(tokens) / rate_; }
    // Moving average of |predicted - measured| / measured; 0: no samples yet.
    double relative_error() const { return relative_error_; }

private:
    double step_size(int samples) const;
    void update_overhead(double milliseconds);
    void update_rate(double rate);

    PrefillTimeModelParameters parameters_;
    double rate_ = 1;
    double median_rate_ = 1;
    double fixed_overhead_ms_ = 0;
    double relative_error_ = 0;
    int median_samples_ = 0;
    int overhead_samples_ = 0;
    int rate_samples_ = 0;
};

}
