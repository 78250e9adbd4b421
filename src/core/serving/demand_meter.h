// Measures the demand that a node's clients place on a language service, as the average number of engines kept busy
// with prefill and with decode.
#pragma once

#include <cmath>

#include "src/base/time.h"

namespace saltquay::serving {

// A rate per second, averaged with exponential decay.
class DecayingRate {
 public:
  explicit DecayingRate(Duration time_constant) : time_constant_seconds_(ToSeconds(time_constant)) {}

  void Add(double amount, Time now) {
    Decay(now);
    value_ += amount / time_constant_seconds_;
  }
  double Get(Time now) {
    Decay(now);
    return value_;
  }

 private:
  void Decay(Time now) {
    if (now > updated_at_) value_ *= std::exp(-ToSeconds(now - updated_at_) / time_constant_seconds_);
    updated_at_ = now;
  }

  double time_constant_seconds_;
  double value_ = 0;
  Time updated_at_{};
};

struct DemandMeter {
  explicit DemandMeter(Duration time_constant)
      : prefill(time_constant), unloaded_prefill(time_constant), decode(time_constant) {}
  DecayingRate prefill;           // Prefill engine-seconds per second, including network delay and queueing.
  DecayingRate unloaded_prefill;  // The same at the speed of an engine with no other work.
  DecayingRate decode;            // Decode engine-seconds per second.
};

}  // namespace saltquay::serving
