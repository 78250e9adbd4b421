// One kind of fault per test: which node decides on a tenant's requests, how much is admitted, and how requests within
// the limit are affected.
#include <gtest/gtest.h>

#include "tests/limits/limit_fleet.h"

namespace saltquay::limits {
namespace {

constexpr std::int64_t rate = 250'000;
constexpr double below_limit = 0.55;
constexpr double above_limit = 4;

std::map<std::string, TenantLimit> limits_of_one_tenant(std::int64_t units = rate)
{
    return { { "t", { units, units, LimitUnit::Tokens, 1 } } };
}

class LimitFailuresTest : public testing::Test {
protected:
    explicit LimitFailuresTest(FleetOptions const& options = {})
        : fleet_(options, limits_of_one_tenant())
    {
        set_load(below_limit);
        fleet_.run_for(6s);
        fleet_.reset_outcomes();
        owner_ = fleet_.owner_of("t");
    }
    void set_load(double load_factor, int node = -1)
    {
        fleet_.set_demand("t", { load_factor * static_cast<double>(rate), node });
    }
    // Runs for `span` and returns the share of the offered units that was refused.
    double refused_share_during(Duration span)
    {
        fleet_.reset_outcomes();
        fleet_.run_for(span);
        return fleet_.outcome("t").refused_share();
    }
    // Runs for `span` and returns the admitted rate as a multiple of the limit.
    double admitted_rate_during(Duration span)
    {
        fleet_.reset_outcomes();
        fleet_.run_for(span);
        return fleet_.outcome("t").admitted / ToSeconds(span) / static_cast<double>(rate);
    }
    double excess() const { return fleet_.largest_excess("t", limits_of_one_tenant().at("t")); }
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
    int node_other_than(int node) const { return (node + 1) % fleet_.size(); }

    LimitFleet fleet_;
    int owner_ = -1;
};

TEST_F(LimitFailuresTest, RefusesNothingWithinTheLimitWithoutFaults)
{
    EXPECT_EQ(refused_share_during(10s), 0);
    set_load(above_limit);
    fleet_.run_for(2s);
    EXPECT_NEAR(admitted_rate_during(10s), 1, 0.03);
    EXPECT_LE(excess(), 0);
}

TEST_F(LimitFailuresTest, NextNodeTakesOverFromAKilledOwner)
{
    fleet_.kill(owner_);
    EXPECT_LT(refused_share_during(3s), 0.1);
    EXPECT_NE(fleet_.owner_of("t"), owner_);
    EXPECT_LT(refused_share_during(5s), 0.01);
}

TEST_F(LimitFailuresTest, KilledOwnerOfAnOverLimitTenantCausesNoExcess)
{
    set_load(above_limit);
    fleet_.run_for(100ms);
    fleet_.kill(owner_);
    fleet_.run_for(10s);
    EXPECT_LE(excess(), 0);
}

TEST_F(LimitFailuresTest, RestartedOwnerContinuesFromItsSuccessorsLevel)
{
    fleet_.kill(owner_);
    fleet_.run_for(5s);
    fleet_.start(owner_);
    EXPECT_LT(refused_share_during(4s), 0.02);
    EXPECT_EQ(fleet_.owner_of("t"), owner_);
    set_load(above_limit);
    fleet_.run_for(9s);
    EXPECT_LE(excess(), 0);
}

TEST_F(LimitFailuresTest, RequestsOfAKilledNodeCauseNoFurtherRefusals)
{
    auto const node = node_other_than(owner_);
    set_load(below_limit, node);
    fleet_.run_for(1s);
    fleet_.kill(node);
    set_load(below_limit);
    EXPECT_EQ(refused_share_during(5s), 0);
}

TEST_F(LimitFailuresTest, IsolatedOwnerAndTheOthersStayWithinTheLimitTogether)
{
    set_load(above_limit);
    auto const owner = owner_;
    fleet_.partition([=](int node) { return node == owner ? 1 : 0; });
    fleet_.run_for(10s);
    EXPECT_LE(excess(), 0);
    fleet_.heal();
    fleet_.run_for(10s);
    EXPECT_LE(excess(), 0);
    EXPECT_NEAR(admitted_rate_during(5s), 1, 0.05);
}

TEST_F(LimitFailuresTest, BothSidesOfAPartitionedZoneGetTheirShare)
{
    set_load(above_limit);
    fleet_.partition([](int node) { return node % 3 == 0 ? 1 : 0; });
    fleet_.run_for(4s);
    EXPECT_NEAR(admitted_rate_during(8s), 1, 0.05);
    EXPECT_LE(excess(), 0);
    fleet_.heal();
    fleet_.run_for(8s);
    EXPECT_LE(excess(), 0);
}

TEST_F(LimitFailuresTest, BothSidesOfALongPartitionTogetherHoldOneBucket)
{
    set_load(0);
    fleet_.partition([](int node) { return node % 3 == 0 ? 1 : 0; });
    fleet_.run_for(10s);
    set_load(above_limit);
    // The depth of one bucket: the burst and LimiterParameters::slack_share of the slack.
    EXPECT_LE(fleet_.level_of("t"), rate + 0.4 * test_tolerance.slack + 1);
    fleet_.run_for(8s);
    EXPECT_LE(excess(), 0);
}

TEST_F(LimitFailuresTest, OwnerWhoseMessagesDoNotReachOneNodeIsNotReplacedAndStillServesThatNode)
{
    auto const node = node_other_than(owner_);
    fleet_.block_link(owner_, node);
    fleet_.run_for(1s);
    EXPECT_LT(refused_share_during(8s), 0.01);
    set_load(above_limit);
    fleet_.run_for(10s);
    EXPECT_LE(excess(), 0);
}

TEST_F(LimitFailuresTest, OwnerThatOneNodeCannotReachIsReachedThroughOtherNodes)
{
    auto const node = node_other_than(owner_);
    fleet_.block_link(node, owner_);
    set_load(below_limit, node);
    fleet_.run_for(1s);
    EXPECT_LT(refused_share_during(8s), 0.01);
}

TEST_F(LimitFailuresTest, OwnerWhoseMessagesReachNoNodeCausesNoExcess)
{
    for (int node = 0; node < fleet_.size(); ++node)
        fleet_.block_link(owner_, node);
    set_load(above_limit);
    fleet_.run_for(12s);
    EXPECT_LE(excess(), 0);
}

TEST_F(LimitFailuresTest, ResumedOwnerCausesNoExcess)
{
    for (auto const span : { Duration(200ms), Duration(500ms), Duration(3s), Duration(12s) }) {
        set_load(0);
        fleet_.suspend(fleet_.owner_of("t"), span);
        fleet_.run_for(span - 100ms);
        set_load(above_limit);
        fleet_.run_for(10s);
        EXPECT_LE(excess(), 0) << span.count();
    }
}

TEST_F(LimitFailuresTest, SuspendedOwnerIsReplaced)
{
    fleet_.suspend(owner_, 3s);
    EXPECT_LT(refused_share_during(3s), 0.1);
    EXPECT_LT(refused_share_during(5s), 0.02);
}

TEST_F(LimitFailuresTest, AdmissionsBeforeAFleetRestartStillCount)
{
    set_load(above_limit);
    fleet_.run_for(3s);
    for (int times = 0; times < 3; ++times) {
        kill_all();
        fleet_.run_for(200ms);
        start_all();
        fleet_.run_for(2s);
    }
    fleet_.run_for(8s);
    EXPECT_LE(excess(), 0);
}

TEST_F(LimitFailuresTest, ServesTheTenantAgainAfterAFleetRestart)
{
    kill_all();
    start_all();
    fleet_.run_for(3s);
    EXPECT_LT(refused_share_during(5s), 0.01);
}

TEST_F(LimitFailuresTest, NewNodeWithoutAConfigurationAdmitsNothing)
{
    auto limiter = make_distributed_limiter({ "fresh", "0", "z" }, 1, false, test_tolerance, fleet_.now());
    limiter->on_message(fleet_.now(), ChargeRequest { { 1, 1 }, 2, 9'200, "1" }); // Cost: 9,200 units.
    EXPECT_TRUE(limiter->take_output().messages.empty());
}

TEST_F(LimitFailuresTest, DroppedMessagesCauseFewRefusals)
{
    fleet_.set_loss(0.1, 0);
    EXPECT_LT(refused_share_during(10s), 0.01);
    set_load(above_limit);
    fleet_.run_for(10s);
    EXPECT_LE(excess(), 0);
}

TEST_F(LimitFailuresTest, DuplicatedMessagesAreChargedAndRefundedOnce)
{
    fleet_.set_loss(0, 1); // Nothing is lost, every message is duplicated.
    set_load(above_limit);
    fleet_.run_for(1s);
    EXPECT_NEAR(admitted_rate_during(8s), 1, 0.03);
    fleet_.set_demand("t", { above_limit * rate, -1, 0.5 }); // Half of the admitted requests are refunded.
    fleet_.run_for(10s);
    EXPECT_LE(excess(), 0);
}

// Messages are delayed by up to 60 ms.
class SlowLinksTest : public LimitFailuresTest {
protected:
    SlowLinksTest()
        : LimitFailuresTest({ 12, 3, 0, 0, 60ms })
    {
    }
};

TEST_F(SlowLinksTest, ReorderedMessagesAreCountedCorrectly)
{
    EXPECT_LT(refused_share_during(10s), 0.01);
    set_load(above_limit);
    fleet_.run_for(2s);
    EXPECT_NEAR(admitted_rate_during(8s), 1, 0.03);
    EXPECT_LE(excess(), 0);
}

TEST_F(LimitFailuresTest, StoppingOwnerHandsOffItsLevel)
{
    auto const level = fleet_.level_of("t");
    set_load(0);
    fleet_.begin_stop(owner_);
    fleet_.run_for(20ms);
    EXPECT_NE(fleet_.owner_of("t"), owner_);
    EXPECT_NEAR(fleet_.level_of("t"), level, 0.1 * rate);
    set_load(below_limit);
    fleet_.run_for(300ms);
    fleet_.kill(owner_);
    EXPECT_LT(refused_share_during(5s), 0.01);
}

TEST_F(LimitFailuresTest, RollingReplacementCausesNoExcess)
{
    set_load(above_limit);
    for (int node = 0; node < fleet_.size(); ++node) {
        fleet_.begin_stop(node);
        fleet_.run_for(200ms);
        fleet_.kill(node);
        fleet_.start(node);
        fleet_.run_for(1s);
    }
    EXPECT_LE(excess(), 0);
}

TEST_F(LimitFailuresTest, RollingReplacementCausesFewRefusalsBelowTheLimit)
{
    fleet_.reset_outcomes();
    for (int node = 0; node < fleet_.size(); ++node) {
        fleet_.begin_stop(node);
        fleet_.run_for(300ms);
        fleet_.kill(node);
        fleet_.start(node);
        fleet_.run_for(1500ms);
    }
    EXPECT_LT(fleet_.outcome("t").refused_share(), 0.02);
}

TEST_F(LimitFailuresTest, AddedNodesTakeOverTheirTenants)
{
    fleet_.reset_outcomes();
    for (int added = 0; added < 24; ++added) {
        fleet_.add_node();
        fleet_.run_for(500ms);
    }
    EXPECT_LT(fleet_.outcome("t").refused_share(), 0.01);
    EXPECT_LE(excess(), 0);
}

TEST_F(LimitFailuresTest, LoweredLimitIsEnforced)
{
    set_load(above_limit);
    fleet_.run_for(2s);
    fleet_.set_limits(limits_of_one_tenant(rate / 10));
    fleet_.run_for(1s);
    EXPECT_NEAR(admitted_rate_during(8s), 0.1, 0.02);
}

TEST_F(LimitFailuresTest, RaisedLimitIsServed)
{
    set_load(1.8);
    fleet_.run_for(2s);
    fleet_.set_limits(limits_of_one_tenant(2 * rate));
    fleet_.run_for(1s);
    EXPECT_LT(refused_share_during(5s), 0.01);
}

TEST_F(LimitFailuresTest, RemovedLimitAdmitsAllAndAddedLimitIsEnforced)
{
    set_load(above_limit);
    fleet_.set_limits({});
    fleet_.run_for(100ms);
    EXPECT_EQ(refused_share_during(3s), 0);
    fleet_.set_limits(limits_of_one_tenant());
    fleet_.run_for(2s);
    EXPECT_NEAR(admitted_rate_during(8s), 1, 0.05);
}

TEST_F(LimitFailuresTest, SmallRequestIsNotRefusedBecauseOfALargeOne)
{
    set_load(0);
    fleet_.run_for(2s);
    auto const node = node_other_than(owner_);
    auto const level = static_cast<std::int64_t>(fleet_.level_of("t"));
    EXPECT_EQ(fleet_.request_and_wait(node, "t", level - 10'000)->verdict, Verdict::Admitted);
    auto const large = fleet_.request_and_wait(node, "t", 100'000);
    EXPECT_EQ(large->verdict, Verdict::Refused);
    EXPECT_TRUE(large->over_limit);
    EXPECT_EQ(fleet_.request_and_wait(node, "t", 200)->verdict, Verdict::Admitted);
    // A node repeats a refusal for `refusal_ttl` without asking the owner. A larger request gets a longer retry delay.
    auto const larger = fleet_.request_and_wait(node, "t", 200'000);
    EXPECT_EQ(larger->verdict, Verdict::Refused);
    EXPECT_GT(larger->retry_after, large->retry_after + 300ms);
}

TEST_F(LimitFailuresTest, RetryAfterTheReportedDelayIsAdmitted)
{
    set_load(0);
    auto const node = node_other_than(owner_);
    fleet_.request_and_wait(node, "t", static_cast<std::int64_t>(fleet_.level_of("t")));
    auto const refused = fleet_.request_and_wait(node, "t", 50'000);
    ASSERT_EQ(refused->verdict, Verdict::Refused);
    EXPECT_GT(refused->retry_after, Duration(100ms));
    fleet_.run_for(refused->retry_after);
    EXPECT_EQ(fleet_.request_and_wait(node, "t", 50'000)->verdict, Verdict::Admitted);
}

TEST_F(LimitFailuresTest, RequestLargerThanTheBucketIsAdmittedByAFullOne)
{
    set_load(0);
    fleet_.run_for(4s);
    auto const depth = static_cast<std::int64_t>(fleet_.level_of("t")); // The bucket is full by now.
    EXPECT_EQ(fleet_.request_and_wait(owner_, "t", 2 * depth)->verdict, Verdict::Admitted);
    EXPECT_LT(fleet_.level_of("t"), 0);
    EXPECT_EQ(fleet_.request_and_wait(owner_, "t", 200)->verdict, Verdict::Refused);
}

}
}
