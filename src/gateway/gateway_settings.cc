#include "src/gateway/gateway_settings.h"

#include <algorithm>
#include <fstream>
#include <optional>
#include <sstream>

#include "src/base/config_reader.h"
#include "src/http/socket.h"

namespace saltquay::gateway {
namespace {

constexpr std::int64_t kMaxMilliseconds = 3600 * 1000;

std::string ReadAddress(ConfigReader& table, const char* key, const std::optional<std::string>& fallback) {
  std::string text = table.String(key, fallback);
  const bool left_out = text.empty() && fallback && fallback->empty();
  if (!left_out && !http::ParseEndpoint(text).ok()) {
    table.Fail(key, "is '" + text + "', not an address", "write it as 127.0.0.1:8100");
  }
  return text;
}

std::chrono::milliseconds ReadMilliseconds(ConfigReader& table, const char* key, std::int64_t fallback) {
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(table.Number(key, 0, kMaxMilliseconds, static_cast<double>(fallback))));
}

serving::SelectionPolicy ReadSelectionPolicy(ConfigReader& table) {
  const std::string text = table.String("selection", "cost");
  if (text == "round_robin") return serving::SelectionPolicy::kRoundRobin;
  if (text == "least_outstanding") return serving::SelectionPolicy::kLeastOutstanding;
  if (text != "cost") {
    table.Fail("selection", "is '" + text + "'", R"(write "cost", "round_robin" or "least_outstanding")");
  }
  return serving::SelectionPolicy::kCost;
}

admission::QueuePolicy ReadPrefillOrder(ConfigReader& table) {
  const std::string text = table.String("reading_order", "worth");
  if (text == "none") return admission::QueuePolicy::None;
  if (text == "first_come") return admission::QueuePolicy::FirstComeFirstServed;
  if (text != "worth") {
    table.Fail("reading_order", "is '" + text + "'", R"(write "worth", "first_come" or "none")");
  }
  return admission::QueuePolicy::ValuePerCost;
}

void ReadPolicies(ConfigReader& policy, GatewaySettings& settings) {
  settings.parameters.policy = ReadSelectionPolicy(policy);
  settings.changes_roles = policy.Boolean("change_roles", true);
  settings.parameters.prefill_order = ReadPrefillOrder(policy);
  settings.parameters.sheds_load = policy.Boolean("refuse_excess", true);
  settings.parameters.allows_overflow = policy.Boolean("overflow", true);
  settings.parameters.copies_prefix_parts = policy.Boolean("copy_parts", true);
  settings.parameters.estimates_unreported_work = policy.Boolean("guess_unseen", true);
  serving::CrashLedgerParameters& crashes = settings.parameters.crashes;
  crashes.culprits.threshold = static_cast<int>(policy.Integer("quarantine_ends", 1, 1000, crashes.culprits.threshold));
  crashes.quarantine = FromSeconds(policy.Number("quarantine_s", 0, 3600, ToSeconds(crashes.quarantine)));
  crashes.retention = std::max(crashes.retention, 2 * crashes.quarantine);
  settings.initial_prefill_share = policy.Number("initial_prefill_share", 0, 1, settings.initial_prefill_share);
  settings.parameters.max_unsplit_prompt_tokens = static_cast<int>(
      policy.Integer("whole_prompt_tokens", 0, 1000000, settings.parameters.max_unsplit_prompt_tokens));
}

void ReadBounds(ConfigReader& bounds, GatewaySettings& settings) {
  constexpr double kMillisecondsPerSecond = 1000;
  constexpr double kMaxSlack = 1e6;
  settings.grace = std::chrono::milliseconds(
      static_cast<std::int64_t>(bounds.Number("grace_s", 0, 3600, 8) * kMillisecondsPerSecond));
  settings.lease = ReadMilliseconds(bounds, "lease_ms", 3000);
  serving::RetryBudgetBounds& budget = settings.parameters.retry_budget;
  budget.ratio = bounds.Number("retry_budget_ratio", 0, 10, 0.2);
  budget.slack = bounds.Number("retry_budget_slack", 0, kMaxSlack, 0);
  budget.window = FromSeconds(bounds.Number("retry_window_s", 0.1, 3600, 10));
  constexpr double kMaxUnits = 1e15;
  limits::LimitTolerance& tolerance = settings.limit_tolerance;
  tolerance.window = FromSeconds(bounds.Number("limit_window_s", 0.1, 3600, ToSeconds(tolerance.window)));
  tolerance.overage = bounds.Number("limit_overage", 0, 10, tolerance.overage);
  tolerance.slack = static_cast<std::int64_t>(bounds.Number("limit_slack", 0, kMaxUnits, 0));
}

std::map<std::string, std::string, std::less<>> ReadRegions(ConfigReader& root) {
  std::map<std::string, std::string, std::less<>> regions;
  for (ConfigReader& zone : root.Tables("zones")) {
    const std::string name = zone.String("name", std::nullopt);
    const std::string region = zone.String("region", std::nullopt);
    if (!regions.emplace(name, region).second) zone.Fail("name", "is '" + name + "' twice", "name each zone once");
    zone.RejectUnreadKeys();
  }
  return regions;
}

DutySettings ReadDuties(ConfigReader& table) {
  constexpr double kMillisecondsPerSecond = 1000;
  DutySettings duties;
  duties.address = ReadAddress(table, "address", "");
  for (const std::string& call : table.Strings("calls")) {
    if (call == "usage") duties.reports_usage = true;
    if (call == "scaling") duties.orders_engines = true;
  }
  duties.report_window = std::chrono::milliseconds(
      static_cast<std::int64_t>(table.Number("report_window_s", 0.1, 3600, 5) * kMillisecondsPerSecond));
  return duties;
}

void ReadCapacity(ConfigReader& table, GatewaySettings& settings) {
  duties::CapacityPlannerParameters& parameters = settings.capacity;
  parameters.headroom = table.Number("headroom", 1, 100, parameters.headroom);
  parameters.failure_allowance = table.Number("failing_share", 0, 0.9, parameters.failure_allowance);
  parameters.on_demand_share = table.Number("ordinary_share", 0, 1, parameters.on_demand_share);
  parameters.cold_start_factor = table.Number("cold_factor", 1, 10, parameters.cold_start_factor);
  // Overrides the platform: the number of engines is never changed.
  if (!table.Boolean("order_engines", true)) settings.duties.orders_engines = false;
}

}  // namespace

absl::StatusOr<GatewaySettings> ParseGatewaySettings(const std::string& text, const std::string& source) {
  absl::StatusOr<ConfigReader> parsed = ConfigReader::Parse(text, source, ErrorKind::kInvalidSetting);
  if (!parsed.ok()) return parsed.status();
  ConfigReader root = *parsed;
  constexpr double kMaxLinkMbps = 10e6;
  GatewaySettings settings;
  settings.node_name = root.String("node_name", std::nullopt);
  settings.zone = root.String("zone", std::nullopt);
  settings.client_listen = ReadAddress(root, "client_listen", std::nullopt);
  settings.ready_listen = ReadAddress(root, "ready_listen", std::nullopt);
  settings.metrics_listen = ReadAddress(root, "metrics_listen", "");
  settings.peer_listen = ReadAddress(root, "peer_listen", "");
  settings.peer_seeds = root.Strings("peer_seeds");
  settings.store_address = ReadAddress(root, "store_address", std::nullopt);
  settings.link_mbps = static_cast<int>(root.Number("link_mbps", 0, kMaxLinkMbps, 0));
  constexpr int kMinMemoryMb = 64;
  constexpr int kMaxMemoryMb = 1024 * 1024;
  settings.memory_mb = static_cast<int>(root.Number("memory_mb", kMinMemoryMb, kMaxMemoryMb, settings.memory_mb));
  settings.fingerprint_key = root.String("fingerprint_key", "");
  settings.first_start = root.Boolean("first_start", false);
  settings.log_lines_per_second = static_cast<int>(root.Integer("log_lines_per_second", 1, 1000000, 2000));
  ConfigReader bounds = root.Table("bounds");
  ReadBounds(bounds, settings);
  bounds.RejectUnreadKeys();
  settings.parameters.regions = ReadRegions(root);
  ConfigReader duties = root.Table("duties");
  settings.duties = ReadDuties(duties);
  duties.RejectUnreadKeys();
  ConfigReader capacity = root.Table("capacity");
  ReadCapacity(capacity, settings);
  capacity.RejectUnreadKeys();
  ConfigReader policy = root.Table("policy");
  ReadPolicies(policy, settings);
  policy.RejectUnreadKeys();
  root.RejectUnreadKeys();
  if (!root.status().ok()) return root.status();
  return settings;
}

absl::StatusOr<GatewaySettings> LoadGatewaySettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return MakeError(ErrorKind::kInvalidSetting, "cannot read the settings file '" + path + "'; check its path");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseGatewaySettings(text.str(), path);
}

}  // namespace saltquay::gateway
