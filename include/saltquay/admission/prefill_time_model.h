// How long an engine takes to read a prompt: a fixed part and a rate, learned
// from readings that were alone at their engine.
//
// What is known of an engine's memory is uncertain both ways, so single
// readings look too slow (parts had given way) or too fast (parts were kept
// that nobody knew of). The model follows quantiles instead of means: small
// prompts give the fixed part, long ones the rate. Until it has learned, it
// answers with the first rate of its parameters.
#pragma once

#include <cstdint>

#include "src/base/time.h"

namespace saltquay::admission {

struct PrefillTimeModelParameters {
    double first_rate = 30; // Prompt tokens in a millisecond, before anything was measured.
    double rate_quantile = 0.8;
    double fixed_quantile = 0.3;
    double first_step = 0.5; // Relative change by one reading at the beginning,
    double typical_step = 0.03;
    double last_step = 0.05; // and after many.
    int short_tokens = 1024; // Readings up to this size tell the fixed part,
    int long_tokens = 2048;  // from this size the rate.
};

class PrefillTimeModel {
public:
    explicit PrefillTimeModel(PrefillTimeModelParameters const& parameters)
        : parameters_(parameters)
        , rate_(parameters.first_rate)
        , typical_rate_(parameters.first_rate)
    {
    }

    // A reading of `tokens` that nothing else delayed took `time`.
    void note(std::int64_t tokens, Duration time);

    // Prompt tokens in a millisecond of an idle engine.
    double rate() const { return rate_; }
    // The same as it comes out on average by what is believed of the engines'
    // memories: parts that had given way are read as well.
    double median_rate() const { return typical_rate_; }
    // Whether any reading told of the rate.
    bool learned() const { return rate_readings_ > 0; }
    // Milliseconds of a reading that do not depend on its size.
    double fixed_overhead_ms() const { return fixed_ms_; }
    double predict_ms(std::int64_t tokens) const { return fixed_ms_ + static_cast<double>(tokens) / rate_; }
    // Mean of |predicted - real| / real over the last readings; 0: none yet.
    double relative_error() const { return relative_error_; }

private:
    double step(int readings) const;
    void note_fixed(double milliseconds);
    void note_rate(double rate);

    PrefillTimeModelParameters parameters_;
    double rate_ = 1;
    double typical_rate_ = 1;
    double fixed_ms_ = 0;
    double relative_error_ = 0;
    int typical_readings_ = 0;
    int fixed_readings_ = 0;
    int rate_readings_ = 0;
};

}
