// At-most-once records: recorders, claims and what survives a view change.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <deque>

#include "src/core/dispatch/claim_client.h"
#include "src/core/dispatch/record_keeper.h"
#include "tests/support/core_fixture.h"

namespace saltquay {
namespace {

View ThreeNodes(std::uint64_t number, std::uint64_t boot_of_three = 1) {
  View view;
  view.current.number = number;
  for (std::uint32_t node = 1; node <= 3; ++node) {
    view.current.members.push_back({Incarnation(node, node == 3 ? boot_of_three : 1), ZoneId{node}});
  }
  view.current.seats = ChooseSeats(view.current.members, {}, 3);
  return view;
}

RecordClaim ClaimBy(std::uint32_t node, std::uint64_t number, const std::string& key = "permit") {
  RecordClaim claim;
  claim.key = key;
  claim.id = ClaimId{Incarnation(node), number};
  claim.engine = EngineId{4};
  claim.attempt_number = 1;
  return claim;
}

class RecordKeeperTest : public testing::Test {
 protected:
  RecordKeeperTest() { keeper_.OnView(*context_, ThreeNodes(1)); }

  ClaimVerdict Claim(const RecordClaim& claim, const ClaimId& replaces = {}, bool in_contact = true,
                     std::uint64_t view = 1) {
    return keeper_.OnClaim(*context_, ClaimRequest{view, claim, replaces}, in_contact).verdict;
  }

  TestContext context_;
  RecordKeeper keeper_;
};

TEST_F(RecordKeeperTest, FirstClaimWinsAndARepeatIsTheSame) {
  EXPECT_EQ(Claim(ClaimBy(2, 1)), ClaimVerdict::kGranted);
  EXPECT_EQ(Claim(ClaimBy(2, 1)), ClaimVerdict::kGranted);
  EXPECT_EQ(Claim(ClaimBy(3, 1)), ClaimVerdict::kExists);
}

TEST_F(RecordKeeperTest, AnswersOnlyInItsViewAndInContact) {
  EXPECT_EQ(Claim(ClaimBy(2, 1), {}, false), ClaimVerdict::kNotReady);
  EXPECT_EQ(Claim(ClaimBy(2, 1), {}, true, 2), ClaimVerdict::kNotReady);
  keeper_.SealBelow(2);
  EXPECT_EQ(Claim(ClaimBy(2, 1)), ClaimVerdict::kNotReady);
}

TEST_F(RecordKeeperTest, ReleasedReplacedAndNotRunClaimsMakeRoom) {
  EXPECT_EQ(Claim(ClaimBy(2, 1)), ClaimVerdict::kGranted);
  keeper_.OnRelease(ClaimRelease{"permit", ClaimBy(2, 1).id});
  EXPECT_EQ(Claim(ClaimBy(3, 1)), ClaimVerdict::kGranted);
  EXPECT_EQ(Claim(ClaimBy(2, 2), ClaimBy(3, 1).id), ClaimVerdict::kGranted);
  RecordClaim not_run = ClaimBy(2, 2);
  not_run.finished = true;
  not_run.outcome = Outcome::kNotRun;
  keeper_.OnOutcome(*context_, not_run);
  EXPECT_EQ(Claim(ClaimBy(3, 2)), ClaimVerdict::kGranted);
}

TEST_F(RecordKeeperTest, CompletedClaimBlocksForTheWindow) {
  RecordClaim done = ClaimBy(2, 1);
  done.finished = true;
  done.outcome = Outcome::kCompleted;
  keeper_.OnOutcome(*context_, done);
  EXPECT_EQ(Claim(ClaimBy(3, 1)), ClaimVerdict::kExists);
  context_.Advance((*context_).parameters().record_window + 1s);
  keeper_.OnTick(*context_);
  EXPECT_EQ(Claim(ClaimBy(3, 1)), ClaimVerdict::kGranted);
}

TEST_F(RecordKeeperTest, BeingAskedForRenewsAKey) {
  EXPECT_EQ(Claim(ClaimBy(2, 1)), ClaimVerdict::kGranted);
  context_.Advance((*context_).parameters().record_window - 1s);
  EXPECT_EQ(Claim(ClaimBy(3, 1)), ClaimVerdict::kExists);
  context_.Advance(2s);
  keeper_.OnTick(*context_);
  EXPECT_EQ(Claim(ClaimBy(3, 2)), ClaimVerdict::kExists);
}

// A new run of node 3 replaces the old one: it must not answer for keys whose
// records it has not got from two of the three old recorders.
TEST(RecordTransferTest, NewMemberWaitsForAQuorumOfOldRecorders) {
  View next = ThreeNodes(2, 9);
  next.predecessors = {ThreeNodes(1).current};
  TestContext context(3);
  RecordKeeper keeper;
  NodeContext fresh(NodeIdentity{Incarnation(3, 9), ZoneId{3}}, Parameters{}, 1);
  ActionList actions;
  fresh.BeginEvent(context.now(), &actions);
  keeper.OnView(fresh, next);
  const ClaimRequest request{2, ClaimBy(1, 5), {}};
  EXPECT_EQ(keeper.OnClaim(fresh, request, true).verdict, ClaimVerdict::kNotReady);
  keeper.OnTransfer(fresh, Incarnation(1), RecordTransfer{2, false, {ClaimBy(2, 1)}});
  EXPECT_EQ(keeper.OnClaim(fresh, request, true).verdict, ClaimVerdict::kNotReady);
  keeper.OnTransfer(fresh, Incarnation(2), RecordTransfer{2, false, {ClaimBy(2, 1)}});
  const ClaimReply reply = keeper.OnClaim(fresh, request, true);
  EXPECT_EQ(reply.verdict, ClaimVerdict::kExists);
  EXPECT_EQ(reply.existing.id, ClaimBy(2, 1).id);
  EXPECT_EQ(keeper.settled_view(), 2U);
}

TEST(RecordTransferTest, LostQuorumIsWaitedOut) {
  View next = ThreeNodes(2, 9);
  next.predecessors = {ThreeNodes(1).current};
  Parameters parameters;
  NodeContext fresh(NodeIdentity{Incarnation(3, 9), ZoneId{3}}, parameters, 1);
  ActionList actions;
  Time now{Duration{1'000'000}};
  fresh.BeginEvent(now, &actions);
  RecordKeeper keeper;
  keeper.OnView(fresh, next);
  const ClaimRequest request{2, ClaimBy(1, 5), {}};
  fresh.BeginEvent(now + parameters.record_window, &actions);
  EXPECT_EQ(keeper.OnClaim(fresh, request, true).verdict, ClaimVerdict::kNotReady);
  fresh.BeginEvent(now + parameters.record_window + parameters.contact_timeout * 2, &actions);
  EXPECT_EQ(keeper.OnClaim(fresh, request, true).verdict, ClaimVerdict::kGranted);
}

TEST(RecordTransferTest, HandingRecordsOverSealsTheOldView) {
  TestContext context;
  RecordKeeper keeper;
  keeper.OnView(*context, ThreeNodes(1));
  EXPECT_EQ(keeper.OnClaim(*context, ClaimRequest{1, ClaimBy(2, 1), {}}, true).verdict, ClaimVerdict::kGranted);
  const RecordTransfer transfer = keeper.OnTransferRequest(*context, Incarnation(3, 9), RecordTransferRequest{2});
  ASSERT_EQ(transfer.records.size(), 1U);
  EXPECT_EQ(keeper.OnClaim(*context, ClaimRequest{1, ClaimBy(2, 2, "other"), {}}, true).verdict,
            ClaimVerdict::kNotReady);
}

// However the claims of several dispatchers are interleaved, at most one of
// them gets two of three recorders.
RC_GTEST_PROP(RecordProperty, AtMostOneClaimGetsAQuorum, ()) {
  TestContext context;
  std::vector<RecordKeeper> recorders(3);
  const View view = ThreeNodes(1);
  std::deque<TestContext> contexts;  // A context refers to itself: it must not move.
  for (std::uint32_t node = 1; node <= 3; ++node) contexts.emplace_back(node);
  for (std::size_t i = 0; i < 3; ++i) recorders[i].OnView(*contexts[i], view);
  std::map<std::uint32_t, int> grants;
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(1, 5)));
  std::set<std::pair<int, int>> seen;
  for (const auto& [recorder, dispatcher] : steps) {
    const RecordClaim claim = ClaimBy(static_cast<std::uint32_t>(dispatcher), 1);
    const std::size_t index = static_cast<std::size_t>(recorder);
    const ClaimReply reply = recorders[index].OnClaim(*contexts[index], ClaimRequest{1, claim, {}}, true);
    if (reply.verdict == ClaimVerdict::kGranted && seen.insert({recorder, dispatcher}).second) {
      grants[static_cast<std::uint32_t>(dispatcher)] += 1;
    }
  }
  int quorums = 0;
  for (const auto& [dispatcher, count] : grants) quorums += count >= 2 ? 1 : 0;
  RC_ASSERT(quorums <= 1);
}

TEST(ClaimClientTest, GrantedByTwoExistsByTwoUnavailableByTime) {
  const View view = ThreeNodes(1);
  TestContext context;
  ClaimClient client;
  const auto reply = [](const ClaimId& id, ClaimVerdict verdict) { return ClaimReply{1, id, verdict, ClaimBy(3, 8)}; };
  ClaimId id = client.Start(*context, view, ClaimBy(1, 0), {});
  EXPECT_FALSE(client.OnReply(*context, Incarnation(1), reply(id, ClaimVerdict::kGranted)).has_value());
  std::optional<ClaimResult> result = client.OnReply(*context, Incarnation(2), reply(id, ClaimVerdict::kGranted));
  ASSERT_TRUE(result.has_value());
  EXPECT_EQ(result->kind, ClaimResult::Kind::kGranted);

  id = client.Start(*context, view, ClaimBy(1, 0), {});
  EXPECT_FALSE(client.OnReply(*context, Incarnation(1), reply(id, ClaimVerdict::kExists)).has_value());
  result = client.OnReply(*context, Incarnation(3), reply(id, ClaimVerdict::kExists));
  ASSERT_TRUE(result.has_value());
  EXPECT_EQ(result->kind, ClaimResult::Kind::kExists);
  EXPECT_EQ(result->existing.id, ClaimBy(3, 8).id);

  client.Start(*context, view, ClaimBy(1, 0), {});
  context.Advance((*context).parameters().claim_send_limit);
  const std::vector<ClaimResult> results = client.OnTick(*context, view);
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results[0].kind, ClaimResult::Kind::kUnavailable);
}

TEST(ClaimClientTest, RepliesOfAnOldViewDoNotCount) {
  TestContext context;
  ClaimClient client;
  const ClaimId id = client.Start(*context, ThreeNodes(1), ClaimBy(1, 0), {});
  client.OnReply(*context, Incarnation(1), ClaimReply{1, id, ClaimVerdict::kGranted, {}});
  client.OnTick(*context, ThreeNodes(2));
  EXPECT_FALSE(client.OnReply(*context, Incarnation(2), ClaimReply{1, id, ClaimVerdict::kGranted, {}}).has_value());
  EXPECT_FALSE(client.OnReply(*context, Incarnation(2), ClaimReply{2, id, ClaimVerdict::kGranted, {}}).has_value());
  EXPECT_TRUE(client.OnReply(*context, Incarnation(1), ClaimReply{2, id, ClaimVerdict::kGranted, {}}).has_value());
}

}  // namespace
}  // namespace saltquay
