// Text as the inside of a JSON string.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "absl/functional/function_ref.h"

namespace saltquay {

// Maximum length of a text in the log that someone else chose, in bytes.
inline constexpr std::size_t kMaxLoggedBytes = 512;

// Passes `text`, which is UTF-8, piece by piece as the inside of a JSON string in ASCII. Invalid bytes become U+FFFD.
// Allocates nothing.
void EscapeJsonTo(std::string_view text, absl::FunctionRef<void(std::string_view)> add);
std::string EscapeJson(std::string_view text);
// Escapes at most `max_bytes` of `text`, at the end of a character, and appends "..." to a text that is longer.
std::string EscapeJsonPrefix(std::string_view text, std::size_t max_bytes);

}  // namespace saltquay
