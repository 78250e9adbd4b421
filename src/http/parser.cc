#include "src/http/parser.h"

#include <utility>  // Boost 1.74's Asio needs it first under C++20.

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

namespace saltquay::http {
namespace {

namespace beast = boost::beast;
using beast::string_view;
using ErrorCode = beast::error_code;

constexpr int kFirstVersionWithChunks = 11;  // As Beast writes HTTP/1.1.
// What may frame a body: this much for the message, and this much more for each chunk.
constexpr std::uint64_t kMaxFramingBytes = 16 * 1024;
constexpr std::uint64_t kFramingBytesPerChunk = 32;

constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;
constexpr int kSwitchingProtocols = 101;

// Other numbers are no status (RFC 9110, 15). A client that never asks for another protocol can't read what follows
// after a switch to it.
bool IsReadableStatus(int status) {
  return status >= kFirstStatus && status <= kLastStatus && status != kSwitchingProtocols;
}

// Beast joins a line that begins with a blank to the field before it. It consumes both together.
bool HasFoldedField(std::string_view head) {
  return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}

// "chunked" is the only coding that is decoded here. A body in another one has no end that its sender and its readers
// agree on (RFC 9112, 6.1 and 6.3).
bool HasReadableCoding(const Fields& fields) {
  int codings = 0;
  for (const Field& field : fields.all()) {
    if (!SameName(field.name, "Transfer-Encoding")) continue;
    if (++codings > 1 || !SameName(field.value, "chunked")) return false;
  }
  return true;
}

std::string ToString(string_view text) { return std::string(text.data(), text.size()); }

ParseError Classify(const ErrorCode& error) {
  if (!error || error == beast::http::error::need_more) return ParseError::kNone;
  if (error == beast::http::error::header_limit) return ParseError::kHeadTooLarge;
  if (error == beast::http::error::body_limit) return ParseError::kBodyTooLarge;
  return ParseError::kMalformed;
}

// Collects one message's head and body.
template <bool kIsRequest, typename Head>
class Collector : public beast::http::basic_parser<kIsRequest> {
 public:
  explicit Collector(const ParserLimits& limits) {
    this->header_limit(limits.head_bytes);
    this->body_limit(limits.body_bytes);
  }

  FeedResult FeedBytes(std::string_view input) {
    FeedResult result;
    while (result.consumed < input.size() && !this->is_done()) {
      // The head apart, so that the bytes behind it can be counted.
      const bool head_done = this->is_header_done();
      this->eager(head_done);
      ErrorCode error;
      const auto rest = input.substr(result.consumed);
      const std::size_t used = this->put(boost::asio::const_buffer(rest.data(), rest.size()), error);
      result.consumed += used;
      if (head_done) bytes_behind_head_ += used;
      // A gateway may reject a response with such a line (RFC 9112, 5.2).
      if (!kIsRequest && !head_done && HasFoldedField(rest.substr(0, used))) error = beast::http::error::bad_obs_fold;
      result.error = Classify(error);
      if (result.error != ParseError::kNone) result.cause = error.message();
      if (error || used == 0) break;
    }
    const bool too_large = result.error == ParseError::kNone && ExceedsFraming(input.size() - result.consumed);
    if (too_large) {
      result.error = ParseError::kFramingTooLarge;
      result.cause = "framing limit exceeded";
    }
    return result;
  }

  Head head;
  std::string body;

 private:
  // `unread`: bytes of an unfinished line or trailer, which are offered again.
  bool ExceedsFraming(std::size_t unread) const {
    if (!this->is_header_done() || this->is_done()) return false;
    const std::uint64_t framing_bytes = bytes_behind_head_ - body_bytes_ + unread;
    return framing_bytes > kMaxFramingBytes + kFramingBytesPerChunk * chunks_;
  }

  void on_request_impl(beast::http::verb /*verb*/, string_view method, string_view target, int version,
                       ErrorCode& /*error*/) override {
    if constexpr (kIsRequest) {
      head.accepts_chunks = version >= kFirstVersionWithChunks;
      head.method = ToString(method);
      head.target = ToString(target);
    }
  }
  void on_response_impl(int code, string_view reason, int /*version*/, ErrorCode& error) override {
    if constexpr (!kIsRequest) {
      if (!IsReadableStatus(code)) error = beast::http::error::bad_status;
      head.status = code;
      head.reason = ToString(reason);
    }
  }
  void on_field_impl(beast::http::field /*known*/, string_view name, string_view value, ErrorCode& /*error*/) override {
    // Trailers are dropped: a field of theirs must not count as one of the head (RFC 9110, 6.5.1).
    if (!this->is_header_done()) head.fields.Add(ToString(name), ToString(value));
  }
  void on_header_impl(ErrorCode& error) override {
    head.keep_alive = this->keep_alive();
    if (!HasReadableCoding(head.fields)) error = beast::http::error::bad_transfer_encoding;
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/, ErrorCode& /*error*/) override {}
  std::size_t on_body_impl(string_view bytes, ErrorCode& /*error*/) override { return Append(bytes); }
  void on_chunk_header_impl(std::uint64_t /*size*/, string_view /*extensions*/, ErrorCode& /*error*/) override {
    ++chunks_;
  }
  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, string_view bytes, ErrorCode& /*error*/) override {
    return Append(bytes);
  }
  void on_finish_impl(ErrorCode& /*error*/) override {}

  // Grows the body by a quarter at a time: many unfinished bodies would waste much memory otherwise.
  std::size_t Append(string_view bytes) {
    const std::size_t needed = body.size() + bytes.size();
    if (needed > body.capacity()) body.reserve(needed + needed / 4);
    body.append(bytes.data(), bytes.size());
    body_bytes_ += bytes.size();
    return bytes.size();
  }

  std::uint64_t bytes_behind_head_ = 0;
  std::uint64_t body_bytes_ = 0;
  std::uint64_t chunks_ = 0;
};

}  // namespace

int StatusOf(ParseError error) {
  constexpr int kBadRequest = 400;
  constexpr int kContentTooLarge = 413;
  constexpr int kFieldsTooLarge = 431;
  if (error == ParseError::kHeadTooLarge) return kFieldsTooLarge;
  if (error == ParseError::kBodyTooLarge) return kContentTooLarge;
  return kBadRequest;
}

struct RequestParser::Impl {
  explicit Impl(const ParserLimits& limits) : collector(limits) {}
  Collector<true, RequestHead> collector;
};

RequestParser::RequestParser(const ParserLimits& limits) : impl_(std::make_unique<Impl>(limits)) {}
RequestParser::~RequestParser() = default;
RequestParser::RequestParser(RequestParser&&) noexcept = default;
RequestParser& RequestParser::operator=(RequestParser&&) noexcept = default;

FeedResult RequestParser::Feed(std::string_view input) { return impl_->collector.FeedBytes(input); }
bool RequestParser::started() const { return impl_->collector.got_some(); }
bool RequestParser::head_done() const { return impl_->collector.is_header_done(); }
bool RequestParser::done() const { return impl_->collector.is_done(); }
RequestHead& RequestParser::head() { return impl_->collector.head; }
std::string& RequestParser::body() { return impl_->collector.body; }

struct ResponseParser::Impl {
  Impl(const ParserLimits& limits, bool head_request) : collector(limits) { collector.skip(head_request); }
  Collector<false, ResponseHead> collector;
};

ResponseParser::ResponseParser(const ParserLimits& limits, bool head_request)
    : impl_(std::make_unique<Impl>(limits, head_request)) {}
ResponseParser::~ResponseParser() = default;
ResponseParser::ResponseParser(ResponseParser&&) noexcept = default;
ResponseParser& ResponseParser::operator=(ResponseParser&&) noexcept = default;

FeedResult ResponseParser::Feed(std::string_view input) {
  FeedResult result = impl_->collector.FeedBytes(input);
  if (head_done()) impl_->collector.head.until_close = impl_->collector.need_eof();
  return result;
}

bool ResponseParser::FeedEnd() {
  if (!head_done() || done()) return done();
  ErrorCode error;
  impl_->collector.put_eof(error);
  return !error;
}

bool ResponseParser::head_done() const { return impl_->collector.is_header_done(); }
bool ResponseParser::done() const { return impl_->collector.is_done(); }
ResponseHead& ResponseParser::head() { return impl_->collector.head; }
std::string ResponseParser::TakeBody() { return std::exchange(impl_->collector.body, {}); }

}  // namespace saltquay::http
