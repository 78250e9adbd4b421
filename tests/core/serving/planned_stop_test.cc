// The end of a planned stop: no request is sent to an engine any more, and each gets a response before the process
// ends.
#include <gtest/gtest.h>

#include "tests/support/serving_fixture.h"

namespace saltquay::serving {
namespace {

class PlannedStopTest : public ServingFixture {
 protected:
  void EndDispatch() { Send(NodeStopping{StopPhase::kDispatchEnded}); }
  void Exit() { Send(NodeStopping{StopPhase::kExiting}); }
};

// Guards against: prompts that wait for prefill engines are cut off by the end of the process.
TEST_F(PlannedStopTest, QueuedPromptIsRefused) {
  FlowId queued = 0;
  for (int i = 0; i < 100 && queued == 0; ++i) {
    const FlowId flow = Arrive("lone", LongPrompt("s" + std::to_string(i)));
    if (All<StartAttempt>().empty()) queued = flow;
  }
  ASSERT_NE(queued, 0U);
  Send(NodeStopping{});
  EXPECT_TRUE(All<SendLocalReply>().empty()) << "the stop has only begun";
  EndDispatch();
  const auto reply = One<SendLocalReply>();
  EXPECT_EQ(reply.flow, queued);
  EXPECT_EQ(reply.status, 503);
  EXPECT_TRUE(reply.retry_after.has_value());
  EXPECT_TRUE(All<StartAttempt>().empty());
}

// Guards against: a request that waits for an engine is sent to one so late that its response is cut off.
TEST_F(PlannedStopTest, WaitingRequestIsRefused) {
  Arrive("once");
  for (int i = 0; i < 2; ++i) Respond(One<StartAttempt>(), 503, true);
  ASSERT_TRUE(All<SendLocalReply>().empty() && All<StartAttempt>().empty());
  EndDispatch();
  EXPECT_EQ(One<SendLocalReply>().status, 503);
}

TEST_F(PlannedStopTest, PrefilledPromptIsRefused) {
  Arrive("lone", LongPrompt());
  const auto prefill = One<StartAttempt>();
  EndDispatch();
  EXPECT_TRUE(All<SendLocalReply>().empty());
  Respond(prefill, 200, false, "handle");
  EXPECT_EQ(One<SendLocalReply>().status, 503);
  EXPECT_TRUE(All<StartAttempt>().empty());
}

TEST_F(PlannedStopTest, RequestAtAnEngineIsCompleted) {
  Arrive("once");
  const auto start = One<StartAttempt>();
  EndDispatch();
  EndDispatch();
  EXPECT_TRUE(All<SendLocalReply>().empty());
  Respond(start, 200);
  EXPECT_EQ(All<RelayResponse>().size(), 1U);
}

// Guards against: a request is cut off without a response when the process ends.
TEST_F(PlannedStopTest, RequestThatIsNotCompletedGetsAResponse) {
  Arrive("once");
  Arrive("lone", LongPrompt());
  EndDispatch();
  ASSERT_TRUE(All<SendLocalReply>().empty());
  Exit();
  const auto replies = All<SendLocalReply>();
  ASSERT_EQ(replies.size(), 2U);
  EXPECT_EQ(replies[0].status, 502) << "it may have run";
  EXPECT_EQ(replies[1].status, 503) << "its prompt was only read";
  EXPECT_EQ(All<CancelAttempt>().size(), 2U);
}

TEST_F(PlannedStopTest, StreamIsRelayedUntilTheProcessEnds) {
  Arrive("lone", LongPrompt());
  Respond(One<StartAttempt>(), 200, false, "handle");
  Head(One<StartAttempt>(), 200);
  EndDispatch();
  Exit();
  EXPECT_TRUE(All<SendLocalReply>().empty() && All<AbortResponse>().empty());
}

// Guards against: a request that may have run is refused as one that has not.
TEST_F(PlannedStopTest, RequestThatMayHaveRunIsNotRefused) {
  Arrive("safe");
  const auto start = One<StartAttempt>();
  EndDispatch();
  Fail(start, AttemptFailure::kBroken);
  EXPECT_EQ(One<SendLocalReply>().status, 502);
  EXPECT_TRUE(All<StartAttempt>().empty());
}

}  // namespace
}  // namespace saltquay::serving
