// For each point that must always hold: with its guard switched off the checker
// reports the violation on a recorded seed; with it on, the same seed is clean.
#include <functional>
#include <ostream>
#include <string>

#include <gtest/gtest.h>

#include "src/simulation/run.h"
#include "src/simulation/scenarios.h"

namespace saltquay {
namespace {

struct ProtectionCase {
  std::string name;
  Invariant invariant;
  std::uint64_t seed;
  std::function<void(SimulationOptions&)> arrange;
  std::function<void(ProtectionSwitches&)> switch_off;
};

std::ostream& operator<<(std::ostream& stream, const ProtectionCase& row) { return stream << row.name; }

SimulationOptions ArrangedOptions(const ProtectionCase& row) {
  SimulationOptions options;
  options.faulty = 30s;
  row.arrange(options);
  return options;
}

class ProtectionTest : public testing::TestWithParam<ProtectionCase> {};

TEST_P(ProtectionTest, CheckerReportsWithoutTheGuard) {
  SimulationOptions options = ArrangedOptions(GetParam());
  GetParam().switch_off(options.parameters.protections);
  const RunResult run = RunSimulation(options, GetParam().seed);
  EXPECT_GT(run.violations_by_point[static_cast<std::size_t>(GetParam().invariant)], 0U);
}

TEST_P(ProtectionTest, SameSeedIsCleanWithTheGuard) {
  const RunResult run = RunSimulation(ArrangedOptions(GetParam()), GetParam().seed);
  for (const Violation& violation : run.violations) {
    ADD_FAILURE() << InvariantName(violation.invariant) << ": " << violation.details;
  }
  EXPECT_TRUE(run.liveness.holds);
}

const ProtectionCase kCases[] = {
    {"conflicting_orders", Invariant::kNoConflictingOrders, 1,
     [](SimulationOptions& options) {
       options.faults.leader_kills = 3;
       options.faults.rolls = 3;
       options.engine_load_time = 6s;
     },
     [](ProtectionSwitches& switches) { switches.wait_for_order_in_progress = false; }},
    {"cut_by_planned_change", Invariant::kNoCutByPlannedChange, 1,
     [](SimulationOptions& options) { options.faults.rolls = 1; },
     [](ProtectionSwitches& switches) { switches.drain_before_order = false; }},
    {"order_without_authority", Invariant::kNoOrderWithoutAuthority, 2,
     [](SimulationOptions& options) {
       options.faults.leader_pauses = 10;
       options.faults.rolls = 8;
       options.engine_load_time = 1s;
       options.message_loss = 0.02;
     },
     [](ProtectionSwitches& switches) {
       switches.lease_check_before_order = false;
       switches.fence_raise_before_order = false;
       switches.order_validity_limit = false;
     }},
    {"whole_own_answer", Invariant::kWholeOwnAnswer, 1,
     [](SimulationOptions& options) {
       options.late_frames = 0.05;
       options.crossed_frames = 0.05;
     },
     [](ProtectionSwitches& switches) { switches.frame_matching = false; }},
    {"not_run_is_true", Invariant::kNotRunIsTrue, 1,
     [](SimulationOptions& options) {
       options.faults.engine_crashes = 25;
       options.requests_per_second = 40;
     },
     [](ProtectionSwitches& switches) { switches.outcome_proof = false; }},
    {"at_most_once", Invariant::kAtMostOnce, 1, [](SimulationOptions& options) { options.faults.node_kills = 6; },
     [](ProtectionSwitches& switches) { switches.at_most_once_records = false; }},
    {"leaving_gets_no_work", Invariant::kLeavingGetsNoWork, 1,
     [](SimulationOptions& options) { options.faults.engine_leaves = 3; },
     [](ProtectionSwitches& switches) { switches.leaving_filter = false; }},
    {"planned_stop_cuts_nothing", Invariant::kPlannedStopCutsNothing, 1,
     [](SimulationOptions& options) { options.faults.node_stops = 3; },
     [](ProtectionSwitches& switches) { switches.drain_on_stop = false; }},
    {"bundle_never_reverts", Invariant::kBundleInForceAndNeverReverts, 1,
     [](SimulationOptions& options) {
       options.faults.rolls = 3;
       options.faults.store_stale_reads = 3;
     },
     [](ProtectionSwitches& switches) { switches.newest_object_wins = false; }},
};

INSTANTIATE_TEST_SUITE_P(Points, ProtectionTest, testing::ValuesIn(kCases),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace saltquay
