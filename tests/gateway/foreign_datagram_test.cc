// Reports of peers with numbers that no node computes: each costs its own part of the report, and nothing beside it.
#include <cmath>
#include <limits>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "src/gateway/peer_codec.h"
#include "src/http/socket.h"

namespace saltquay::gateway {
namespace {

constexpr double kInfinity = std::numeric_limits<double>::infinity();
const double kNotANumber = std::nan("");

serving::PeerReport RoundTrip(const serving::PeerReport& report) {
  const auto decoded = DecodeReport(EncodeReport(report));
  EXPECT_TRUE(decoded.ok()) << decoded.status();
  return decoded.ok() ? *decoded : serving::PeerReport{};
}

// Guards against: a level that is no number becomes the level of a tenant's bucket, which then admits nothing.
TEST(ForeignDatagramTest, LimitMessageWithoutAFiniteAmountIsLeftOut) {
  for (const double amount : {kNotANumber, kInfinity, -kInfinity, 1e300, -1e300}) {
    limits::BucketHandoff odd;
    odd.level = amount;
    limits::BucketHandoff good;
    good.tenant = 7;
    good.level = 4.5;
    serving::PeerReport report;
    report.scope = serving::ReportScope::kLimits;
    report.limits = {good, odd, good};
    const serving::PeerReport decoded = RoundTrip(report);
    ASSERT_EQ(decoded.limits.size(), 2U) << amount;
    for (const auto& message : decoded.limits) EXPECT_EQ(std::get<limits::BucketHandoff>(message).level, 4.5);
  }
}

// Guards against: a demand that is no number makes every sum over the nodes' demands none.
TEST(ForeignDatagramTest, DemandWithoutFiniteNumbersIsLeftOut) {
  for (const double number : {kNotANumber, kInfinity, -kInfinity, -1.0}) {
    for (int member = 0; member < 4; ++member) {
      serving::ServiceDemand odd;
      odd.service = "odd";
      double* const numbers[] = {&odd.prefill_engines, &odd.decode_engines, &odd.prefill_depth,
                                 &odd.unloaded_prefill_engines};
      *numbers[member] = number;
      serving::ServiceDemand good;
      good.service = "good";
      good.prefill_engines = 2;
      serving::PeerReport report;
      report.demand = {odd, good};
      const serving::PeerReport decoded = RoundTrip(report);
      ASSERT_EQ(decoded.demand.size(), 1U) << number << " " << member;
      EXPECT_EQ(decoded.demand[0].service, "good");
    }
  }
}

TEST(ForeignDatagramTest, AgeIsNeverNegative) {
  serving::PeerReport report;
  report.age = -5s;
  EXPECT_EQ(RoundTrip(report).age, Duration(0));
}

// Guards against: an address with a port out of range counts as one with port 0.
TEST(ForeignDatagramTest, AddressWithAPortOutOfRangeIsNone) {
  EXPECT_TRUE(http::ParseEndpoint("127.0.0.1:65535").ok());
  for (const char* address : {"127.0.0.1:65536", "127.0.0.1:99999999999999999999", "127.0.0.1:-1",
                              "127.0.0.1:", "127.0.0.1", "127.0.0.1:7 ", "127.0.0.1:7\r\nX: y", ":7", "", "h\n:7"}) {
    EXPECT_FALSE(http::ParseEndpoint(address).ok()) << address;
  }
}

}  // namespace
}  // namespace saltquay::gateway
