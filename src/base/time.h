// Time types shared by every component.
//
// The decision core never reads a clock: each event carries the time at which
// the driver observed it, on that process's own monotonic clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace saltquay {

// Monotonic clock of one process. Only a tag for the type system.
struct NodeClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::microseconds;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming): the standard's name.
};

using Duration = std::chrono::microseconds;
using Time = std::chrono::time_point<NodeClock, Duration>;

using std::chrono_literals::operator""us;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

// Returns `duration` in seconds.
inline double ToSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

// Returns `seconds` rounded down to a whole microsecond.
inline Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace saltquay
