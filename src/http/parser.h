// Incremental HTTP/1.1 parsers over Boost.Beast's basic_parser.
//
// Bytes may arrive in any split; the result is the same. A parser reads one
// message: bytes behind its end are left to the caller.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "src/base/status.h"
#include "src/http/message.h"

namespace saltquay::http {

struct ParserLimits {
  std::uint32_t head_bytes = 64 * 1024;
  std::uint64_t body_bytes = 4ULL * 1024 * 1024;
};

// kFramingTooLarge: what frames the body (chunk sizes, extensions, trailers) is out of proportion to it.
enum class ParseError { kNone, kMalformed, kHeadTooLarge, kBodyTooLarge, kFramingTooLarge };

struct FeedResult {
  std::size_t consumed = 0;
  ParseError error = ParseError::kNone;
  std::string cause;  // Of the error, in words.
};

// Returns the status that a server answers to a request with this error.
int StatusOf(ParseError error);

class RequestParser {
 public:
  explicit RequestParser(const ParserLimits& limits);
  ~RequestParser();
  RequestParser(RequestParser&&) noexcept;
  RequestParser& operator=(RequestParser&&) noexcept;

  // Takes what it can of `input`; unconsumed bytes must be offered again,
  // with more behind them.
  FeedResult Feed(std::string_view input);
  bool started() const;
  bool head_done() const;
  bool done() const;
  RequestHead& head();
  std::string& body();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

class ResponseParser {
 public:
  // `head_request`: the answer has no body whatever its fields say.
  ResponseParser(const ParserLimits& limits, bool head_request);
  ~ResponseParser();
  ResponseParser(ResponseParser&&) noexcept;
  ResponseParser& operator=(ResponseParser&&) noexcept;

  FeedResult Feed(std::string_view input);
  // The connection ended. Returns whether the message is whole by that.
  bool FeedEnd();
  bool head_done() const;
  bool done() const;
  ResponseHead& head();
  // Returns body bytes parsed since the last call.
  std::string TakeBody();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace saltquay::http
