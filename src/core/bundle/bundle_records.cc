#include "src/core/bundle/bundle_records.h"

#include <nlohmann/json.hpp>

#include "src/base/bounded_json.h"
#include "src/base/json_numbers.h"

namespace saltquay {
namespace {

using Json = nlohmann::json;

absl::Status Corrupt(const char* what, const std::string& cause) {
  return MakeError(ErrorKind::kCorrupt,
                   std::string("the stored ") + what + " does not parse; restore it from version control: " + cause);
}

}  // namespace

std::string BundleKey(const std::string& bundle_name) { return "bundles/" + bundle_name; }

std::string SerializeBundleRecord(const BundleRecord& record) {
  return Json{{"name", record.name},
              {"text", record.text},
              {"publisher", record.publisher},
              {"approver", record.approver},
              {"nonce", record.nonce}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string SerializeRolledRecord(const RolledRecord& record) {
  Json history = Json::array();
  for (const RollRecord& roll : record.history) history.push_back({roll.generation, roll.bundle_name, roll.rolled_by});
  Json earlier = Json::array();
  for (const EarlierVersion& row : record.earlier_versions) earlier.push_back({row.model, row.version.value});
  return Json{{"generation", record.generation}, {"name", record.bundle_name}, {"text", record.text},
              {"rolled_by", record.rolled_by},   {"nonce", record.nonce},      {"history", history},
              {"earlier_versions", earlier}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

absl::StatusOr<BundleRecord> ParseBundleRecord(const std::string& text) {
  try {
    const absl::StatusOr<Json> parsed = ParseBoundedJson(text);
    if (!parsed.ok()) return Corrupt("bundle", MessageOf(parsed.status()));
    const Json& json = *parsed;
    return BundleRecord{json.at("name").get<std::string>(), json.at("text").get<std::string>(),
                        json.at("publisher").get<std::string>(), json.at("approver").get<std::string>(),
                        json.at("nonce").get<std::string>()};
  } catch (const Json::exception& error) {
    return Corrupt("bundle", error.what());
  }
}

absl::StatusOr<RolledRecord> ParseRolledRecord(const std::string& text) {
  try {
    const absl::StatusOr<Json> parsed = ParseBoundedJson(text);
    if (!parsed.ok()) return Corrupt("rolled generation", MessageOf(parsed.status()));
    const Json& json = *parsed;
    RolledRecord record;
    record.generation = ReadInteger<std::uint64_t>(json.at("generation"));
    record.bundle_name = json.at("name").get<std::string>();
    record.text = json.at("text").get<std::string>();
    record.rolled_by = json.at("rolled_by").get<std::string>();
    record.nonce = json.at("nonce").get<std::string>();
    for (const Json& roll : json.at("history")) {
      record.history.push_back(RollRecord{ReadInteger<std::uint64_t>(roll.at(0)), roll.at(1).get<std::string>(),
                                          roll.at(2).get<std::string>()});
    }
    for (const Json& row : json.at("earlier_versions")) {
      record.earlier_versions.push_back(
          EarlierVersion{row.at(0).get<std::string>(), ModelVersionId{ReadInteger<std::uint32_t>(row.at(1))}});
    }
    return record;
  } catch (const Json::exception& error) {
    return Corrupt("rolled generation", error.what());
  }
}

}  // namespace saltquay
