// A client that leaves: whatever is under way for it ends, and nothing more begins.
#include "tests/support/serving_fixture.h"

namespace saltquay::serving {
namespace {

class LeavingTest : public ServingFixture {
 protected:
  // The client leaves; every attempt named is cancelled at once, and nothing begins in the next seconds.
  void LeaveAndExpectCancelled(FlowId flow, const std::vector<AttemptId>& attempts) {
    Send(ClientDisconnected{flow});
    std::vector<AttemptId> cancelled;
    for (const CancelAttempt& action : All<CancelAttempt>()) cancelled.push_back(action.attempt);
    EXPECT_EQ(cancelled, attempts);
    EXPECT_EQ(core_.flows(), 0U);
    Pass(3s);
    EXPECT_TRUE(All<StartAttempt>().empty());
  }
};

TEST_F(LeavingTest, AHandOverIsCancelled) {
  const FlowId flow = Arrive("chat", LongPrompt());
  Answer(One<StartAttempt>(), 200, false, "handle");
  LeaveAndExpectCancelled(flow, {One<StartAttempt>().attempt});
}

TEST_F(LeavingTest, BothAttemptsOfAHedgedRequestAreCancelled) {
  const FlowId flow = Arrive("safe");
  const auto first = One<StartAttempt>();
  Pass(330ms);
  LeaveAndExpectCancelled(flow, {first.attempt, One<StartAttempt>().attempt});
}

TEST_F(LeavingTest, APromptThatWaitsForAReaderIsNotReadLater) {
  for (const char* id : {"p1", "p2"}) core_.engines().Find(id)->held_until = now_ + 50ms;
  const FlowId flow = Arrive("lone", LongPrompt());
  std::vector<AttemptId> begun;
  for (const StartAttempt& start : All<StartAttempt>()) begun.push_back(start.attempt);
  LeaveAndExpectCancelled(flow, begun);
}

TEST_F(LeavingTest, WhatWaitsForAnyEngineIsNotSentLater) {
  Send(EnginesReplaced{});
  const FlowId flow = Arrive("safe");
  EXPECT_TRUE(All<StartAttempt>().empty());
  LeaveAndExpectCancelled(flow, {});
  Send(EngineChanged{MakeEngine("u9", "plain", EngineStage::kUniform)});
  EXPECT_TRUE(All<StartAttempt>().empty());
}

TEST_F(LeavingTest, ARetryAfterARefusalIsCancelled) {
  const FlowId flow = Arrive("safe");
  Answer(One<StartAttempt>(), 503, true);
  LeaveAndExpectCancelled(flow, {One<StartAttempt>().attempt});
}

}  // namespace
}  // namespace saltquay::serving
