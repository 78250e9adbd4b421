// How the window follows what a node observes of the engines.
#include "saltquay/admission/adaptive_window.h"

#include <gtest/gtest.h>

namespace saltquay::admission {

namespace {

constexpr Duration target = 100ms;

class AdaptiveWindowTest : public ::testing::Test {
protected:
    AdaptiveWindowTest() { window_.set_fleet(6, 0.5, 100); }

    void read(int count, Duration took)
    {
        for (auto i = 0; i < count; ++i) {
            now_ += took;
            window_.note_time(now_, took, target);
        }
    }
    void fill()
    {
        while (window_.has_room())
            window_.note_sent();
    }

    AdaptiveWindow window_ { AdaptiveWindowKnobs {} };
    Time now_ { 1s };
};

TEST_F(AdaptiveWindowTest, SlowPromptsNarrowItDownToOnePromptAnEngine)
{
    read(200, 400ms);
    EXPECT_EQ(window_.depth(), 1);
    EXPECT_EQ(window_.limit(), 3);
}

TEST_F(AdaptiveWindowTest, QuickPromptsWidenItOnlyWhileItIsUsed)
{
    read(50, 20ms);
    EXPECT_EQ(window_.depth(), AdaptiveWindowKnobs {}.first_depth);
    fill();
    read(50, 20ms);
    EXPECT_GT(window_.depth(), AdaptiveWindowKnobs {}.first_depth);
}

TEST_F(AdaptiveWindowTest, OnePromptMayAlwaysBeUnderWay)
{
    window_.set_fleet(0, 0, 0);
    EXPECT_TRUE(window_.has_room());
    window_.note_sent();
    window_.set_fleet(6, 0.01, 100);
    EXPECT_FALSE(window_.has_room());
    window_.note_over();
    EXPECT_TRUE(window_.has_room());
}

TEST_F(AdaptiveWindowTest, ANodeGoesBeyondItsShareWhileTheOthersLeaveRoom)
{
    window_.set_fleet(6, 0.1, 0);
    fill();
    EXPECT_EQ(window_.under_way(), 28); // 0.6 of 6 engines with 8 prompts each.
    window_.set_fleet(6, 0.1, 20);
    EXPECT_FALSE(window_.has_room());
}

TEST_F(AdaptiveWindowTest, RefusalsNarrowItAndThePeersMeanBringsItBack)
{
    for (auto i = 0; i < 30; ++i)
        window_.note_refused(now_ += target, target);
    EXPECT_EQ(window_.depth(), 1);
    for (auto i = 0; i < 30; ++i)
        window_.agree(6);
    EXPECT_NEAR(window_.depth(), 6, 0.1);
}

}

}
