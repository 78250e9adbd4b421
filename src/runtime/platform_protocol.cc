#include "src/runtime/platform_protocol.h"

#include <nlohmann/json.hpp>

#include "src/base/bounded_json.h"
#include "src/base/json_numbers.h"

namespace saltquay {
namespace {

using Json = nlohmann::json;

absl::Status Corrupt(const std::string& cause) {
  return MakeError(ErrorKind::kCorrupt, "the platform's answer does not parse: " + cause);
}

}  // namespace

std::string EncodeStoredObject(const StoredObject& object) {
  return Json{{"version", object.version}, {"value", object.value}}.dump(-1, ' ', false,
                                                                         Json::error_handler_t::replace);
}

std::string EncodeObjectWrite(const ObjectWrite& write) {
  return Json{{"expected_version", write.expected_version}, {"value", write.value}}.dump(
      -1, ' ', false, Json::error_handler_t::replace);
}

absl::StatusOr<StoredObject> DecodeStoredObject(const std::string& text) {
  try {
    const absl::StatusOr<Json> parsed = ParseBoundedJson(text);
    if (!parsed.ok()) return Corrupt(MessageOf(parsed.status()));
    const Json& json = *parsed;
    return StoredObject{ReadInteger<std::uint64_t>(json.at("version")), json.at("value").get<std::string>()};
  } catch (const Json::exception& error) {
    return Corrupt(error.what());
  }
}

absl::StatusOr<ObjectWrite> DecodeObjectWrite(const std::string& text) {
  try {
    const absl::StatusOr<Json> parsed = ParseBoundedJson(text);
    if (!parsed.ok()) return Corrupt(MessageOf(parsed.status()));
    const Json& json = *parsed;
    return ObjectWrite{ReadInteger<std::uint64_t>(json.at("expected_version")), json.at("value").get<std::string>()};
  } catch (const Json::exception& error) {
    return Corrupt(error.what());
  }
}

}  // namespace saltquay
