// Which subjects are selected as the causes of crashes, and which runs count as successes.
#include "src/core/serving/crash_culprits.h"

#include <list>

#include <gtest/gtest.h>

#include "src/core/serving/crash_ledger.h"
#include "src/core/serving/recent_runs.h"
#include "src/core/serving/success_log.h"

namespace saltquay::serving {
namespace {

constexpr Time kNow{1000s};
constexpr CrashSubject kRequest{CrashSubjectKind::kRequest, 1};
constexpr CrashSubject kPart{CrashSubjectKind::kPromptPart, 2};
constexpr CrashSubject kOtherPart{CrashSubjectKind::kPromptPart, 3};
constexpr EngineKey kNoEngine{};

class CrashCulpritsTest : public ::testing::Test {
 protected:
  // The subject was at these engines, engine i of which crashed i seconds after the start.
  void Accuse(const CrashSubject& subject, std::initializer_list<std::uint64_t> engines, bool has_succeeded = false) {
    auto& crashes = crashes_.emplace_back();
    for (const std::uint64_t engine : engines)
      crashes[EngineKey(engine)] = kNow + engine * std::chrono::duration_cast<Duration>(1s);
    accused_.push_back({subject, &crashes, has_succeeded});
  }
  std::set<CrashSubject> Culprits() const { return FindCulprits(accused_, CulpritParameters{}); }

  std::list<std::map<EngineKey, Time>> crashes_;
  std::vector<AccusedSubject> accused_;
};

TEST_F(CrashCulpritsTest, ARequestIsPreferredToItsPartsWithTheSameCrashes) {
  Accuse(kPart, {1, 2, 3});
  Accuse(kRequest, {1, 2, 3});
  EXPECT_EQ(Culprits(), std::set{kRequest});
}

TEST_F(CrashCulpritsTest, APartThatCrashedEnginesWithOtherRequestsTooIsPreferredToTheRequest) {
  Accuse(kPart, {1, 2, 3, 4});
  Accuse(kRequest, {1, 2, 3});
  EXPECT_EQ(Culprits(), std::set{kPart});
}

TEST_F(CrashCulpritsTest, APartBesideTheCulpritIsNotOne) {
  Accuse(kPart, {1, 2, 3, 4, 5});
  Accuse(kOtherPart, {2, 3, 4, 6});
  EXPECT_EQ(Culprits(), std::set{kPart});
}

TEST_F(CrashCulpritsTest, TwoPartsAreBothCulprits) {
  Accuse(kPart, {1, 2, 3});
  Accuse(kOtherPart, {4, 5, 6});
  EXPECT_EQ(Culprits(), (std::set{kPart, kOtherPart}));
}

TEST_F(CrashCulpritsTest, APartThatHasSucceededNeedsMoreCrashes) {
  Accuse(kPart, {1, 2, 3, 4}, true);
  EXPECT_TRUE(Culprits().empty());
  Accuse(kOtherPart, {1, 2, 3, 4, 5}, true);
  EXPECT_EQ(Culprits(), std::set{kOtherPart});
}

TEST_F(CrashCulpritsTest, EnginesThatCrashTogetherAreOneOccasion) {
  auto& crashes = crashes_.emplace_back();
  for (std::uint64_t engine = 1; engine <= 20; ++engine) crashes[EngineKey(engine)] = kNow + engine * 2ms;
  accused_.push_back({kPart, &crashes, false});
  EXPECT_TRUE(Culprits().empty());
}

TEST_F(CrashCulpritsTest, IfAllPartsCrashEnginesOnlySomeAreCulprits) {
  for (std::uint64_t part = 1; part <= 100; ++part)
    Accuse(CrashSubject::PromptPart(part), {3 * part, 3 * part + 1, 3 * part + 2});
  EXPECT_EQ(Culprits().size(), CulpritParameters{}.max_parts);
}

TEST(PartLedgerTest, SuccessWithinASecondBeforeACrashIsRemembered) {
  CrashLedger ledger{CrashLedgerParameters{}};
  ledger.RecordSuccess(kPart, kNow);
  EXPECT_FALSE(ledger.RecordCrash(kPart, EngineKey(std::uint64_t{1}), kNow + 900ms, kNow + 900ms));
  EXPECT_TRUE(ledger.RecordCrash(kPart, EngineKey(std::uint64_t{2}), kNow + 2s, kNow + 2s));
  // The other node has not seen the success; it learns of it with the crash.
  CrashLedger other{CrashLedgerParameters{}};
  other.Merge(ledger.MarksToReport(kNow + 2s), kNow + 2s);
  EXPECT_EQ(other.CrashCount(kPart), 1);
  EXPECT_TRUE(other.Merge(std::vector{CrashMark{kPart, EngineKey(std::uint64_t{1}), 1100ms}}, kNow + 2s).empty());
}

TEST(PartLedgerTest, CompletionElsewhereRaisesTheNumberOfCrashesNeeded) {
  CrashLedger ledger{CrashLedgerParameters{}};
  ledger.Merge(std::vector{CrashMark{kPart, kNoEngine, 1s, true}}, kNow);
  for (std::uint64_t engine = 1; engine <= 4; ++engine)
    ledger.RecordCrash(kPart, EngineKey(engine), kNow + engine * 1s, kNow + engine * 1s);
  EXPECT_FALSE(ledger.QuarantineRemaining(kPart, kNow + 4s).has_value());
  ledger.RecordCrash(kPart, EngineKey(std::uint64_t{5}), kNow + 5s, kNow + 5s);
  EXPECT_EQ(ledger.QuarantineRemaining(kPart, kNow + 5s), CrashLedgerParameters{}.proven_part_quarantine);
}

// Guards against: a part that all requests share is quarantined by mistake, and nothing can clear it.
TEST(PartLedgerTest, PartThatHasSucceededIsTriedAgainSoon) {
  CrashLedger ledger{CrashLedgerParameters{}};
  ledger.RecordSuccess(kPart, kNow);
  const auto crash = [&](std::uint64_t engine) {
    ledger.RecordCrash(kPart, EngineKey(engine), kNow + 10s + engine * 100ms, kNow + 11s);
  };
  for (std::uint64_t engine = 1; engine <= 5; ++engine) crash(engine);
  EXPECT_TRUE(ledger.QuarantineRemaining(kPart, kNow + 11s).has_value());
  EXPECT_FALSE(ledger.QuarantineRemaining(kPart, kNow + 13s).has_value());
  crash(6);
  EXPECT_TRUE(ledger.QuarantineRemaining(kPart, kNow + 26s).has_value());
  for (std::uint64_t engine = 7; engine <= 90; ++engine) crash(engine);
  EXPECT_LE(ledger.QuarantineRemaining(kPart, kNow + 11s), CrashLedgerParameters{}.quarantine + 8s);
  EXPECT_TRUE(ledger.RecordSuccess(kPart, kNow + 27s));
  EXPECT_FALSE(ledger.QuarantineRemaining(kPart, kNow + 27s).has_value());
}

// Guards against: while engines crash, nodes restart one after the other until none remembers that innocent parts were
// served; these then count as likelier causes than the part that crashes engines, whose quarantine is lifted.
TEST(PartLedgerTest, RestartedNodeLearnsWhichPartsWereServed) {
  constexpr std::uint64_t kParts = 40;
  CrashLedger ledger{CrashLedgerParameters{}};
  for (std::uint64_t part = 1; part <= kParts; ++part) {
    ledger.RecordSuccess(CrashSubject::PromptPart(part), kNow);
    ledger.RecordCrash(CrashSubject::PromptPart(part), EngineKey(std::uint64_t{1}), kNow + 500ms, kNow + 500ms);
  }
  const Time restart = kNow + 10s;
  CrashLedger restarted{CrashLedgerParameters{}};
  for (int round = 0; round < 2; ++round) restarted.Merge(ledger.MarksToReport(restart), restart);
  for (std::uint64_t engine = 2; engine <= 4; ++engine) {
    for (std::uint64_t part = 1; part <= kParts; ++part) {
      const Time at = restart + engine * 100ms;
      restarted.RecordCrash(CrashSubject::PromptPart(part), EngineKey(engine), at, at);
    }
  }
  EXPECT_EQ(restarted.QuarantinedCount(CrashSubjectKind::kPromptPart, restart + 1s), 0U);
}

TEST(PartLedgerTest, ExonerationsAreRepeatedForALimitedTimeAndInMessagesOfLimitedSize) {
  const CrashLedgerParameters parameters;
  CrashLedger ledger{parameters};
  for (std::uint64_t part = 1; part <= 500; ++part) {
    ledger.Merge(std::vector{CrashMark{CrashSubject::PromptPart(part), kNoEngine, 1s},
                             CrashMark{CrashSubject::PromptPart(part), kNoEngine, 1s, true}},
                 kNow);
  }
  EXPECT_EQ(ledger.MarksToReport(kNow).size(), parameters.max_recent_marks + parameters.max_repeated_exonerations);
  EXPECT_EQ(ledger.MarksToReport(kNow + 30s).size(), parameters.max_repeated_exonerations);
  EXPECT_TRUE(ledger.MarksToReport(kNow + parameters.exoneration_period + 1s).empty());
}

TEST_F(CrashCulpritsTest, PartsWithoutAnySuccessComeBeforeAServedOneWithMoreCrashes) {
  Accuse(kOtherPart, {1, 2, 3, 4, 5, 6, 7}, true);
  Accuse(kPart, {1, 2, 3});
  EXPECT_EQ(Culprits(), std::set{kPart});
}

TEST(SuccessLogTest, RemembersWhatSucceedsAgainAndAgainInBoundedSpace) {
  SuccessLog log(100);
  for (std::uint64_t key = 1; key <= 10000; ++key) {
    log.Record(key, kNow);
    if (key % 20 == 0) log.Record(7, kNow + key * 1ms);
  }
  EXPECT_EQ(log.Find(7), kNow + 10000ms);
  EXPECT_EQ(log.Find(8), std::nullopt);
}

TEST(RecentRunsTest, RunsAreSurvivedOnlyAfterTheSurvivalTime) {
  RecentRuns runs(500ms);
  const EngineKey engine(std::uint64_t{1});
  runs.Add(engine, {kPart}, kNow);
  runs.Add(engine, {kOtherPart}, kNow + 200ms);
  EXPECT_TRUE(runs.TakeSurvived(engine, kNow + 499ms).empty());
  EXPECT_EQ(runs.TakeSurvived(engine, kNow + 600ms), std::vector{kPart});
  EXPECT_EQ(runs.TakeUnsurvived(engine, kNow + 650ms), std::vector{kOtherPart});
  EXPECT_EQ(runs.size(), 0U);
}

TEST(RecentRunsTest, RunsLongBeforeTheCrashAreNotBlamed) {
  RecentRuns runs(500ms);
  const EngineKey engine(std::uint64_t{1});
  runs.Add(engine, {kPart}, kNow);
  EXPECT_TRUE(runs.TakeUnsurvived(engine, kNow + 5s).empty());
  EXPECT_EQ(runs.size(), 0U);
}

TEST(RecentRunsTest, SizeIsBounded) {
  RecentRuns runs(500ms);
  for (std::uint64_t i = 0; i < 100000; ++i) runs.Add(EngineKey(i % 3000 + 1), {kPart}, kNow + i * 1ms);
  EXPECT_LE(runs.size(), 1024U);
}

}  // namespace
}  // namespace saltquay::serving
