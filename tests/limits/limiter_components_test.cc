// Unit tests of the limiter's components: token bucket, owner ranking, failure detector and owned buckets.
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
// The burst and the bucket's share of the slack.
constexpr double depth = 100;

TEST(TokenBucketTest, RefillsWithElapsedTimeUpToItsDepth)
{
    TokenBucket bucket(start, 10, 100, 0);
    EXPECT_EQ(bucket.level(start + 3s), 30);
    EXPECT_EQ(bucket.level(start + 30s), 100);
    EXPECT_EQ(bucket.level(start - 3s), 0);
}

TEST(TokenBucketTest, TakesNoMoreThanItsLevel)
{
    TokenBucket bucket(start, 10, 100, 50);
    EXPECT_FALSE(bucket.take(start, 51, 51));
    EXPECT_TRUE(bucket.take(start, 50, 50));
    EXPECT_FALSE(bucket.take(start, 1, 1));
}

TEST(TokenBucketTest, TakesMoreThanItsLevelAtTheAdmissionLevel)
{
    TokenBucket bucket(start, 10, 100, 99);
    EXPECT_FALSE(bucket.take(start, 300, 100));
    EXPECT_TRUE(bucket.take(start + 100ms, 300, 100));
    EXPECT_EQ(bucket.level(start + 100ms), -200);
}

TEST(TokenBucketTest, LowerDepthDiscardsTheExcess)
{
    TokenBucket bucket(start, 10, 100, 90);
    bucket.set_limit(start, 1, 10);
    EXPECT_EQ(bucket.level(start), 10);
    bucket.set_limit(start, 10, 100);
    EXPECT_EQ(bucket.level(start), 10);
}

TEST(TokenBucketTest, SkippedTimeAddsNothing)
{
    TokenBucket bucket(start, 10, 100, 20);
    bucket.skip_to(start + 5s, 100);
    EXPECT_EQ(bucket.level(start + 5s), 20);
    bucket.skip_to(start + 5s, 15);
    EXPECT_EQ(bucket.level(start + 5s), 15);
}

TEST(TokenBucketTest, ReturnsTheMaximumTimeForACostThatNeverFits)
{
    TokenBucket bucket(start, 10, 100, 0);
    EXPECT_EQ(bucket.time_until_available(start, 101, 200, 60s), Duration(60s));
    EXPECT_EQ(TokenBucket(start, 0, 100, 0).time_until_available(start, 1, 1, 60s), Duration(60s));
}

RC_GTEST_PROP(TokenBucketProperty, HoldsTheCostAtThePredictedTime, (std::uint16_t level, std::uint16_t cost))
{
    TokenBucket bucket(start, 777.7, 100'000, level);
    auto const wait = bucket.time_until_available(start, cost, cost, 1000s);
    RC_ASSERT(bucket.take(start + wait, cost, cost));
}

RC_GTEST_PROP(TokenBucketProperty, NeverAdmitsMoreThanDepthAndRate, (std::vector<std::uint8_t> const& costs))
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

std::string owner_name(OwnerRanking const& ranking, std::uint64_t tenant)
{
    return ranking.first_candidate(tenant, [](std::uint64_t) { return false; })->node.name;
}

TEST(OwnerRankingTest, NodesWithTheSameViewAgree)
{
    auto const nodes = make_nodes(12);
    OwnerRanking first(nodes[0]);
    OwnerRanking last(nodes[11]);
    first.set_nodes(nodes);
    last.set_nodes({ nodes.rbegin(), nodes.rend() });
    std::set<std::string> owners;
    for (std::uint64_t tenant = 0; tenant < 200; ++tenant) {
        EXPECT_EQ(owner_name(first, tenant), owner_name(last, tenant));
        owners.insert(owner_name(first, tenant));
    }
    EXPECT_EQ(owners.size(), 12U);
}

TEST(OwnerRankingTest, OnlyTenantsOfARemovedNodeChangeTheirOwner)
{
    auto nodes = make_nodes(12);
    OwnerRanking before(nodes[0]);
    before.set_nodes(nodes);
    nodes.pop_back();
    OwnerRanking after(nodes[0]);
    EXPECT_TRUE(after.set_nodes(nodes));
    EXPECT_FALSE(after.set_nodes(nodes));
    for (std::uint64_t tenant = 0; tenant < 200; ++tenant) {
        auto const owner = owner_name(before, tenant);
        EXPECT_TRUE(owner == "n11" || owner == owner_name(after, tenant));
    }
}

TEST(OwnerRankingTest, NewAddressIsReportedAsAChange)
{
    auto nodes = make_nodes(3);
    OwnerRanking ranking(nodes[0]);
    ranking.set_nodes(nodes);
    nodes[1].address = "elsewhere";
    EXPECT_TRUE(ranking.set_nodes(nodes));
}

TEST(OwnerRankingTest, SampleExcludesThisNodeAndTheGivenOne)
{
    auto const nodes = make_nodes(40);
    OwnerRanking ranking(nodes[0]);
    ranking.set_nodes(nodes);
    auto const unresponsive = HashPair(0, 0);
    EXPECT_EQ(ranking.sample(unresponsive, 12).size(), 12U);
    OwnerRanking small(nodes[0]);
    small.set_nodes(make_nodes(3));
    auto const owner = ranking.sample(unresponsive, 40).front();
    EXPECT_EQ(ranking.sample(owner->hash, 40).size(), 38U);
    EXPECT_EQ(small.sample(unresponsive, 12).size(), 2U);
}

class OwnerFailureDetectorTest : public testing::Test {
protected:
    // Advances to `start + span` and returns the nodes that were declared failed.
    std::vector<std::uint64_t> failed_until(Duration span)
    {
        std::vector<std::uint64_t> failed;
        while (detector_.next_deadline() && *detector_.next_deadline() <= start + span) {
            auto const due = detector_.step(*detector_.next_deadline(), [](std::uint64_t) { return true; });
            failed.insert(failed.end(), due.failed.begin(), due.failed.end());
        }
        return failed;
    }

    LimiterParameters parameters_;
    OwnerFailureDetector detector_ { parameters_ };
};

TEST_F(OwnerFailureDetectorTest, UnresponsiveNodeIsDeclaredFailedAfterATimeout)
{
    detector_.suspect(start, 7);
    EXPECT_TRUE(detector_.is_suspect(7));
    EXPECT_TRUE(failed_until(100ms).empty());
    EXPECT_EQ(failed_until(200ms), std::vector<std::uint64_t> { 7 });
    EXPECT_TRUE(detector_.is_unavailable(start + 200ms, 7));
    // It stays unavailable until it responds.
    failed_until(60s);
    EXPECT_TRUE(detector_.is_unavailable(start + 60s, 7));
    EXPECT_TRUE(detector_.mark_responsive(start + 60s, 7));
    EXPECT_FALSE(detector_.is_unavailable(start + 60s, 7));
}

TEST_F(OwnerFailureDetectorTest, NodeThatRespondsThroughARelayIsNotFailed)
{
    detector_.suspect(start, 7);
    failed_until(100ms);
    EXPECT_FALSE(detector_.mark_reachable_via(start + 100ms, 7, "other"));
    EXPECT_TRUE(failed_until(220ms).empty());
    EXPECT_TRUE(detector_.is_suspect(7));
    EXPECT_EQ(detector_.relay_address(7), "other");
    EXPECT_EQ(failed_until(300ms).size(), 1U);
    EXPECT_TRUE(detector_.mark_reachable_via(start + 300ms, 7, "other"));
}

TEST_F(OwnerFailureDetectorTest, ReachableShareIsThatOfTheSurveyReplies)
{
    detector_.suspect(start, 7);
    detector_.record_survey(7, 10);
    for (std::uint64_t const from : { 1, 2, 2, 1 })
        detector_.record_survey_reply(7, from);
    EXPECT_EQ(detector_.reachable_share_estimate(), std::nullopt);
    failed_until(200ms);
    EXPECT_EQ(detector_.reachable_share_estimate(), 0.25);
}

TEST_F(OwnerFailureDetectorTest, NodeThatDeclinedIsUnavailableForTheWarmUp)
{
    detector_.record_decline(start, 7);
    EXPECT_TRUE(detector_.is_unavailable(start + parameters_.warm_up - 1us, 7));
    EXPECT_EQ(detector_.next_deadline(), start + parameters_.warm_up);
    EXPECT_TRUE(detector_.step(start + parameters_.warm_up, [](std::uint64_t) { return true; }).returned);
    EXPECT_FALSE(detector_.is_unavailable(start + parameters_.warm_up, 7));
}

TEST_F(OwnerFailureDetectorTest, RemovedNodeIsForgotten)
{
    detector_.suspect(start, 7);
    detector_.step(start, [](std::uint64_t) { return false; });
    EXPECT_FALSE(detector_.is_suspect(7));
}

class OwnedBucketsTest : public testing::Test {
protected:
    OwnedBucketsTest() { buckets_.set_reachable_nodes(start, { 10, 600ms }); }

    // Creates a bucket at this level, owned past the probation.
    void hold_bucket(double level)
    {
        BucketHandoff message;
        message.tenant = 1;
        message.key = { 9, ++last_ };
        message.level = level;
        buckets_.receive_handoff(start, message, limit);
    }
    ChargeResponse request(std::int64_t cost, Time now = start)
    {
        ChargeRequest request;
        request.charge = { 1, ++last_ };
        request.tenant = 1;
        request.cost = cost;
        return buckets_.decide(now, request);
    }

    LimiterParameters parameters_;
    OwnedBuckets buckets_ { parameters_, tolerance };
    std::uint64_t last_ = 0;
};

TEST_F(OwnedBucketsTest, NewOwnerStartsLowAndFillsSlowlyDuringProbation)
{
    buckets_.create(start, 1, limit, std::nullopt);
    auto const first = parameters_.initial_level_share * depth;
    EXPECT_NEAR(buckets_.level(start, 1), first, 1e-9);
    EXPECT_NEAR(buckets_.level(start + 30ms, 1), first + 10, 1e-6);
    auto const established = start + parameters_.probation;
    EXPECT_TRUE(request(100, established).admitted);
    EXPECT_NEAR(buckets_.level(established + 30ms, 1), 30, 1e-6);
}

TEST_F(OwnedBucketsTest, NewOwnerStartsWithTheReachableShare)
{
    buckets_.create(start, 1, limit, 0.1);
    auto const first = parameters_.initial_level_share * 0.1 * depth;
    EXPECT_NEAR(buckets_.level(start, 1), first, 1e-9);
    EXPECT_NEAR(buckets_.level(start + 10ms, 1), first + 1, 1e-6);
}

TEST_F(OwnedBucketsTest, ResentRequestIsChargedOnce)
{
    hold_bucket(depth);
    ChargeRequest request;
    request.charge = { 1, 1 };
    request.tenant = 1;
    request.cost = 40;
    EXPECT_TRUE(buckets_.decide(start, request).admitted);
    EXPECT_TRUE(buckets_.decide(start, request).admitted);
    EXPECT_NEAR(buckets_.level(start, 1), 60, 1e-9);
    buckets_.release(start, 1);
    EXPECT_TRUE(buckets_.find_response(request.charge)->admitted);
}

TEST_F(OwnedBucketsTest, DuplicateRefundIsCreditedOnce)
{
    hold_bucket(depth);
    auto const response = request(40);
    buckets_.refund(start, response.charge);
    EXPECT_NEAR(buckets_.level(start, 1), 100, 1e-9);
    request(60);
    buckets_.refund(start, response.charge);
    EXPECT_NEAR(buckets_.level(start, 1), 40, 1e-9);
}

TEST_F(OwnedBucketsTest, RefusedRequestIsNotRefunded)
{
    hold_bucket(10);
    auto const response = request(40);
    EXPECT_FALSE(response.admitted);
    EXPECT_NEAR(ToSeconds(response.retry_after), 0.03, 1e-5);
    buckets_.refund(start, response.charge);
    EXPECT_NEAR(buckets_.level(start, 1), 10, 1e-9);
}

TEST_F(OwnedBucketsTest, HandoffIsAppliedOnceAndReplacesTheInitialLevel)
{
    buckets_.create(start, 1, limit, std::nullopt);
    BucketHandoff message;
    message.tenant = 1;
    message.key = { 5, 5 };
    message.level = 50;
    buckets_.receive_handoff(start, message, limit);
    buckets_.receive_handoff(start, message, limit);
    EXPECT_NEAR(buckets_.level(start, 1), 50, 1e-9);
    EXPECT_TRUE(buckets_.release(start, 1).established);
}

TEST_F(OwnedBucketsTest, PartitionSideGetsItsShareOfTheBucket)
{
    hold_bucket(depth);
    buckets_.set_reachable_nodes(start, { 4, 600ms });
    EXPECT_NEAR(buckets_.level(start, 1), 40, 1e-9);
    EXPECT_FALSE(request(100).admitted); // Only the majority side admits it from a full bucket.
    request(40);
    EXPECT_NEAR(buckets_.level(start + 50ms, 1), 20, 1e-9);
    buckets_.set_reachable_nodes(start, { 10, 600ms });
    EXPECT_NEAR(buckets_.level(start + 50ms, 1), 50, 1e-9);
}

// Guards against exceeding the limit with each new partition: until an owner detects the partition, it fills at the
// whole rate while the other side already fills its share.
TEST_F(OwnedBucketsTest, ExcessFilledBeforeAPartitionWasDetectedIsTakenBack)
{
    hold_bucket(0);
    auto const detected_at = start + 50ms;
    buckets_.set_reachable_nodes(detected_at, { 4, 600ms });
    // Four of ten nodes get 400 of 1,000 units per second. The excess of 600 is taken back for 600 ms, also for the
    // time in which the previous owner filled the bucket.
    EXPECT_NEAR(buckets_.level(detected_at, 1), 50 - 600 * 0.6, 1e-9);
    EXPECT_FALSE(request(1, detected_at).admitted);
}

TEST_F(OwnedBucketsTest, TakesBackNothingForTheTimeThatABucketWasFull)
{
    hold_bucket(depth);
    request(100);
    auto const detected_at = start + 50ms;
    buckets_.set_reachable_nodes(detected_at, { 4, 600ms });
    EXPECT_NEAR(buckets_.level(detected_at, 1), 50 - 600 * 0.05, 1e-9); // It was full 50 ms ago.
}

TEST_F(OwnedBucketsTest, RequestLargerThanTheBucketIsAdmittedByAFullOneOnTheMajoritySide)
{
    hold_bucket(depth);
    buckets_.set_reachable_nodes(start, { 9, 600ms });
    EXPECT_TRUE(request(1'000).admitted);
}

TEST_F(OwnedBucketsTest, ResumedOwnerRestartsItsProbation)
{
    hold_bucket(depth);
    buckets_.restart_probation(start + 5s);
    EXPECT_NEAR(buckets_.level(start + 5s, 1), parameters_.initial_level_share * depth, 1e-9);
    EXPECT_FALSE(buckets_.release(start + 5s, 1).established);
}

TEST_F(OwnedBucketsTest, LowerLimitDiscardsTheExcess)
{
    hold_bucket(depth);
    buckets_.change_limit(start, 1, TenantLimit { 100, 10, LimitUnit::Tokens, 1 });
    EXPECT_NEAR(buckets_.level(start, 1), 50, 1e-9);
    buckets_.change_limit(start, 1, std::nullopt);
    EXPECT_FALSE(buckets_.holds(1));
}

}
}
