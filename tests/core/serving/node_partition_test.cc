// Guards against: a node that is partitioned from the engines serves nobody although its peers reach them.
#include <algorithm>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "tests/support/serving_fixture.h"
#include "tests/support/serving_fleet.h"

namespace saltquay::serving {
namespace {

constexpr int kNodes = 7;
constexpr Duration kDetectionTime = 1s;
constexpr Duration kPartitionTime = 12s;
// Served at the partitioned nodes, relative to the others.
constexpr double kMinServedShare = 0.95;

struct PartitionCase {
  const char* name;
  PartitionKind kind;
  std::vector<int> nodes;  // Partitioned from all engines.
};

class NodePartitionTest : public ServingFixture, public ::testing::WithParamInterface<PartitionCase> {
 protected:
  static ServingParameters Parameters() {
    ServingParameters parameters;
    parameters.retry_budget = RetryBudgetBounds{0.2, 10s, 54, 0.8};
    return parameters;
  }
  static void AddEngine(ServingFleet& fleet, const std::string& id, const std::string& service, EngineStage stage,
                        int slots) {
    FleetEngine engine;
    engine.record = MakeEngine(id, service, stage);
    engine.slots = slots;
    fleet.AddEngine(engine);
  }
  static void AddEngines(ServingFleet& fleet) {
    for (int i = 0; i < 5; ++i) AddEngine(fleet, fmt::format("p{}", i), "model", EngineStage::kPrefill, 4);
    for (int i = 0; i < 4; ++i) AddEngine(fleet, fmt::format("d{}", i), "model", EngineStage::kDecode, 40);
    for (int i = 0; i < 3; ++i) AddEngine(fleet, fmt::format("u{}", i), "plain", EngineStage::kUniform, 8);
  }
  static void OfferAll(ServingFleet& fleet, Time end) {
    for (const char* route : {"chat", "safe", "once"}) {
      fleet.Offer(route, 20, end, [](int count) { return LongPrompt("s" + std::to_string(count % 7)); });
    }
  }
  // The share of the requests of `nodes`, or of all others, that were served; of those that arrived in [from, to).
  static double ServedShare(const ServingFleet& fleet, const std::vector<int>& nodes, bool of_others, Time from,
                            Time to) {
    int served = 0;
    int all = 0;
    for (const RequestOutcome& outcome : fleet.outcomes()) {
      const bool listed = std::find(nodes.begin(), nodes.end(), outcome.node) != nodes.end();
      if (listed == of_others || outcome.at < from || outcome.at >= to) continue;
      ++all;
      served += outcome.served ? 1 : 0;
    }
    return all == 0 ? 0.0 : static_cast<double>(served) / all;
  }
};

TEST_P(NodePartitionTest, RequestsAtPartitionedNodesAreServed) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    ServingFleet fleet(kNodes, MakeConfig(), Parameters(), seed);
    AddEngines(fleet);
    fleet.Begin();
    OfferAll(fleet, fleet.now() + 3s + kPartitionTime + 3s);
    fleet.RunUntil(fleet.now() + 3s);
    const Time from = fleet.now();
    for (const int node : GetParam().nodes) fleet.PartitionFromEngines(node, GetParam().kind);
    fleet.RunUntil(from + kPartitionTime);
    for (const int node : GetParam().nodes) fleet.HealPartition(node);
    fleet.RunUntil(from + kPartitionTime + 8s);
    const Time judged_from = from + kDetectionTime;
    const double partitioned = ServedShare(fleet, GetParam().nodes, false, judged_from, from + kPartitionTime);
    const double others = ServedShare(fleet, GetParam().nodes, true, judged_from, from + kPartitionTime);
    EXPECT_GE(partitioned, kMinServedShare * others) << "seed " << seed;
    EXPECT_GE(others, kMinServedShare) << "seed " << seed;
    EXPECT_TRUE(fleet.ejected().empty()) << "seed " << seed << ": " << *fleet.ejected().begin() << " was ejected";
    EXPECT_TRUE(fleet.Violations().empty()) << "seed " << seed << ": " << fleet.Violations().front();
  }
}

INSTANTIATE_TEST_SUITE_P(All, NodePartitionTest,
                         ::testing::Values(PartitionCase{"TwoSilent", PartitionKind::kSilent, {1, 4}},
                                           PartitionCase{"TwoReset", PartitionKind::kReset, {1, 4}},
                                           PartitionCase{"TwoRefuseNew", PartitionKind::kNewRefused, {1, 4}},
                                           PartitionCase{"ThreeSilent", PartitionKind::kSilent, {0, 1, 2}},
                                           PartitionCase{"ThreeReset", PartitionKind::kReset, {0, 1, 2}}),
                         [](const ::testing::TestParamInfo<PartitionCase>& info) { return info.param.name; });

}  // namespace
}  // namespace saltquay::serving
