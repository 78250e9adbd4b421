// Tests the wire encoding of tenant limit messages.
#include <gtest/gtest.h>

#include "src/gateway/limit_codec.h"
#include "src/gateway/peer_codec.h"

namespace saltquay::gateway {
namespace {

// Encodes the messages in a report and returns what decodes from it.
std::vector<limits::LimitMessage> RoundTrip(const std::vector<limits::LimitMessage>& messages) {
  serving::PeerReport report;
  report.scope = serving::ReportScope::kLimits;
  report.limits = messages;
  const auto decoded = DecodeReport(EncodeReport(report));
  EXPECT_TRUE(decoded.ok()) << decoded.status();
  return decoded->limits;
}

TEST(LimitCodecTest, ChargeRequestRoundTrips) {
  const limits::ChargeRequest sent{{~0ULL, 2}, 3, 57000, "10.0.0.1:7001", 2, ~0ULL - 1, true};
  const auto decoded_messages = RoundTrip({sent});
  ASSERT_EQ(decoded_messages.size(), 1U);
  const auto& request = std::get<limits::ChargeRequest>(decoded_messages[0]);
  EXPECT_EQ(request.charge, sent.charge);
  EXPECT_EQ(request.tenant, sent.tenant);
  EXPECT_EQ(request.cost, sent.cost);
  EXPECT_EQ(request.reply_to, sent.reply_to);
  EXPECT_EQ(request.forwards, sent.forwards);
  EXPECT_EQ(request.unresponsive_owner, sent.unresponsive_owner);
  EXPECT_TRUE(request.declined);
}

TEST(LimitCodecTest, ChargeResponsesAndRefundsRoundTrip) {
  const auto messages =
      RoundTrip({limits::ChargeResponse{{1, 2}, false, 1234ms, "node-a"}, limits::ChargeRefund{{5, 6}, 7}});
  ASSERT_EQ(messages.size(), 2U);
  const auto& response = std::get<limits::ChargeResponse>(messages[0]);
  EXPECT_EQ(response.charge, (limits::ChargeId{1, 2}));
  EXPECT_FALSE(response.admitted);
  EXPECT_EQ(response.retry_after, Duration(1234ms));
  EXPECT_EQ(response.owner, "node-a");
  const auto& refund = std::get<limits::ChargeRefund>(messages[1]);
  EXPECT_EQ(refund.charge, (limits::ChargeId{5, 6}));
  EXPECT_EQ(refund.tenant, 7U);
}

// Rounding down would let a client retry before its bucket is full enough.
TEST(LimitCodecTest, RetryAfterIsRoundedUpToMilliseconds) {
  const auto messages = RoundTrip({limits::ChargeResponse{{1, 2}, false, 1234001us, "a"}});
  EXPECT_EQ(std::get<limits::ChargeResponse>(messages.at(0)).retry_after, Duration(1235ms));
}

TEST(LimitCodecTest, ProbesOfEachKindRoundTrip) {
  using Kind = limits::OwnerProbe::Kind;
  for (const Kind kind : {Kind::Probe, Kind::Reply, Kind::Survey, Kind::SurveyReply, Kind::Relay, Kind::RelayReply}) {
    const auto messages = RoundTrip({limits::OwnerProbe{kind, 1, 2, "10.0.0.2:7001", 65}});
    const auto& probe = std::get<limits::OwnerProbe>(messages.at(0));
    EXPECT_EQ(probe.kind, kind);
    EXPECT_EQ(probe.from, 1U);
    EXPECT_EQ(probe.about, 2U);
    EXPECT_EQ(probe.reply_to, "10.0.0.2:7001");
    EXPECT_EQ(probe.fleet, 65);
  }
}

TEST(LimitCodecTest, BucketHandoffsRoundTrip) {
  const auto messages = RoundTrip({limits::BucketHandoff{1, 2, {3, 4}, -1234.5, false, 12, true}});
  const auto& message = std::get<limits::BucketHandoff>(messages.at(0));
  EXPECT_EQ(message.tenant, 1U);
  EXPECT_EQ(message.from, 2U);
  EXPECT_EQ(message.key, (limits::ChargeId{3, 4}));
  EXPECT_EQ(message.level, -1234.5);
  EXPECT_FALSE(message.established);
  EXPECT_EQ(message.fleet, 12);
  EXPECT_TRUE(message.declined);
}

std::optional<limits::LimitMessage> Decoded(std::uint8_t kind, std::uint8_t step) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::CreateLimitMessage(builder, kind, 0, 0, 0, 0, 0, 0, 0, false, 0, step));
  return LimitMessageFromWire(*flatbuffers::GetRoot<wire::LimitMessage>(builder.GetBufferPointer()));
}

TEST(LimitCodecTest, UnknownKindsAreSkipped) {
  constexpr std::uint8_t kProbe = 4;
  EXPECT_TRUE(Decoded(kProbe, 5));
  for (const int unknown : {6, 255}) EXPECT_FALSE(Decoded(kProbe, static_cast<std::uint8_t>(unknown))) << unknown;
  for (const int unknown : {0, 6, 255}) EXPECT_FALSE(Decoded(static_cast<std::uint8_t>(unknown), 0)) << unknown;
}

// With these sizes, a tenant with 1000 requests/s costs its owner's link about 0.3 MB/s in each direction.
TEST(LimitCodecTest, EncodedSizesOfChargeRequestAndResponse) {
  const auto size = [](const limits::LimitMessage& message) {
    serving::PeerReport report;
    report.scope = serving::ReportScope::kLimits;
    report.limits = {message};
    return EncodeReport(report).size();
  };
  EXPECT_EQ(size(limits::ChargeRequest{{1, 2}, 3, 9200, "10.0.12.34:7001", 0, 0, false}), 272U);
  EXPECT_EQ(size(limits::ChargeResponse{{1, 2}, true, 0s, "gateway-12"}), 248U);
}

}  // namespace
}  // namespace saltquay::gateway
