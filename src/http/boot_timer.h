// Timers by the machine's boot clock. What was due while the machine was suspended fires at the next turn of the loop
// after the wake: the reactor looks at all timers whenever one of them is over, and some are every few dozen
// milliseconds.
#pragma once

#include <utility>  // Boost 1.74's Asio needs it first under C++20.

#include <boost/asio/basic_waitable_timer.hpp>

#include "src/base/boot_clock.h"

namespace saltquay {

using BootTimer = boost::asio::basic_waitable_timer<BootClock>;

}  // namespace saltquay
