// Callers inside their limit, and fleets of one node up to hundreds.
#include <gtest/gtest.h>

#include "tests/limits/limit_fleet.h"

namespace saltquay::limits {
namespace {

constexpr std::int64_t rate = 250'000;
constexpr double calm = 0.55;
constexpr double hot = 4;

std::map<std::string, TenantLimit> one_tenant(std::int64_t units)
{
    return { { "t", { units, units, LimitUnit::Tokens, 1 } } };
}

class LoneNodeTest : public testing::Test {
protected:
    LoneNodeTest()
    {
        ask_for(calm);
        fleet_.run_for(6s);
    }
    void ask_for(double times_limit) { fleet_.demand("t", { times_limit * static_cast<double>(rate) }); }

    LimitFleet fleet_ { { 1, 1 }, one_tenant(rate) };
};

TEST_F(LoneNodeTest, ALoneNodeHoldsTheLimit)
{
    fleet_.forget_outcomes();
    fleet_.run_for(5s);
    EXPECT_EQ(fleet_.outcome("t").refused_share(), 0);
    ask_for(hot);
    fleet_.run_for(2s);
    fleet_.forget_outcomes();
    fleet_.run_for(8s);
    EXPECT_NEAR(fleet_.outcome("t").admitted, 8.0 * rate, 0.3 * rate);
    fleet_.suspend(0, 3s);
    fleet_.run_for(6s);
    EXPECT_LE(fleet_.most_over("t", one_tenant(rate).at("t")), 0);
}

TEST_F(LoneNodeTest, ALoneNodeThatStopsGoesOnWithTheSameBucket)
{
    ask_for(0);
    auto const level = static_cast<std::int64_t>(fleet_.level_of("t"));
    EXPECT_EQ(fleet_.ask(0, "t", level)->verdict, Verdict::Admitted);
    fleet_.begin_stop(0);
    EXPECT_EQ(fleet_.ask(0, "t", 9'200)->verdict, Verdict::Refused);
}

struct CalmCase {
    int nodes = 0;
    std::int64_t rate = 0;
};

class CalmTest : public testing::TestWithParam<CalmCase> { };

// Three requests a second, and two hundred.
INSTANTIATE_TEST_SUITE_P(Sizes, CalmTest,
    testing::Values(CalmCase { 1, 29'000 }, CalmCase { 12, 29'000 }, CalmCase { 12, 1'900'000 },
        CalmCase { 65, 29'000 }, CalmCase { 65, 1'900'000 }, CalmCase { 300, 29'000 }));

TEST_P(CalmTest, LessThanAHundredthOfWhatIsInsideTheLimitIsRefused)
{
    auto const& [nodes, units] = GetParam();
    LimitFleet fleet({ nodes, 5 }, one_tenant(units));
    fleet.demand("t", { calm * static_cast<double>(units) });
    fleet.run_for(4s);
    fleet.forget_outcomes();
    fleet.run_for(nodes >= 300 ? 6s : 30s);
    EXPECT_LT(fleet.outcome("t").refused_share(), 0.01);
}

}
}
