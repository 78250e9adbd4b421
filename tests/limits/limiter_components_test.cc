// The parts of a limiter: bucket, order of homes, watch over them, and what a owner decides.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/base/hash.h"
#include "src/limits/owned_buckets.h"
#include "src/limits/owner_failure_detector.h"
#include "src/limits/owner_ranking.h"
#include "src/limits/token_bucket.h"

namespace saltquay::limits {
namespace {

constexpr Time start { 100s };
LimitTolerance const tolerance { 8s, 0.1, 100 };
TenantLimit const limit { 1'000, 60, LimitUnit::Tokens, 1 };
// Burst and the bucket's part of the slack.
constexpr double depth = 100;

TEST(TokenBucketTest, FillsByElapsedTimeUpToItsDepth)
{
    TokenBucket bucket(start, 10, 100, 0);
    EXPECT_EQ(bucket.level(start + 3s), 30);
    EXPECT_EQ(bucket.level(start + 30s), 100);
    EXPECT_EQ(bucket.level(start - 3s), 0);
}

TEST(TokenBucketTest, TakesWhatItHolds)
{
    TokenBucket bucket(start, 10, 100, 50);
    EXPECT_FALSE(bucket.take(start, 51, 51));
    EXPECT_TRUE(bucket.take(start, 50, 50));
    EXPECT_FALSE(bucket.take(start, 1, 1));
}

TEST(TokenBucketTest, TakesMoreThanItHoldsWhereTheLevelIsEnough)
{
    TokenBucket bucket(start, 10, 100, 99);
    EXPECT_FALSE(bucket.take(start, 300, 100));
    EXPECT_TRUE(bucket.take(start + 100ms, 300, 100));
    EXPECT_EQ(bucket.level(start + 100ms), -200);
}

TEST(TokenBucketTest, ALowerDepthTakesTheRest)
{
    TokenBucket bucket(start, 10, 100, 90);
    bucket.set_limit(start, 1, 10);
    EXPECT_EQ(bucket.level(start), 10);
    bucket.set_limit(start, 10, 100);
    EXPECT_EQ(bucket.level(start), 10);
}

TEST(TokenBucketTest, TimeThatIsSkippedFillsNothing)
{
    TokenBucket bucket(start, 10, 100, 20);
    bucket.skip_to(start + 5s, 100);
    EXPECT_EQ(bucket.level(start + 5s), 20);
    bucket.skip_to(start + 5s, 15);
    EXPECT_EQ(bucket.level(start + 5s), 15);
}

TEST(TokenBucketTest, WhatNeverFitsIsToldTheLongestTime)
{
    TokenBucket bucket(start, 10, 100, 0);
    EXPECT_EQ(bucket.time_until(start, 101, 200, 60s), Duration(60s));
    EXPECT_EQ(TokenBucket(start, 0, 100, 0).time_until(start, 1, 1, 60s), Duration(60s));
}

RC_GTEST_PROP(TokenBucketProperty, ItHoldsTheCostAtTheTimeThatItTold, (std::uint16_t level, std::uint16_t cost))
{
    TokenBucket bucket(start, 777.7, 100'000, level);
    auto const wait = bucket.time_until(start, cost, cost, 1000s);
    RC_ASSERT(bucket.take(start + wait, cost, cost));
}

RC_GTEST_PROP(TokenBucketProperty, NeverGivesMoreThanDepthAndRate, (std::vector<std::uint8_t> const& costs))
{
    TokenBucket bucket(start, 100, 300, 300);
    auto now = start;
    double given = 0;
    for (auto const cost : costs) {
        now += std::chrono::milliseconds(cost);
        given += bucket.take(now, cost, cost) ? cost : 0;
    }
    RC_ASSERT(given <= 300 + 100 * ToSeconds(now - start) + 1e-6);
}

std::vector<LimiterNode> make_nodes(int count)
{
    std::vector<LimiterNode> nodes;
    nodes.reserve(static_cast<std::size_t>(count));
    for (int node = 0; node < count; ++node)
        nodes.push_back({ "n" + std::to_string(node), "a" + std::to_string(node), "z" });
    return nodes;
}

std::string home_name(OwnerRanking const& order, std::uint64_t tenant)
{
    return order.first(tenant, [](std::uint64_t) { return false; })->node.name;
}

TEST(OwnerRankingTest, NodesThatKnowTheSameNodesAgree)
{
    auto const nodes = make_nodes(12);
    OwnerRanking first(nodes[0]);
    OwnerRanking last(nodes[11]);
    first.set_nodes(nodes);
    last.set_nodes({ nodes.rbegin(), nodes.rend() });
    std::set<std::string> homes;
    for (std::uint64_t tenant = 0; tenant < 200; ++tenant) {
        EXPECT_EQ(home_name(first, tenant), home_name(last, tenant));
        homes.insert(home_name(first, tenant));
    }
    EXPECT_EQ(homes.size(), 12U);
}

TEST(OwnerRankingTest, OnlyTheTenantsOfANodeThatLeavesHaveAnotherHome)
{
    auto nodes = make_nodes(12);
    OwnerRanking before(nodes[0]);
    before.set_nodes(nodes);
    nodes.pop_back();
    OwnerRanking after(nodes[0]);
    EXPECT_TRUE(after.set_nodes(nodes));
    EXPECT_FALSE(after.set_nodes(nodes));
    for (std::uint64_t tenant = 0; tenant < 200; ++tenant) {
        auto const owner = home_name(before, tenant);
        EXPECT_TRUE(owner == "n11" || owner == home_name(after, tenant));
    }
}

TEST(OwnerRankingTest, ANewAddressIsAChange)
{
    auto nodes = make_nodes(3);
    OwnerRanking order(nodes[0]);
    order.set_nodes(nodes);
    nodes[1].address = "elsewhere";
    EXPECT_TRUE(order.set_nodes(nodes));
}

TEST(OwnerRankingTest, ASampleLeavesOutThisNodeAndTheOneInQuestion)
{
    auto const nodes = make_nodes(40);
    OwnerRanking order(nodes[0]);
    order.set_nodes(nodes);
    auto const silent = HashPair(0, 0);
    EXPECT_EQ(order.sample(silent, 12).size(), 12U);
    OwnerRanking small(nodes[0]);
    small.set_nodes(make_nodes(3));
    auto const owner = order.sample(silent, 40).front();
    EXPECT_EQ(order.sample(owner->hash, 40).size(), 38U);
    EXPECT_EQ(small.sample(silent, 12).size(), 2U);
}

class OwnerFailureDetectorTest : public testing::Test {
protected:
    // Steps on to that time, and says which nodes became absent.
    std::vector<std::uint64_t> absent_until(Duration span)
    {
        std::vector<std::uint64_t> absent;
        while (watch_.next_deadline() && *watch_.next_deadline() <= start + span) {
            auto const due = watch_.step(*watch_.next_deadline(), [](std::uint64_t) { return true; });
            absent.insert(absent.end(), due.absent.begin(), due.absent.end());
        }
        return absent;
    }

    LimiterParameters parameters_;
    OwnerFailureDetector watch_ { parameters_ };
};

TEST_F(OwnerFailureDetectorTest, ASilentNodeIsAbsentAfterAWhile)
{
    watch_.suspect(start, 7);
    EXPECT_TRUE(watch_.is_suspect(7));
    EXPECT_TRUE(absent_until(100ms).empty());
    EXPECT_EQ(absent_until(200ms), std::vector<std::uint64_t> { 7 });
    EXPECT_TRUE(watch_.is_absent(start + 200ms, 7));
    // For as long as nobody hears it.
    absent_until(60s);
    EXPECT_TRUE(watch_.is_absent(start + 60s, 7));
    EXPECT_TRUE(watch_.note_heard(start + 60s, 7));
    EXPECT_FALSE(watch_.is_absent(start + 60s, 7));
}

TEST_F(OwnerFailureDetectorTest, ANodeThatAnswersThroughAnotherIsNotAbsent)
{
    watch_.suspect(start, 7);
    absent_until(100ms);
    EXPECT_FALSE(watch_.note_relayed(start + 100ms, 7, "other"));
    EXPECT_TRUE(absent_until(220ms).empty());
    EXPECT_TRUE(watch_.is_suspect(7));
    EXPECT_EQ(watch_.via(7), "other");
    EXPECT_EQ(absent_until(300ms).size(), 1U);
    EXPECT_TRUE(watch_.note_relayed(start + 300ms, 7, "other"));
}

TEST_F(OwnerFailureDetectorTest, TheShareOfTheFleetIsThatWhichAnsweredTheSurvey)
{
    watch_.suspect(start, 7);
    watch_.note_surveyed(7, 10);
    for (std::uint64_t const from : { 1, 2, 2, 1 })
        watch_.note_survey_reply(7, from);
    EXPECT_EQ(watch_.surveyed_share(), std::nullopt);
    absent_until(200ms);
    EXPECT_EQ(watch_.surveyed_share(), 0.25);
}

TEST_F(OwnerFailureDetectorTest, ANodeThatDeclinedIsNoHomeForAWhile)
{
    watch_.note_declined(start, 7);
    EXPECT_TRUE(watch_.is_absent(start + parameters_.joining - 1us, 7));
    EXPECT_EQ(watch_.next_deadline(), start + parameters_.joining);
    EXPECT_TRUE(watch_.step(start + parameters_.joining, [](std::uint64_t) { return true; }).joined);
    EXPECT_FALSE(watch_.is_absent(start + parameters_.joining, 7));
}

TEST_F(OwnerFailureDetectorTest, ANodeThatLeftTheFleetIsForgotten)
{
    watch_.suspect(start, 7);
    watch_.step(start, [](std::uint64_t) { return false; });
    EXPECT_FALSE(watch_.is_suspect(7));
}

class OwnedBucketsTest : public testing::Test {
protected:
    OwnedBucketsTest() { home_.set_reachable_nodes(start, { 10, 600ms }); }

    // A bucket at that level, of a owner that has been one for long.
    void hold(double level)
    {
        BucketHandoff message;
        message.tenant = 1;
        message.key = { 9, ++last_ };
        message.level = level;
        home_.receive(start, message, limit);
    }
    ChargeResponse ask(std::int64_t cost, Time now = start)
    {
        ChargeRequest ask;
        ask.charge = { 1, ++last_ };
        ask.tenant = 1;
        ask.cost = cost;
        return home_.decide(now, ask);
    }

    LimiterParameters parameters_;
    OwnedBuckets home_ { parameters_, tolerance };
    std::uint64_t last_ = 0;
};

TEST_F(OwnedBucketsTest, ANewHomeBeginsWithLittleAndFillsSlowlyUntilItHasSettled)
{
    home_.open(start, 1, limit, std::nullopt);
    auto const first = parameters_.first_level * depth;
    EXPECT_NEAR(home_.level(start, 1), first, 1e-9);
    EXPECT_NEAR(home_.level(start + 30ms, 1), first + 10, 1e-6);
    auto const established = start + parameters_.settling;
    EXPECT_TRUE(ask(100, established).admitted);
    EXPECT_NEAR(home_.level(established + 30ms, 1), 30, 1e-6);
}

TEST_F(OwnedBucketsTest, ANewHomeOfASmallPartOfTheFleetBeginsWithThatPart)
{
    home_.open(start, 1, limit, 0.1);
    auto const first = parameters_.first_level * 0.1 * depth;
    EXPECT_NEAR(home_.level(start, 1), first, 1e-9);
    EXPECT_NEAR(home_.level(start + 10ms, 1), first + 1, 1e-6);
}

TEST_F(OwnedBucketsTest, AnAskThatIsRepeatedIsChargedOnce)
{
    hold(depth);
    ChargeRequest ask;
    ask.charge = { 1, 1 };
    ask.tenant = 1;
    ask.cost = 40;
    EXPECT_TRUE(home_.decide(start, ask).admitted);
    EXPECT_TRUE(home_.decide(start, ask).admitted);
    EXPECT_NEAR(home_.level(start, 1), 60, 1e-9);
    home_.give_up(start, 1);
    EXPECT_TRUE(home_.find_answer(ask.charge)->admitted);
}

TEST_F(OwnedBucketsTest, ARefundIsCreditedOnce)
{
    hold(depth);
    auto const answer = ask(40);
    home_.refund(start, answer.charge);
    EXPECT_NEAR(home_.level(start, 1), 100, 1e-9);
    ask(60);
    home_.refund(start, answer.charge);
    EXPECT_NEAR(home_.level(start, 1), 40, 1e-9);
}

TEST_F(OwnedBucketsTest, WhatWasRefusedIsNotRefunded)
{
    hold(10);
    auto const answer = ask(40);
    EXPECT_FALSE(answer.admitted);
    EXPECT_NEAR(ToSeconds(answer.retry_after), 0.03, 1e-5);
    home_.refund(start, answer.charge);
    EXPECT_NEAR(home_.level(start, 1), 10, 1e-9);
}

TEST_F(OwnedBucketsTest, AHandOverIsTakenOnceAndReplacesTheFirstLevel)
{
    home_.open(start, 1, limit, std::nullopt);
    BucketHandoff message;
    message.tenant = 1;
    message.key = { 5, 5 };
    message.level = 50;
    home_.receive(start, message, limit);
    home_.receive(start, message, limit);
    EXPECT_NEAR(home_.level(start, 1), 50, 1e-9);
    EXPECT_TRUE(home_.give_up(start, 1).established);
}

TEST_F(OwnedBucketsTest, ASideOfACutHasItsShareOfTheBucket)
{
    hold(depth);
    home_.set_reachable_nodes(start, { 4, 600ms });
    EXPECT_NEAR(home_.level(start, 1), 40, 1e-9);
    EXPECT_FALSE(ask(100).admitted); // From a full bucket only the larger side would.
    ask(40);
    EXPECT_NEAR(home_.level(start + 50ms, 1), 20, 1e-9);
    home_.set_reachable_nodes(start, { 10, 600ms });
    EXPECT_NEAR(home_.level(start + 50ms, 1), 50, 1e-9);
}

// Guards against a limit that is passed by each cut anew: until a owner saw that it was cut off, it filled at the whole
// rate, and the other side at its own part.
TEST_F(OwnedBucketsTest, WhatWasFilledBeforeACutShowedIsTakenBack)
{
    hold(0);
    auto const seen = start + 50ms;
    home_.set_reachable_nodes(seen, { 4, 600ms });
    // Of a rate of 1,000 a second four of ten nodes have 400; the owner before filled 600 too much as well.
    EXPECT_NEAR(home_.level(seen, 1), 50 - 600 * 0.6, 1e-9);
    EXPECT_FALSE(ask(1, seen).admitted);
}

TEST_F(OwnedBucketsTest, AFullBucketFilledNothingThatIsTakenBackForACut)
{
    hold(depth);
    ask(100);
    auto const seen = start + 50ms;
    home_.set_reachable_nodes(seen, { 4, 600ms });
    EXPECT_NEAR(home_.level(seen, 1), 50 - 600 * 0.05, 1e-9); // It was full 50 ms ago.
}

TEST_F(OwnedBucketsTest, ARequestLargerThanTheBucketIsAdmittedByAFullOneOfTheLargerSide)
{
    hold(depth);
    home_.set_reachable_nodes(start, { 9, 600ms });
    EXPECT_TRUE(ask(1'000).admitted);
}

TEST_F(OwnedBucketsTest, AHomeThatStoodStillGoesOnLikeANewOne)
{
    hold(depth);
    home_.distrust(start + 5s);
    EXPECT_NEAR(home_.level(start + 5s, 1), parameters_.first_level * depth, 1e-9);
    EXPECT_FALSE(home_.give_up(start + 5s, 1).established);
}

TEST_F(OwnedBucketsTest, ALowerLimitTakesWhatIsAboveItsBurst)
{
    hold(depth);
    home_.change_limit(start, 1, TenantLimit { 100, 10, LimitUnit::Tokens, 1 });
    EXPECT_NEAR(home_.level(start, 1), 50, 1e-9);
    home_.change_limit(start, 1, std::nullopt);
    EXPECT_FALSE(home_.holds(1));
}

}
}
