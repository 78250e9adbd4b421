// Engines that restart under the same id.
#include "tests/support/serving_fixture.h"

namespace saltquay::serving {
namespace {

class EngineRestartTest : public ServingFixture {};

// Guards against attributing the state of an engine's earlier incarnation to the one that restarted under its id.
TEST_F(EngineRestartTest, ARestartDropsTheStateOfTheEarlierIncarnation) {
  EngineDirectory engines{EjectionPolicy{}};
  EngineRecord record;
  record.id = "e";
  record.service = "s";
  record.started_ms = 1000;
  engines.Update(record);
  EngineState& before = *engines.Find("e");
  const EngineKey key_before = before.key;
  before.outstanding = 3;
  before.ejected_until = Time{9s};
  engines.RecordLoad("e", {4, 5, 8}, Time{1s});
  record.started_ms = 2000;
  EXPECT_TRUE(engines.Update(record));
  const EngineState& after = *engines.Find("e");
  EXPECT_EQ(after.outstanding, 0);
  EXPECT_FALSE(after.has_reported_load);
  EXPECT_EQ(after.ejected_until, Time{});
  EXPECT_NE(after.key, key_before);
}

TEST_F(EngineRestartTest, ADelayedUpdateOfAnEarlierIncarnationIsIgnored) {
  EngineDirectory engines{EjectionPolicy{}};
  EngineRecord record;
  record.id = "e";
  record.service = "s";
  record.started_ms = 2000;
  engines.Update(record);
  record.started_ms = 1000;
  record.leaving = true;
  EXPECT_FALSE(engines.Update(record));
  EXPECT_FALSE(engines.Find("e")->record.leaving);
}

TEST_F(EngineRestartTest, WorkOfAnEarlierIncarnationIsNotSubtractedFromTheNewOne) {
  Arrive("once");
  const auto start = One<StartAttempt>();
  EngineRecord record = core_.engines().Find(start.engine_id)->record;
  record.started_ms = 5000;
  Send(EngineChanged{record});
  Fail(start, AttemptFailure::kBroken);
  EXPECT_EQ(core_.engines().Find(start.engine_id)->outstanding, 0);
}

}  // namespace
}  // namespace saltquay::serving
