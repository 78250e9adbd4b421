#include "src/gateway/retry_after.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <ctime>
#include <string>

namespace saltquay::gateway {
namespace {

std::string_view Trimmed(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
  return text;
}

std::optional<double> ParseSeconds(std::string_view text) {
  double seconds = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), seconds, std::chars_format::fixed);
  const bool whole = result.ec == std::errc{} && result.ptr == text.data() + text.size();
  return whole && std::isfinite(seconds) && seconds >= 0 ? std::optional(seconds) : std::nullopt;
}

// Seconds since the epoch; nullopt if it is not a date of HTTP's preferred format.
std::optional<std::time_t> ParseDate(std::string_view text) {
  std::tm date{};
  const std::string terminated(text);
  const char* end = strptime(terminated.c_str(), "%a, %d %b %Y %H:%M:%S GMT", &date);
  return end != nullptr && *end == '\0' ? std::optional(timegm(&date)) : std::nullopt;
}

std::optional<double> SecondsUntil(std::string_view text, const http::ResponseHead& head) {
  const std::optional<std::time_t> until = ParseDate(text);
  const std::optional<std::time_t> sent = ParseDate(Trimmed(head.fields.Find("Date").value_or("")));
  if (!until || !sent) return std::nullopt;
  return std::max(0.0, std::difftime(*until, *sent));
}

}  // namespace

std::optional<Duration> ParseRetryAfter(const http::ResponseHead& head) {
  std::optional<Duration> longest;
  for (const http::Field& field : head.fields.all()) {
    if (!http::SameName(field.name, "Retry-After")) continue;
    const std::string_view text = Trimmed(field.value);
    std::optional<double> seconds = ParseSeconds(text);
    if (!seconds) seconds = SecondsUntil(text, head);
    if (!seconds) continue;
    const Duration time = FromSeconds(std::min(*seconds, ToSeconds(kMaxRetryAfter)));
    longest = std::max(longest.value_or(time), time);
  }
  return longest;
}

}  // namespace saltquay::gateway
