// Parsing of JSON that someone else wrote.
#pragma once

#include <cstddef>
#include <string_view>

#include <nlohmann/json.hpp>

#include "absl/status/statusor.h"

namespace saltquay {

// Copying and serializing a value recurse once per level, so that an unlimited depth would exhaust the stack.
inline constexpr std::size_t kMaxJsonDepth = 64;

// Parses `text`. Of members with the same name, the last one counts. Returns kCorrupt if the text is not JSON, is
// nested deeper than kMaxJsonDepth arrays and objects, or contains a number beyond the range of a double. The message
// names the cause and its position and does not repeat any of the text. Never throws.
absl::StatusOr<nlohmann::json> ParseBoundedJson(std::string_view text);

// Returns in how many levels arrays and objects are nested in `text`, which need not be JSON.
std::size_t JsonDepth(std::string_view text);

}  // namespace saltquay
