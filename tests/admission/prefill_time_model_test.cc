// Estimates for engines with a known prefill rate.
#include "saltquay/admission/prefill_time_model.h"

#include <gtest/gtest.h>

#include "src/base/random.h"

namespace saltquay::admission {

namespace {

TEST(PrefillTimeModelTest, UsesTheInitialRateBeforeTheFirstSample)
{
    PrefillTimeModel const model { PrefillTimeModelParameters {} };
    EXPECT_FALSE(model.learned());
    EXPECT_DOUBLE_EQ(model.predict_ms(3000), 100);
}

// Half of the prefills are slower because cached parts had been evicted.
TEST(PrefillTimeModelTest, EstimatesOverheadAndRateDespiteSlowedSamples)
{
    PrefillTimeModel model { PrefillTimeModelParameters {} };
    Random random(1);
    for (auto i = 0; i < 400; ++i) {
        auto const tokens = random.Unit() < 0.3 ? 500 : 4000 + static_cast<std::int64_t>(random.Below(8000));
        auto const slowed = random.Unit() < 0.5 ? 1.0 : 1.5;
        auto const milliseconds = 6 + slowed * static_cast<double>(tokens) / 200;
        model.record_sample(tokens, FromSeconds(milliseconds / 1000));
    }
    EXPECT_NEAR(model.rate(), 200, 40);
    EXPECT_NEAR(model.fixed_overhead_ms(), 8.5, 4);
    EXPECT_LT(model.median_rate(), model.rate());
}

TEST(PrefillTimeModelTest, IgnoresSamplesWithoutSizeOrTime)
{
    PrefillTimeModel model { PrefillTimeModelParameters {} };
    model.record_sample(0, 5ms);
    model.record_sample(100, 0ms);
    EXPECT_FALSE(model.learned());
}

}

}
