// Property: however engines start again under their ids, no stream holds events of two software versions, and streams
// are taken up about as often as new ones begin.
#include <algorithm>
#include <cstdlib>

#include <gtest/gtest.h>

#include "tests/support/stream_fleet.h"

namespace saltquay::serving {
namespace {

constexpr std::uint64_t kDefaultSchedules = 300;
constexpr double kMinShare = 0.9;  // Of the share of new streams that begin.

std::uint64_t Schedules() {
  const char* count = std::getenv("SALTQUAY_SCHEDULES");
  return count == nullptr ? kDefaultSchedules : std::strtoull(count, nullptr, 10);
}

struct Totals {
  int streams = 0;
  int mixed = 0;
  StreamShare begun;
  StreamShare taken_up;
};

void Add(StreamShare& total, const StreamShare& share) {
  total.answered += share.answered;
  total.sent += share.sent;
}

double Of(const StreamShare& share) { return static_cast<double>(share.answered) / std::max(1, share.sent); }

StreamFleetOptions DrawOptions(Random& random) {
  StreamFleetOptions options;
  options.nodes = 1 + static_cast<int>(random.Below(20));
  options.engines = 4 + static_cast<int>(random.Below(42));
  options.max_record_lag = 1ms + random.DurationBelow(3s);
  options.silent_connections = random.Chance(0.3) ? random.Unit() : 0;
  return options;
}

// `disturbs`: messages between nodes are lost, and nodes are restarted or cut off from their peers.
Totals RunSchedules(std::uint64_t schedules, bool disturbs, bool checks_processes) {
  Totals totals;
  for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
    Random random(seed);
    StreamFleetOptions options = DrawOptions(random);
    options.checks_processes = checks_processes;
    if (disturbs) options.message_loss = random.Unit() * 0.2;
    StreamFleet fleet(options, seed);
    fleet.Offer(40, fleet.now() + 4s);
    for (Time at = fleet.now() + 1s; at < fleet.now() + 4s; at += random.DurationBelow(600ms)) fleet.RestartEngine(at);
    if (disturbs) {
      fleet.RestartNode(fleet.now() + 1s + random.DurationBelow(2s));
      const Time cut = fleet.now() + 1s + random.DurationBelow(2s);
      fleet.CutNode(cut, cut + 500ms);
    }
    fleet.RunUntil(fleet.now() + 8s);
    totals.streams += fleet.streams();
    totals.mixed += fleet.mixed_streams();
    EXPECT_EQ(checks_processes ? fleet.mixed_streams() : 0, 0) << "seed " << seed;
    Add(totals.begun, fleet.begun());
    Add(totals.taken_up, fleet.taken_up());
  }
  return totals;
}

// Guards against: streams begin or go on at an engine that has started again under its id, at the version of its old
// record.
TEST(EngineRestartSchedulesTest, NoStreamHoldsEventsOfTwoVersions) {
  const Totals totals = RunSchedules(Schedules(), false, true);
  EXPECT_GT(totals.taken_up.sent, totals.streams / 4);
  EXPECT_GE(Of(totals.taken_up), kMinShare * Of(totals.begun));
}

// The same while messages are lost and nodes are restarted or cut off.
TEST(EngineRestartSchedulesTest, NoStreamHoldsEventsOfTwoVersionsWhileNodesFail) {
  const Totals totals = RunSchedules(Schedules(), true, true);
  EXPECT_GT(totals.taken_up.sent, totals.streams / 4);
}

// The schedules show the fault: without the check of processes, streams hold events of two versions.
TEST(EngineRestartSchedulesTest, SchedulesFailWithoutTheCheckOfProcesses) {
  EXPECT_GT(RunSchedules(10, false, false).mixed, 10);
}

}  // namespace
}  // namespace saltquay::serving
