// The fleet command: hollow gateways, their costs by role as JSON.
#include <iostream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "src/simulation/commands.h"
#include "src/simulation/gateway_fleet.h"
#include "src/simulation/numeric_settings.h"

namespace saltquay {
namespace {

using Json = nlohmann::json;

absl::Status ApplyFleetSettings(const std::vector<std::string>& settings, GatewayFleetOptions* options) {
  constexpr int kMax = 100'000;
  const NumericSetting rows[] = {{"nodes", &options->nodes, nullptr},
                                 {"engines", &options->engines, nullptr},
                                 {"zones", &options->zones, nullptr},
                                 {"fast_nodes_per_zone", &options->fast_nodes_per_zone, nullptr},
                                 {"requests_per_s", nullptr, &options->requests_per_s},
                                 {"loss", nullptr, &options->loss},
                                 {"warmup", nullptr, &options->warmup_s},
                                 {"measured", nullptr, &options->measured_s}};
  absl::Status applied = ApplyNumericSettings(settings, rows, kMax);
  if (!applied.ok()) return applied;
  if (options->nodes < 2 || options->engines < 1 || options->zones < 1 || options->measured_s <= 0) {
    return MakeError(ErrorKind::kInvalidSetting, "at least 2 nodes, an engine and a zone are needed; raise the number");
  }
  return absl::OkStatus();
}

Json RoleJson(const RoleCosts& role) {
  return {{"nodes", role.nodes},
          {"bytes_out", role.bytes_out},
          {"bytes_in", role.bytes_in},
          {"datagrams_out", role.datagrams_out},
          {"datagrams_in", role.datagrams_in},
          {"core_share", role.core_share},
          {"max_bytes_out", role.max_bytes_out},
          {"max_bytes_in", role.max_bytes_in},
          {"max_core_share", role.max_core_share}};
}

}  // namespace

int FleetCommand(const CommandArguments& arguments) {
  GatewayFleetOptions options;
  const absl::Status settings = ApplyFleetSettings(arguments.settings, &options);
  if (!settings.ok()) {
    std::cerr << MessageOf(settings) << "\n";
    return kExitWrongUse;
  }
  const GatewayFleetCosts costs = RunGatewayFleet(options, arguments.first_seed);
  Json json = {{"nodes", options.nodes},
               {"engines", options.engines},
               {"bytes_between_zones", costs.bytes_between_zones},
               {"digest_age_s", costs.digest_age_s},
               {"max_digest_age_s", costs.max_digest_age_s},
               {"known_members", costs.known_members},
               {"failure_known_s", costs.failure_known_s},
               {"new_node_known_s", costs.new_node_known_s},
               {"lost_node_forgotten_s", costs.lost_node_forgotten_s}};
  for (const auto& [name, role] : costs.by_role) json["roles"][name] = RoleJson(role);
  std::cout << (arguments.json ? json.dump() : json.dump(2)) << "\n";
  return EXIT_SUCCESS;
}

}  // namespace saltquay
