#include "src/gateway/usage_codec.h"

#include <nlohmann/json.hpp>

#include "src/base/status.h"

namespace saltquay::gateway {

std::string EncodeSealedUsage(const duties::SealedUsage& sealed) {
  nlohmann::json reports = nlohmann::json::array();
  for (const duties::UsageReport& report : sealed.reports) {
    reports.push_back({{"window", report.window}, {"counts", report.counts}});
  }
  return nlohmann::json{{"reports", reports}}.dump();
}

absl::StatusOr<duties::SealedUsage> DecodeSealedUsage(const StoredObject& object) {
  try {
    const nlohmann::json content = nlohmann::json::parse(object.content);
    duties::SealedUsage sealed;
    sealed.revision = object.revision;
    for (const nlohmann::json& report : content.at("reports")) {
      sealed.reports.push_back(
          {report.at("window").get<std::int64_t>(), report.at("counts").get<duties::TenantCounts>()});
    }
    return sealed;
  } catch (const nlohmann::json::exception& error) {
    return MakeError(ErrorKind::kCorrupt,
                     std::string("the sealed usage reports do not decode: ") + error.what() + "; delete the object");
  }
}

}  // namespace saltquay::gateway
