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

}  // namespace
}  // namespace saltquay::serving
