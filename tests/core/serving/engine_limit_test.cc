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

double DrawLimit(Random& random) {
  if (random.Chance(0.2)) return 0;
  const double largest = random.Chance(0.3) ? 20 : 3;
  return largest * random.Unit();
}

// Limits that are named, changed and ended while nodes are killed, suspended, added and cut off, and messages are lost.
class Schedule {
 public:
  Schedule(std::uint64_t seed, int nodes) : random_(seed), nodes_(nodes), fleet_(Options(seed)) {
    fleet_.AddEngines(3, 3, 3);
    fleet_.Begin();
    engines_ = fleet_.EngineIds();
  }
  void Run() {
    constexpr int kSteps = 30;
    for (int step = 0; step < kSteps; ++step) {
      fleet_.RunFor(random_.DurationBelow(1s));
      Step();
    }
    fleet_.Heal();
    fleet_.RunFor(6s);
  }
  NoticeFleet& fleet() { return fleet_; }

 private:
  NoticeFleetOptions Options(std::uint64_t seed) {
    NoticeFleetOptions options;
    options.nodes = nodes_;
    options.seed = seed;
    options.requests_per_s = 10.0 * std::min(nodes_, 20);
    if (random_.Chance(0.3)) options.loss = 0.1 * random_.Unit();
    return options;
  }
  int AnyNode() { return static_cast<int>(random_.Below(fleet_.size())); }
  void Step() {
    const std::string& engine = engines_[random_.Below(engines_.size())];
    const std::uint64_t kind = random_.Below(9);
    if (kind <= 2) fleet_.NameLimit(engine, DrawLimit(random_));
    if (kind == 3) fleet_.NameLimit(engine, std::nullopt);
    if (kind == 4) KillOrStart();
    if (kind == 5) Suspend();
    if (kind == 6) Partition();
    if (kind == 7) fleet_.Heal();
    if (kind == 8 && fleet_.size() < nodes_ + 4) fleet_.AddNode();
  }
  void KillOrStart() {
    if (killed_) return fleet_.Start(*std::exchange(killed_, std::nullopt));
    killed_ = AnyNode();
    fleet_.Kill(*killed_);
  }
  void Suspend() {
    const int node = AnyNode();
    fleet_.Suspend(node, random_.DurationBelow(3s));
  }
  void Partition() {
    const std::uint64_t seed = random_.Below(1000);
    const bool one_way = random_.Chance(0.5);
    fleet_.Partition([seed](int node) { return HashPair(seed, node) % 4 == 0 ? 1 : 0; }, one_way);
  }

  Random random_;
  int nodes_;
  NoticeFleet fleet_;
  std::vector<std::string> engines_;
  std::optional<int> killed_;
};

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
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    Schedule schedule(seed, nodes);
    schedule.Run();
    for (const std::string& engine : schedule.fleet().EngineIds())
      EXPECT_LE(schedule.fleet().LimitExcess(engine), 0) << engine << ", seed " << seed << ", " << nodes << " nodes";
  }
}

INSTANTIATE_TEST_SUITE_P(FleetSizes, EngineLimitScheduleTest, testing::Values(3, 7, 20, 77));

}  // namespace
}  // namespace saltquay::serving
