// Limits that engines name for the requests of all nodes together.
#include <gtest/gtest.h>

#include <cstdlib>

#include "tests/support/notice_fleet.h"

namespace saltquay::serving {
namespace {

// Guards against incident LIMIT: all nodes together exceeded the limit that an engine had named.
TEST(EngineLimitTest, AllNodesTogetherKeepToTheLimitThatAnEngineNames) {
  for (const double limit : {1.0, 2.5, 5.0}) {
    NoticeFleet fleet({.seed = 20261203});
    fleet.AddEngines(3, 4, 5);
    fleet.Begin();
    fleet.RunFor(3s);
    for (const char* engine : {"u0", "p0", "d0"}) fleet.NameLimit(engine, limit);
    fleet.RunFor(15s);
    for (const char* engine : {"u0", "p0", "d0"}) EXPECT_LE(fleet.LimitExcess(engine), 0) << engine << " " << limit;
  }
}

// Number of requests that the engine received since `from`, per second.
double RateSince(NoticeFleet& fleet, const std::string& engine, Time from) {
  const std::vector<EngineArrival>& arrivals = fleet.ArrivalsAt(engine);
  const auto count =
      std::count_if(arrivals.begin(), arrivals.end(), [&](const EngineArrival& arrival) { return arrival.at >= from; });
  return static_cast<double>(count) / ToSeconds(fleet.now() - from);
}

TEST(EngineLimitTest, MostOfTheLimitIsUsedWhileThereIsWork) {
  constexpr double kUsedShare = 0.6;
  for (const int nodes : {1, 7, 77}) {
    for (const double limit : {1.0, 5.0, 20.0}) {
      NoticeFleet fleet({.nodes = nodes, .requests_per_s = 400});
      fleet.AddEngines(2, 2, 2);
      fleet.Begin();
      for (const std::string& engine : fleet.EngineIds()) fleet.NameLimit(engine, limit);
      fleet.RunFor(10s);
      const Time from = fleet.now();
      fleet.RunFor(40s);
      EXPECT_GE(RateSince(fleet, "u0", from), kUsedShare * limit) << nodes << " nodes, limit " << limit;
      EXPECT_LE(fleet.LimitExcess("u0"), 0) << nodes << " nodes, limit " << limit;
    }
  }
}

TEST(EngineLimitTest, EngineThatNamesALimitOfZeroIsTriedNowAndThen) {
  NoticeFleet fleet({});
  fleet.AddEngines(2, 2, 2);
  fleet.Begin();
  fleet.NameLimit("u0", 0);
  fleet.RunFor(60s);
  const Time from = fleet.now();
  fleet.RunFor(60s);
  EXPECT_LE(fleet.LimitExcess("u0"), 0);
  EXPECT_GT(RateSince(fleet, "u0", from), 0);
  EXPECT_LE(RateSince(fleet, "u0", from), 0.2);
}

TEST(EngineLimitTest, EngineThatEndsItsLimitIsUsedFullyAgain) {
  NoticeFleet fleet({});
  fleet.AddEngines(2, 2, 2);
  fleet.Begin();
  fleet.RunFor(5s);
  const double before = RateSince(fleet, "u0", fleet.now() - 5s);
  fleet.NameLimit("u0", 1);
  fleet.RunFor(10s);
  fleet.NameLimit("u0", std::nullopt);
  fleet.RunFor(5s);
  const Time from = fleet.now();
  fleet.RunFor(10s);
  EXPECT_GE(RateSince(fleet, "u0", from), 0.7 * before);
}

TEST(EngineLimitTest, RequestsThatNoEngineMayTakeAreRefusedAtOnceWithTheTimeToRetry) {
  NoticeFleet fleet({.requests_per_s = 100});
  fleet.AddEngines(1, 1, 1);
  fleet.Begin();
  for (const std::string& engine : fleet.EngineIds()) fleet.NameLimit(engine, 0.5);
  fleet.RunFor(20s);
  for (const std::string& engine : fleet.EngineIds()) EXPECT_LE(fleet.LimitExcess(engine), 0) << engine;
  EXPECT_GT(fleet.refused(), 1000);
  EXPECT_LT(fleet.longest_refusal(), 420ms);
  EXPECT_GT(fleet.mean_retry_after(), 300ms);
}

TEST(EngineLimitTest, FewPromptsArePrefilledWhileDecodeEnginesTakeFewRequests) {
  NoticeFleet fleet({.requests_per_s = 35});
  fleet.AddEngines(3, 6, 3);
  fleet.Begin();
  for (const char* engine : {"d0", "d1", "d2"}) fleet.NameLimit(engine, 1);
  fleet.RunFor(60s);
  EXPECT_LT(fleet.released(), fleet.served() / 3);
}

TEST(EngineLimitTest, EngineThatRejectedARequestIsAskedAgainWhileTheOthersAreClosed) {
  NoticeFleet fleet({.requests_per_s = 35, .decode_slots = 3});
  fleet.AddEngines(3, 6, 3);
  fleet.Begin();
  for (const char* engine : {"d0", "d1"}) fleet.NameLimit(engine, 1);
  fleet.RunFor(60s);
  EXPECT_LT(fleet.refused(), fleet.served() / 100);
}

// Limits that are named, changed and ended while nodes are killed, suspended, added and cut off, and messages are lost.
void RunSchedule(std::uint64_t seed, int nodes) {
  Random random(seed);
  NoticeFleet fleet({.nodes = nodes,
                     .seed = seed,
                     .requests_per_s = 10.0 * std::min(nodes, 20),
                     .loss = random.Chance(0.3) ? 0.1 * random.Unit() : 0});
  fleet.AddEngines(3, 3, 3);
  fleet.Begin();
  const std::vector<std::string> engines = fleet.EngineIds();
  const auto any_node = [&] { return static_cast<int>(random.Below(fleet.size())); };
  std::optional<int> killed;
  for (int step = 0; step < 30; ++step) {
    fleet.RunFor(random.DurationBelow(1s));
    const std::string& engine = engines[random.Below(engines.size())];
    switch (random.Below(9)) {
      case 0:
      case 1:
      case 2:
        fleet.NameLimit(engine, random.Chance(0.2) ? 0.0 : random.Unit() * (random.Chance(0.3) ? 20 : 3));
        break;
      case 3:
        fleet.NameLimit(engine, std::nullopt);
        break;
      case 4:
        if (killed)
          fleet.Start(*std::exchange(killed, std::nullopt));
        else
          fleet.Kill(*(killed = any_node()));
        break;
      case 5:
        fleet.Suspend(any_node(), random.DurationBelow(3s));
        break;
      case 6: {
        const std::uint64_t side_seed = random.Below(1000);
        fleet.Partition([=](int node) { return HashPair(side_seed, node) % 4 == 0 ? 1 : 0; }, random.Chance(0.5));
        break;
      }
      case 7:
        fleet.Heal();
        break;
      case 8:
        if (fleet.size() < nodes + 4) fleet.AddNode();
        break;
    }
  }
  fleet.Heal();
  fleet.RunFor(6s);
  for (const std::string& engine : engines)
    EXPECT_LE(fleet.LimitExcess(engine), 0) << engine << ", seed " << seed << ", " << nodes << " nodes";
}

// SALTQUAY_LIMIT_SCHEDULES: the number of schedules for each size of the fleet; SALTQUAY_FIRST_SEED: the first seed.
std::uint64_t FromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

class EngineLimitScheduleTest : public testing::TestWithParam<int> {};

TEST_P(EngineLimitScheduleTest, LimitsHoldUnderFaults) {
  const int nodes = GetParam();
  const std::uint64_t first = FromEnvironment("SALTQUAY_FIRST_SEED", 1);
  const std::uint64_t count = FromEnvironment("SALTQUAY_LIMIT_SCHEDULES", nodes <= 7 ? 100 : nodes <= 20 ? 30 : 2);
  for (std::uint64_t seed = first; seed < first + count; ++seed) RunSchedule(seed, nodes);
}

INSTANTIATE_TEST_SUITE_P(FleetSizes, EngineLimitScheduleTest, testing::Values(3, 7, 20, 77));

}  // namespace
}  // namespace saltquay::serving
