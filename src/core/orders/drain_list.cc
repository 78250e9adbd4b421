// The drain list as an object that peers spread.
#include <nlohmann/json.hpp>

#include "src/base/bounded_json.h"
#include "src/base/json_numbers.h"
#include "src/core/orders/order_executor.h"

namespace saltquay {
namespace {

using Json = nlohmann::json;

absl::Status Corrupt(const std::string& cause) {
  return MakeError(ErrorKind::kCorrupt, "a drain list does not parse; drop it: " + cause);
}

}  // namespace

std::string SerializeDrainList(const DrainList& list) {
  Json engines = Json::array();
  for (const EngineId engine : list.engines) engines.push_back(engine.value);
  return Json{{"engines", engines}}.dump();
}

absl::StatusOr<DrainList> ParseDrainList(const std::string& text) {
  try {
    const absl::StatusOr<Json> parsed = ParseBoundedJson(text);
    if (!parsed.ok()) return Corrupt(MessageOf(parsed.status()));
    const Json& json = *parsed;
    DrainList list;
    for (const Json& engine : json.at("engines")) list.engines.insert(EngineId{ReadInteger<std::uint32_t>(engine)});
    return list;
  } catch (const Json::exception& error) {
    return Corrupt(error.what());
  }
}

}  // namespace saltquay
