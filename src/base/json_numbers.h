// Integers in JSON that someone else wrote.
#pragma once

#include <concepts>
#include <cstdint>
#include <utility>

#include <nlohmann/json.hpp>

namespace saltquay {

// Returns the integer in `value`. Throws nlohmann::json::other_error if it is another type or out of range, where the
// library's get() converts a fraction and wraps a number that is too large.
template <std::integral Integer>
Integer ReadInteger(const nlohmann::json& value) {
  if (value.is_number_unsigned() && std::in_range<Integer>(value.get<std::uint64_t>())) return value.get<Integer>();
  const bool fits =
      value.is_number_integer() && !value.is_number_unsigned() && std::in_range<Integer>(value.get<std::int64_t>());
  if (!fits) throw nlohmann::json::other_error::create(0, "a value is no integer in its range", nullptr);
  return value.get<Integer>();
}

}  // namespace saltquay
