// Behaviour without faults, for fleets of 1 to 300 nodes.
#include <gtest/gtest.h>

#include "tests/limits/limit_fleet.h"

namespace saltquay::limits {
namespace {

constexpr std::int64_t rate = 250'000;
constexpr double below_limit = 0.55;
constexpr double above_limit = 4;

std::map<std::string, TenantLimit> limits_of_one_tenant(std::int64_t units)
{
    return { { "t", { units, units, LimitUnit::Tokens, 1 } } };
}

class SingleNodeTest : public testing::Test {
protected:
    SingleNodeTest()
    {
        set_load(below_limit);
        fleet_.run_for(6s);
    }
    void set_load(double load_factor) { fleet_.set_demand("t", { load_factor * static_cast<double>(rate) }); }

    LimitFleet fleet_ { { 1, 1 }, limits_of_one_tenant(rate) };
};

TEST_F(SingleNodeTest, EnforcesTheLimit)
{
    fleet_.reset_outcomes();
    fleet_.run_for(5s);
    EXPECT_EQ(fleet_.outcome("t").refused_share(), 0);
    set_load(above_limit);
    fleet_.run_for(2s);
    fleet_.reset_outcomes();
    fleet_.run_for(8s);
    EXPECT_NEAR(fleet_.outcome("t").admitted, 8.0 * rate, 0.3 * rate);
    fleet_.suspend(0, 3s);
    fleet_.run_for(6s);
    EXPECT_LE(fleet_.largest_excess("t", limits_of_one_tenant(rate).at("t")), 0);
}

TEST_F(SingleNodeTest, KeepsItsBucketWhileStopping)
{
    set_load(0);
    auto const level = static_cast<std::int64_t>(fleet_.level_of("t"));
    EXPECT_EQ(fleet_.request_and_wait(0, "t", level)->verdict, Verdict::Admitted);
    fleet_.begin_stop(0);
    EXPECT_EQ(fleet_.request_and_wait(0, "t", 9'200)->verdict, Verdict::Refused);
}

struct BelowLimitCase {
    int nodes = 0;
    std::int64_t rate = 0;
};

class BelowLimitTest : public testing::TestWithParam<BelowLimitCase> { };

// Limits of three and of two hundred requests per second.
INSTANTIATE_TEST_SUITE_P(Sizes, BelowLimitTest,
    testing::Values(BelowLimitCase { 1, 29'000 }, BelowLimitCase { 12, 29'000 }, BelowLimitCase { 12, 1'900'000 },
        BelowLimitCase { 65, 29'000 }, BelowLimitCase { 65, 1'900'000 }, BelowLimitCase { 300, 29'000 }));

TEST_P(BelowLimitTest, RefusesLessThanOnePercentOfRequestsWithinTheLimit)
{
    auto const& [nodes, units] = GetParam();
    LimitFleet fleet({ nodes, 5 }, limits_of_one_tenant(units));
    fleet.set_demand("t", { below_limit * static_cast<double>(units) });
    fleet.run_for(4s);
    fleet.reset_outcomes();
    fleet.run_for(nodes >= 300 ? 6s : 30s);
    EXPECT_LT(fleet.outcome("t").refused_share(), 0.01);
}

}
}
