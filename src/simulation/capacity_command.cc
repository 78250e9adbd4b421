// The capacity command: hollow fleets, their costs as a table or JSON.
#include <charconv>
#include <iostream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "src/simulation/commands.h"
#include "src/simulation/hollow_fleet.h"

namespace saltquay {
namespace {

using Json = nlohmann::json;

bool SetHollowOption(const std::string& key, double value, HollowOptions* options) {
  const struct {
    const char* name;
    int* whole;
    double* number;
  } rows[] = {{"nodes", &options->nodes, nullptr},
              {"engines", &options->engines, nullptr},
              {"cells", &options->cells, nullptr},
              {"zones_per_cell", &options->zones_per_cell, nullptr},
              {"tenants", &options->tenants, nullptr},
              {"warmup", nullptr, &options->warmup_seconds},
              {"measured", nullptr, &options->measured_seconds},
              {"restarts_per_day", nullptr, &options->restarts_per_day},
              {"changes_per_day", nullptr, &options->changes_per_day},
              {"rack_lost_at", nullptr, &options->rack_lost_at},
              {"zone_lost_at", nullptr, &options->zone_lost_at},
              {"platform_cut_at", nullptr, &options->platform_cut_at},
              {"lost_for", nullptr, &options->lost_for_seconds}};
  for (const auto& row : rows) {
    if (key != row.name) continue;
    if (row.whole != nullptr) *row.whole = static_cast<int>(value);
    if (row.number != nullptr) *row.number = value;
    return true;
  }
  return false;
}

absl::Status ApplyHollowSettings(const std::vector<std::string>& settings, HollowOptions* options) {
  for (const std::string& setting : settings) {
    if (setting.empty()) continue;
    const std::size_t equals = setting.find('=');
    const std::string text = equals == std::string::npos ? "" : setting.substr(equals + 1);
    double value = 0;
    const char* end = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(text.data(), end, value);
    const bool number = !text.empty() && parsed.ec == std::errc() && parsed.ptr == end && value >= 0 && value <= 1e6;
    if (!number || !SetHollowOption(setting.substr(0, equals), value, options)) {
      return MakeError(ErrorKind::kInvalidSetting,
                       "'" + setting + "' is not known or not a number from 0 to 1000000; see docs/CAPACITY.md");
    }
  }
  if (options->nodes < 3 || options->engines < 9 || options->cells < 1 || options->nodes / options->cells < 3) {
    return MakeError(ErrorKind::kInvalidSetting, "at least 3 nodes a cell and 9 engines are needed; raise the number");
  }
  return absl::OkStatus();
}

Json CostsJson(const HollowOptions& options, const HollowCosts& costs) {
  Json by_message = Json::object();
  for (const auto& [name, bytes] : costs.bytes_by_message) by_message[name] = bytes;
  return {{"nodes", options.nodes},
          {"engines", options.engines},
          {"cells", options.cells},
          {"tenants", options.tenants},
          {"bytes_out_per_second", costs.bytes_out_per_second},
          {"bytes_in_per_second", costs.bytes_in_per_second},
          {"worst_bytes_out_per_second", costs.worst_bytes_out_per_second},
          {"worst_bytes_in_per_second", costs.worst_bytes_in_per_second},
          {"core_share", costs.core_share},
          {"worst_core_share", costs.worst_core_share},
          {"memory_bytes", costs.memory_bytes},
          {"store_operations_per_second", costs.store_operations_per_second},
          {"state_reads_per_second", costs.state_reads_per_second},
          {"worst_in_force_seconds", costs.worst_in_force_seconds},
          {"rolls", costs.rolls},
          {"cells_with_leader", costs.cells_with_leader},
          {"bytes_by_message", by_message}};
}

}  // namespace

int CapacityCommand(const CommandArguments& arguments) {
  HollowOptions options;
  const absl::Status settings = ApplyHollowSettings(arguments.settings, &options);
  if (!settings.ok()) {
    std::cerr << MessageOf(settings) << "\n";
    return kExitWrongUse;
  }
  options.parameters = ParametersForCell(options.nodes / options.cells);
  const Json json = CostsJson(options, RunHollowFleet(options, arguments.first_seed));
  std::cout << (arguments.json ? json.dump() : json.dump(2)) << "\n";
  return EXIT_SUCCESS;
}

}  // namespace saltquay
