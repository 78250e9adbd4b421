// Adjustment of the window to observed latencies, rejections and peers.
#include "saltquay/admission/concurrency_window.h"

#include <gtest/gtest.h>

namespace saltquay::admission {

namespace {

constexpr Duration target = 100ms;

class ConcurrencyWindowTest : public ::testing::Test {
protected:
    ConcurrencyWindowTest() { window_.set_capacity(6, 0.5, 100); }

    void read(int count, Duration took)
    {
        for (auto i = 0; i < count; ++i) {
            now_ += took;
            window_.record_latency(now_, took, target);
        }
    }
    void fill()
    {
        while (window_.has_room())
            window_.record_dispatch();
    }

    ConcurrencyWindow window_ { ConcurrencyWindowParameters {} };
    Time now_ { 1s };
};

TEST_F(ConcurrencyWindowTest, SlowPromptsDecreaseTheDepthToOne)
{
    read(200, 400ms);
    EXPECT_EQ(window_.depth(), 1);
    EXPECT_EQ(window_.limit(), 3);
}

TEST_F(ConcurrencyWindowTest, FastPromptsIncreaseTheDepthOnlyWhileTheWindowIsUsed)
{
    read(50, 20ms);
    EXPECT_EQ(window_.depth(), ConcurrencyWindowParameters {}.initial_depth);
    fill();
    read(50, 20ms);
    EXPECT_GT(window_.depth(), ConcurrencyWindowParameters {}.initial_depth);
}

TEST_F(ConcurrencyWindowTest, OnePromptMayAlwaysBeInFlight)
{
    window_.set_capacity(0, 0, 0);
    EXPECT_TRUE(window_.has_room());
    window_.record_dispatch();
    window_.set_capacity(6, 0.01, 100);
    EXPECT_FALSE(window_.has_room());
    window_.record_completion();
    EXPECT_TRUE(window_.has_room());
}

TEST_F(ConcurrencyWindowTest, ExceedsItsShareWhilePeersLeaveCapacityUnused)
{
    window_.set_capacity(6, 0.1, 0);
    fill();
    EXPECT_EQ(window_.in_flight(), 28); // 0.6 of 6 engines with 8 prompts each.
    window_.set_capacity(6, 0.1, 20);
    EXPECT_FALSE(window_.has_room());
}

TEST_F(ConcurrencyWindowTest, RejectionsDecreaseTheDepthAndThePeersMeanRestoresIt)
{
    for (auto i = 0; i < 30; ++i)
        window_.record_rejection(now_ += target, target);
    EXPECT_EQ(window_.depth(), 1);
    for (auto i = 0; i < 30; ++i)
        window_.blend_depth(6);
    EXPECT_NEAR(window_.depth(), 6, 0.1);
}

}

}
