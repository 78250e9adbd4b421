// Guards against: nodes that are partitioned from the engines report these as crashed, and requests that ran there are
// quarantined on all nodes.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "tests/support/serving_fixture.h"
#include "tests/support/serving_fleet.h"

namespace saltquay::serving {
namespace {

class PartitionQuarantineTest : public ServingFixture {
 protected:
  static ServingParameters Parameters() {
    ServingParameters parameters;
    parameters.retry_budget = RetryBudgetBounds{0.2, 10s, 54, 0.8};
    return parameters;
  }
};

// Each of three nodes loses a response of the same request from another engine.
TEST_F(PartitionQuarantineTest, PartitionOfAZoneQuarantinesNothing) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    ServingFleet fleet(7, MakeConfig(), Parameters(), seed);
    for (int i = 0; i < 9; ++i) {
      FleetEngine engine;
      engine.record = MakeEngine(fmt::format("u{}", i), "plain", EngineStage::kUniform);
      engine.work = 500ms;
      fleet.AddEngine(engine);
    }
    fleet.Begin();
    fleet.OfferRepeated("safe", 20, fleet.now() + 8s, 2);
    fleet.RunUntil(fleet.now() + 2s);
    for (const int node : {0, 1, 2}) fleet.PartitionFromEngines(node, PartitionKind::kReset);
    fleet.RunUntil(fleet.now() + 4s);
    for (const int node : {0, 1, 2}) fleet.HealPartition(node);
    fleet.RunUntil(fleet.now() + 6s);
    EXPECT_TRUE(fleet.quarantined().empty()) << "seed " << seed;
    EXPECT_EQ(fleet.false_crash_reports(), 0) << "seed " << seed;
  }
}

}  // namespace
}  // namespace saltquay::serving
