// Engines that state in their responses that they are leaving.
#include <gtest/gtest.h>

#include "tests/support/notice_fleet.h"
#include "tests/support/serving_fixture.h"

namespace saltquay::serving {
namespace {

// Guards against new work at an engine that has stated that it leaves, while the store does not show it (DRAIN).
TEST(EngineLeavingTest, EngineThatStatesThatItLeavesGetsNoNewRequests) {
  NoticeFleet fleet({.seed = 20261203});
  fleet.AddEngines(3, 4, 5);
  fleet.Begin();
  fleet.RunFor(3s);
  for (const char* engine : {"u0", "p0", "d0"}) fleet.Leave(engine);
  fleet.RunFor(10s);
  for (const char* engine : {"u0", "p0", "d0"}) EXPECT_EQ(fleet.LatestAfterLeaving(engine), 0s) << engine;
}

TEST(EngineLeavingTest, NodesTellEachOther) {
  NoticeFleet fleet({.seed = 20261203});
  fleet.AddEngines(3, 4, 5);
  fleet.Begin();
  fleet.RunFor(3s);
  fleet.Leave("u0");
  fleet.RunFor(1s);
  const std::size_t before = fleet.ArrivalsAt("u0").size();
  fleet.RunFor(10s);
  EXPECT_EQ(fleet.ArrivalsAt("u0").size(), before);
}

class EngineLeavingFlowTest : public ServingFixture {
 protected:
  void StateLeaving(const std::string& engine) {
    EngineNotice notice;
    notice.leaving = true;
    Send(EngineNoticeReceived{engine, core_.engines().Find(engine)->key, notice, now_});
  }
  std::string EngineOfNextRequest() {
    Arrive("safe");
    return One<StartAttempt>().engine_id;
  }
};

TEST_F(EngineLeavingFlowTest, AnEngineRecordDoesNotWithdrawTheStatement) {
  StateLeaving("u1");
  EngineRecord record = MakeEngine("u1", "plain", EngineStage::kUniform);
  Send(EngineChanged{record});
  for (int i = 0; i < 4; ++i) EXPECT_EQ(EngineOfNextRequest(), "u2");
  Send(EngineNoticeReceived{"u1", core_.engines().Find("u1")->key, EngineNotice{}, now_});
  for (int i = 0; i < 4; ++i) EXPECT_EQ(EngineOfNextRequest(), "u2");
}

TEST_F(EngineLeavingFlowTest, WhatAnEngineStatedHoldsWhenItsRecordDisappearsAndReturns) {
  StateLeaving("u1");
  EngineNotice rest;
  rest.rest = 60s;
  Send(EngineNoticeReceived{"p1", core_.engines().Find("p1")->key, rest, now_});
  EngineNotice limit;
  limit.requests_per_s = 2;
  Send(EngineNoticeReceived{"d1", core_.engines().Find("d1")->key, limit, now_});
  const Time rests_until = now_ + 60s;
  for (const char* id : {"u1", "p1", "d1"}) Send(EngineRemoved{id});
  Pass(5s);
  Send(EngineChanged{MakeEngine("u1", "plain", EngineStage::kUniform)});
  Send(EngineChanged{MakeEngine("p1", "model", EngineStage::kPrefill)});
  Send(EngineChanged{MakeEngine("d1", "model", EngineStage::kDecode)});
  EXPECT_TRUE(core_.engines().Find("u1")->record.leaving);
  EXPECT_EQ(core_.engines().Find("p1")->rests_until, rests_until);
  EXPECT_EQ(core_.engines().Find("d1")->rate_limit->requests_per_s, 2);
  EXPECT_EQ(core_.EngineLimitMarks(now_).size(), 1U);
  EXPECT_EQ(core_.LeavingEngines().size(), 1U);
  EXPECT_TRUE(core_.needs_nodes());
  EXPECT_EQ(EngineOfNextRequest(), "u2");
}

TEST_F(EngineLeavingFlowTest, OnlyTheResponseToALaterRequestEndsALimit) {
  const EngineKey key = core_.engines().Find("d1")->key;
  EngineNotice limit;
  limit.requests_per_s = 2;
  Send(EngineNoticeReceived{"d1", key, limit, now_});
  const Time before = now_ - 10ms;
  Pass(10ms);
  Send(EngineNoticeReceived{"d1", key, EngineNotice{}, std::nullopt});
  EXPECT_TRUE(core_.engines().Find("d1")->rate_limit);
  Send(EngineNoticeReceived{"d1", key, EngineNotice{}, before});
  EXPECT_TRUE(core_.engines().Find("d1")->rate_limit);
  Send(EngineNoticeReceived{"d1", key, EngineNotice{}, now_});
  EXPECT_FALSE(core_.engines().Find("d1")->rate_limit);
}

TEST_F(EngineLeavingFlowTest, TheNextIncarnationIsUsed) {
  StateLeaving("u1");
  EngineRecord record = MakeEngine("u1", "plain", EngineStage::kUniform);
  record.started_ms = 5;
  Send(EngineChanged{record});
  Send(EngineRemoved{"u2"});
  EXPECT_EQ(EngineOfNextRequest(), "u1");
}

TEST_F(EngineLeavingFlowTest, WorkInFlightGoesOn) {
  Arrive("safe");
  const StartAttempt start = One<StartAttempt>();
  StateLeaving(start.engine_id);
  EXPECT_TRUE(All<CancelAttempt>().empty());
  Respond(start, 200);
  EXPECT_EQ(One<RelayResponse>().flow, start.flow);
}

TEST_F(EngineLeavingFlowTest, WithoutAnyOtherEngineTheRequestIsRefused) {
  StateLeaving("u1");
  StateLeaving("u2");
  Arrive("safe");
  EXPECT_TRUE(All<StartAttempt>().empty());
  Pass(1s);
  EXPECT_EQ(One<SendLocalReply>().status, 503);
}

}  // namespace
}  // namespace saltquay::serving
