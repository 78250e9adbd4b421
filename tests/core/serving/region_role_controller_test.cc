// Role planning in a fleet of several regions: each region gets the split of stages that its own clients need.
#include <gtest/gtest.h>

#include "src/core/serving/role_controller.h"

namespace saltquay::serving {
namespace {

class RegionRolesTest : public ::testing::Test {
 protected:
  RegionRolesTest() {
    Service service;
    service.name = "s";
    service.language = LanguageEngineTraits{64, 400000, 18432, 370000, 5s, 2300ms};
    config_.services = {service};
  }
  // Adds engines of both stages to the zone.
  void Add(const std::string& zone, int prefill, int decode) {
    for (int i = 0; i < prefill + decode; ++i) {
      EngineRecord record;
      record.id = zone + std::to_string(i);
      record.service = "s";
      record.zone = zone;
      record.stage = i < prefill ? EngineStage::kPrefill : EngineStage::kDecode;
      engines_.Update(record);
    }
  }
  int CountPrefill(const std::string& zone) {
    int count = 0;
    engines_.ForEachServing("s", [&](EngineState& engine) {
      if (engine.record.zone == zone && engine.record.stage == EngineStage::kPrefill) ++count;
    });
    return count;
  }
  // Ticks; engines carry out their orders immediately.
  void Run(Duration time) {
    for (const Time end = now_ + time; now_ < end; now_ += 50ms) {
      std::vector<RoleAction> actions;
      controller_.OnTick(now_, true, config_, demand_, engines_, actions);
      for (std::size_t i = 0; i < actions.size(); ++i) CarryOut(RoleAction(actions[i]), actions);
      const LeaseStep step = lease_.wanted(now_) ? lease_.Next(now_, 300ms) : LeaseStep::kNone;
      if (step == LeaseStep::kRead) lease_.OnRead(LeaseRecord{}, now_);
      if (step == LeaseStep::kWrite) lease_.OnWritten(++revision_);
    }
  }

  Time now_{10s};
  ServingConfig config_;
  EngineDirectory engines_{EjectionPolicy{}};
  DemandSum demand_;
  Topology topology_{"a", {{"a", "north"}, {"b", "south"}}, {}};
  DutyLease lease_{"me", "1.1.1.1:1", DutyLeaseTimes{}, 5, Time{0s}};
  RoleController controller_{RoleControllerParameters{}, lease_, topology_, Time{0s}};

 private:
  void CarryOut(const RoleAction& action, std::vector<RoleAction>& actions) {
    if (const auto* read = std::get_if<ReadEngineState>(&action)) {
      const EngineStage stage = engines_.Find(read->engine_id)->record.stage;
      controller_.OnEngineStateRead(now_, read->engine_id, EngineStateReport{stage, false, 1}, engines_, actions);
    }
    if (const auto* order = std::get_if<SendStageOrder>(&action)) {
      EngineRecord record = engines_.Find(order->engine_id)->record;
      controller_.OnOrderResponse(now_, order->engine_id, OrderOutcome::kAccepted, engines_, actions);
      record.stage = order->stage;
      ++record.order_sequence;
      engines_.Update(record);
    }
  }

  std::int64_t revision_ = 20;
};

TEST_F(RegionRolesTest, EachRegionGetsTheSplitThatItsClientsNeed) {
  Add("a", 5, 5);
  Add("b", 5, 5);
  // The total prefill and decode demand is equal: one plan for both regions would change nothing.
  demand_ = {ServiceDemand{"s", 7, 1, 0, 1, "north"}, ServiceDemand{"s", 1, 7, 0, 1, "south"}};
  Run(40s);
  EXPECT_GE(CountPrefill("a"), 7);
  EXPECT_LE(CountPrefill("b"), 3);
}

TEST_F(RegionRolesTest, ARegionWithLittleDemandForAStageKeepsOnlyItsShareOfTheMinimum) {
  Add("a", 5, 5);
  Add("b", 5, 5);
  demand_ = {ServiceDemand{"s", 8, 0.05, 0, 1, "north"}, ServiceDemand{"s", 8, 0.05, 0, 1, "south"}};
  Run(60s);
  // The two regions together keep three decode engines, as a fleet of one region does.
  for (const std::string zone : {"a", "b"}) {
    EXPECT_EQ(CountPrefill(zone), 8) << zone;
  }
}

TEST_F(RegionRolesTest, RegionsWithFewEnginesArePlannedTogether) {
  Add("a", 3, 0);
  Add("b", 0, 3);
  demand_ = {ServiceDemand{"s", 1.5, 0.1, 0, 1, "north"}, ServiceDemand{"s", 0.1, 1.5, 0, 1, "south"}};
  Run(20s);
  EXPECT_EQ(CountPrefill("a"), 3);
  EXPECT_EQ(CountPrefill("b"), 0);
}

TEST_F(RegionRolesTest, WithoutTheLeaseNoOrdersAreSentInAnyRegion) {
  Add("a", 5, 5);
  Add("b", 5, 5);
  demand_ = {ServiceDemand{"s", 7, 1, 0, 1, "north"}, ServiceDemand{"s", 1, 7, 0, 1, "south"}};
  // Another node holds the lease and renews it, as on the other side of a partition between the regions.
  for (int i = 0; i < 200; ++i) {
    lease_.OnPeerRecord(LeaseRecord{"other", "2.2.2.2:1", 9, 0, 100 + i}, now_);
    std::vector<RoleAction> actions;
    controller_.OnTick(now_, true, config_, demand_, engines_, actions);
    for (const RoleAction& action : actions) EXPECT_EQ(std::get_if<SendStageOrder>(&action), nullptr);
    now_ += 50ms;
  }
  EXPECT_EQ(CountPrefill("a"), 5);
}

}  // namespace
}  // namespace saltquay::serving
