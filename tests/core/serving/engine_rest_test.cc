// Engines that reject a request and ask the node to send none for a time.
#include <gtest/gtest.h>

#include "tests/support/notice_fleet.h"
#include "tests/support/serving_fixture.h"

namespace saltquay::serving {
namespace {

constexpr int kAllowedDuringRest = 2;

// Guards against incident BUDGET: a node sent requests to an engine that had asked it for rest.
TEST(EngineRestTest, NodesLeaveAnEngineThatAsksForRestAlone) {
  NoticeFleet fleet({.seed = 20261203});
  fleet.AddEngines(3, 4, 5);
  fleet.Begin();
  fleet.RunFor(3s);
  for (const char* engine : {"u0", "p0", "d0", "d1"}) fleet.AskForRest(engine, 0.8, 3s);
  fleet.RunFor(20s);
  for (const char* engine : {"u0", "p0", "d0", "d1"})
    EXPECT_LE(fleet.MostDuringRest(engine), kAllowedDuringRest) << engine;
}

// The choice fell back to engines out of service when there was no other.
TEST(EngineRestTest, EnginesAreLeftAloneAlsoIfAllAskForRest) {
  NoticeFleet fleet({.seed = 20261203});
  fleet.AddEngines(2, 2, 2);
  fleet.Begin();
  fleet.RunFor(3s);
  for (const std::string& engine : fleet.EngineIds()) fleet.AskForRest(engine, 0.8, 3s);
  fleet.RunFor(20s);
  for (const std::string& engine : fleet.EngineIds())
    EXPECT_LE(fleet.MostDuringRest(engine), kAllowedDuringRest) << engine;
}

TEST(EngineRestTest, RequestsAreRefusedAtOnceWithTheEarliestEndOfARest) {
  NoticeFleet fleet({.nodes = 1, .requests_per_s = 100});
  fleet.AddEngines(2, 2, 2);
  fleet.Begin();
  for (const std::string& engine : fleet.EngineIds()) fleet.AskForRest(engine, 1, 3s);
  fleet.RunFor(30s);
  EXPECT_GT(fleet.refused(), 2000);
  EXPECT_LT(fleet.longest_refusal(), 420ms);
  EXPECT_GT(fleet.mean_retry_after(), 1s);
  EXPECT_LT(fleet.mean_retry_after(), 2s);
}

// Rests beside limits, while nodes are killed, suspended, added and cut off.
void RunSchedule(std::uint64_t seed, int nodes) {
  Random random(seed);
  NoticeFleet fleet({.nodes = nodes, .seed = seed, .requests_per_s = 15.0 * nodes, .loss = 0.1 * random.Unit()});
  fleet.AddEngines(3, 3, 3);
  fleet.Begin();
  const std::vector<std::string> engines = fleet.EngineIds();
  const auto any_node = [&] { return static_cast<int>(random.Below(fleet.size())); };
  for (int step = 0; step < 30; ++step) {
    fleet.RunFor(random.DurationBelow(1s));
    const std::string& engine = engines[random.Below(engines.size())];
    const std::uint64_t kind = random.Below(7);
    if (kind <= 2) fleet.AskForRest(engine, random.Unit(), random.DurationBelow(5s));
    if (kind == 3) fleet.AskForRest(engine, 0, 0s);
    if (kind == 4) fleet.NameLimit(engine, random.Chance(0.3) ? std::nullopt : std::optional(5 * random.Unit()));
    if (kind == 5) fleet.Suspend(any_node(), random.DurationBelow(3s));
    if (kind == 6) {
      const int node = any_node();
      fleet.Kill(node);
      fleet.Start(node);
    }
  }
  fleet.RunFor(6s);
  for (const std::string& engine : engines) {
    EXPECT_LE(fleet.MostDuringRest(engine), kAllowedDuringRest) << engine << ", seed " << seed << ", " << nodes;
    EXPECT_LE(fleet.LimitExcess(engine), 0) << engine << ", seed " << seed << ", " << nodes;
  }
}

class EngineRestScheduleTest : public testing::TestWithParam<int> {};

TEST_P(EngineRestScheduleTest, RestsAreKeptUnderFaults) {
  constexpr std::uint64_t kSchedules = 60;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) RunSchedule(seed, GetParam());
}

INSTANTIATE_TEST_SUITE_P(FleetSizes, EngineRestScheduleTest, testing::Values(3, 7));

class EngineRestFlowTest : public ServingFixture {
 protected:
  void AskForRest(const StartAttempt& start, Duration rest) {
    EngineNotice notice;
    notice.rest = rest;
    Send(EngineNoticeReceived{start.engine_id, core_.engines().Find(start.engine_id)->key, notice, now_});
    Respond(start, 503, true);
  }
};

TEST_F(EngineRestFlowTest, ASuccessfulResponseDoesNotEndARest) {
  Arrive("safe");
  const StartAttempt first = One<StartAttempt>();
  Arrive("safe");
  const StartAttempt second = One<StartAttempt>();
  ASSERT_NE(first.engine_id, second.engine_id);
  AskForRest(first, 3s);
  const StartAttempt again = One<StartAttempt>();
  EXPECT_EQ(again.engine_id, second.engine_id);
  Send(EngineNoticeReceived{first.engine_id, core_.engines().Find(first.engine_id)->key, EngineNotice{}, now_});
  Pass(2s);
  for (int i = 0; i < 4; ++i) {
    Arrive("safe");
    EXPECT_EQ(One<StartAttempt>().engine_id, second.engine_id);
  }
  Pass(1s);
  Arrive("safe");
  EXPECT_EQ(One<StartAttempt>().engine_id, first.engine_id);
}

TEST_F(EngineRestFlowTest, ANewIncarnationOfTheEngineDoesNotRest) {
  Arrive("safe");
  const StartAttempt first = One<StartAttempt>();
  AskForRest(first, 60s);
  EngineRecord record = core_.engines().Find(first.engine_id)->record;
  record.started_ms = 5;
  Send(EngineChanged{record});
  EXPECT_LE(core_.engines().Find(first.engine_id)->rests_until, now_);
}

TEST_F(EngineRestFlowTest, KvCacheIsHandedOverToAnEngineThatDoesNotRest) {
  Arrive("chat", LongPrompt());
  const StartAttempt prefill = One<StartAttempt>();
  core_.engines().Find("d1")->rests_until = now_ + 3s;
  Respond(prefill, 200, false, "h1");
  EXPECT_EQ(One<StartAttempt>().engine_id, "d2");
}

}  // namespace
}  // namespace saltquay::serving
