// Idle connections to engines that become unresponsive without closing them.
#include "tests/support/serving_fixture.h"

namespace saltquay::serving {
namespace {

class IdleConnectionsTest : public ServingFixture {};

// Guards against: idle connections to an unresponsive engine are tried one after the other, one request each.
TEST_F(IdleConnectionsTest, AttemptWithoutResponseDropsIdleConnectionsToItsEngine) {
  Arrive("once");
  const auto start = One<StartAttempt>();
  Pass(4s);
  const auto dropped = All<DropIdleConnections>();
  ASSERT_FALSE(dropped.empty());
  EXPECT_EQ(dropped.front().engine_id, start.engine_id);
  EXPECT_EQ(dropped.front().address, start.address);
}

// Guards against: a request and its retry both wait on idle connections that were lost together.
TEST_F(IdleConnectionsTest, RetryAfterNoResponseUsesANewConnection) {
  Arrive("safe");
  EXPECT_FALSE(One<StartAttempt>().on_new_connection);
  Pass(400ms);
  EXPECT_TRUE(One<StartAttempt>().on_new_connection);
}

TEST_F(IdleConnectionsTest, RetryAfterARefusalMayUseAnIdleConnection) {
  Arrive("safe");
  Respond(One<StartAttempt>(), 503, true);
  EXPECT_FALSE(One<StartAttempt>().on_new_connection);
}

TEST_F(IdleConnectionsTest, EngineThatRespondsToOthersKeepsItsConnections) {
  Arrive("once");
  const auto first = One<StartAttempt>();
  std::optional<StartAttempt> second;
  while (!second) {
    Arrive("once");
    const auto start = One<StartAttempt>();
    if (start.engine_id == first.engine_id) second = start;
  }
  Pass(1s);
  Respond(*second, 200);
  Pass(4s);
  for (const DropIdleConnections& dropped : All<DropIdleConnections>()) {
    EXPECT_NE(dropped.engine_id, first.engine_id);
  }
}

}  // namespace
}  // namespace saltquay::serving
