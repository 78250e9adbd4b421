#include "src/simulation/options.h"

#include <charconv>
#include <functional>
#include <map>

#include <fmt/format.h>

namespace saltquay {
namespace {

using Setter = std::function<void(SimulationOptions&, double)>;

constexpr double kLargestValue = 1e7;

// Every setting is a number; durations are in seconds unless the name says so.
// NOLINTNEXTLINE(readability-function-size): a table, one row a setting.
const std::map<std::string, Setter>& Setters() {
  static const std::map<std::string, Setter> setters = {
      {"deployment",
       [](auto& o, double v) { o.deployment = v == 0 ? Deployment::kFederation : Deployment::kRavinala; }},
      {"zones", [](auto& o, double v) { o.zones = static_cast<int>(v); }},
      {"nodes_per_zone", [](auto& o, double v) { o.nodes_per_zone = static_cast<int>(v); }},
      {"main_engines", [](auto& o, double v) { o.main_engines = static_cast<int>(v); }},
      {"quick_engines", [](auto& o, double v) { o.quick_engines = static_cast<int>(v); }},
      {"zone_delay_ms", [](auto& o, double v) { o.zone_delay = FromSeconds(v / 1000); }},
      {"client_delay_ms", [](auto& o, double v) { o.client_delay = FromSeconds(v / 1000); }},
      {"jitter_ms", [](auto& o, double v) { o.jitter = FromSeconds(v / 1000); }},
      {"message_loss", [](auto& o, double v) { o.message_loss = v; }},
      {"message_duplicates", [](auto& o, double v) { o.message_duplicates = v; }},
      {"late_frames", [](auto& o, double v) { o.late_frames = v; }},
      {"crossed_frames", [](auto& o, double v) { o.crossed_frames = v; }},
      {"clock_rate_error", [](auto& o, double v) { o.clock_rate_error = v; }},
      {"requests_per_second", [](auto& o, double v) { o.requests_per_second = v; }},
      {"mix_shift", [](auto& o, double v) { o.mix_shift = v != 0; }},
      {"caller_retries", [](auto& o, double v) { o.caller_retries = static_cast<int>(v); }},
      {"warmup", [](auto& o, double v) { o.warmup = FromSeconds(v); }},
      {"faulty", [](auto& o, double v) { o.faulty = FromSeconds(v); }},
      {"recovery", [](auto& o, double v) { o.recovery = FromSeconds(v); }},
      {"settled", [](auto& o, double v) { o.settled = FromSeconds(v); }},
      {"pause_length", [](auto& o, double v) { o.pause_length = FromSeconds(v); }},
      {"outage_length", [](auto& o, double v) { o.outage_length = FromSeconds(v); }},
      {"engine_load_time", [](auto& o, double v) { o.engine_load_time = FromSeconds(v); }},
      {"engine_role_change_time", [](auto& o, double v) { o.engine_role_change_time = FromSeconds(v); }},
      {"node_kills", [](auto& o, double v) { o.faults.node_kills = v; }},
      {"node_pauses", [](auto& o, double v) { o.faults.node_pauses = v; }},
      {"node_stops", [](auto& o, double v) { o.faults.node_stops = v; }},
      {"zone_cuts", [](auto& o, double v) { o.faults.zone_cuts = v; }},
      {"node_cuts", [](auto& o, double v) { o.faults.node_cuts = v; }},
      {"store_outages", [](auto& o, double v) { o.faults.store_outages = v; }},
      {"store_slowness", [](auto& o, double v) { o.faults.store_slowness = v; }},
      {"store_lost_answers", [](auto& o, double v) { o.faults.store_lost_answers = v; }},
      {"store_stale_reads", [](auto& o, double v) { o.faults.store_stale_reads = v; }},
      {"engine_crashes", [](auto& o, double v) { o.faults.engine_crashes = v; }},
      {"engine_pauses", [](auto& o, double v) { o.faults.engine_pauses = v; }},
      {"engine_leaves", [](auto& o, double v) { o.faults.engine_leaves = v; }},
      {"leader_kills", [](auto& o, double v) { o.faults.leader_kills = v; }},
      {"leader_pauses", [](auto& o, double v) { o.faults.leader_pauses = v; }},
      {"operator_races", [](auto& o, double v) { o.faults.operator_races = v; }},
      {"rolls", [](auto& o, double v) { o.faults.rolls = v; }},
      {"goodput_floor", [](auto& o, double v) { o.goodput_floor = v; }},
      {"role_gain_threshold", [](auto& o, double v) { o.parameters.role_gain_threshold = v; }},
      {"role_pool_cooldown", [](auto& o, double v) { o.parameters.role_pool_cooldown = FromSeconds(v); }},
      {"role_engine_cooldown", [](auto& o, double v) { o.parameters.role_engine_cooldown = FromSeconds(v); }},
      {"role_changes_under_way", [](auto& o, double v) { o.parameters.role_changes_under_way = static_cast<int>(v); }},
      {"role_reversal_factor", [](auto& o, double v) { o.parameters.role_reversal_factor = v; }},
      {"role_horizon", [](auto& o, double v) { o.parameters.role_horizon = FromSeconds(v); }},
      {"demand_smoothing", [](auto& o, double v) { o.parameters.demand_smoothing = FromSeconds(v); }},
      {"role_control", [](auto& o, double v) { o.parameters.role_control = v != 0; }},
      {"record_window", [](auto& o, double v) { o.parameters.record_window = FromSeconds(v); }},
  };
  return setters;
}

}  // namespace

std::vector<std::string> OptionNames() {
  std::vector<std::string> names;
  for (const auto& [name, setter] : Setters()) names.push_back(name);
  return names;
}

absl::Status SetOption(SimulationOptions* options, const std::string& key, const std::string& value) {
  const auto setter = Setters().find(key);
  if (setter == Setters().end()) {
    std::string names;
    for (const std::string& name : OptionNames()) names += " " + name;
    return MakeError(ErrorKind::kInvalidSetting, fmt::format("no setting '{}'; use one of:{}", key, names));
  }
  double number = 0;
  const char* end = value.data() + value.size();
  const std::from_chars_result parsed = std::from_chars(value.data(), end, number);
  const bool whole = !value.empty() && parsed.ec == std::errc() && parsed.ptr == end;
  if (!whole || !(number >= 0 && number <= kLargestValue)) {
    return MakeError(ErrorKind::kInvalidSetting,
                     fmt::format("'{}={}' is not a number from 0 to {}; correct it", key, value, kLargestValue));
  }
  SimulationOptions changed = *options;
  setter->second(changed, number);
  if (changed.zones < 1 || changed.nodes_per_zone < 1 || changed.main_engines < 2 || changed.quick_engines < 1) {
    return MakeError(ErrorKind::kInvalidSetting,
                     "at least 1 zone, 1 node a zone, 2 main engines and 1 quick engine are needed; raise the number");
  }
  *options = changed;
  return absl::OkStatus();
}

}  // namespace saltquay
