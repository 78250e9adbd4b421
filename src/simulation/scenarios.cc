#include "src/simulation/scenarios.h"

#include <functional>

namespace saltquay {
namespace {

using Change = std::function<void(SimulationOptions&)>;

SimulationOptions ChaosOptions() {
  SimulationOptions options;
  options.message_loss = 0.02;
  options.message_duplicates = 0.01;
  options.late_frames = 0.005;
  options.crossed_frames = 0.005;
  options.clock_rate_error = 0.03;
  options.goodput_floor = 0.35;
  FaultRates& faults = options.faults;
  faults.node_kills = 1.2;
  faults.node_pauses = 1.2;
  faults.node_stops = 0.4;
  faults.zone_cuts = 0.6;
  faults.node_cuts = 0.5;
  faults.store_outages = 0.6;
  faults.store_slowness = 0.3;
  faults.store_lost_answers = 0.4;
  faults.store_stale_reads = 0.3;
  faults.engine_crashes = 1.5;
  faults.engine_pauses = 0.7;
  faults.engine_leaves = 0.4;
  faults.leader_kills = 0.4;
  faults.leader_pauses = 0.7;
  faults.operator_races = 0.4;
  faults.rolls = 0.8;
  return options;
}

Scenario Make(const std::string& name, const std::string& description, double goodput_floor, const Change& change) {
  Scenario scenario{name, description, SimulationOptions{}};
  scenario.options.goodput_floor = goodput_floor;
  change(scenario.options);
  return scenario;
}

// NOLINTNEXTLINE(readability-function-size): a table, one row a scenario.
std::vector<Scenario> SingleFaults() {
  return {
      Make("calm", "No fault at all.", 0.97, [](auto&) {}),
      Make("calm_ravinala", "No fault; Ravinala's zones and delays.", 0.97,
           [](auto& o) {
             o.deployment = Deployment::kRavinala;
             o.zone_delay = 1500us;
           }),
      Make("node_killed", "A node is killed and comes back empty.", 0.85, [](auto& o) { o.faults.node_kills = 1; }),
      Make("node_paused", "A node is paused and wakes with old memory.", 0.8,
           [](auto& o) { o.faults.node_pauses = 1; }),
      Make("node_stopped", "A planned stop of a node.", 0.85, [](auto& o) { o.faults.node_stops = 1; }),
      Make("leader_killed", "The leader is killed.", 0.85, [](auto& o) { o.faults.leader_kills = 1; }),
      Make("leader_paused", "The leader's lease lapses while it is paused.", 0.8,
           [](auto& o) { o.faults.leader_pauses = 1; }),
      Make("zone_cut", "A zone is cut off, one way or both.", 0.7, [](auto& o) { o.faults.zone_cuts = 1; }),
      Make("node_cut", "A node is cut off from all others.", 0.75, [](auto& o) { o.faults.node_cuts = 1; }),
      Make("store_down", "The store is down.", 0.95,
           [](auto& o) {
             o.faults.store_outages = 1;
             o.outage_length = 30s;
             o.faults.rolls = 1;
           }),
      Make("store_slow", "The store is slow.", 0.95,
           [](auto& o) {
             o.faults.store_slowness = 1;
             o.faults.rolls = 1;
           }),
      Make("store_loses_answers", "The store's answers are lost after the effect.", 0.95,
           [](auto& o) {
             o.faults.store_lost_answers = 2;
             o.faults.rolls = 2;
           }),
      Make("store_gives_old_data", "Reads from the store give old data.", 0.95,
           [](auto& o) {
             o.faults.store_stale_reads = 2;
             o.faults.rolls = 2;
           }),
      Make("engine_crashes", "An engine crashes.", 0.9, [](auto& o) { o.faults.engine_crashes = 1; }),
      Make("engine_crashes_in_change", "Engines crash while bundles roll.", 0.8,
           [](auto& o) {
             o.faults.engine_crashes = 3;
             o.faults.rolls = 1;
           }),
      Make("engine_paused", "An engine is paused.", 0.8, [](auto& o) { o.faults.engine_pauses = 1; }),
      Make("engine_leaves", "An engine leaves as planned.", 0.85, [](auto& o) { o.faults.engine_leaves = 2; }),
      Make("roll", "A bundle with a new version rolls over all engines.", 0.9, [](auto& o) { o.faults.rolls = 2; }),
      Make("operators_race", "Operators roll competing bundles at once.", 0.85,
           [](auto& o) { o.faults.operator_races = 2; }),
      Make("lossy_network", "Messages are lost, doubled and overtaken; clocks run apart.", 0.95,
           [](auto& o) {
             o.message_loss = 0.05;
             o.message_duplicates = 0.03;
             o.clock_rate_error = 0.045;
           }),
      Make("late_and_crossed_frames", "Engine frames come twice, late, or to another node.", 0.95,
           [](auto& o) {
             o.late_frames = 0.05;
             o.crossed_frames = 0.05;
           }),
  };
}

// NOLINTNEXTLINE(readability-function-size): a table, one row a scenario.
std::vector<Scenario> CombinedFaults() {
  return {
      Make("leader_killed_with_store_down", "The leader is killed while the store is down.", 0.75,
           [](auto& o) {
             o.faults.store_outages = 1;
             o.faults.leader_kills = 2;
             o.outage_length = 35s;
           }),
      Make("leader_paused_in_roll", "The leader is paused again and again while bundles roll.", 0.7,
           [](auto& o) {
             o.faults.leader_pauses = 4;
             o.faults.rolls = 2;
           }),
      Make("zone_cut_and_node_killed", "A zone is cut off and a node elsewhere is killed.", 0.55,
           [](auto& o) {
             o.faults.zone_cuts = 1;
             o.faults.node_kills = 1;
           }),
      Make("zone_cut_twice", "Zones are cut off twice.", 0.5, [](auto& o) { o.faults.zone_cuts = 2; }),
      Make("nodes_killed_twice", "Two nodes are killed.", 0.7, [](auto& o) { o.faults.node_kills = 2; }),
      Make("majority_killed", "Most nodes are killed within moments.", 0.4, [](auto& o) { o.faults.node_kills = 7; }),
      Make("store_down_and_zone_cut", "The store is down and a zone is cut off.", 0.55,
           [](auto& o) {
             o.faults.store_outages = 1;
             o.faults.zone_cuts = 1;
           }),
      Make("races_with_lost_answers", "Operators race while answers are lost.", 0.8,
           [](auto& o) {
             o.faults.operator_races = 2;
             o.faults.store_lost_answers = 2;
           }),
      Make("stop_in_roll", "Nodes stop as planned while bundles roll.", 0.7,
           [](auto& o) {
             o.faults.node_stops = 2;
             o.faults.rolls = 2;
           }),
      Make("engines_fall_twice", "Engines crash and pause, each twice.", 0.6,
           [](auto& o) {
             o.faults.engine_crashes = 2;
             o.faults.engine_pauses = 2;
           }),
      Scenario{"chaos", "A random mix of everything.", ChaosOptions()},
  };
}

}  // namespace

const std::vector<Scenario>& Scenarios() {
  static const std::vector<Scenario> scenarios = [] {
    std::vector<Scenario> all = SingleFaults();
    for (Scenario& scenario : CombinedFaults()) all.push_back(std::move(scenario));
    return all;
  }();
  return scenarios;
}

const Scenario* FindScenario(const std::string& name) {
  for (const Scenario& scenario : Scenarios()) {
    if (scenario.name == name) return &scenario;
  }
  return nullptr;
}

}  // namespace saltquay
