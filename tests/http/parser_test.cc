// The incremental parsers: any split of the bytes gives the same result.
#include "src/http/parser.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace saltquay::http {
namespace {

struct Parsed {
  bool done = false;
  ParseError error = ParseError::kNone;
  std::string target;
  std::string body;
  std::string rest;
  std::size_t fields = 0;

  bool operator==(const Parsed&) const = default;
};

// Feeds `text` in pieces of the given sizes (repeated).
Parsed ParseRequest(const std::string& text, const std::vector<std::size_t>& sizes, const ParserLimits& limits = {}) {
  RequestParser parser(limits);
  Parsed parsed;
  std::string input;
  std::size_t at = 0;
  for (std::size_t piece = 0; at < text.size() && parsed.error == ParseError::kNone; ++piece) {
    const std::size_t size = std::max<std::size_t>(1, sizes[piece % sizes.size()]);
    input += text.substr(at, size);
    at += size;
    if (parser.done()) continue;
    const FeedResult result = parser.Feed(input);
    input.erase(0, result.consumed);
    parsed.error = result.error;
  }
  parsed.done = parser.done();
  parsed.target = parser.head().target;
  parsed.body = parser.body();
  parsed.fields = parser.head().fields.all().size();
  parsed.rest = input;
  return parsed;
}

RC_GTEST_PROP(RequestParserProperty, AnySplitGivesTheSameRequest, ()) {
  const std::string chunked =
      "POST /a/b?c=%20d HTTP/1.1\r\nHost: h.example\r\nX-One: 1\r\nX-One: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n6;x=y\r\n world\r\n0\r\n\r\nGET /next HTTP/1.1\r\n";
  const std::string with_length =
      "POST /p HTTP/1.1\r\nhOsT: h.example\r\nContent-Length: 11\r\n\r\nhello worldGET /next HTTP/1.1\r\n";
  const auto sizes =
      *rc::gen::nonEmpty(rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(1, 40)));
  for (const std::string& text : {chunked, with_length}) {
    const Parsed whole = ParseRequest(text, {text.size()});
    RC_ASSERT(whole.done);
    RC_ASSERT(whole.body == "hello world");
    RC_ASSERT(whole.rest == "GET /next HTTP/1.1\r\n");
    RC_ASSERT(ParseRequest(text, sizes) == whole);
  }
}

RC_GTEST_PROP(RequestParserProperty, AnyBytesEndInARequestOrAnError, ()) {
  const auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
  const Parsed whole = ParseRequest(bytes.empty() ? " " : bytes, {1 << 20});
  RC_ASSERT(whole.body.size() <= bytes.size() + 1);
}

TEST(RequestParserTest, RefusesWhatCouldSmuggleARequest) {
  for (const std::string text :
       {"POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
        "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "GET /\r\n\r\n", "GET / HTTP/1.1\r\nbad field\r\n\r\n"}) {
    EXPECT_EQ(ParseRequest(text, {text.size()}).error, ParseError::kMalformed) << text;
  }
}

TEST(RequestParserTest, LimitsGiveTheirOwnStatus) {
  ParserLimits limits;
  limits.head_bytes = 100;
  limits.body_bytes = 10;
  const std::string long_head = "GET / HTTP/1.1\r\nX: " + std::string(200, 'a') + "\r\n\r\n";
  EXPECT_EQ(ParseRequest(long_head, {7}, limits).error, ParseError::kHeadTooLarge);
  const std::string long_body = "POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\nhello world";
  EXPECT_EQ(ParseRequest(long_body, {7}, limits).error, ParseError::kBodyTooLarge);
  EXPECT_EQ(StatusOf(ParseError::kHeadTooLarge), 431);
  EXPECT_EQ(StatusOf(ParseError::kBodyTooLarge), 413);
  EXPECT_EQ(StatusOf(ParseError::kMalformed), 400);
}

TEST(ResponseParserTest, BodyWithoutLengthEndsWithTheConnection) {
  ResponseParser parser(ParserLimits{}, false);
  parser.Feed("HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nsome bytes");
  EXPECT_TRUE(parser.head_done());
  EXPECT_FALSE(parser.done());
  EXPECT_TRUE(parser.head().until_close);
  EXPECT_EQ(parser.TakeBody(), "some bytes");
  EXPECT_TRUE(parser.FeedEnd());
}

TEST(ResponseParserTest, EndBeforeTheLengthIsNotWhole) {
  ResponseParser parser(ParserLimits{}, false);
  parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nsome bytes");
  EXPECT_FALSE(parser.FeedEnd());
  ResponseParser chunked(ParserLimits{}, false);
  chunked.Feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  EXPECT_FALSE(chunked.FeedEnd());
}

TEST(MessageTest, ConnectionFieldsAndThoseNamedAreRemoved) {
  Fields fields;
  fields.Add("Connection", "close, X-Hop");
  fields.Add("x-hop", "1");
  fields.Add("Keep-Alive", "timeout=3");
  fields.Add("Transfer-Encoding", "chunked");
  fields.Add("X-Stays", "a");
  fields.Add("X-Stays", "b");
  RemoveConnectionFields(fields);
  ASSERT_EQ(fields.all().size(), 2U);
  EXPECT_EQ(fields.all()[0].value, "a");
  EXPECT_EQ(fields.all()[1].value, "b");
}

}  // namespace
}  // namespace saltquay::http
