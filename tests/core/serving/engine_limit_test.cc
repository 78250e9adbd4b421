// Limits that engines name for the requests of all nodes together.
#include <gtest/gtest.h>

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

}  // namespace
}  // namespace saltquay::serving
