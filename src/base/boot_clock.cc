#include "src/base/boot_clock.h"

#include <ctime>

#include <atomic>

namespace saltquay {
namespace {

std::atomic<BootClock::rep> suspended_for_tests = 0;

}  // namespace

BootClock::time_point BootClock::now() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  const duration since_boot = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
  return time_point(since_boot + duration(suspended_for_tests.load(std::memory_order_relaxed)));
}

void BootClock::Suspend(duration length) { suspended_for_tests += length.count(); }

}  // namespace saltquay
