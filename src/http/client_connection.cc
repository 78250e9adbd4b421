#include "src/http/client_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <limits>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace saltquay::http {
namespace {

constexpr int kFirstFinalStatus = 200;
// A peer that announces N seconds may close a little earlier than we see it.
constexpr std::chrono::milliseconds kKeepAliveMargin{400};
constexpr std::uint32_t kMaxHeadBytes = 64 * 1024;
constexpr std::uint64_t kMaxIdentityBytes = 64 * 1024;
// Of responses that are skipped during one call. A server may send one late copy, of whatever it has sent before.
constexpr std::uint64_t kMaxSkippedBytes = 4 * 1024 * 1024;
constexpr int kMaxSkippedResponses = 32;

std::optional<int> KeepAliveSeconds(const Fields& fields) {
  const auto value = fields.Find("Keep-Alive");
  if (!value) return std::nullopt;
  const std::size_t start = value->find("timeout=");
  if (start == std::string_view::npos) return std::nullopt;
  const char* first = value->data() + start + std::string_view("timeout=").size();
  int seconds = 0;
  const auto result = std::from_chars(first, value->data() + value->size(), seconds);
  if (result.ec != std::errc{}) return std::nullopt;
  return seconds;
}

}  // namespace

ClientConnection::ClientConnection(Client& client, boost::asio::io_context& loop, std::string pool,
                                   std::uint64_t number)
    : client_(&client),
      client_alive_(client.alive_),
      pool_(std::move(pool)),
      number_(number),
      socket_(loop),
      timer_(loop) {}

void ClientConnection::Connect(const Endpoint& endpoint, const CallOptions& options) {
  boost::system::error_code error;
  socket_.open(endpoint.protocol(), error);
  if (!error) {
    DisableDelay(socket_);
    EnableKeepAlive(socket_, KeepAliveTimes{});
  }
  timer_.expires_after(options.connect_timeout);
  timer_.async_wait([self = shared_from_this()](boost::system::error_code timer_error) {
    if (!timer_error && self->state_ == State::kConnecting) self->Fail(CallFailure::kNotSent);
  });
  socket_.async_connect(endpoint, [self = shared_from_this()](boost::system::error_code connect_error) {
    self->OnConnected(connect_error);
  });
}

void ClientConnection::OnConnected(const boost::system::error_code& error) {
  if (state_ != State::kConnecting) return;
  timer_.cancel();
  if (error) return Fail(CallFailure::kNotSent);
  state_ = State::kBusy;
  Write();
  Read();
}

void ClientConnection::Begin(std::string request, const CallOptions& options, CallHandlers handlers) {
  ++use_;
  request_ = std::move(request);
  options_ = options;
  if (!options.call_id.empty()) carried_.Add(options.call_id);
  handlers_ = std::move(handlers);
  write_failed_ = false;
  read_end_ = ReadEnd::kNone;
  head_seen_ = false;
  skipping_ = false;
  response_unnamed_ = false;
  call_due_ = false;
  skipped_bytes_ = 0;
  skipped_responses_ = 0;
  body_.clear();
  identifying_ = options_.identity_check && !server_identity_;
  if (identifying_) carried_.Add(options_.identity_check->call_id);
  NewParser();
  if (state_ != State::kResting) return;
  state_ = State::kBusy;
  Write();
  Read();
}

void ClientConnection::NewParser() {
  const ParserLimits limits{kMaxHeadBytes, std::numeric_limits<std::uint64_t>::max()};
  body_bytes_ = 0;
  parser_ = std::make_unique<ResponseParser>(limits, options_.head_request && !identifying_);
}

void ClientConnection::Write() {
  writing_ = true;
  if (identifying_) StartIdentityTimer();
  const std::string& request = identifying_ ? options_.identity_check->request : request_;
  boost::asio::async_write(socket_, boost::asio::buffer(request),
                           [self = shared_from_this()](boost::system::error_code error, std::size_t bytes) {
                             self->OnWritten(error, bytes);
                           });
}

void ClientConnection::OnWritten(const boost::system::error_code& error, std::size_t bytes) {
  writing_ = false;
  if (state_ != State::kBusy) return;
  if (error && bytes == 0) return Fail(CallFailure::kNotSent);
  // A peer that refuses a long body may have answered first: its answer is read to its end.
  write_failed_ = error.failed();
  if (read_end_ != ReadEnd::kNone) return OnEnd();
  if (std::exchange(call_due_, false)) Write();
}

void ClientConnection::StartIdentityTimer() {
  timer_.expires_after(options_.identity_check->timeout);
  timer_.async_wait([self = shared_from_this(), use = use_](boost::system::error_code error) {
    if (!error && self->use_ == use && self->identifying_) self->Fail(CallFailure::kUnidentified);
  });
}

void ClientConnection::Read() {
  if (reading_ || state_ == State::kClosed) return;
  reading_ = true;
  socket_.async_read_some(boost::asio::buffer(read_buffer_),
                          [self = shared_from_this()](boost::system::error_code error, std::size_t bytes) {
                            self->reading_ = false;
                            self->OnRead(error, bytes);
                          });
}

void ClientConnection::OnRead(const boost::system::error_code& error, std::size_t bytes) {
  if (state_ == State::kClosed) return;
  if (state_ == State::kResting) return Close();  // An end, or bytes that belong to no request.
  if (error) {
    read_end_ = error == boost::asio::error::eof ? ReadEnd::kOrderly : ReadEnd::kFailed;
    return OnEnd();
  }
  input_.append(read_buffer_.data(), bytes);
  Consume();
  Read();
}

void ClientConnection::Consume() {
  const auto self = shared_from_this();  // A handler may drop the call.
  while (state_ == State::kBusy && !input_.empty()) {
    const FeedResult result = parser_->Feed(input_);
    input_.erase(0, result.consumed);
    if (result.error != ParseError::kNone) return FailMalformed(result.cause);
    if (!parser_->head_done()) return;
    const bool skipped_one = SkipForeignAnswer();
    if (skipped_one || skipping_) {
      if (!CountSkipped(result.consumed, skipped_one)) return FailMalformed("too many other responses");
      if (skipped_one) continue;
      return;
    }
    if (!TakeBody()) return FailMalformed("body limit exceeded");
    if (identifying_) {
      if (parser_->done()) OnIdentified();
      return;
    }
    DeliverBody();
    if (state_ == State::kBusy && parser_->done()) return Complete();
    if (result.consumed == 0) return;
  }
}

// Interim answers and those of other requests are read to their end and
// dropped. Returns whether one has ended and the next begins.
bool ClientConnection::SkipForeignAnswer() {
  if (!head_seen_ && !skipping_) {
    const ResponseHead& head = parser_->head();
    const bool interim = head.status < kFirstFinalStatus;
    const ResponseOwner owner = interim ? ResponseOwner::kAnotherCall : OwnerOf(head);
    skipping_ = owner == ResponseOwner::kAnotherCall;
    response_unnamed_ = owner == ResponseOwner::kUnnamed;
  }
  if (!skipping_ || !parser_->done()) return false;
  skipping_ = false;
  NewParser();
  return true;
}

bool ClientConnection::CountSkipped(std::size_t bytes, bool whole_response) {
  parser_->TakeBody();
  skipped_bytes_ += bytes;
  skipped_responses_ += whole_response ? 1 : 0;
  return skipped_bytes_ <= kMaxSkippedBytes && skipped_responses_ <= kMaxSkippedResponses;
}

bool ClientConnection::TakeBody() {
  const std::string bytes = parser_->TakeBody();
  body_bytes_ += bytes.size();
  body_ += bytes;
  return body_bytes_ <= (identifying_ ? kMaxIdentityBytes : options_.max_body_bytes);
}

ResponseOwner ClientConnection::OwnerOf(const ResponseHead& head) const {
  const auto& owner_of = identifying_ ? options_.identity_check->owner_of : handlers_->owner_of;
  const ResponseOwner owner = owner_of ? owner_of(head) : ResponseOwner::kThisCall;
  return needs_names_ && owner == ResponseOwner::kUnnamed ? ResponseOwner::kAnotherCall : owner;
}

void ClientConnection::OnIdentified() {
  const bool goes_on = parser_->head().keep_alive && !parser_->head().until_close && input_.empty();
  if (!goes_on) return Fail(CallFailure::kUnidentified);
  timer_.cancel();
  server_identity_ = options_.identity_check->decode(parser_->head(), std::exchange(body_, {}));
  identifying_ = false;
  needs_names_ = needs_names_ || std::exchange(response_unnamed_, false);
  if (LeadsToOtherServer(options_)) return EndAtOtherServer();
  NewParser();
  if (writing_) {
    call_due_ = true;
  } else {
    Write();
  }
}

void ClientConnection::EndAtOtherServer() {
  const CallHandlers handlers = std::move(*handlers_);
  handlers_.reset();
  Rest(parser_->head());
  if (handlers.on_other_server) handlers.on_other_server(*server_identity_);
}

void ClientConnection::DeliverBody() {
  if (!head_seen_) {
    head_seen_ = true;
    if (handlers_->on_head) handlers_->on_head(parser_->head());
  }
  const std::string body = std::exchange(body_, {});
  if (state_ == State::kBusy && !body.empty() && handlers_->on_body) handlers_->on_body(body);
}

void ClientConnection::Complete() {
  const CallHandlers handlers = std::move(*handlers_);
  handlers_.reset();
  Rest(parser_->head());
  if (handlers.on_complete) handlers.on_complete();
}

// Only the write's own end tells whether any byte left this machine, and whether the connection has failed.
void ClientConnection::OnEnd() {
  if (writing_) return;
  if (!ResponseIsWholeAtEnd()) return Fail(CallFailure::kBroken);
  const auto self = shared_from_this();
  const CallHandlers handlers = std::move(*handlers_);
  Close();
  if (handlers.on_complete) handlers.on_complete();
}

// The kernel reports a reset to one call only. If that was the write, the end that a read sees after it looks orderly.
// A response that has no other end is complete only on a connection without an error (RFC 9112, 8).
bool ClientConnection::ResponseIsWholeAtEnd() {
  return read_end_ == ReadEnd::kOrderly && !write_failed_ && head_seen_ && parser_->FeedEnd();
}

void ClientConnection::Fail(CallFailure failure) {
  const auto self = shared_from_this();
  const std::optional<CallHandlers> handlers = std::move(handlers_);
  const bool call_sent = !identifying_;
  Close();
  if (!handlers || !handlers->on_failure) return;
  handlers->on_failure(call_sent || failure == CallFailure::kNotSent ? failure : CallFailure::kUnidentified);
}

void ClientConnection::FailMalformed(std::string_view cause) {
  if (handlers_->on_malformed) handlers_->on_malformed(cause);
  Fail(CallFailure::kMalformed);
}

void ClientConnection::Rest(const ResponseHead& head) {
  const bool reusable =
      head.keep_alive && !head.until_close && input_.empty() && !writing_ && !response_unnamed_ && !carried_.full();
  if (!reusable || client_alive_.expired() || !*client_alive_.lock()) return Close();
  state_ = State::kResting;
  ++use_;
  request_.clear();
  usable_until_ = BootClock::time_point::max();
  if (const auto seconds = KeepAliveSeconds(head.fields)) {
    usable_until_ = BootClock::now() + std::chrono::seconds(*seconds) - kKeepAliveMargin;
  }
  client_->pools_[pool_].resting.push_back(shared_from_this());
  Read();
}

bool ClientConnection::FitForUse() {
  if (state_ != State::kResting || BootClock::now() >= usable_until_) return false;
  char byte = 0;
  const ssize_t peeked = recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void ClientConnection::Close() {
  if (state_ == State::kClosed) return;
  const auto self = shared_from_this();
  const bool rested = state_ == State::kResting;
  state_ = State::kClosed;
  // The handler that closes may be one of these: they end after it returned.
  if (handlers_) boost::asio::post(socket_.get_executor(), [handlers = std::move(handlers_)] {});
  handlers_.reset();
  boost::system::error_code ignored;
  timer_.cancel();
  socket_.close(ignored);
  const auto alive = client_alive_.lock();
  if (alive == nullptr || !*alive) return;
  Client::Pool& pool = client_->pools_[pool_];
  --pool.open;
  if (rested) std::erase(pool.resting, self);
}

}  // namespace saltquay::http
