// Client disconnects: all attempts are cancelled and no new ones are started.
#include "tests/support/serving_fixture.h"

namespace saltquay::serving {
namespace {

class ClientDisconnectTest : public ServingFixture {
 protected:
  // Disconnects the client; the given attempts must be cancelled at once and none started in the next seconds.
  void DisconnectAndExpectCancelled(FlowId flow, const std::vector<AttemptId>& attempts) {
    Send(ClientDisconnected{flow});
    std::vector<AttemptId> cancelled;
    for (const CancelAttempt& action : All<CancelAttempt>()) cancelled.push_back(action.attempt);
    EXPECT_EQ(cancelled, attempts);
    EXPECT_EQ(core_.flows(), 0U);
    Pass(3s);
    EXPECT_TRUE(All<StartAttempt>().empty());
  }
};

TEST_F(ClientDisconnectTest, HandoffIsCancelled) {
  const FlowId flow = Arrive("chat", LongPrompt());
  Respond(One<StartAttempt>(), 200, false, "handle");
  DisconnectAndExpectCancelled(flow, {One<StartAttempt>().attempt});
}

TEST_F(ClientDisconnectTest, BothAttemptsOfAHedgedRequestAreCancelled) {
  const FlowId flow = Arrive("safe");
  const auto first = One<StartAttempt>();
  Pass(330ms);
  DisconnectAndExpectCancelled(flow, {first.attempt, One<StartAttempt>().attempt});
}

TEST_F(ClientDisconnectTest, QueuedPromptIsNotPrefilledLater) {
  for (const char* id : {"p1", "p2"}) core_.engines().Find(id)->held_until = now_ + 50ms;
  const FlowId flow = Arrive("lone", LongPrompt());
  std::vector<AttemptId> started;
  for (const StartAttempt& start : All<StartAttempt>()) started.push_back(start.attempt);
  DisconnectAndExpectCancelled(flow, started);
}

TEST_F(ClientDisconnectTest, RequestWaitingForAnEngineIsNotSentLater) {
  Send(EnginesReplaced{});
  const FlowId flow = Arrive("safe");
  EXPECT_TRUE(All<StartAttempt>().empty());
  DisconnectAndExpectCancelled(flow, {});
  Send(EngineChanged{MakeEngine("u9", "plain", EngineStage::kUniform)});
  EXPECT_TRUE(All<StartAttempt>().empty());
}

TEST_F(ClientDisconnectTest, RetryAfterARefusalIsCancelled) {
  const FlowId flow = Arrive("safe");
  Respond(One<StartAttempt>(), 503, true);
  DisconnectAndExpectCancelled(flow, {One<StartAttempt>().attempt});
}

}  // namespace
}  // namespace saltquay::serving
