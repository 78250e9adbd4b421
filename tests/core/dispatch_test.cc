// The dispatcher: which outcome follows what.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/core/dispatch/dispatcher.h"
#include "src/models/token_text.h"
#include "src/simulation/deployments.h"
#include "tests/support/core_fixture.h"

namespace saltquay {
namespace {

class DispatcherTest : public testing::Test {
 protected:
  DispatcherTest() : prefixes_(64), dispatcher_(Parameters{}, table_, prefixes_) {
    auto rolled = std::make_shared<RolledBundle>();
    rolled->generation = 1;
    rolled->bundle =
        std::make_shared<const Bundle>(*ParseBundle(MakeBundleText(Deployment::kFederation, BundlePlan{}), "b"));
    view_.current.number = 1;
    view_.current.members = {{Incarnation(1), ZoneId{1}}};
    view_.current.seats = {Incarnation(1)};
    state_.bundle = rolled;
    state_.view = &view_;
    state_.ready = true;
    std::vector<Machine> machines;
    for (std::uint32_t id = 1; id <= 2; ++id) {
      Machine machine;
      machine.id = id;
      machine.kind = MachineKind::kEngine;
      machine.pool = "ventanilla";
      machines.push_back(machine);
    }
    table_.SetMachines(machines);
    Report();
  }

  void Report() {
    for (std::uint32_t id = 1; id <= 2; ++id) {
      EngineLoad load;
      load.engine = EngineId{id};
      load.boot = BootId{id};
      load.model_version = state_.bundle->bundle->FindModel("ventanilla")->version_id();
      table_.OnLoad(*context_, load);
    }
  }
  void Submit(std::uint64_t handle, bool repeatable = true, bool first_submission = true) {
    CallerRequest request;
    request.handle = RequestHandle{handle};
    request.spec.tenant = "t";
    request.spec.request_class = "permit";
    request.spec.model = "ventanilla";
    request.spec.prompt_tokens = 20;
    request.spec.prompt_hash = 99;
    request.spec.max_output_tokens = 4;
    request.spec.repeatable = repeatable;
    request.spec.first_submission = first_submission;
    if (!repeatable) request.spec.idempotency_key = "key";
    dispatcher_.OnRequest(*context_, state_, request);
  }
  StartAttempt LastStart() { return context_.Emitted<StartAttempt>().back(); }
  void Frame(const StartAttempt& start, std::uint32_t offset, std::uint32_t count, bool last, std::uint32_t total = 4) {
    EngineFrame frame;
    frame.attempt = start.attempt.id;
    frame.boot = start.attempt.boot;
    frame.offset = offset;
    frame.token_count = count;
    frame.text = TokenTexts(99, offset, count);
    if (last) {
      frame.finish = FinishReason::kLength;
      frame.total_tokens = total;
    }
    dispatcher_.OnFrame(*context_, state_, EngineFrameReceived{start.engine, frame});
  }
  void Fail(const StartAttempt& start, AttemptFailure failure) {
    dispatcher_.OnAttemptFailed(*context_, state_, AttemptFailed{start.engine, start.attempt.id, failure});
  }
  // Answers the newest claim as its only recorder.
  void AnswerClaim(ClaimVerdict verdict, const RecordClaim& existing = {}) {
    const RecordClaim claim = context_.Sent<ClaimRequest>().back().claim;
    dispatcher_.OnClaimReply(*context_, state_, Incarnation(1), ClaimReply{1, claim.id, verdict, existing});
  }
  void Pass(Duration duration) {
    context_.Advance(duration);
    Report();
    dispatcher_.OnTick(*context_, state_);
  }
  std::vector<FinishRequest> Finished() { return context_.Emitted<FinishRequest>(); }

  TestContext context_;
  LoadTable table_;
  PrefixIndex prefixes_;
  Dispatcher dispatcher_;
  View view_;
  ServingState state_;
};

TEST_F(DispatcherTest, WholeAnswerCompletes) {
  Submit(1);
  Frame(LastStart(), 0, 1, false);
  Frame(LastStart(), 1, 3, true);
  ASSERT_EQ(Finished().size(), 1U);
  EXPECT_EQ(Finished()[0].outcome, Outcome::kCompleted);
  EXPECT_EQ(Finished()[0].total_tokens, 4U);
}

TEST_F(DispatcherTest, LateDoubledAndCrossedFramesAreDropped) {
  Submit(1);
  const StartAttempt start = LastStart();
  Frame(start, 0, 2, false);
  Frame(start, 0, 2, false);
  StartAttempt other_boot = start;
  other_boot.attempt.boot = BootId{55};
  Frame(other_boot, 2, 1, false);
  StartAttempt other_attempt = start;
  other_attempt.attempt.id.number += 1;
  Frame(other_attempt, 2, 1, false);
  Frame(start, 2, 2, true);
  std::uint32_t delivered = 0;
  for (const DeliverTokens& tokens : context_.Emitted<DeliverTokens>()) delivered += tokens.token_count;
  EXPECT_EQ(delivered, 4U);
  EXPECT_EQ(Finished().back().outcome, Outcome::kCompleted);
  EXPECT_EQ(dispatcher_.counters().frames_dropped, 3U);
}

TEST_F(DispatcherTest, TerminalFrameWithAnotherCountIsNotAWholeAnswer) {
  Submit(1);
  Frame(LastStart(), 0, 2, true, 4);
  for (const FinishRequest& finish : Finished()) EXPECT_NE(finish.outcome, Outcome::kCompleted);
  EXPECT_EQ(context_.Emitted<StartAttempt>().size(), 2U);
}

TEST_F(DispatcherTest, RepeatableWorkIsRetriedElsewhereFromTheOffsetDelivered) {
  Submit(1);
  const StartAttempt first = LastStart();
  Frame(first, 0, 2, false);
  Fail(first, AttemptFailure::kBroken);
  const StartAttempt second = LastStart();
  EXPECT_NE(second.engine, first.engine);
  EXPECT_EQ(second.attempt.start_offset, 2U);
  Frame(second, 2, 2, true);
  EXPECT_EQ(Finished().back().outcome, Outcome::kCompleted);
}

TEST_F(DispatcherTest, RefusedEverywhereIsNotRunAtOnceWithWhenToComeBack) {
  Submit(1);
  for (int i = 0; i < 8 && Finished().empty(); ++i) Fail(LastStart(), AttemptFailure::kRefused);
  ASSERT_EQ(Finished().size(), 1U);
  EXPECT_EQ(Finished()[0].outcome, Outcome::kNotRun);
  EXPECT_TRUE(Finished()[0].retry_after.has_value());
}

TEST_F(DispatcherTest, AfterABrokenAttemptGivingUpIsUnknown) {
  Submit(1);
  for (int i = 0; i < 8 && Finished().empty(); ++i) Fail(LastStart(), AttemptFailure::kBroken);
  ASSERT_EQ(Finished().size(), 1U);
  EXPECT_EQ(Finished()[0].outcome, Outcome::kUnknown);
}

TEST_F(DispatcherTest, ARefusalAfterAnAttemptThatRanIsNotNotRun) {
  // Found by chaos seed 72: a prefill had run before the decode engine refused.
  Submit(1);
  Fail(LastStart(), AttemptFailure::kBroken);
  for (int i = 0; i < 8 && Finished().empty(); ++i) Fail(LastStart(), AttemptFailure::kRefused);
  ASSERT_EQ(Finished().size(), 1U);
  EXPECT_EQ(Finished()[0].outcome, Outcome::kUnknown);
}

TEST_F(DispatcherTest, NonRepeatableWorkIsSentOnlyOnceGranted) {
  Submit(1, false);
  EXPECT_TRUE(context_.Emitted<StartAttempt>().empty());
  AnswerClaim(ClaimVerdict::kGranted);
  EXPECT_EQ(context_.Emitted<StartAttempt>().size(), 1U);
  Frame(LastStart(), 0, 4, true);
  EXPECT_EQ(Finished().back().outcome, Outcome::kCompleted);
  EXPECT_TRUE(context_.Sent<ClaimOutcome>().back().claim.finished);
}

TEST_F(DispatcherTest, BrokenNonRepeatableWorkIsSoughtOnlyAtItsEngine) {
  Submit(1, false);
  AnswerClaim(ClaimVerdict::kGranted);
  const StartAttempt start = LastStart();
  Fail(start, AttemptFailure::kBroken);
  ASSERT_EQ(context_.Emitted<ResumeAttempt>().size(), 1U);
  EXPECT_EQ(context_.Emitted<ResumeAttempt>()[0].engine, start.engine);
  EXPECT_EQ(context_.Emitted<StartAttempt>().size(), 1U);
  Fail(start, AttemptFailure::kOtherBoot);
  EXPECT_EQ(Finished().back().outcome, Outcome::kUnknown);
}

TEST_F(DispatcherTest, NeverSeenNonRepeatableWorkIsClaimedAfreshAndSent) {
  Submit(1, false);
  AnswerClaim(ClaimVerdict::kGranted);
  const StartAttempt first = LastStart();
  const ClaimId spent = context_.Sent<ClaimRequest>().back().claim.id;
  Fail(first, AttemptFailure::kNeverSeen);
  EXPECT_EQ(context_.Sent<ClaimRequest>().back().replaces, spent);
  AnswerClaim(ClaimVerdict::kGranted);
  EXPECT_NE(LastStart().attempt.id, first.attempt.id);
  EXPECT_NE(LastStart().engine, first.engine);
}

TEST_F(DispatcherTest, AnotherClaimIsJoinedAndItsAnswerHandedOn) {
  Submit(1, false);
  RecordClaim existing;
  existing.key = "t/key";
  existing.id = ClaimId{Incarnation(9), 1};
  existing.engine = EngineId{2};
  AnswerClaim(ClaimVerdict::kExists, existing);
  const JoinRequest join = context_.Sent<JoinRequest>().back();
  EXPECT_EQ(join.key, "t/key");
  dispatcher_.OnJoinReply(*context_, state_, JoinReply{join.join_number, true, true, Outcome::kCompleted, "abc", 4});
  EXPECT_EQ(Finished().back().outcome, Outcome::kCompleted);
  EXPECT_TRUE(context_.Emitted<StartAttempt>().empty());
}

TEST_F(DispatcherTest, ASilentOwnersEngineIsAsked) {
  Submit(1, false);
  RecordClaim existing;
  existing.key = "t/key";
  existing.id = ClaimId{Incarnation(9), 1};
  existing.engine = EngineId{2};
  existing.engine_boot = BootId{2};
  existing.attempt_number = 1;
  AnswerClaim(ClaimVerdict::kExists, existing);
  for (int i = 0; i < 6; ++i) Pass(200ms);
  ASSERT_FALSE(context_.Emitted<ResumeAttempt>().empty());
  EXPECT_EQ(context_.Emitted<ResumeAttempt>()[0].attempt, AttemptOfClaim(existing));
}

TEST_F(DispatcherTest, SilentRecordersMeanUnknownUnlessItIsTheFirstSubmission) {
  Submit(1, false, false);
  Pass((*context_).parameters().claim_send_limit);
  EXPECT_EQ(Finished().back().outcome, Outcome::kUnknown);
  Submit(2, false, true);
  Pass((*context_).parameters().claim_send_limit);
  EXPECT_EQ(Finished().back().outcome, Outcome::kNotRun);
}

TEST_F(DispatcherTest, ShedEarlyWithATypedErrorWhenEnginesAreFull) {
  for (std::uint32_t id = 1; id <= 2; ++id) {
    EngineLoad load = *table_.Find(EngineId{id})->load;
    load.queued_prefill_tokens = 200'000;
    table_.OnLoad(*context_, load);
  }
  Submit(1);
  ASSERT_EQ(Finished().size(), 1U);
  EXPECT_EQ(KindOf(Finished()[0].status), ErrorKind::kOverloaded);
  EXPECT_EQ(Finished()[0].outcome, Outcome::kNotRun);
  EXPECT_GT(*Finished()[0].retry_after, Duration(1s));
}

TEST_F(DispatcherTest, ALeavingCallerCancelsItsRequest) {
  Submit(1);
  dispatcher_.OnCallerGone(*context_, state_, RequestHandle{1});
  EXPECT_EQ(context_.Emitted<CancelAttempt>().size(), 1U);
  EXPECT_EQ(dispatcher_.active_count(), 0U);
}

// Whatever failures follow one another, every request ends once, and "not run"
// is only said when no attempt could have started.
RC_GTEST_FIXTURE_PROP(DispatcherTest, OutcomeTableIsHonest, ()) {
  Submit(1);
  bool maybe_ran = false;
  for (int step = 0; step < 12 && Finished().empty(); ++step) {
    const auto failure = static_cast<AttemptFailure>(*rc::gen::inRange(0, 5));
    const bool proves = failure == AttemptFailure::kNotSent || failure == AttemptFailure::kRefused ||
                        failure == AttemptFailure::kNeverSeen;
    maybe_ran = maybe_ran || !proves;
    Fail(LastStart(), failure);
  }
  Pass(60s);
  RC_ASSERT(Finished().size() == 1U);
  RC_ASSERT(Finished()[0].outcome == (maybe_ran ? Outcome::kUnknown : Outcome::kNotRun) ||
            Finished()[0].outcome == Outcome::kUnknown);
}

}  // namespace
}  // namespace saltquay
