// Heads of responses that are no responses, each as one piece and byte by byte.
#include <string>

#include <gtest/gtest.h>

#include "src/http/parser.h"

namespace saltquay::http {
namespace {

ParseError Parse(const std::string& text, std::size_t piece) {
  ResponseParser parser(ParserLimits{}, false);
  std::string input;
  for (std::size_t at = 0; at < text.size() && !parser.done(); at += piece) {
    input += text.substr(at, piece);
    const FeedResult result = parser.Feed(input);
    if (result.error != ParseError::kNone) return result.error;
    input.erase(0, result.consumed);
  }
  EXPECT_TRUE(parser.done()) << text;
  return ParseError::kNone;
}

void ExpectOutcome(const std::string& text, ParseError outcome) {
  EXPECT_EQ(Parse(text, text.size()), outcome) << text;
  EXPECT_EQ(Parse(text, 1), outcome) << text;
}

std::string WithStatus(const std::string& status) { return "HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n"; }

// Guards against: a number below 100 is skipped as an interim response, one above 599 is passed on.
TEST(MalformedResponseTest, StatusOutsideTheDefinedClassesIsMalformed) {
  for (const char* status : {"000", "001", "099", "600", "700", "999"}) {
    ExpectOutcome(WithStatus(status), ParseError::kMalformed);
  }
  for (const char* status : {"100", "102", "103", "199", "200", "299", "308", "418", "451", "503", "599"}) {
    ExpectOutcome(WithStatus(status), ParseError::kNone);
  }
}

// Guards against: what follows in another protocol is read as the response.
TEST(MalformedResponseTest, SwitchToAnotherProtocolIsMalformed) {
  ExpectOutcome("HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
                ParseError::kMalformed);
}

std::string WithLine(const std::string& line) {
  return "HTTP/1.1 200 OK\r\nX-First: 1\r\n" + line + "\r\nContent-Length: 0\r\n\r\n";
}

// Guards against: a line that begins with a blank becomes a part of the field before it.
TEST(MalformedResponseTest, FoldedLineIsMalformed) {
  for (const char* line : {" X-Bad: v", "\tX-Bad: v", "X-Fold: a\r\n b", "X-Fold:\r\n b", " ", "\t"}) {
    ExpectOutcome(WithLine(line), ParseError::kMalformed);
  }
}

TEST(MalformedResponseTest, LineWithoutAFieldNameIsMalformed) {
  const std::string nul("X-\0Bad: v", 9);
  for (const std::string& line : {std::string("X Bad: v"), std::string("X-Bad : v"), std::string("X-Bad\t: v"),
                                  std::string("X-\x01"
                                              "Bad: v"),
                                  std::string("X-\x7f"
                                              "Bad: v"),
                                  std::string("X-\xe9"
                                              "Bad: v"),
                                  std::string("X-Bad"), std::string(": v"), nul}) {
    ExpectOutcome(WithLine(line), ParseError::kMalformed);
  }
}

TEST(MalformedResponseTest, BlanksAroundAValueAreNoFold) {
  for (const char* line : {"X-Field: v", "X-Field:v", "X-Field: \t v \t", "X-Field:", "X-Field: "}) {
    ExpectOutcome(WithLine(line), ParseError::kNone);
  }
}

constexpr const char* kUnreadableCodings[] = {"gzip, chunked", "chunked, gzip", "gzip", "chunked, chunked",
                                              "xchunked",      "identity",      "",     "chunked;q=1",
                                              "\"chunked\""};

// Guards against: the end of a body is found otherwise than its sender meant, or a coded body is passed on as it is.
TEST(MalformedResponseTest, CodingOtherThanChunkedIsMalformed) {
  const std::string body = "4\r\nbody\r\n0\r\n\r\n";
  for (const std::string coding : kUnreadableCodings) {
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n";
    ExpectOutcome(head + "\r\n" + body, ParseError::kMalformed);
    ExpectOutcome(head + "Content-Length: 14\r\n\r\n" + body, ParseError::kMalformed);
    ExpectOutcome(head + "Transfer-Encoding: chunked\r\n\r\n" + body, ParseError::kMalformed);
    ExpectOutcome("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nTransfer-Encoding: " + coding + "\r\n\r\n",
                  ParseError::kMalformed);
  }
  for (const std::string coding : {"chunked", "Chunked", "CHUNKED \t"}) {
    ExpectOutcome("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n\r\n" + body, ParseError::kNone);
  }
}

// Guards against: the body of such a request is taken for the next request, or passed on without its coding.
TEST(MalformedRequestTest, CodingOtherThanChunkedIsMalformed) {
  for (const std::string coding : kUnreadableCodings) {
    RequestParser parser(ParserLimits{});
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: " + coding + "\r\n\r\n";
    EXPECT_EQ(parser.Feed(head + "4\r\nbody\r\n0\r\n\r\n").error, ParseError::kMalformed) << coding;
  }
}

}  // namespace
}  // namespace saltquay::http
