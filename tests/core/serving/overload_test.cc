// Overload of the engines: it ejects no healthy engine, does not exceed the retry budget, and ends when the surge of
// requests ends.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/support/serving_fixture.h"
#include "tests/support/serving_fleet.h"

namespace saltquay::serving {
namespace {

constexpr double kRatio = 0.2;
constexpr double kSlack = 56;
constexpr Duration kWindow = 10s;

class OverloadTest : public ServingFixture {
 protected:
  static ServingParameters Parameters() {
    ServingParameters parameters;
    parameters.retry_budget = RetryBudgetBounds{kRatio, kWindow, kSlack, 0.8};
    return parameters;
  }
  static ServingConfig Config() {
    ServingConfig config = MakeConfig();
    for (Route& route : config.routes) route.timeout = 2s;
    return config;
  }
  // Six prefill engines and three decode engines; together they prefill about 800 prompts per second.
  static void AddEngines(ServingFleet& fleet, int queue) {
    for (int i = 0; i < 9; ++i) {
      FleetEngine engine;
      const bool is_prefill = i < 6;
      engine.record = MakeEngine((is_prefill ? "p" : "d") + std::to_string(i), "model",
                                 is_prefill ? EngineStage::kPrefill : EngineStage::kDecode);
      engine.slots = is_prefill ? 4 : 40;
      engine.queue = queue;
      fleet.AddEngine(engine);
    }
  }
  static PromptMetadata Prompt(int count) { return LongPrompt("s" + std::to_string(count % 97)); }
};

// Fills the node's window with prompts that no engine responds to.
class FullWindowTest : public ServingFixture {
 protected:
  FullWindowTest() {
    for (int i = 0; i < 100 && !window_full_; ++i) {
      Arrive("chat", LongPrompt("s" + std::to_string(i)));
      window_full_ = All<StartAttempt>().empty();
    }
  }

  bool window_full_ = false;
};

TEST_F(FullWindowTest, ExcessPromptIsRefusedWithRetryAfterWithinAQuarterOfItsObjective) {
  ASSERT_TRUE(window_full_);
  Pass(100ms);  // A quarter of 400 ms.
  const auto reply = One<SendLocalReply>();
  EXPECT_EQ(reply.status, 503);
  ASSERT_TRUE(reply.retry_after.has_value());
  EXPECT_GT(*reply.retry_after, 0s);
  EXPECT_LT(*reply.retry_after, 4s / 3);  // Clients follow a Retry-After of up to a third of their deadline.
}

TEST_F(FullWindowTest, ShorterObjectiveIsDecidedBeforeALongerOneThatArrivedFirst) {
  ServingConfig config = MakeConfig();
  config.version = 2;
  config.routes[2].objective = 100ms;
  Send(ConfigurationChanged{config});
  const FlowId second = Arrive("chat", LongPrompt("later"));
  Pass(25ms);
  EXPECT_EQ(One<SendLocalReply>().flow, second);
}

TEST_F(FullWindowTest, QueuedPromptIsDispatchedWhenAnotherEnds) {
  Send(ClientDisconnected{1});
  EXPECT_EQ(All<StartAttempt>().size(), 1U);
}

// Three times the prefill capacity for 8 s, then a third of the capacity.
struct Surge {
  explicit Surge(ServingFleet& fleet) : fleet(fleet) {}

  void Run() {
    constexpr double kCapacity = 800;
    fleet.Begin();
    fleet.Offer("chat", kCapacity / 3, fleet.now() + 2s, prompt);
    fleet.RunUntil(fleet.now() + 2s);
    fleet.Offer("chat", kCapacity * 3, fleet.now() + 8s, prompt);
    fleet.RunUntil(fleet.now() + 8s);
    fleet.Offer("chat", kCapacity / 3, fleet.now() + 3s, prompt);
    fleet.RunUntil(fleet.now() + 1s);
    fleet.ResetCounts();
    fleet.RunUntil(fleet.now() + 2s);
  }

  ServingFleet& fleet;
  std::function<PromptMetadata(int)> prompt;
};

TEST_F(OverloadTest, ThreefoldOverloadEjectsNoEngineAndEndsWithinASecond) {
  ServingFleet fleet(4, Config(), Parameters(), 3);
  AddEngines(fleet, 8);
  Surge surge(fleet);
  surge.prompt = Prompt;
  surge.Run();
  EXPECT_TRUE(fleet.ejected().empty());
  EXPECT_GT(fleet.completed_within_objective(), 480);  // Of 533 in the last two seconds.
}

TEST_F(OverloadTest, FailingEnginesAndNoOthersAreEjectedDuringASurge) {
  ServingFleet fleet(4, Config(), Parameters(), 5);
  AddEngines(fleet, 8);
  fleet.SetHealth("p0", EngineHealth::kFailsOften);
  fleet.SetHealth("p2", EngineHealth::kUnresponsive);
  Surge surge(fleet);
  surge.prompt = Prompt;
  surge.Run();
  EXPECT_TRUE(fleet.ejected().contains("p0"));
  EXPECT_TRUE(fleet.ejected().contains("p2"));
  for (const std::string& id : fleet.ejected()) EXPECT_TRUE(id == "p0" || id == "p2") << id;
}

// Guards against: refused first prefills exceed the retry budget.
RC_GTEST_FIXTURE_PROP(OverloadTest, ExtraArrivalsStayWithinTheRetryBudget, ()) {
  const int nodes = *rc::gen::inRange(1, 9);
  const int queue = *rc::gen::inRange(0, 30);
  const double overload = *rc::gen::inRange(1, 5);
  const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000);
  ServingFleet fleet(nodes, Config(), Parameters(), seed);
  AddEngines(fleet, queue);
  fleet.SetHealth("p1", *rc::gen::element(EngineHealth::kHealthy, EngineHealth::kFailsOften, EngineHealth::kSlow,
                                          EngineHealth::kUnresponsive));
  fleet.Begin();
  fleet.Offer("chat", 400 * overload, fleet.now() + 4s, Prompt);
  fleet.RunUntil(fleet.now() + 7s);
  RC_ASSERT(fleet.MaxBudgetExcess(kRatio, kSlack, kWindow) <= 0);
}

}  // namespace
}  // namespace saltquay::serving
