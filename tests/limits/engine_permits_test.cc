// Permits for the requests to engines that name a limit: the issuer's decisions, and the messages between two nodes.
#include <gtest/gtest.h>

#include "saltquay/limits/engine_permits.h"
#include "src/limits/permit_issuer.h"

namespace saltquay::limits {
namespace {

constexpr Time start { 100s };
constexpr std::uint64_t engine = 77;

PermitRequest make_request(std::uint64_t number, double requests_per_s = 2, Duration age = 0s)
{
    return { { 1, number }, engine, requests_per_s, age, "n1", false };
}

TEST(PermitIssuerTest, NewIssuerBeginsWithoutPermits)
{
    PermitIssuer issuer({});
    EXPECT_FALSE(issuer.decide(start, make_request(1)).granted);
    EXPECT_TRUE(issuer.decide(start + 700ms, make_request(2)).granted);
}

TEST(PermitIssuerTest, RepeatedRequestGetsTheSameResponse)
{
    PermitIssuer issuer({});
    issuer.decide(start, make_request(1));
    EXPECT_TRUE(issuer.decide(start + 1s, make_request(2)).granted);
    EXPECT_TRUE(issuer.decide(start + 1s, make_request(2)).granted);
    EXPECT_FALSE(issuer.decide(start + 1s, make_request(3)).granted);
}

TEST(PermitIssuerTest, PermitIsTakenBackOnce)
{
    PermitIssuer issuer({});
    issuer.decide(start, make_request(1));
    issuer.decide(start + 1s, make_request(2));
    issuer.take_back(start + 1s, { { 1, 2 }, engine });
    issuer.take_back(start + 1s, { { 1, 2 }, engine });
    EXPECT_TRUE(issuer.decide(start + 1s, make_request(3)).granted);
    EXPECT_FALSE(issuer.decide(start + 1s, make_request(4)).granted);
}

TEST(PermitIssuerTest, OlderStatementOfTheLimitDoesNotReplaceANewerOne)
{
    PermitIssuer issuer({});
    issuer.decide(start, make_request(1, 0.1));
    issuer.decide(start, make_request(2, 20, 5s));
    EXPECT_FALSE(issuer.decide(start + 2s, make_request(3, 20, 7s)).granted);
}

TEST(PermitIssuerTest, PartOfTheFleetIssuesItsShare)
{
    PermitIssuer issuer({});
    issuer.set_reachable_share(start, 0.25);
    issuer.decide(start, make_request(1));
    EXPECT_FALSE(issuer.decide(start + 2s, make_request(2)).granted);
    EXPECT_TRUE(issuer.decide(start + 3s, make_request(3)).granted);
}

TEST(PermitIssuerTest, RetryTimeGrowsWithTheNodesThatWait)
{
    PermitIssuer issuer({});
    auto const alone = issuer.decide(start, make_request(1)).retry_after;
    for (std::uint64_t node = 2; node < 100; ++node)
        issuer.decide(start, { { node, 1 }, engine, 2, 0s, "n", false });
    EXPECT_GT(issuer.decide(start, make_request(2)).retry_after, 10 * alone);
}

class EnginePermitsTest : public testing::Test {
protected:
    EnginePermitsTest()
    {
        for (auto* node : { &first_, &second_ })
            node->set_reachable_nodes(start + 1s, { 2, 1s });
        first_.set_nodes(start + 1s, { second_id });
        second_.set_nodes(start + 1s, { first_id });
    }
    // Asks through `node` every 100 ms and returns the number of permits; messages to `unreachable` are lost.
    int permits_within(EnginePermits& node, Duration time, EnginePermits const* unreachable = nullptr)
    {
        int permits = 0;
        for (auto const end = now_ + time; now_ < end; now_ += 100ms) {
            node.request(now_, engine, { 2, now_ });
            for (auto* each : { &first_, &second_ })
                each->step(now_);
            while (deliver(unreachable)) { }
            if (!node.holds(now_, engine))
                continue;
            node.use(now_, engine);
            ++permits;
        }
        return permits;
    }
    bool deliver(EnginePermits const* unreachable)
    {
        std::vector<AddressedPermitMessage> messages;
        for (auto* node : { &first_, &second_ }) {
            auto const output = node->take_output();
            messages.insert(messages.end(), output.messages.begin(), output.messages.end());
        }
        for (auto const& [address, message] : messages) {
            auto& receiver = address == first_id.address ? first_ : second_;
            if (&receiver != unreachable)
                receiver.on_message(now_, message);
        }
        return !messages.empty();
    }

    LimiterNode const first_id { "n1", "1", "a", 0 };
    LimiterNode const second_id { "n2", "2", "a", 0 };
    EnginePermits first_ { first_id, 1, false, start };
    EnginePermits second_ { second_id, 1, false, start };
    Time now_ = start + 2s;
};

TEST_F(EnginePermitsTest, NodesShareOneIssuer)
{
    auto const first = permits_within(first_, 10s);
    auto const second = permits_within(second_, 10s);
    EXPECT_NEAR(first, 15, 2);
    EXPECT_NEAR(second, 15, 2);
}

TEST_F(EnginePermitsTest, IssuerThatDoesNotRespondIsSkipped)
{
    permits_within(first_, 2s);
    EXPECT_GE(permits_within(first_, 10s, &second_), 10);
    EXPECT_GE(permits_within(second_, 10s, &first_), 10);
}

TEST_F(EnginePermitsTest, PermitExpiresAndCanBeIssuedAgain)
{
    first_.request(now_, engine, { 2, now_ });
    while (deliver(nullptr)) { }
    now_ += 1s;
    first_.request(now_, engine, { 2, now_ });
    while (deliver(nullptr)) { }
    ASSERT_TRUE(first_.holds(now_, engine));
    now_ += 600ms;
    EXPECT_FALSE(first_.holds(now_, engine));
    first_.step(now_);
    while (deliver(nullptr)) { }
    second_.request(now_, engine, { 2, now_ });
    while (deliver(nullptr)) { }
    EXPECT_TRUE(second_.holds(now_, engine));
}

TEST_F(EnginePermitsTest, NodeThatHasJustStartedAndKnowsNoOtherGetsNone)
{
    EnginePermits started({ "n3", "3", "a", 0 }, 1, false, now_);
    started.request(now_, engine, { 2, now_ });
    EXPECT_FALSE(started.holds(now_, engine));
    EXPECT_TRUE(started.take_output().messages.empty());
}

}
}
