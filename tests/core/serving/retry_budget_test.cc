// The retry budget holds over all nodes, whatever happens to engines and nodes: seven nodes and nine engines in virtual
// time, with extra arrivals counted as the platform counts them.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/support/serving_fixture.h"
#include "tests/support/serving_fleet.h"

namespace saltquay::serving {
namespace {

constexpr int kNodes = 7;
constexpr int kPrefillEngines = 5;
constexpr int kEngines = 9;
constexpr double kRatio = 0.2;
constexpr double kSlack = 54;
constexpr Duration kWindow = 10s;

class RetryBudgetTest : public ServingFixture {
 protected:
  static ServingParameters Parameters() {
    ServingParameters parameters;
    parameters.retry_budget = RetryBudgetBounds{kRatio, kWindow, kSlack, 0.8};
    return parameters;
  }
  static std::string EngineId(int i) { return (i < kPrefillEngines ? "p" : "d") + std::to_string(i); }
  static void AddEngines(ServingFleet& fleet) {
    for (int i = 0; i < kEngines; ++i) {
      FleetEngine engine;
      const bool is_prefill = i < kPrefillEngines;
      engine.record = MakeEngine(EngineId(i), "model", is_prefill ? EngineStage::kPrefill : EngineStage::kDecode);
      engine.slots = is_prefill ? 4 : 40;
      fleet.AddEngine(engine);
    }
  }
  static PromptMetadata Prompt(int count) { return LongPrompt("s" + std::to_string(count % 23)); }
  static void SetHealth(ServingFleet& fleet, int engines, EngineHealth health) {
    for (int i = 0; i < engines; ++i) fleet.SetHealth(EngineId(i), health);
  }
  static double Worst(const ServingFleet& fleet) { return fleet.MaxBudgetExcess(kRatio, kSlack, kWindow); }
};

// Guards against: first prefills whose connection is reset are retried without being charged to the budget.
TEST_F(RetryBudgetTest, HoldsWhileMostEnginesResetMostConnections) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    ServingFleet fleet(kNodes, MakeConfig(), Parameters(), seed);
    AddEngines(fleet);
    fleet.Begin();
    fleet.Offer("chat", 32, fleet.now() + 20s, Prompt);
    fleet.RunUntil(fleet.now() + 8s);
    SetHealth(fleet, kEngines - 1, EngineHealth::kResetsConnections);
    fleet.RunUntil(fleet.now() + 14s);
    EXPECT_LE(Worst(fleet), 0) << "seed " << seed;
  }
}

// Guards against: a restarted node does not know its earlier spending and spends its share of the slack again.
TEST_F(RetryBudgetTest, HoldsWhileNodesRestartRepeatedly) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    ServingFleet fleet(kNodes, MakeConfig(), Parameters(), seed);
    AddEngines(fleet);
    fleet.Begin();
    fleet.Offer("chat", 12, fleet.now() + 24s, Prompt);
    fleet.RunUntil(fleet.now() + 10s);
    SetHealth(fleet, kEngines - 1, EngineHealth::kResetsConnections);
    for (int round = 0; round < 3; ++round) {
      fleet.RunUntil(fleet.now() + 4s);
      for (int node = 0; node < kNodes; ++node) fleet.Restart(node);
    }
    fleet.RunUntil(fleet.now() + 4s);
    EXPECT_LE(Worst(fleet), 0) << "seed " << seed;
  }
}

// Guards against: in a network partition that lasts longer than the window, each side spends the whole slack.
TEST_F(RetryBudgetTest, HoldsInAPartitionLongerThanTheWindow) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    ServingFleet fleet(kNodes, MakeConfig(), Parameters(), seed);
    AddEngines(fleet);
    fleet.Begin();
    fleet.Offer("chat", 12, fleet.now() + 40s, Prompt);
    fleet.RunUntil(fleet.now() + 2s);
    fleet.set_sides({0, 1, 2, 3, 4, 5, 6});
    fleet.RunUntil(fleet.now() + 15s);
    SetHealth(fleet, kEngines - 1, EngineHealth::kResetsConnections);
    fleet.RunUntil(fleet.now() + 20s);
    EXPECT_LE(Worst(fleet), 0) << "seed " << seed;
  }
}

// Guards against: any mix of engines that refuse, reset or become unresponsive, node restarts and network partitions
// exceeds the budget.
RC_GTEST_FIXTURE_PROP(RetryBudgetTest, HoldsUnderRandomSchedules, ()) {
  const auto seed = *rc::gen::inRange<std::uint64_t>(1, 10000);
  ServingFleet fleet(kNodes, MakeConfig(), Parameters(), seed);
  AddEngines(fleet);
  fleet.Begin();
  fleet.Offer("chat", *rc::gen::inRange(8, 60), fleet.now() + 40s, Prompt);
  const int steps = *rc::gen::inRange(3, 14);
  for (int i = 0; i < steps; ++i) {
    fleet.RunUntil(fleet.now() + std::chrono::milliseconds(*rc::gen::inRange(200, 5000)));
    const auto health = *rc::gen::element(EngineHealth::kHealthy, EngineHealth::kFailsOften, EngineHealth::kSlow,
                                          EngineHealth::kUnresponsive, EngineHealth::kResetsConnections);
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        SetHealth(fleet, *rc::gen::inRange(1, kEngines + 1), health);
        break;
      case 1:
        for (int node = 0; node < *rc::gen::inRange(1, kNodes + 1); ++node) fleet.Restart(node);
        break;
      case 2:
        fleet.set_sides(*rc::gen::container<std::vector<int>>(kNodes, rc::gen::inRange(0, 3)));
        break;
      default:
        fleet.set_sides({});
    }
  }
  fleet.RunUntil(fleet.now() + 5s);
  RC_ASSERT(Worst(fleet) <= 0);
}

}  // namespace
}  // namespace saltquay::serving
