// Failed connections concern the path to an engine; failed responses concern the engine only if it still listens.
#include <gtest/gtest.h>

#include "tests/support/serving_fixture.h"

namespace saltquay::serving {
namespace {

class EnginePathTest : public ServingFixture {
 protected:
  bool IsUnreachable(const std::string& id) { return core_.engines().Find(id)->unreachable; }
  bool IsEjected(const std::string& id) { return core_.engines().Find(id)->ejected_until > now_; }
  int ReportedFailures() {
    int failures = 0;
    for (const EngineWork& work : core_.LocalWork(now_)) failures += work.failures;
    return failures;
  }
  // A request whose connection to the engine fails.
  std::string FailConnection() {
    Arrive("once");
    const auto start = One<StartAttempt>();
    Fail(start, AttemptFailure::kNotSent);
    Respond(One<StartAttempt>(), 200);  // Of the other engine.
    return start.engine_id;
  }
};

TEST_F(EnginePathTest, FailedConnectionMakesTheEngineUnreachableAndIsNoFailureOfIt) {
  const std::string engine = FailConnection();
  EXPECT_TRUE(IsUnreachable(engine));
  EXPECT_FALSE(IsEjected(engine));
  EXPECT_EQ(ReportedFailures(), 0);
}

TEST_F(EnginePathTest, UnreachableEngineIsProbedUntilItAcceptsAConnection) {
  const std::string engine = FailConnection();
  Pass(100ms);
  EXPECT_EQ(One<ProbeEngine>().engine_id, engine);
  Send(EngineProbed{engine, EngineProbeOutcome::kRefused});
  Pass(200ms);
  EXPECT_EQ(One<ProbeEngine>().engine_id, engine);
  Send(EngineProbed{engine, EngineProbeOutcome::kAccepted});
  EXPECT_FALSE(IsUnreachable(engine));
  Pass(2s);
  EXPECT_TRUE(All<ProbeEngine>().empty());
}

TEST_F(EnginePathTest, RestartedEngineIsReachable) {
  const std::string engine = FailConnection();
  EngineRecord record = MakeEngine(engine, "plain", EngineStage::kUniform);
  record.started_ms = 5;
  Send(EngineChanged{record});
  EXPECT_FALSE(IsUnreachable(engine));
  Pass(2s);
  EXPECT_TRUE(All<ProbeEngine>().empty());
}

TEST_F(EnginePathTest, InterruptedResponsesEjectAnEngineThatStillListens) {
  for (int i = 0; i < 8 && !IsEjected("u1") && !IsEjected("u2"); ++i) {
    Arrive("once");
    const auto start = One<StartAttempt>();
    Fail(start, AttemptFailure::kBroken);
    Send(EngineProbed{start.engine_id, EngineProbeOutcome::kAccepted});
  }
  EXPECT_TRUE(IsEjected("u1") || IsEjected("u2"));
}

TEST_F(EnginePathTest, InterruptedResponseOfAnEngineThatCannotBeReachedIsNoFailureOfIt) {
  for (const auto outcome : {EngineProbeOutcome::kRefused, EngineProbeOutcome::kUnknown}) {
    Arrive("once");
    const auto start = One<StartAttempt>();
    Fail(start, AttemptFailure::kBroken);
    Send(EngineProbed{start.engine_id, outcome});
    EXPECT_TRUE(IsUnreachable(start.engine_id));
  }
  EXPECT_EQ(ReportedFailures(), 0);
}

TEST_F(EnginePathTest, SilentEngineIsProbedOnceBeforeItIsTakenForUnresponsive) {
  Arrive("once");
  const auto start = One<StartAttempt>();
  Pass(600ms);
  EXPECT_EQ(One<ProbeEngine>().engine_id, start.engine_id);
  Send(EngineProbed{start.engine_id, EngineProbeOutcome::kUnknown});
  EXPECT_TRUE(IsUnreachable(start.engine_id));
  EXPECT_EQ(One<DropIdleConnections>().engine_id, start.engine_id);
}

TEST_F(EnginePathTest, SoundEngineThatIsSilentForASecondStaysInService) {
  Arrive("once");
  const auto start = One<StartAttempt>();
  Pass(600ms);
  Send(EngineProbed{start.engine_id, EngineProbeOutcome::kAccepted});
  Pass(500ms);
  Respond(start, 200);
  EXPECT_FALSE(IsUnreachable(start.engine_id));
  EXPECT_FALSE(core_.engines().Find(start.engine_id)->IsOutOfService(now_));
}

// More calls than the retry budget allows, of which none arrives.
TEST_F(EnginePathTest, CallThatDidNotReachAnEngineIsNotChargedToTheRetryBudget) {
  for (int i = 0; i < 30; ++i) {
    Arrive("safe");
    Respond(One<StartAttempt>(), 500);
    const auto retried = One<StartAttempt>();
    ASSERT_NE(retried.attempt, 0U) << "request " << i;
    Fail(retried, AttemptFailure::kNotSent);
    Send(EngineProbed{retried.engine_id, EngineProbeOutcome::kAccepted});
  }
}

// Guards against: a request that was lost while the path was broken counts against the engine after the path has
// healed.
TEST_F(EnginePathTest, SilenceFromBeforeThePathHealedIsNoFailureOfTheEngine) {
  for (int i = 0; i < 4; ++i) Arrive("once");
  Pass(600ms);
  for (const char* id : {"u1", "u2"}) Send(EngineProbed{id, EngineProbeOutcome::kUnknown});
  Pass(300ms);
  for (const char* id : {"u1", "u2"}) Send(EngineProbed{id, EngineProbeOutcome::kAccepted});
  Pass(1s);
  EXPECT_EQ(ReportedFailures(), 0);
  EXPECT_FALSE(IsEjected("u1"));
  EXPECT_FALSE(IsEjected("u2"));
}

}  // namespace
}  // namespace saltquay::serving
