// The fleet's time of day, with wrong clocks on some machines.
#include "saltquay/duties/fleet_clock.h"

#include <gtest/gtest.h>

namespace saltquay::duties {

namespace {

class FleetClockTest : public ::testing::Test {
protected:
    static WallTime wall(std::int64_t milliseconds) { return WallTime(std::chrono::milliseconds(milliseconds)); }
    void receive_clock(int count, std::int64_t milliseconds)
    {
        for (auto i = 0; i < count; ++i)
            clock_.record_peer_clock("n" + std::to_string(next_++), now_, wall(milliseconds));
    }

    FleetClock clock_;
    Time now_ { 100s };
    int next_ = 0;
};

TEST_F(FleetClockTest, WithoutPeersTheLocalClockIsUsed)
{
    clock_.record_local_clock(now_, wall(5000));
    EXPECT_EQ(clock_.at(now_ + 1s), wall(6000));
}

TEST_F(FleetClockTest, AMinorityOfWrongClocksHasNoEffect)
{
    clock_.record_local_clock(now_, wall(5000));
    receive_clock(6, 5001);
    receive_clock(3, 3000);
    EXPECT_NEAR((clock_.at(now_) - wall(5000)).count(), 0, 1);
}

TEST_F(FleetClockTest, MachineWhoseClockJumpsKeepsTheFleetsTime)
{
    receive_clock(5, 5000);
    clock_.record_local_clock(now_, wall(7000));
    EXPECT_EQ(clock_.at(now_), wall(5000));
    EXPECT_EQ(clock_.local_clock_error(now_).count(), 2000);
}

TEST_F(FleetClockTest, OldSamplesDoNotCount)
{
    receive_clock(5, 5000);
    now_ += 20s;
    clock_.record_local_clock(now_, wall(90000));
    EXPECT_EQ(clock_.at(now_), wall(90000));
}

}
}
