// One failure a test: who decides then, how much is let through, and what callers inside the limit see of it.
#include <gtest/gtest.h>

#include "tests/limits/limit_fleet.h"

namespace saltquay::limits {
namespace {

constexpr std::int64_t rate = 250'000;
constexpr double calm = 0.55;
constexpr double hot = 4;

std::map<std::string, TenantLimit> one_tenant(std::int64_t units = rate)
{
    return { { "t", { units, units, LimitUnit::Tokens, 1 } } };
}

class LimitFailuresTest : public testing::Test {
protected:
    explicit LimitFailuresTest(FleetOptions const& options = {})
        : fleet_(options, one_tenant())
    {
        ask_for(calm);
        fleet_.run_for(6s);
        fleet_.forget_outcomes();
        home_ = fleet_.home_of("t");
    }
    void ask_for(double times_limit, int node = -1)
    {
        fleet_.demand("t", { times_limit * static_cast<double>(rate), node });
    }
    // Runs on and says which share of what was asked was not served.
    double refused_in(Duration span)
    {
        fleet_.forget_outcomes();
        fleet_.run_for(span);
        return fleet_.outcome("t").refused_share();
    }
    // Units that were let through a second, in that time.
    double admitted_in(Duration span)
    {
        fleet_.forget_outcomes();
        fleet_.run_for(span);
        return fleet_.outcome("t").admitted / ToSeconds(span) / static_cast<double>(rate);
    }
    double over() const { return fleet_.most_over("t", one_tenant().at("t")); }
    void kill_all()
    {
        for (int node = 0; node < fleet_.size(); ++node)
            fleet_.kill(node);
    }
    void start_all()
    {
        for (int node = 0; node < fleet_.size(); ++node)
            fleet_.start(node);
    }
    int other_than(int node) const { return (node + 1) % fleet_.size(); }

    LimitFleet fleet_;
    int home_ = -1;
};

TEST_F(LimitFailuresTest, WithoutAFailureNothingInsideTheLimitIsRefused)
{
    EXPECT_EQ(refused_in(10s), 0);
    ask_for(hot);
    fleet_.run_for(2s);
    EXPECT_NEAR(admitted_in(10s), 1, 0.03);
    EXPECT_LE(over(), 0);
}

TEST_F(LimitFailuresTest, TheNextNodeStandsInForAHomeThatIsKilled)
{
    fleet_.kill(home_);
    EXPECT_LT(refused_in(3s), 0.1);
    EXPECT_NE(fleet_.home_of("t"), home_);
    EXPECT_LT(refused_in(5s), 0.01);
}

TEST_F(LimitFailuresTest, AHomeThatIsKilledUnderAHotTenantIsNoSecondBucket)
{
    ask_for(hot);
    fleet_.run_for(100ms);
    fleet_.kill(home_);
    fleet_.run_for(10s);
    EXPECT_LE(over(), 0);
}

TEST_F(LimitFailuresTest, AHomeThatComesBackGoesOnFromItsStandInsLevel)
{
    fleet_.kill(home_);
    fleet_.run_for(5s);
    fleet_.start(home_);
    EXPECT_LT(refused_in(4s), 0.02);
    EXPECT_EQ(fleet_.home_of("t"), home_);
    ask_for(hot);
    fleet_.run_for(9s);
    EXPECT_LE(over(), 0);
}

TEST_F(LimitFailuresTest, AsksOfANodeThatIsKilledCostTheTenantNothingElse)
{
    auto const node = other_than(home_);
    ask_for(calm, node);
    fleet_.run_for(1s);
    fleet_.kill(node);
    ask_for(calm);
    EXPECT_EQ(refused_in(5s), 0);
}

TEST_F(LimitFailuresTest, BothSidesOfAHomeThatIsCutOffStayInsideTogether)
{
    ask_for(hot);
    auto const owner = home_;
    fleet_.cut([=](int node) { return node == owner ? 1 : 0; });
    fleet_.run_for(10s);
    EXPECT_LE(over(), 0);
    fleet_.heal();
    fleet_.run_for(10s);
    EXPECT_LE(over(), 0);
    EXPECT_NEAR(admitted_in(5s), 1, 0.05);
}

TEST_F(LimitFailuresTest, OfALostZoneEachSideHasItsShare)
{
    ask_for(hot);
    fleet_.cut([](int node) { return node % 3 == 0 ? 1 : 0; });
    fleet_.run_for(4s);
    EXPECT_NEAR(admitted_in(8s), 1, 0.05);
    EXPECT_LE(over(), 0);
    fleet_.heal();
    fleet_.run_for(8s);
    EXPECT_LE(over(), 0);
}

TEST_F(LimitFailuresTest, AfterALongCutBothSidesTogetherHoldOneBucket)
{
    ask_for(0);
    fleet_.cut([](int node) { return node % 3 == 0 ? 1 : 0; });
    fleet_.run_for(10s);
    ask_for(hot);
    EXPECT_LE(fleet_.level_of("t"), rate + 0.4 * test_tolerance.slack + 1);
    fleet_.run_for(8s);
    EXPECT_LE(over(), 0);
}

TEST_F(LimitFailuresTest, AHomeThatIsNotHeardByOneNodeGetsNoRivalAndServesItAllTheSame)
{
    auto const node = other_than(home_);
    fleet_.cut_link(home_, node);
    fleet_.run_for(1s);
    EXPECT_LT(refused_in(8s), 0.01);
    ask_for(hot);
    fleet_.run_for(10s);
    EXPECT_LE(over(), 0);
}

TEST_F(LimitFailuresTest, AHomeThatDoesNotHearOneNodeIsAskedThroughOthers)
{
    auto const node = other_than(home_);
    fleet_.cut_link(node, home_);
    ask_for(calm, node);
    fleet_.run_for(1s);
    EXPECT_LT(refused_in(8s), 0.01);
}

TEST_F(LimitFailuresTest, AHomeThatNobodyHearsCeasesToBeOne)
{
    for (int node = 0; node < fleet_.size(); ++node)
        fleet_.cut_link(home_, node);
    ask_for(hot);
    fleet_.run_for(12s);
    EXPECT_LE(over(), 0);
}

TEST_F(LimitFailuresTest, AHomeThatWakesIsNoSecondBucket)
{
    for (auto const span : { Duration(200ms), Duration(500ms), Duration(3s), Duration(12s) }) {
        ask_for(0);
        fleet_.suspend(fleet_.home_of("t"), span);
        fleet_.run_for(span - 100ms);
        ask_for(hot);
        fleet_.run_for(10s);
        EXPECT_LE(over(), 0) << span.count();
    }
}

TEST_F(LimitFailuresTest, AHomeThatIsSuspendedIsReplaced)
{
    fleet_.suspend(home_, 3s);
    EXPECT_LT(refused_in(3s), 0.1);
    EXPECT_LT(refused_in(5s), 0.02);
}

TEST_F(LimitFailuresTest, WhatRanBeforeAllWereKilledStillCounts)
{
    ask_for(hot);
    fleet_.run_for(3s);
    for (int times = 0; times < 3; ++times) {
        kill_all();
        fleet_.run_for(200ms);
        start_all();
        fleet_.run_for(2s);
    }
    fleet_.run_for(8s);
    EXPECT_LE(over(), 0);
}

TEST_F(LimitFailuresTest, AfterAllWereKilledTheTenantIsServedAgain)
{
    kill_all();
    start_all();
    fleet_.run_for(3s);
    EXPECT_LT(refused_in(5s), 0.01);
}

TEST_F(LimitFailuresTest, AFreshNodeWithoutAConfigurationAdmitsNothing)
{
    auto limiter = make_distributed_limiter({ "fresh", "0", "z" }, 1, false, test_tolerance, fleet_.now());
    limiter->on_message(fleet_.now(), ChargeRequest { { 1, 1 }, 2, 9'200, "1" });
    EXPECT_TRUE(limiter->take_output().messages.empty());
}

TEST_F(LimitFailuresTest, LostMessagesCostLittle)
{
    fleet_.set_loss(0.1, 0);
    EXPECT_LT(refused_in(10s), 0.01);
    ask_for(hot);
    fleet_.run_for(10s);
    EXPECT_LE(over(), 0);
}

TEST_F(LimitFailuresTest, DoubledMessagesAreChargedOnceAndGivenBackOnce)
{
    fleet_.set_loss(0, 1);
    ask_for(hot);
    fleet_.run_for(1s);
    EXPECT_NEAR(admitted_in(8s), 1, 0.03);
    fleet_.demand("t", { hot * rate, -1, 0.5 });
    fleet_.run_for(10s);
    EXPECT_LE(over(), 0);
}

class SlowLinksTest : public LimitFailuresTest {
protected:
    SlowLinksTest()
        : LimitFailuresTest({ 12, 3, 0, 0, 60ms })
    {
    }
};

TEST_F(SlowLinksTest, MessagesThatOvertakeEachOtherAreCountedRight)
{
    EXPECT_LT(refused_in(10s), 0.01);
    ask_for(hot);
    fleet_.run_for(2s);
    EXPECT_NEAR(admitted_in(8s), 1, 0.03);
    EXPECT_LE(over(), 0);
}

TEST_F(LimitFailuresTest, AHomeThatIsStoppedHandsItsLevelOver)
{
    auto const level = fleet_.level_of("t");
    ask_for(0);
    fleet_.begin_stop(home_);
    fleet_.run_for(20ms);
    EXPECT_NE(fleet_.home_of("t"), home_);
    EXPECT_NEAR(fleet_.level_of("t"), level, 0.1 * rate);
    ask_for(calm);
    fleet_.run_for(300ms);
    fleet_.kill(home_);
    EXPECT_LT(refused_in(5s), 0.01);
}

TEST_F(LimitFailuresTest, AllNodesAreReplacedInTurnWithoutASecondBucket)
{
    ask_for(hot);
    for (int node = 0; node < fleet_.size(); ++node) {
        fleet_.begin_stop(node);
        fleet_.run_for(200ms);
        fleet_.kill(node);
        fleet_.start(node);
        fleet_.run_for(1s);
    }
    EXPECT_LE(over(), 0);
}

TEST_F(LimitFailuresTest, ACalmTenantHardlySeesThatAllNodesAreReplacedInTurn)
{
    fleet_.forget_outcomes();
    for (int node = 0; node < fleet_.size(); ++node) {
        fleet_.begin_stop(node);
        fleet_.run_for(300ms);
        fleet_.kill(node);
        fleet_.start(node);
        fleet_.run_for(1500ms);
    }
    EXPECT_LT(fleet_.outcome("t").refused_share(), 0.02);
}

TEST_F(LimitFailuresTest, NodesThatAreAddedTakeTheirTenantsOver)
{
    fleet_.forget_outcomes();
    for (int added = 0; added < 24; ++added) {
        fleet_.add_node();
        fleet_.run_for(500ms);
    }
    EXPECT_LT(fleet_.outcome("t").refused_share(), 0.01);
    EXPECT_LE(over(), 0);
}

TEST_F(LimitFailuresTest, ALimitThatIsLoweredToATenthHoldsFromThenOn)
{
    ask_for(hot);
    fleet_.run_for(2s);
    fleet_.set_limits(one_tenant(rate / 10));
    fleet_.run_for(1s);
    EXPECT_NEAR(admitted_in(8s), 0.1, 0.02);
}

TEST_F(LimitFailuresTest, ALimitThatIsRaisedIsServed)
{
    ask_for(1.8);
    fleet_.run_for(2s);
    fleet_.set_limits(one_tenant(2 * rate));
    fleet_.run_for(1s);
    EXPECT_LT(refused_in(5s), 0.01);
}

TEST_F(LimitFailuresTest, ALimitThatIsDroppedIsNoLimitAndOneThatIsAddedHolds)
{
    ask_for(hot);
    fleet_.set_limits({});
    fleet_.run_for(100ms);
    EXPECT_EQ(refused_in(3s), 0);
    fleet_.set_limits(one_tenant());
    fleet_.run_for(2s);
    EXPECT_NEAR(admitted_in(8s), 1, 0.05);
}

TEST_F(LimitFailuresTest, ASmallRequestIsNotRefusedForALargeOne)
{
    ask_for(0);
    fleet_.run_for(2s);
    auto const node = other_than(home_);
    auto const level = static_cast<std::int64_t>(fleet_.level_of("t"));
    EXPECT_EQ(fleet_.ask(node, "t", level - 10'000)->verdict, Verdict::Admitted);
    auto const large = fleet_.ask(node, "t", 100'000);
    EXPECT_EQ(large->verdict, Verdict::Refused);
    EXPECT_TRUE(large->over_limit);
    EXPECT_EQ(fleet_.ask(node, "t", 200)->verdict, Verdict::Admitted);
    // One as large is told the rest of the same wait, a larger one that of its own.
    auto const larger = fleet_.ask(node, "t", 200'000);
    EXPECT_EQ(larger->verdict, Verdict::Refused);
    EXPECT_GT(larger->retry_after, large->retry_after + 300ms);
}

TEST_F(LimitFailuresTest, WhoComesBackWhenItWasToldIsAdmitted)
{
    ask_for(0);
    auto const node = other_than(home_);
    fleet_.ask(node, "t", static_cast<std::int64_t>(fleet_.level_of("t")));
    auto const refused = fleet_.ask(node, "t", 50'000);
    ASSERT_EQ(refused->verdict, Verdict::Refused);
    EXPECT_GT(refused->retry_after, Duration(100ms));
    fleet_.run_for(refused->retry_after);
    EXPECT_EQ(fleet_.ask(node, "t", 50'000)->verdict, Verdict::Admitted);
}

TEST_F(LimitFailuresTest, ARequestLargerThanTheBucketIsServedFromAFullOne)
{
    ask_for(0);
    fleet_.run_for(4s);
    auto const depth = static_cast<std::int64_t>(fleet_.level_of("t"));
    EXPECT_EQ(fleet_.ask(home_, "t", 2 * depth)->verdict, Verdict::Admitted);
    EXPECT_LT(fleet_.level_of("t"), 0);
    EXPECT_EQ(fleet_.ask(home_, "t", 200)->verdict, Verdict::Refused);
}

}
}
