// Messages whose framing has no end: chunk extensions, chunk sizes and trailers.
#include <chrono>
#include <string>

#include <gtest/gtest.h>

#include "src/http/parser.h"

namespace saltquay::http {
namespace {

constexpr std::size_t kManyBytes = 4 * 1024 * 1024;
constexpr std::size_t kMaxKeptBytes = 64 * 1024;  // Of input that was not consumed.
constexpr char kRequest[] = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr char kResponse[] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

struct Fed {
  ParseError error = ParseError::kNone;
  std::size_t bytes = 0;     // Until the error.
  std::size_t max_kept = 0;  // Largest input that the parser left to its caller.
  bool done = false;
};

template <typename Parser>
Fed Feed(Parser& parser, const std::string& text, std::size_t piece) {
  Fed fed;
  std::string input;
  while (fed.bytes < text.size() && fed.error == ParseError::kNone && !parser.done()) {
    input += text.substr(fed.bytes, piece);
    fed.bytes = std::min(text.size(), fed.bytes + piece);
    const FeedResult result = parser.Feed(input);
    fed.error = result.error;
    input.erase(0, result.consumed);
    fed.max_kept = std::max(fed.max_kept, input.size());
  }
  fed.done = parser.done();
  return fed;
}

Fed FeedRequest(const std::string& framed, std::size_t piece) {
  RequestParser parser(ParserLimits{});
  return Feed(parser, kRequest + framed, piece);
}
Fed FeedResponse(const std::string& framed, std::size_t piece) {
  ResponseParser parser(ParserLimits{}, false);
  return Feed(parser, kResponse + framed, piece);
}

std::string Repeat(const std::string& text, std::size_t bytes) {
  std::string repeated;
  while (repeated.size() < bytes) repeated += text;
  return repeated;
}

struct EndlessFraming {
  std::string name;
  std::string bytes;
};

class EndlessFramingTest : public ::testing::TestWithParam<EndlessFraming> {};

// Guards against: a message whose framing does not end fills the memory of the node that reads it.
TEST_P(EndlessFramingTest, IsRefusedBeforeItFillsMemory) {
  for (const std::size_t piece : {std::size_t{100}, std::size_t{16384}}) {
    for (const Fed& fed : {FeedRequest(GetParam().bytes, piece), FeedResponse(GetParam().bytes, piece)}) {
      EXPECT_EQ(fed.error, ParseError::kFramingTooLarge) << "pieces of " << piece;
      EXPECT_LT(fed.max_kept, kMaxKeptBytes);
      EXPECT_LT(fed.bytes, 4 * kMaxKeptBytes);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Framings, EndlessFramingTest,
    ::testing::Values(
        EndlessFraming{"extension", "5;x=" + std::string(kManyBytes, 'y')},
        EndlessFraming{"extensions_of_many_chunks", Repeat("1;x=" + std::string(1000, 'y') + "\r\nz\r\n", kManyBytes)},
        EndlessFraming{"chunk_size", std::string(kManyBytes, '0')},
        EndlessFraming{"chunk_sizes_of_many_chunks", Repeat(std::string(1000, '0') + "1\r\nz\r\n", kManyBytes)},
        EndlessFraming{"trailer", "0\r\nX: " + std::string(kManyBytes, 'y')},
        EndlessFraming{"trailers", "0\r\n" + Repeat("X-Trailer: yyyyyyyyyyyyyyyy\r\n", kManyBytes)}),
    [](const auto& info) { return info.param.name; });

TEST(FramingLimitsTest, OrdinaryFramingIsRead) {
  const std::string small_chunks = Repeat("1\r\nz\r\n", 1024 * 1024);
  const std::string extension = "5;name=\"value\"\r\nhello\r\n";
  for (const std::size_t piece : {std::size_t{1}, std::size_t{100}, std::size_t{16384}}) {
    EXPECT_TRUE(FeedRequest(small_chunks + "0\r\n\r\n", piece).done);
    EXPECT_TRUE(FeedResponse(small_chunks + extension + "0\r\nX-Digest: 1\r\n\r\n", piece).done);
  }
}

// Guards against: a field behind the body counts as one of the head, which decides how a request is served.
TEST(FramingLimitsTest, TrailersAreDropped) {
  RequestParser parser(ParserLimits{});
  EXPECT_TRUE(Feed(parser, std::string(kRequest) + "1\r\nz\r\n0\r\nX-Late: 1\r\n\r\n", 7).done);
  EXPECT_FALSE(parser.head().fields.Has("X-Late"));
}

// Guards against: the work for a message grows faster than its length when it comes in small pieces.
TEST(FramingLimitsTest, WorkGrowsWithTheLengthWhateverTheSplit) {
  const auto time = [](std::size_t bytes, std::size_t piece) {
    const std::string framed = Repeat("400\r\n" + std::string(1024, 'z') + "\r\n", bytes) + "0\r\n\r\n";
    const auto start = std::chrono::steady_clock::now();
    EXPECT_TRUE(FeedRequest(framed, piece).done);
    return std::chrono::steady_clock::now() - start;
  };
  for (const std::size_t piece : {std::size_t{1}, std::size_t{100}, std::size_t{65536}}) {
    constexpr std::size_t kShort = 512 * 1024;
    constexpr int kTimes = 8;
    EXPECT_LT(time(kTimes * kShort, piece), 4 * kTimes * time(kShort, piece)) << "pieces of " << piece;
  }
}

}  // namespace
}  // namespace saltquay::http
