// Messages about the origins of streams on the wire.
#include "src/gateway/stream_codec.h"

#include <gtest/gtest.h>

#include "src/gateway/peer_codec.h"

namespace saltquay::gateway {
namespace {

serving::PeerReport ReportOf(const std::vector<serving::StreamMessage>& messages) {
  serving::PeerReport report;
  report.scope = serving::ReportScope::kLimits;
  report.streams = messages;
  return report;
}

TEST(StreamCodecTest, MessagesRoundTrip) {
  const auto decoded = DecodeReport(EncodeReport(
      ReportOf({serving::StreamNotice{7, {"v1.1", 3}, 14500ms}, serving::StreamQuery{8, "model", "10.0.0.1:7"},
                serving::StreamReply{9, serving::StreamKnowledge::kSeveralVersions, {"", 0}, "10.0.0.2:7"},
                serving::StreamNotice{10, {"", 1, serving::EngineProcess{"e1", 1700000000000}}, 1s}})));
  ASSERT_TRUE(decoded.ok());
  ASSERT_EQ(decoded->streams.size(), 4U);
  EXPECT_EQ(std::get<serving::StreamNotice>(decoded->streams[3]).origin.process,
            (serving::EngineProcess{"e1", 1700000000000}));
  const auto& notice = std::get<serving::StreamNotice>(decoded->streams[0]);
  EXPECT_EQ(notice.stream, 7U);
  EXPECT_EQ(notice.origin, (serving::StreamOrigin{"v1.1", 3}));
  EXPECT_EQ(notice.lifetime, Duration(14500ms));
  const auto& query = std::get<serving::StreamQuery>(decoded->streams[1]);
  EXPECT_EQ(query.service, "model");
  EXPECT_EQ(query.reply_to, "10.0.0.1:7");
  const auto& reply = std::get<serving::StreamReply>(decoded->streams[2]);
  EXPECT_EQ(reply.knowledge, serving::StreamKnowledge::kSeveralVersions);
  EXPECT_EQ(reply.from, "10.0.0.2:7");
}

TEST(StreamCodecTest, DamagedMessagesAreSkipped) {
  const auto decode = [](std::uint8_t kind, int time_ms, std::uint8_t knowledge) {
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::CreateStreamMessage(builder, kind, 1, 0, 0, time_ms, knowledge));
    return StreamMessageFromWire(*flatbuffers::GetRoot<wire::StreamMessage>(builder.GetBufferPointer())).has_value();
  };
  EXPECT_TRUE(decode(1, 5, 0));
  EXPECT_FALSE(decode(1, -5, 0));
  EXPECT_FALSE(decode(2, 0, 0));  // A query without a sender cannot be replied to.
  EXPECT_FALSE(decode(3, 0, 9));
  EXPECT_FALSE(decode(0, 0, 0));
  EXPECT_FALSE(decode(4, 0, 0));
}

TEST(StreamCodecTest, EncodedSizeOfANotice) {
  EXPECT_LE(EncodeReport(ReportOf({serving::StreamNotice{7, {"v1.1", 3}, 14500ms}})).size(), 256U);
}

}  // namespace
}  // namespace saltquay::gateway
