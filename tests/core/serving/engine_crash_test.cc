// Distinguishes an engine whose process crashed from one of which only a connection broke.
#include <map>

#include <gtest/gtest.h>

#include "tests/support/serving_fixture.h"

namespace saltquay::serving {
namespace {

class EngineCrashTest : public ServingFixture {
 protected:
  bool CrashIsLogged() const {
    for (const auto& line : All<LogDecision>()) {
      if (line.event == EventId::kEngineEnded) return true;
    }
    return false;
  }
  StartAttempt InterruptOne() {
    Arrive("safe");
    auto start = One<StartAttempt>();
    Fail(start, AttemptFailure::kBroken);
    return start;
  }
};

TEST_F(EngineCrashTest, RefusedProbeAfterAnInterruptedResponseIsACrash) {
  const StartAttempt start = InterruptOne();
  EXPECT_EQ(One<ProbeEngine>().engine_id, start.engine_id);
  Send(EngineProbed{start.engine_id, EngineProbeOutcome::kRefused});
  EXPECT_TRUE(CrashIsLogged());
}

TEST_F(EngineCrashTest, AcceptedOrInconclusiveProbeIsNoCrash) {
  for (const auto outcome : {EngineProbeOutcome::kAccepted, EngineProbeOutcome::kUnknown}) {
    const StartAttempt start = InterruptOne();
    Send(EngineProbed{start.engine_id, outcome});
    EXPECT_FALSE(CrashIsLogged());
    Pass(3s);
  }
}

TEST_F(EngineCrashTest, EngineThatRefusesConnectionsButKeepsRespondingHasNotCrashed) {
  std::map<std::string, StartAttempt> first_at;
  StartAttempt broken;
  StartAttempt other;
  while (other.engine_id.empty()) {  // Until two attempts are at the same engine.
    Arrive("once");
    const auto start = One<StartAttempt>();
    const auto [entry, is_first] = first_at.emplace(start.engine_id, start);
    if (is_first) continue;
    broken = entry->second;
    other = start;
  }
  Fail(broken, AttemptFailure::kBroken);
  Send(EngineProbed{broken.engine_id, EngineProbeOutcome::kRefused});
  EXPECT_FALSE(CrashIsLogged());
  now_ += 100ms;
  Respond(other, 200);
  EXPECT_FALSE(CrashIsLogged());
}

TEST_F(EngineCrashTest, LeavingEngineIsNotProbed) {
  Arrive("safe");
  const auto start = One<StartAttempt>();
  EngineRecord record = MakeEngine(start.engine_id, "plain", EngineStage::kUniform);
  record.leaving = true;
  Send(EngineChanged{record});
  Fail(start, AttemptFailure::kBroken);
  EXPECT_TRUE(All<ProbeEngine>().empty());
}

TEST_F(EngineCrashTest, FailedConnectionDoesNotTriggerAProbe) {
  Arrive("safe");
  Fail(One<StartAttempt>(), AttemptFailure::kNotSent);
  EXPECT_TRUE(All<ProbeEngine>().empty());
}

}  // namespace
}  // namespace saltquay::serving
