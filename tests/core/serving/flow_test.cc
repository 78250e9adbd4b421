// One request's flow: what may be sent again, what is answered, and when.
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/support/serving_fixture.h"

namespace saltquay::serving {
namespace {

using FlowTest = ServingFixture;

TEST_F(FlowTest, RelaysAnAnswerAndEnds) {
  Arrive("safe");
  const auto start = One<StartAttempt>();
  EXPECT_EQ(start.mode, AttemptMode::kWhole);
  Answer(start, 200);
  EXPECT_EQ(One<RelayResponse>().attempt, start.attempt);
  EXPECT_EQ(core_.flows(), 0U);
}

TEST_F(FlowTest, UnknownRouteIs404OnlyWhileTheStoreIsHeard) {
  Arrive("nowhere");
  EXPECT_EQ(One<SendLocalReply>().status, 404);
  Send(StoreConnectivityChanged{false});
  Arrive("nowhere");
  EXPECT_EQ(One<SendLocalReply>().status, 503);
  EXPECT_TRUE(One<SendLocalReply>().retry_after.has_value());
}

TEST_F(FlowTest, BeforeAnyConfigurationRequestsAreRefusedWithATime) {
  ServingCore fresh(ServingParameters{}, "a", 1);
  std::vector<Action> actions;
  RequestArrived arrived;
  arrived.flow = 1;
  fresh.OnEvent(now_, arrived, actions);
  const auto* answer = std::get_if<SendLocalReply>(&actions.back());
  ASSERT_NE(answer, nullptr);
  EXPECT_EQ(answer->status, 503);
  EXPECT_TRUE(answer->retry_after.has_value());
}

TEST_F(FlowTest, AnOlderConfigurationNeverReplacesANewer) {
  ServingConfig newer = MakeConfig();
  newer.version = 5;
  newer.routes.clear();
  Send(ConfigurationChanged{newer});
  Send(ConfigurationChanged{MakeConfig()});
  EXPECT_EQ(core_.version(), 5U);
}

TEST_F(FlowTest, AtMostOnceIsNotSentAgainAfterItMayHaveRun) {
  Arrive("once");
  Fail(One<StartAttempt>(), AttemptFailure::kBroken);
  EXPECT_TRUE(All<StartAttempt>().empty());
  EXPECT_EQ(One<SendLocalReply>().status, 502);
  EXPECT_FALSE(One<SendLocalReply>().retry_after.has_value());
}

TEST_F(FlowTest, AtMostOnceGoesElsewhereWhenItWasNotSentOrNotRun) {
  Arrive("once");
  const auto first = One<StartAttempt>();
  Fail(first, AttemptFailure::kNotSent);
  const auto second = One<StartAttempt>();
  EXPECT_NE(second.engine_id, first.engine_id);
  Answer(second, 503, true);
  EXPECT_TRUE(All<StartAttempt>().empty());  // Both engines were tried: it waits.
  Pass(500ms);
  EXPECT_EQ(One<SendLocalReply>().status, 503);
  EXPECT_TRUE(One<SendLocalReply>().retry_after.has_value());
}

TEST_F(FlowTest, AFailureOfTheEnginesOwnIsRelayedForAtMostOnce) {
  Arrive("once");
  Answer(One<StartAttempt>(), 500);
  EXPECT_EQ(All<RelayResponse>().size(), 1U);
}

TEST_F(FlowTest, AnEnginesUnprovenRefusalIsNotPassedOnAsAPromise) {
  Arrive("once");
  Answer(One<StartAttempt>(), 503);
  EXPECT_EQ(One<SendLocalReply>().status, 502);
}

TEST_F(FlowTest, RepeatableGoesToASecondEngineOnceAndNoFurther) {
  Arrive("safe");
  const auto first = One<StartAttempt>();
  Fail(first, AttemptFailure::kBroken);
  const auto second = One<StartAttempt>();
  EXPECT_NE(second.engine_id, first.engine_id);
  Fail(second, AttemptFailure::kBroken);
  EXPECT_TRUE(All<StartAttempt>().empty());
  EXPECT_EQ(One<SendLocalReply>().status, 502);
}

TEST_F(FlowTest, TimeUpAnswersAtOnceWithoutAPromise) {
  Arrive("once");
  Pass(3900ms);
  EXPECT_TRUE(All<SendLocalReply>().empty());
  Pass(110ms);
  EXPECT_EQ(One<SendLocalReply>().status, 504);
  EXPECT_EQ(All<CancelAttempt>().size(), 1U);
}

TEST_F(FlowTest, NoEngineIsAnsweredWithinAQuarterOfTheObjective) {
  Send(EnginesReplaced{});
  Arrive("safe");
  Pass(100ms);
  EXPECT_EQ(One<SendLocalReply>().status, 503);
}

TEST_F(FlowTest, LeavingAndGoneEnginesGetNothing) {
  EngineRecord leaving = MakeEngine("u1", "plain", EngineStage::kUniform);
  leaving.leaving = true;
  Send(EngineChanged{leaving});
  Arrive("once");
  EXPECT_EQ(One<StartAttempt>().engine_id, "u2");
  Send(EngineRemoved{"u2"});
  Arrive("once");
  EXPECT_TRUE(All<StartAttempt>().empty());
}

TEST_F(FlowTest, ALongPromptIsReadApartAndHandedOver) {
  Arrive("lone", LongPrompt());
  const auto prefill = One<StartAttempt>();
  EXPECT_EQ(prefill.mode, AttemptMode::kPrefill);
  EXPECT_EQ(prefill.engine_id[0], 'p');
  Answer(prefill, 200, false, "handle");
  const auto run = One<StartAttempt>();
  EXPECT_EQ(run.mode, AttemptMode::kContinue);
  EXPECT_EQ(run.engine_id[0], 'd');
  EXPECT_EQ(run.memory->handle, "handle");
  Head(run, 200);
  EXPECT_EQ(One<BeginRelay>().attempt, run.attempt);
  Send(AttemptCompleted{run.flow, run.attempt, ""});
  EXPECT_EQ(All<EndRelay>().size(), 1U);
}

TEST_F(FlowTest, ARefusedPrefillGoesToAnotherEngineNotTheSame) {
  // Hunt of 2026-12-02, fcl-norte hunt-e402-7: the same engine was asked again after each 500.
  Arrive("lone", LongPrompt());
  const auto first = One<StartAttempt>();
  Answer(first, 500, true);
  const auto second = One<StartAttempt>();
  EXPECT_EQ(second.mode, AttemptMode::kPrefill);
  EXPECT_NE(second.engine_id, first.engine_id);
}

TEST_F(FlowTest, AMisdirectedHandOverKeepsTheMemoryAndTakesTheEngineOut) {
  // fcl-norte trouble-3: a dead engine's address answered 421; each time the prompt was read anew.
  Arrive("lone", LongPrompt());
  Answer(One<StartAttempt>(), 200, false, "handle");
  const auto first = One<StartAttempt>();
  Answer(first, 421, true);
  const auto second = One<StartAttempt>();
  EXPECT_EQ(second.mode, AttemptMode::kContinue);
  EXPECT_EQ(second.memory->handle, "handle");
  EXPECT_NE(second.engine_id, first.engine_id);
  EXPECT_GT(core_.engines().Find(first.engine_id)->ejected_until, now_);
}

TEST_F(FlowTest, ARefusedHandOverIsHandedOverElsewhereBeforeThePromptIsReadAgain) {
  // rcr-roster-large trouble-3: an engine that shed, without saying that it was full, was handed the same prompt again
  // and again, each time after another reading; 4,764 arrivals beyond the first in 10 s where 4,203 were allowed.
  Arrive("chat", LongPrompt());
  Answer(One<StartAttempt>(), 200, false, "handle");
  const auto first = One<StartAttempt>();
  ASSERT_EQ(first.mode, AttemptMode::kContinue);
  Answer(first, 503, true);
  const auto second = One<StartAttempt>();
  EXPECT_EQ(second.mode, AttemptMode::kContinue);
  ASSERT_TRUE(second.memory);
  EXPECT_EQ(second.memory->handle, "handle");
  EXPECT_NE(second.engine_id, first.engine_id);
  EXPECT_TRUE(core_.engines().Find(first.engine_id)->IsOutOfService(now_));  // Left alone for a while.
  EXPECT_FALSE(core_.engines().Find(first.engine_id)->IsOutOfService(now_ + 50ms));
  // Two engines that cannot take it: the memory is gone, or might as well be.
  Answer(second, 503, true);
  EXPECT_EQ(One<ReleaseKvCache>().memory.handle, "handle");
  EXPECT_EQ(One<StartAttempt>().mode, AttemptMode::kPrefill);
}

TEST_F(FlowTest, AStreamGoesOnElsewhereAfterItsLastWholeEvent) {
  Arrive("chat", LongPrompt());
  Answer(One<StartAttempt>(), 200, false, "handle");
  const auto run = One<StartAttempt>();
  Head(run, 200);
  Send(AttemptEventsReceived{run.flow, run.attempt, "3"});
  Fail(run, AttemptFailure::kBroken);
  const auto again = One<StartAttempt>();
  EXPECT_EQ(again.last_event_id, "3");
  EXPECT_TRUE(All<AbortResponse>().empty());
}

TEST_F(FlowTest, AStreamThatMayNotResumeIsBrokenOff) {
  Arrive("lone", LongPrompt());
  Answer(One<StartAttempt>(), 200, false, "handle");
  const auto run = One<StartAttempt>();
  Head(run, 200);
  Fail(run, AttemptFailure::kBroken);
  EXPECT_EQ(All<AbortResponse>().size(), 1U);
  EXPECT_TRUE(All<StartAttempt>().empty());
}

TEST_F(FlowTest, AClientThatLeavesCancelsItsStreamAndFreesItsMemory) {
  Arrive("lone", LongPrompt());
  const auto prefill = One<StartAttempt>();
  Send(ClientDisconnected{prefill.flow});
  EXPECT_EQ(One<CancelAttempt>().attempt, prefill.attempt);
  EXPECT_EQ(core_.flows(), 0U);
}

TEST_F(FlowTest, ALostConnectionKeepsTheMemoryForTheNextEngine) {
  Arrive("lone", LongPrompt());
  Answer(One<StartAttempt>(), 200, false, "handle");
  Fail(One<StartAttempt>(), AttemptFailure::kNotSent);
  EXPECT_EQ(One<StartAttempt>().memory->handle, "handle");
}

TEST_F(FlowTest, SinceWhenAnEngineLeavesIsRemembered) {
  EngineRecord record = MakeEngine("p1", "model", EngineStage::kPrefill);
  record.leaving = true;
  Send(EngineChanged{record});
  const Time learnt = now_;
  now_ += 1s;
  record.order_sequence = 3;
  Send(EngineChanged{record});
  EXPECT_EQ(core_.engines().Find("p1")->leaving_since, learnt);
  record.leaving = false;
  Send(EngineChanged{record});
  EXPECT_FALSE(core_.engines().Find("p1")->leaving_since);
}

TEST_F(FlowTest, ASilentEngineIsTakenOutAndTheRequestStays) {
  Arrive("once");
  const auto first = One<StartAttempt>();
  Arrive("once");
  Arrive("once");
  Pass(1600ms);
  EXPECT_TRUE(All<StartAttempt>().empty());
  EXPECT_TRUE(All<SendLocalReply>().empty());
  EXPECT_EQ(core_.flows(), 3U);
  EXPECT_NE(core_.engines().Find(first.engine_id)->consecutive_failures +
                static_cast<int>(core_.engines().Find(first.engine_id)->ejected_until > now_),
            0);
}

TEST_F(FlowTest, EnginesWithoutStagesReadAndAnswerAtThePartsHome) {
  // Own site one-zone (no prefill share): every prompt was refused, for no engine had the stage looked for.
  Send(EnginesReplaced{{MakeEngine("m1", "model", EngineStage::kUniform),
                        MakeEngine("m2", "model", EngineStage::kUniform),
                        MakeEngine("m3", "model", EngineStage::kUniform)}});
  Arrive("chat", LongPrompt());
  const auto first = One<StartAttempt>();
  EXPECT_EQ(first.mode, AttemptMode::kWhole);
  Answer(first, 200);
  Send(AttemptCompleted{first.flow, first.attempt, ""});
  Arrive("chat", LongPrompt());
  EXPECT_EQ(One<StartAttempt>().engine_id, first.engine_id);
}

TEST_F(FlowTest, APromptThatAHungEngineDoesNotReadIsReadElsewhere) {
  // Own day sick_engines: 13 requests waited for a hung prefill until their time was up.
  Arrive("lone", LongPrompt());
  const auto first = One<StartAttempt>();
  Pass(3500ms);
  EXPECT_EQ(One<CancelAttempt>().attempt, first.attempt);
  const auto second = One<StartAttempt>();
  EXPECT_EQ(second.mode, AttemptMode::kPrefill);
  EXPECT_NE(second.engine_id, first.engine_id);
}

TEST_F(FlowTest, AReadingAtAnEngineThatOthersFoundLostIsReadElsewhereAtOnce) {
  // rcr-roster-large trouble-1: readings waited 3.5 s at engines that had gone dark, while other nodes knew.
  Arrive("lone", LongPrompt());
  const auto first = One<StartAttempt>();
  Pass(300ms);
  PeersChanged changed;
  changed.work[first.engine_id].failures = 3;
  Send(changed);
  Pass(5ms);
  EXPECT_EQ(One<CancelAttempt>().attempt, first.attempt);
  EXPECT_NE(One<StartAttempt>().engine_id, first.engine_id);
}

TEST_F(FlowTest, AHungReadingIsGivenUpThoughNoRetryIsLeft) {
  // Sent whole to an engine that answers it is the request's first arrival; it had waited until its time was up.
  PeersChanged many;
  many.nodes = 100000;  // No part of the slack.
  Send(many);
  Arrive("lone", LongPrompt());
  const auto first = One<StartAttempt>();
  Pass(3500ms);
  EXPECT_EQ(One<CancelAttempt>().attempt, first.attempt);
  EXPECT_EQ(One<StartAttempt>().mode, AttemptMode::kWhole);
}

// Whatever engines do: one final answer, at-most-once work is sent again only
// when it cannot have run, and runs stay within the route's attempts.
RC_GTEST_FIXTURE_PROP(FlowTest, AnyOutcomesKeepThePromises, ()) {
  const std::string route = *rc::gen::element<std::string>("safe", "once", "chat", "lone");
  const bool long_prompt = (route == "chat" || route == "lone") && *rc::gen::arbitrary<bool>();
  const int allowed = route == "safe" || route == "chat" ? 2 : 1;
  const FlowId flow = Arrive(route, long_prompt ? std::optional(LongPrompt()) : std::nullopt);
  std::vector<StartAttempt> open = All<StartAttempt>();
  std::set<std::string> may_have_run;
  int finals = 0;
  const auto absorb = [&] {
    for (const StartAttempt& start : All<StartAttempt>()) open.push_back(start);
    for (const CancelAttempt& cancel : All<CancelAttempt>()) {
      std::erase_if(open, [&](const StartAttempt& start) { return start.attempt == cancel.attempt; });
    }
    finals += static_cast<int>(All<RelayResponse>().size() + All<EndRelay>().size() + All<AbortResponse>().size());
    for (const SendLocalReply& answer : All<SendLocalReply>()) {
      ++finals;
      const bool promise = answer.status == 503 || answer.status == 429;
      if (promise && allowed == 1) RC_ASSERT(may_have_run.empty());
    }
  };
  const int steps = *rc::gen::inRange(1, 12);
  for (int step = 0; step < steps; ++step) {
    if (open.empty()) {
      Pass(50ms);
      absorb();
      continue;
    }
    const StartAttempt start = open.front();
    open.erase(open.begin());
    const int what = *rc::gen::inRange(0, 6);
    const bool run = start.mode != AttemptMode::kPrefill;
    if (run && (what == 0 || what == 1 || what == 5)) may_have_run.insert(std::to_string(start.attempt));
    RC_ASSERT(static_cast<int>(may_have_run.size()) <= allowed);
    if (what == 0) Fail(start, AttemptFailure::kBroken);
    if (what == 1) Answer(start, 500);
    if (what == 2) Fail(start, AttemptFailure::kNotSent);
    if (what == 3) Answer(start, 503, true);
    if (what == 4) Answer(start, 421, true);
    if (what == 5) Answer(start, 200, false, "h");
    absorb();
    RC_ASSERT(finals <= 1);
  }
  Pass(5s);
  absorb();
  RC_ASSERT(finals == 1);
  RC_ASSERT(core_.flows() == 0U);
  static_cast<void>(flow);
}

TEST_F(FlowTest, AnEngineThatLacksAKeptPartIsToldWhereToCopyIt) {
  Arrive("chat", LongPrompt());
  const auto first = One<StartAttempt>();
  EXPECT_TRUE(first.copy_from.empty());  // The home itself.
  core_.engines().Find(first.engine_id)->ejected_until = now_ + 1s;
  Arrive("chat", LongPrompt());
  EXPECT_TRUE(One<StartAttempt>().copy_from.empty());  // What is out is no source.
  core_.engines().Find(first.engine_id)->ejected_until = Time{};
  core_.engines().Find(first.engine_id)->outstanding_prompt_tokens = 500000;
  Arrive("chat", LongPrompt("s2"));
  Arrive("chat", LongPrompt("s3"));
  bool copied = false;
  for (int i = 4; i < 12 && !copied; ++i) {
    const FlowId flow = Arrive("chat", LongPrompt("s" + std::to_string(i)));
    copied = !One<StartAttempt>().copy_from.empty();
    Send(ClientDisconnected{flow});  // The node bounds what it has under way.
  }
  EXPECT_TRUE(copied);  // From a home that is too busy to read.
}

}  // namespace
}  // namespace saltquay::serving
