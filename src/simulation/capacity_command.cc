// The capacity command: hollow fleets, their costs as a table or JSON.
#include <iostream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "src/simulation/commands.h"
#include "src/simulation/hollow_fleet.h"
#include "src/simulation/numeric_settings.h"

namespace saltquay {
namespace {

using Json = nlohmann::json;

absl::Status ApplyHollowSettings(const std::vector<std::string>& settings, HollowOptions* options) {
  constexpr int kMax = 1'000'000;
  const NumericSetting rows[] = {{"nodes", &options->nodes, nullptr},
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
  absl::Status applied = ApplyNumericSettings(settings, rows, kMax);
  if (!applied.ok()) return applied;
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
