// Seeded randomness. The core takes it from its driver and has no other.
#pragma once

#include <cstdint>
#include <random>

#include "src/base/time.h"

namespace saltquay {

// A seeded generator. Not thread-safe; each owner has its own.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  // Returns a uniform integer in [0, bound). `bound` must be positive.
  std::uint64_t Below(std::uint64_t bound) {
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine_);
  }
  // Returns a uniform number in [0, 1).
  double Unit() { return std::uniform_real_distribution<double>(0.0, 1.0)(engine_); }
  // Returns true with the given probability.
  bool Chance(double probability) { return Unit() < probability; }
  // Returns an exponentially distributed number with the given mean.
  double Exponential(double mean) { return std::exponential_distribution<double>(1.0 / mean)(engine_); }
  // Returns a uniform duration in [0, bound). `bound` must be positive.
  Duration DurationBelow(Duration bound) {
    return Duration{static_cast<std::int64_t>(Below(static_cast<std::uint64_t>(bound.count())))};
  }
  // Returns 64 random bits.
  std::uint64_t Bits() { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace saltquay
