// The clock of every deadline, age and lease of this process: time since the machine's boot, suspensions included.
//
// The standard's steady clock stands still while a machine is suspended: a lease, a key or what a peer told would seem
// as fresh after the wake as before it.
#pragma once

#include <chrono>

#include "src/base/time.h"

namespace saltquay {

struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, duration>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming): the standard's name.

  static time_point now();  // NOLINT(readability-identifier-naming): the standard's name.

  // For tests: from now on the clock is ahead by so much more, as after a suspension of that length.
  static void Suspend(duration length);
};

// The same as the core's time.
inline Time BootNow() { return Time(std::chrono::duration_cast<Duration>(BootClock::now().time_since_epoch())); }

}  // namespace saltquay
