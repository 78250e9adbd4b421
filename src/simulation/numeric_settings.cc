#include "src/simulation/numeric_settings.h"

#include <charconv>
#include <optional>
#include <string_view>

#include <fmt/format.h>

namespace saltquay {
namespace {

std::optional<double> ParseNumber(std::string_view text, double max) {
  double value = 0;
  const char* end = text.data() + text.size();
  const std::from_chars_result parsed = std::from_chars(text.data(), end, value);
  const bool number = !text.empty() && parsed.ec == std::errc() && parsed.ptr == end && value >= 0 && value <= max;
  return number ? std::optional(value) : std::nullopt;
}

bool SetNumber(std::string_view key, double value, std::span<const NumericSetting> settings) {
  for (const NumericSetting& setting : settings) {
    if (key != setting.name) continue;
    if (setting.whole != nullptr) *setting.whole = static_cast<int>(value);
    if (setting.number != nullptr) *setting.number = value;
    return true;
  }
  return false;
}

}  // namespace

absl::Status ApplyNumericSettings(const std::vector<std::string>& assignments, std::span<const NumericSetting> settings,
                                  int max) {
  for (const std::string& assignment : assignments) {
    if (assignment.empty()) continue;
    const std::size_t equals = assignment.find('=');
    const std::string text = equals == std::string::npos ? "" : assignment.substr(equals + 1);
    const std::optional<double> value = ParseNumber(text, max);
    if (!value || !SetNumber(assignment.substr(0, equals), *value, settings)) {
      return MakeError(
          ErrorKind::kInvalidSetting,
          fmt::format("'{}' is not known or not a number from 0 to {}; see docs/CAPACITY.md", assignment, max));
    }
  }
  return absl::OkStatus();
}

}  // namespace saltquay
