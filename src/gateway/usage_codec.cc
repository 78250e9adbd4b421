#include "src/gateway/usage_codec.h"

#include <limits>
#include <optional>

#include <nlohmann/json.hpp>

#include "src/base/bounded_json.h"
#include "src/base/status.h"

namespace saltquay::gateway {
namespace {

using nlohmann::json;

// Later windows have no time that the clock's type can express.
constexpr std::uint64_t kMaxWindow = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t kMaxCount = std::numeric_limits<std::int64_t>::max();

absl::Status Corrupt(const std::string& cause) {
  return MakeError(ErrorKind::kCorrupt, "the sealed usage reports do not decode: " + cause + "; delete the object");
}

std::optional<std::int64_t> ReadCount(const json& value, std::uint64_t max) {
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max) return std::nullopt;
  return value.get<std::int64_t>();
}

std::optional<duties::UsageReport> ReadReport(const json& value) {
  if (!value.is_object()) return std::nullopt;
  const auto window = value.find("window");
  const auto counts = value.find("counts");
  if (window == value.end() || counts == value.end() || !counts->is_object()) return std::nullopt;
  const std::optional<std::int64_t> number = ReadCount(*window, kMaxWindow);
  if (!number) return std::nullopt;
  duties::UsageReport report{*number, {}};
  for (const auto& [tenant, requests] : counts->items()) {
    const std::optional<std::int64_t> count = ReadCount(requests, kMaxCount);
    if (!count) return std::nullopt;
    report.counts.emplace(tenant, *count);
  }
  return report;
}

}  // namespace

std::string EncodeSealedUsage(const duties::SealedUsage& sealed) {
  json reports = json::array();
  for (const duties::UsageReport& report : sealed.reports) {
    reports.push_back({{"window", report.window}, {"counts", report.counts}});
  }
  return json{{"reports", reports}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<duties::SealedUsage> DecodeSealedUsage(const StoredObject& object) {
  const absl::StatusOr<json> content = ParseBoundedJson(object.content);
  if (!content.ok()) return Corrupt(MessageOf(content.status()));
  const auto reports = content->is_object() ? content->find("reports") : content->end();
  if (reports == content->end() || !reports->is_array()) return Corrupt("'reports' is missing or no list");
  duties::SealedUsage sealed;
  sealed.revision = object.revision;
  for (const json& item : *reports) {
    std::optional<duties::UsageReport> report = ReadReport(item);
    if (!report) return Corrupt("a report's window or counts are missing, of another type or out of range");
    const bool follows = sealed.reports.empty() || report->window > sealed.reports.back().window;
    if (!follows) return Corrupt("the reports are not in the order of their windows");
    sealed.reports.push_back(std::move(*report));
  }
  return sealed;
}

}  // namespace saltquay::gateway
