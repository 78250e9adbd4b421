// Tests that bytes are counted by kind and locality.
#include "src/gateway/traffic_meter.h"

#include <gtest/gtest.h>

namespace saltquay::gateway {
namespace {

TEST(TrafficMeterTest, DistinguishesOwnZoneOwnRegionAndOtherRegions) {
  // The own zone, and the region of each zone.
  const serving::Topology topology("a1", {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}}, {});
  TrafficMeter meter(topology);
  meter.Count(TrafficKind::kRequest, "a1", 1);
  meter.Count(TrafficKind::kRequest, "a2", 20);
  meter.Count(TrafficKind::kRequest, "b1", 300);
  meter.Count(TrafficKind::kRecords, "b1", 4000);
  EXPECT_EQ(meter.bytes(TrafficKind::kRequest, TrafficLocality::kZone), 1U);
  EXPECT_EQ(meter.bytes(TrafficKind::kRequest, TrafficLocality::kRegion), 20U);
  EXPECT_EQ(meter.bytes(TrafficKind::kRequest, TrafficLocality::kOtherRegion), 300U);
  EXPECT_EQ(meter.Summary(), R"("request":[1,20,300],"records":[0,0,4000])");
}

TEST(TrafficMeterTest, WithoutRegionsNothingIsInAnotherRegion) {
  // The own zone, and the region of each zone.
  const serving::Topology topology("a", {}, {});
  TrafficMeter meter(topology);
  meter.Count(TrafficKind::kReport, "b", 5);
  EXPECT_EQ(meter.bytes(TrafficKind::kReport, TrafficLocality::kRegion), 5U);
}

}  // namespace
}  // namespace saltquay::gateway
