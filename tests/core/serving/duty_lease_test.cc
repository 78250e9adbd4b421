// Duty lease: when it may be taken over, by which node, and when its holder may act.
#include "src/core/serving/duty_lease.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <vector>

namespace saltquay::serving {
namespace {

class LeaseTest : public ::testing::Test {
 protected:
  DutyLeaseTimes times_;
  DutyLease lease_{"me", "1.1.1.1:1", times_, 100, Time{0s}};
  Time now_{10s};
};

TEST_F(LeaseTest, AFreeLeaseIsAcquiredAndItsExpiryCountsFromBeforeTheWrite) {
  EXPECT_EQ(lease_.Next(now_, 0s), LeaseStep::kRead);
  lease_.OnRead(LeaseRecord{}, now_);
  EXPECT_EQ(lease_.Next(now_, 0s), LeaseStep::kWrite);
  EXPECT_EQ(lease_.draft().revision, 0);
  lease_.OnWritten(41);
  EXPECT_TRUE(lease_.IsHeldFor(now_ + 900ms));
  EXPECT_FALSE(lease_.IsHeldFor(now_ + 1s));
  EXPECT_EQ(lease_.token(), 41);
}

TEST_F(LeaseTest, AnothersLeaseIsTakenOverOnlyAfterItWasUnchangedLongEnough) {
  lease_.Next(now_, 0s);
  lease_.OnRead(LeaseRecord{"other", "2.2.2.2:1", 7, 0, 30}, now_);
  for (Duration waited = 0s; waited < times_.lease + times_.window; waited += 500ms) {
    EXPECT_EQ(lease_.Next(now_ + waited, 0s), LeaseStep::kNone) << waited.count();
  }
  EXPECT_EQ(lease_.Next(now_ + 6s, 0s), LeaseStep::kWrite);
  EXPECT_EQ(lease_.draft().revision, 30);
  lease_.OnWriteFailed(true, now_ + 6s);  // The lease was renewed in the meantime, so the wait starts over.
  EXPECT_FALSE(lease_.IsHeldFor(now_ + 6s));
  EXPECT_EQ(lease_.Next(now_ + 7s, 0s), LeaseStep::kRead);
  lease_.OnRead(LeaseRecord{"other", "2.2.2.2:1", 8, 0, 31}, now_ + 7s);
  EXPECT_EQ(lease_.Next(now_ + 8s, 0s), LeaseStep::kNone);
}

TEST_F(LeaseTest, AWriteWithoutAResponseIsResolvedByReading) {
  lease_.Next(now_, 0s);
  lease_.OnRead(LeaseRecord{}, now_);
  lease_.Next(now_, 0s);
  const LeaseRecord draft = lease_.draft();
  lease_.OnWriteFailed(false, now_);
  EXPECT_FALSE(lease_.IsHeldFor(now_));
  EXPECT_EQ(lease_.Next(now_ + 600ms, 0s), LeaseStep::kRead);
  lease_.OnRead(LeaseRecord{"me", "1.1.1.1:1", draft.nonce, 0, 50}, now_ + 600ms);
  EXPECT_TRUE(lease_.IsHeldFor(now_ + 700ms));
  EXPECT_FALSE(lease_.IsHeldFor(now_ + 1100ms));  // Measured from before the write.
  EXPECT_EQ(lease_.token(), 50);
}

TEST_F(LeaseTest, ARenewedLeaseKeepsItsToken) {
  lease_.Next(now_, 0s);
  lease_.OnRead(LeaseRecord{}, now_);
  lease_.Next(now_, 0s);
  lease_.OnWritten(41);
  EXPECT_EQ(lease_.Next(now_ + 800ms, 400ms), LeaseStep::kWrite);
  EXPECT_EQ(lease_.draft().token, 41);
  lease_.OnWritten(57);
  EXPECT_EQ(lease_.token(), 41);
  EXPECT_EQ(lease_.known().revision, 57);
}

TEST_F(LeaseTest, TheSameMachineResumesAfterARestartWithANewToken) {
  lease_.Next(now_, 0s);
  lease_.OnRead(LeaseRecord{"me", "1.1.1.1:1", 3, 20, 30}, now_);
  EXPECT_EQ(lease_.Next(now_, 0s), LeaseStep::kWrite);
  lease_.OnWritten(44);
  EXPECT_EQ(lease_.token(), 44);
}

TEST_F(LeaseTest, AnotherMachineOfTheSameNameWaits) {
  lease_.Next(now_, 0s);
  lease_.OnRead(LeaseRecord{"me", "9.9.9.9:1", 3, 20, 30}, now_);
  EXPECT_EQ(lease_.Next(now_ + 4s, 0s), LeaseStep::kNone);
  EXPECT_EQ(lease_.Next(now_ + 5s, 0s), LeaseStep::kWrite);
}

TEST_F(LeaseTest, NodesTryInOrderOfRank) {
  EXPECT_EQ(lease_.Next(Time{100ms}, 0s, 3), LeaseStep::kNone);
  lease_.OnPeerRecord(LeaseRecord{"other", "2.2.2.2:1", 0, 0, 30}, now_);
  EXPECT_EQ(lease_.Next(now_ + 4500ms, 0s, 3), LeaseStep::kNone);
  EXPECT_EQ(lease_.Next(now_ + 4500ms, 0s, 0), LeaseStep::kWrite);
}

TEST_F(LeaseTest, ALeaseReportedAsRenewedIsNotTakenOver) {
  for (int i = 0; i < 20; ++i) {
    now_ += 700ms;
    lease_.OnPeerRecord(LeaseRecord{"other", "2.2.2.2:1", 0, 0, 30 + i}, now_);
    EXPECT_EQ(lease_.Next(now_ + 600ms, 0s), LeaseStep::kNone);
  }
}

TEST_F(LeaseTest, AHolderThatLearnsOfAnotherStopsActing) {
  lease_.Next(now_, 0s);
  lease_.OnRead(LeaseRecord{}, now_);
  lease_.Next(now_, 0s);
  lease_.OnWritten(41);
  lease_.OnPeerRecord(LeaseRecord{"me", "1.1.1.1:1", 0, 0, 41}, now_);  // A report of its own lease.
  EXPECT_TRUE(lease_.IsHeldFor(now_ + 10ms));
  lease_.OnPeerRecord(LeaseRecord{"other", "2.2.2.2:1", 0, 0, 50}, now_);
  EXPECT_FALSE(lease_.IsHeldFor(now_ + 10ms));
}

TEST_F(LeaseTest, AFencedHolderReadsTheLeaseBeforeItActsAgain) {
  lease_.Next(now_, 0s);
  lease_.OnRead(LeaseRecord{}, now_);
  lease_.Next(now_, 0s);
  lease_.OnWritten(41);
  lease_.OnFenced();
  EXPECT_FALSE(lease_.IsHeldFor(now_ + 10ms));
  EXPECT_EQ(lease_.Next(now_ + 20ms, 0s), LeaseStep::kRead);
  lease_.OnRead(LeaseRecord{"other", "2.2.2.2:1", 9, 0, 55}, now_ + 20ms);
  EXPECT_EQ(lease_.Next(now_ + 1s, 0s), LeaseStep::kNone);
  EXPECT_FALSE(lease_.IsHeldFor(now_ + 1s));
}

TEST_F(LeaseTest, AResignedLeaseIsTakenOverAtOnceButNotByAPossibleFormerHolder) {
  DutyLease fresh{"you", "3.3.3.3:1", times_, 300, now_ - 1s};
  for (DutyLease* lease : {&lease_, &fresh}) lease->OnPeerRecord(LeaseRecord{"", "", 0, 0, 60}, now_);
  EXPECT_EQ(lease_.Next(now_, 0s), LeaseStep::kWrite);
  EXPECT_EQ(fresh.Next(now_, 0s), LeaseStep::kNone);
  EXPECT_EQ(fresh.Next(now_ + 3s, 0s), LeaseStep::kWrite);
}

TEST_F(LeaseTest, AHolderThatShutsDownStopsActingAndResigns) {
  lease_.Next(now_, 0s);
  lease_.OnRead(LeaseRecord{}, now_);
  lease_.Next(now_, 0s);
  lease_.OnWritten(41);
  const auto record = lease_.Resign();
  ASSERT_TRUE(record);
  EXPECT_EQ(record->holder, "");
  EXPECT_EQ(record->revision, 41);
  EXPECT_FALSE(lease_.IsHeldFor(now_));
  EXPECT_EQ(lease_.Next(now_ + 60s, 0s), LeaseStep::kNone);
}

// Several nodes and one stored object, with lost calls, restarts, delayed peer reports and holders that resign: actions
// of different holders are at least one lease apart, and their tokens increase.
RC_GTEST_PROP(LeaseProperty, ActionsOfTwoHoldersAreALeaseApart, ()) {
  constexpr int kNodes = 3;
  const DutyLeaseTimes times;
  std::uint64_t seed = 1000;
  const auto begin = [&](int index, Time now) {
    const std::string name(1, static_cast<char>('a' + index));
    return DutyLease(name, name + ":1", times, seed += 1000, now);
  };
  Time now{1s};
  std::vector<DutyLease> nodes;
  nodes.reserve(kNodes);
  for (int i = 0; i < kNodes; ++i) nodes.push_back(begin(i, now));
  std::vector<LeaseRecord> history = {LeaseRecord{}};
  std::int64_t revision = 10;
  int last_holder = -1;
  bool given_up = false;  // By the last holder.
  std::map<int, Time> last_actions;
  std::int64_t last_token = 0;
  for (int step = 0; step < 400; ++step) {
    now += std::chrono::milliseconds(*rc::gen::inRange(5, 400));
    const int index = *rc::gen::inRange(0, kNodes);
    DutyLease& lease = nodes[static_cast<std::size_t>(index)];
    const int outcome = *rc::gen::inRange(0, 12);
    const auto write = [&](LeaseRecord record) {
      if (record.revision != history.back().revision) return false;
      record.revision = ++revision;
      history.push_back(record);
      return true;
    };
    if (outcome == 11) lease = begin(index, now);
    if (outcome == 10) {
      const auto record = lease.Resign();
      given_up = given_up || (record && write(*record));
      lease = begin(index, now);
    }
    if (outcome >= 8) {
      const auto age = *rc::gen::inRange<std::size_t>(0, std::min<std::size_t>(3, history.size()));
      lease.OnPeerRecord(history[history.size() - 1 - age], now);
    }
    const LeaseStep next = lease.Next(now, 300ms, *rc::gen::inRange(0, 4));
    if (next == LeaseStep::kRead) outcome == 0 ? lease.OnReadFailed(now) : lease.OnRead(history.back(), now);
    if (next == LeaseStep::kWrite) {
      const bool done = outcome != 1 && write(lease.draft());
      const bool responded = outcome > 2;
      if (done && responded) lease.OnWritten(revision);
      if (!done && responded) lease.OnWriteFailed(true, now);
      if (!responded) lease.OnWriteFailed(false, now);
    }
    if (!lease.IsHeldFor(now)) continue;
    RC_ASSERT(lease.token() >= last_token);
    if (last_holder >= 0 && last_holder != index) {
      RC_ASSERT(lease.token() > last_token);
      // A node that follows a holder that did not resign waits; a former holder never returns within one lease.
      if (!given_up) RC_ASSERT(now - last_actions[last_holder] >= times.lease);
      if (last_actions.contains(index)) RC_ASSERT(now - last_actions[index] >= times.lease);
      given_up = false;
    }
    last_holder = index;
    last_actions[index] = now;
    last_token = lease.token();
  }
}

}  // namespace
}  // namespace saltquay::serving
