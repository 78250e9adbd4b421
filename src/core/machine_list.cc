#include "src/core/machine_list.h"

#include <nlohmann/json.hpp>

#include "src/base/bounded_json.h"
#include "src/base/json_numbers.h"

#include "src/base/hash.h"

namespace saltquay {
namespace {

using Json = nlohmann::json;

absl::Status Corrupt(const std::string& cause) {
  return MakeError(ErrorKind::kCorrupt, "the machine list does not parse; check the platform: " + cause);
}

Machine MachineFromJson(const Json& row) {
  Machine machine;
  machine.id = ReadInteger<std::uint32_t>(row.at("id"));
  machine.kind = row.at("kind").get<std::string>() == "engine" ? MachineKind::kEngine : MachineKind::kNode;
  machine.state = row.at("state").get<std::string>() == "leaving" ? MachineState::kLeaving : MachineState::kLive;
  machine.zone_name = row.at("zone").get<std::string>();
  machine.zone = MakeZoneId(machine.zone_name);
  machine.address = row.at("address").get<std::string>();
  machine.pool = row.value("pool", "");
  return machine;
}

}  // namespace

std::string SerializeMachineList(const MachineList& list) {
  Json machines = Json::array();
  for (const Machine& machine : list.machines) {
    Json row = {{"id", machine.id},
                {"kind", machine.kind == MachineKind::kEngine ? "engine" : "node"},
                {"state", machine.state == MachineState::kLeaving ? "leaving" : "live"},
                {"zone", machine.zone_name},
                {"address", machine.address}};
    if (!machine.pool.empty()) row["pool"] = machine.pool;
    machines.push_back(row);
  }
  return Json{{"revision", list.revision}, {"machines", machines}}.dump();
}

absl::StatusOr<MachineList> ParseMachineList(const std::string& text) {
  try {
    const absl::StatusOr<Json> parsed = ParseBoundedJson(text);
    if (!parsed.ok()) return Corrupt(MessageOf(parsed.status()));
    const Json& json = *parsed;
    MachineList list;
    list.revision = ReadInteger<std::uint64_t>(json.at("revision"));
    for (const Json& row : json.at("machines")) list.machines.push_back(MachineFromJson(row));
    return list;
  } catch (const Json::exception& error) {
    return Corrupt(error.what());
  }
}

}  // namespace saltquay
