// Engines that reject a request and ask the node to send none for a time.
#include <gtest/gtest.h>

#include "tests/support/notice_fleet.h"

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

}  // namespace
}  // namespace saltquay::serving
