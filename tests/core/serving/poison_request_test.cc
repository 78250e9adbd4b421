// Guards against: a request that crashes engines is executed again and again.
//
// A request crashes each engine that executes it, about 100 ms after its first token, and its client retries it. Each
// retry reaches some node as a new request and is tried at two engines. Limits per request (attempts, executions,
// engines tried) do not stop this, since they apply to a single client request at a single node. Without a fingerprint
// that nodes share, a request that had already crashed three engines was sent to engines 8 to 12 more times and crashed
// 13 to 24 of them: all decode engines of a service crashed within 0.7 s, restarted 4 s later and crashed again, for 11
// to 16 s, and each crash broke up to eight other streams.
#include <algorithm>

#include <gtest/gtest.h>

#include "tests/support/serving_fixture.h"
#include "tests/support/serving_fleet.h"

namespace saltquay::serving {
namespace {

// After this time, all nodes that can reach each other know of the third crash.
constexpr Duration kPropagationTime = 3s;
constexpr int kQuarantineThreshold = 3;
constexpr int kMaxLaterExecutions = 3;

class PoisonRequestTest : public ServingFixture {
 protected:
  // Five prefill engines and four decode engines.
  static void AddEngines(ServingFleet& fleet) {
    for (int i = 0; i < 9; ++i) {
      FleetEngine engine;
      const bool is_prefill = i < 5;
      engine.record = MakeEngine((is_prefill ? "p" : "d") + std::to_string(i), "model",
                                 is_prefill ? EngineStage::kPrefill : EngineStage::kDecode);
      engine.slots = is_prefill ? 4 : 40;
      fleet.AddEngine(engine);
    }
  }
  static ServingParameters Parameters() {
    ServingParameters parameters;
    parameters.retry_budget = RetryBudgetBounds{0.2, 10s, 54, 0.8};
    return parameters;
  }
  static PromptMetadata OrdinaryPrompt(int count) { return LongPrompt("s" + std::to_string(count % 7)); }
  static long LaterExecutions(const ServingFleet& fleet) {
    const std::vector<Time>& crashes = fleet.engine_crash_times();
    if (crashes.size() < kQuarantineThreshold) return 0;
    const Time known_at = crashes[kQuarantineThreshold - 1] + kPropagationTime;
    const auto& executions = fleet.poison_runs();
    return std::count_if(executions.begin(), executions.end(),
                         [&](const PoisonRun& execution) { return execution.at > known_at; });
  }
};

TEST_F(PoisonRequestTest, IsExecutedAtMostThreeTimesOnceTheThirdCrashIsKnown) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    ServingFleet fleet(7, MakeConfig(), Parameters(), seed);
    AddEngines(fleet);
    fleet.Begin();
    fleet.Offer("chat", 20, fleet.now() + 14s, OrdinaryPrompt);
    fleet.SendPoisonRequests("chat", LongPrompt("own"), 300ms, fleet.now() + 12s);
    fleet.RunUntil(fleet.now() + 16s);
    EXPECT_LE(LaterExecutions(fleet), kMaxLaterExecutions)
        << "seed " << seed << ", " << fleet.engine_crash_times().size() << " engines crashed";
  }
}

// Guards against: crashes of an engine that restarts under the same id count as one crash.
TEST_F(PoisonRequestTest, IsStoppedIfEnginesRestartUnderTheSameId) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    ServingFleet fleet(7, MakeConfig(), Parameters(), seed);
    FleetEngine single_engine;
    single_engine.record = MakeEngine("d0", "model", EngineStage::kUniform);
    single_engine.slots = 40;
    fleet.AddEngine(single_engine);
    fleet.set_restart_with_same_ids();
    fleet.Begin();
    fleet.SendPoisonRequests("chat", LongPrompt("own"), 300ms, fleet.now() + 60s);
    fleet.RunUntil(fleet.now() + 64s);
    EXPECT_LE(LaterExecutions(fleet), kMaxLaterExecutions)
        << "seed " << seed << ", " << fleet.engine_crash_times().size() << " incarnations crashed";
  }
}

TEST_F(PoisonRequestTest, IsStoppedIfAThirdOfTheMessagesBetweenNodesIsLost) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    ServingFleet fleet(7, MakeConfig(), Parameters(), seed);
    AddEngines(fleet);
    fleet.set_loss(0.33);
    fleet.Begin();
    fleet.Offer("chat", 20, fleet.now() + 14s, OrdinaryPrompt);
    fleet.SendPoisonRequests("chat", LongPrompt("own"), 50ms, fleet.now() + 12s);
    fleet.RunUntil(fleet.now() + 16s);
    EXPECT_EQ(LaterExecutions(fleet), 0) << "seed " << seed;
  }
}

TEST_F(PoisonRequestTest, IsStoppedIfNodesRestartOneAfterTheOther) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    ServingFleet fleet(7, MakeConfig(), Parameters(), seed);
    AddEngines(fleet);
    fleet.Begin();
    fleet.Offer("chat", 20, fleet.now() + 14s, OrdinaryPrompt);
    fleet.SendPoisonRequests("chat", LongPrompt("own"), 200ms, fleet.now() + 14s);
    for (int node = 0; node < 14; ++node) {
      fleet.RunUntil(fleet.now() + 1s);
      fleet.Restart(node % 7);
    }
    // A restarted node may send it once before the first report of a peer arrives.
    EXPECT_LE(LaterExecutions(fleet), kMaxLaterExecutions) << "seed " << seed;
  }
}

TEST_F(PoisonRequestTest, RequestsThatRanNextToItAreServed) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    ServingFleet fleet(7, MakeConfig(), Parameters(), seed);
    AddEngines(fleet);
    fleet.Begin();
    fleet.Offer("chat", 40, fleet.now() + 20s, OrdinaryPrompt);
    fleet.SendPoisonRequests("chat", LongPrompt("own"), 300ms, fleet.now() + 12s);
    fleet.RunUntil(fleet.now() + 8s);
    EXPECT_EQ(fleet.quarantined().size(), 1U) << "seed " << seed;
    fleet.ResetCounts();
    fleet.RunUntil(fleet.now() + 14s);
    EXPECT_EQ(fleet.failed(), 0) << "seed " << seed;
    EXPECT_GE(fleet.completed(), 470) << "seed " << seed;  // 40 per second from 8 s to 20 s.
  }
}

TEST_F(PoisonRequestTest, CrashesNotCausedByARequestQuarantineNothing) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    ServingFleet fleet(7, MakeConfig(), Parameters(), seed);
    AddEngines(fleet);
    fleet.Begin();
    fleet.Offer("chat", 40, fleet.now() + 14s, OrdinaryPrompt);
    // All decode engines are restarted without notice, first one after the other, then all at once.
    for (const char* engine : {"d5", "d6", "d7", "d8"}) {
      fleet.RunUntil(fleet.now() + 500ms);
      fleet.KillEngine(engine);
    }
    fleet.RunUntil(fleet.now() + 6s);
    for (const char* engine : {"d5+", "d6+", "d7+", "d8+"}) fleet.KillEngine(engine);
    fleet.RunUntil(fleet.now() + 8s);
    EXPECT_TRUE(fleet.quarantined().empty()) << "seed " << seed;
  }
}

}  // namespace
}  // namespace saltquay::serving
