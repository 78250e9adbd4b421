// The day of a hollow fleet: restarts, rolls, losses, and what it cost.
#include "src/simulation/hollow_fleet.h"

#include <algorithm>
#include <set>

#include "src/simulation/hollow_memory.h"
#include "src/simulation/hollow_world.h"

namespace saltquay {
namespace {

constexpr Duration kFirstRollAt = 8s;
constexpr Duration kRestartAfter = 5s;
constexpr double kSecondsPerDay = 86'400;
constexpr double kFullMachines = 800 + 11'000;

}  // namespace

HollowCosts HollowFleet::Run() {
  Build();
  const Time measured_from = queue_.now() + FromSeconds(options_.warmup_seconds);
  const Time measured_to = measured_from + FromSeconds(options_.measured_seconds);
  queue_.At(queue_.now() + kFirstRollAt, [this] { Roll(); });
  queue_.RunUntil(measured_from);
  BeginMeasuring();
  ScheduleDay(measured_from, measured_to);
  queue_.RunUntil(measured_to);
  return Finish();
}

void HollowFleet::BeginMeasuring() {
  for (HollowNode& node : nodes_) {
    node.bytes_out = 0;
    node.bytes_in = 0;
    node.busy_seconds = 0;
    node.state_reads = 0;
  }
  store_operations_ = 0;
  bytes_by_message_.clear();
  rolls_.clear();
}

void HollowFleet::RestartSome() {
  const std::size_t index = random_.Below(nodes_.size());
  nodes_[index].node.reset();
  queue_.After(kRestartAfter, [this, index] {
    if (nodes_[index].node == nullptr) StartNode(index);
  });
}

void HollowFleet::CutNodes(const std::function<bool(const HollowNode&)>& which) {
  for (HollowNode& node : nodes_) node.cut = node.cut || which(node);
  queue_.After(FromSeconds(options_.lost_for_seconds), [this] {
    for (HollowNode& node : nodes_) node.cut = false;
  });
}

void HollowFleet::ScheduleDay(Time from, Time to) {
  const double seconds = options_.measured_seconds;
  const auto count = [&](double per_day) {
    const double wanted = per_day * seconds / kSecondsPerDay;
    const auto whole = static_cast<int>(wanted);
    return whole + (random_.Chance(wanted - whole) ? 1 : 0);
  };
  const double machines = options_.nodes + options_.engines;
  const int restarts = std::max(1, count(options_.restarts_per_day * machines / kFullMachines));
  for (int i = 0; i < restarts; ++i) {
    queue_.At(from + random_.DurationBelow(to - from), [this] { RestartSome(); });
  }
  // Rolls end early enough to be seen everywhere.
  const int rolls = std::max(1, count(options_.changes_per_day));
  for (int i = 0; i < rolls; ++i) {
    queue_.At(from + random_.DurationBelow((to - from) * 9 / 10), [this] { Roll(); });
  }
  if (options_.rack_lost_at >= 0) {
    queue_.At(from + FromSeconds(options_.rack_lost_at),
              [this] { CutNodes([](const HollowNode& node) { return node.cell == 0 && node.machine.id <= 8; }); });
  }
  if (options_.zone_lost_at >= 0) {
    const ZoneId lost = nodes_.front().machine.zone;
    queue_.At(from + FromSeconds(options_.zone_lost_at),
              [this, lost] { CutNodes([lost](const HollowNode& node) { return node.machine.zone == lost; }); });
  }
  if (options_.platform_cut_at >= 0) {
    queue_.At(from + FromSeconds(options_.platform_cut_at), [this] {
      for (Cell& cell : cells_) cell.platform_cut = &cell != &cells_.front();
    });
    queue_.At(from + FromSeconds(options_.platform_cut_at + options_.lost_for_seconds), [this] {
      for (Cell& cell : cells_) cell.platform_cut = false;
    });
  }
  WatchRolls(to);
}

// Looks ten times a second how far each roll has come.
void HollowFleet::WatchRolls(Time until) {
  for (RollInProgress& roll : rolls_) {
    if (roll.done) continue;
    roll.done = std::all_of(nodes_.begin(), nodes_.end(), [&](const HollowNode& node) {
      const bool reachable = node.node != nullptr && !node.cut && !cells_[node.cell].platform_cut;
      return !reachable || !node.node->is_ready() || node.generation >= roll.generation;
    });
    if (roll.done) worst_in_force_ = std::max(worst_in_force_, ToSeconds(queue_.now() - roll.at));
  }
  if (queue_.now() < until) queue_.After(100ms, [this, until] { WatchRolls(until); });
}

HollowCosts HollowFleet::Finish() {
  HollowCosts costs;
  const double seconds = options_.measured_seconds;
  const auto count = static_cast<double>(nodes_.size());
  for (const HollowNode& node : nodes_) {
    costs.bytes_out_per_second += node.bytes_out / seconds / count;
    costs.bytes_in_per_second += node.bytes_in / seconds / count;
    costs.worst_bytes_out_per_second = std::max(costs.worst_bytes_out_per_second, node.bytes_out / seconds);
    costs.worst_bytes_in_per_second = std::max(costs.worst_bytes_in_per_second, node.bytes_in / seconds);
    costs.core_share += node.busy_seconds / seconds / count;
    costs.worst_core_share = std::max(costs.worst_core_share, node.busy_seconds / seconds);
    costs.state_reads_per_second += node.state_reads / seconds / count;
  }
  costs.memory_bytes = (ResidentBytes() - memory_before_) / count;
  costs.store_operations_per_second = store_operations_ / seconds;
  costs.worst_in_force_seconds = worst_in_force_;
  costs.rolls = static_cast<double>(rolls_.size());
  std::set<std::size_t> led;
  for (const HollowNode& node : nodes_) {
    if (node.node != nullptr && node.node->HeldLease(queue_.now()).has_value()) led.insert(node.cell);
  }
  costs.cells_with_leader = static_cast<double>(led.size());
  for (const auto& [name, bytes] : bytes_by_message_) costs.bytes_by_message[name] = bytes / seconds / count;
  return costs;
}

Parameters ParametersForCell(int nodes_in_cell) {
  Parameters parameters;
  if (nodes_in_cell <= 12) return parameters;
  parameters.tick_interval = 100ms;
  parameters.probe_interval = 1s;
  parameters.probe_timeout = 500ms;
  parameters.suspect_timeout = 3s;
  parameters.updates_per_probe = 4;
  parameters.contact_timeout = 30s;
  parameters.load_read_interval = 2s;
  parameters.load_spread_min_interval = 1s;
  parameters.load_budget_bytes_per_second = 500;
  parameters.load_expiry = 30s;
  parameters.store_poll_interval = 1s;
  parameters.machine_poll_interval = 2s;
  parameters.view_settle_time = 3s;
  parameters.view_proposal_pause = 10s;
  return parameters;
}

HollowCosts RunHollowFleet(const HollowOptions& options, std::uint64_t seed) {
  return HollowFleet(options, seed).Run();
}

}  // namespace saltquay
