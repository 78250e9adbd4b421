// The Retry-After field of a response (RFC 9110, 10.2.3).
#pragma once

#include <optional>
#include <string_view>

#include "src/base/time.h"
#include "src/http/message.h"

namespace saltquay::gateway {

// A longer time is shortened to this.
inline constexpr Duration kMaxRetryAfter = 300s;

// Returns the time to wait: a number of seconds, which may have a fraction, or a date, which is compared to the
// response's Date field. Of several values the longest applies. Returns nullopt if there is none that can be read.
std::optional<Duration> ParseRetryAfter(const http::ResponseHead& head);

}  // namespace saltquay::gateway
