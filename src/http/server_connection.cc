#include "src/http/server_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <cstdio>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "src/base/crash_reporter.h"
#include "src/http/socket.h"

namespace saltquay::http {
namespace {

constexpr std::chrono::milliseconds kLingerTime{1000};
// A client that is rejected in the middle of a body reads its answer after it has sent the rest.
constexpr std::size_t kMaxLingerBytes = 8 * 1024 * 1024;
constexpr std::size_t kMaxPipelinedBytes = 256 * 1024;
constexpr int kRequestTimeout = 408;
constexpr int kUnavailable = 503;
// Bodies that do not move are ended by then, and bodies that do have come.
constexpr std::string_view kRetryAfterSeconds = "1";

std::string ChunkOf(std::string_view bytes) {
  std::array<char, 20> size;
  const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  std::string chunk(size.data(), static_cast<std::size_t>(length));
  chunk += bytes;
  chunk += "\r\n";
  return chunk;
}

}  // namespace

void Exchange::Respond(const ResponseHead& response, std::string_view response_body) {
  if (answer_begun_ || client_left_) return;
  answer_begun_ = answer_ended_ = true;
  if (const auto connection = connection_.lock()) connection->SendWhole(response, response_body);
}

void Exchange::BeginStream(const ResponseHead& response) {
  if (answer_begun_ || client_left_) return;
  answer_begun_ = true;
  if (const auto connection = connection_.lock()) connection->SendHead(response);
}

void Exchange::Write(std::string_view bytes) {
  if (!answer_begun_ || answer_ended_ || client_left_ || bytes.empty()) return;
  if (const auto connection = connection_.lock()) connection->SendChunk(bytes);
}

void Exchange::EndStream() {
  if (!answer_begun_ || answer_ended_ || client_left_) return;
  answer_ended_ = true;
  if (const auto connection = connection_.lock()) connection->FinishAnswer();
}

void Exchange::Abort() {
  if (answer_ended_ || client_left_) return;
  answer_begun_ = answer_ended_ = true;
  if (const auto connection = connection_.lock()) connection->AbortAnswer();
}

std::string Exchange::remote_address() const {
  const auto connection = connection_.lock();
  return connection == nullptr ? "" : connection->RemoteAddress();
}

ServerConnection::ServerConnection(Server& server, boost::asio::ip::tcp::socket socket)
    : server_(&server), socket_(std::move(socket)), limits_(server.limits_) {
  DisableDelay(socket_);
  since_ = BootClock::now();
}

std::string ServerConnection::RemoteAddress() const {
  boost::system::error_code error;
  const auto endpoint = socket_.remote_endpoint(error);
  return error ? "" : endpoint.address().to_string();
}

void ServerConnection::Start() { Read(); }

void ServerConnection::Read() {
  if (reading_ || state_ == State::kClosed) return;
  reading_ = true;
  socket_.async_read_some(boost::asio::buffer(read_buffer_),
                          [self = shared_from_this()](boost::system::error_code error, std::size_t bytes) {
                            self->reading_ = false;
                            if (self->state_ == State::kClosed) return;
                            if (error) return self->OnPeerEnd();
                            self->OnRead(bytes);
                          });
}

void ServerConnection::OnRead(std::size_t bytes) {
  if (state_ == State::kLingering || state_ == State::kAborting) {
    lingered_bytes_ += bytes;
    return lingered_bytes_ > kMaxLingerBytes ? Close() : Read();
  }
  since_ = BootClock::now();
  input_.append(read_buffer_.data(), bytes);
  if (state_ == State::kIdle || state_ == State::kReading) Parse();
  UpdateHeldBytes();
  if (state_ == State::kClosed) return;
  if (state_ == State::kHandling && input_.size() > kMaxPipelinedBytes) return;  // Read again after the answer.
  Read();
}

std::size_t ServerConnection::HeldBytes() const {
  if (state_ == State::kClosed) return 0;
  const std::size_t body = state_ == State::kReading ? parser_->body().size() : 0;
  return input_.size() + body + (exchange_ != nullptr ? exchange_->body.size() : 0) + output_bytes_;
}

void ServerConnection::UpdateHeldBytes() {
  if (server_ == nullptr || server_->budget_ == nullptr) return;
  const std::size_t before = std::exchange(held_bytes_, HeldBytes());
  server_->budget_->Update(before, held_bytes_);
  if (held_bytes_ > before) server_->RelieveBudget();
}

void ServerConnection::RefuseBody() {
  Fields fields;
  fields.Add("Retry-After", std::string(kRetryAfterSeconds));
  parser_.reset();
  input_ = {};
  RejectWith(kUnavailable, fields);
  UpdateHeldBytes();
}

bool ServerConnection::MayEndAnswer() const {
  return output_bytes_ > kAlwaysHeldBytes && !answer_finished_ && !ending_soon_ && state_ != State::kClosed;
}

void ServerConnection::EndAnswer() {
  output_.resize(1);  // The first part is being written.
  output_bytes_ = output_.front().size();
  EndSoon();
  UpdateHeldBytes();
}

void ServerConnection::Parse() {
  if (input_.empty()) return;
  if (state_ == State::kIdle) {
    state_ = State::kReading;
    limits_ = server_->limits_;
    parser_ = std::make_unique<RequestParser>(limits_.parser);
    request_began_ = BootClock::now();
  }
  const FeedResult result = parser_->Feed(input_);
  input_.erase(0, result.consumed);
  if (result.error != ParseError::kNone) return Reject(result.error);
  if (parser_->done()) return Dispatch();
  if (parser_->head_done() && !continue_sent_ && parser_->head().fields.HasToken("Expect", "100-continue")) {
    continue_sent_ = true;
    Send("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void ServerConnection::Dispatch() {
  state_ = State::kHandling;
  answer_finished_ = false;
  continue_sent_ = false;
  exchange_ = std::make_shared<Exchange>();
  exchange_->head = std::move(parser_->head());
  exchange_->body = std::move(parser_->body());
  exchange_->connection_ = weak_from_this();
  request_keeps_alive_ = exchange_->head.keep_alive;
  const std::shared_ptr<Exchange> exchange = exchange_;
  const ScopedActivity activity("handle request", exchange->head.method, exchange->head.target, 0,
                                exchange->body.size());
  server_->handler_(exchange);
}

void ServerConnection::Reject(ParseError error) { RejectWith(StatusOf(error)); }

void ServerConnection::RejectWith(int status, const Fields& fields) {
  ResponseHead head;
  head.status = status;
  head.fields = fields;
  request_keeps_alive_ = false;
  state_ = State::kHandling;
  SendWhole(head, limits_.rejection_body ? limits_.rejection_body(status) : "");
}

void ServerConnection::OnPeerEnd() {
  const std::shared_ptr<Exchange> exchange = std::exchange(exchange_, nullptr);
  Close();
  if (exchange == nullptr || exchange->answer_ended_) return;
  exchange->client_left_ = true;
  const std::function<void()> on_client_left = std::move(exchange->on_client_left);
  exchange->on_client_left = nullptr;
  if (on_client_left) on_client_left();
}

bool ServerConnection::ClosesAfterAnswer() const {
  return !request_keeps_alive_ || server_ == nullptr || server_->closing_;
}

void ServerConnection::SendWhole(const ResponseHead& head, std::string_view body) {
  ResponseHead own = head;
  if (ClosesAfterAnswer()) request_keeps_alive_ = false;
  own.keep_alive = request_keeps_alive_;
  const bool head_request = exchange_ != nullptr && exchange_->head.method == "HEAD";
  std::string bytes = SerializeResponseHead(own, Framing::kLength, body.size());
  if (!head_request) bytes += body;
  answer_finished_ = true;
  Send(std::move(bytes));
}

void ServerConnection::SendHead(const ResponseHead& head) {
  ResponseHead own = head;
  chunked_ = exchange_ == nullptr || exchange_->head.accepts_chunks;
  if (!chunked_) SetResetAtClose(true);
  if (ClosesAfterAnswer() || !chunked_) request_keeps_alive_ = false;
  own.keep_alive = request_keeps_alive_;
  Send(SerializeResponseHead(own, chunked_ ? Framing::kChunked : Framing::kConnectionEnd, 0));
}

void ServerConnection::SendChunk(std::string_view bytes) { Send(chunked_ ? ChunkOf(bytes) : std::string(bytes)); }

void ServerConnection::FinishAnswer() {
  if (ending_soon_) return;
  answer_finished_ = true;
  if (chunked_) return Send("0\r\n\r\n");
  SetResetAtClose(false);
  if (!writing_) OnAnswerWritten();
}

void ServerConnection::AbortAnswer() {
  if (!writing_) return Close();
  DropExchange();
  state_ = State::kAborting;
  since_ = BootClock::now();
}

// While a response has no other end than the connection's, an orderly end would complete it, also that of a process
// that is killed.
void ServerConnection::SetResetAtClose(bool resets) {
  boost::system::error_code ignored;
  socket_.set_option(boost::asio::socket_base::linger(resets, 0), ignored);
}

// What is called when the client leaves may hold the exchange itself.
void ServerConnection::DropExchange() {
  if (exchange_ != nullptr) exchange_->on_client_left = nullptr;
  exchange_.reset();
  UpdateHeldBytes();
}

void ServerConnection::EndSoon() {
  ending_soon_ = true;
  boost::asio::post(socket_.get_executor(), [self = shared_from_this()] { self->OnPeerEnd(); });
}

void ServerConnection::Send(std::string bytes) {
  if (state_ == State::kClosed || ending_soon_) return;
  output_bytes_ += bytes.size();
  output_.push_back(std::move(bytes));
  if (output_bytes_ > limits_.unread_answer_bytes && !answer_finished_) return EndSoon();
  if (!writing_) WriteNext();
  UpdateHeldBytes();
}

void ServerConnection::WriteNext() {
  writing_ = true;
  boost::asio::async_write(socket_, boost::asio::buffer(output_.front()),
                           [self = shared_from_this()](boost::system::error_code error, std::size_t bytes) {
                             self->writing_ = false;
                             if (self->state_ == State::kClosed) return;
                             if (error) return self->OnPeerEnd();
                             self->output_bytes_ -= bytes;
                             self->output_.pop_front();
                             self->UpdateHeldBytes();
                             if (!self->output_.empty()) return self->WriteNext();
                             if (self->state_ == State::kAborting) return self->Close();
                             if (self->answer_finished_) self->OnAnswerWritten();
                           });
}

void ServerConnection::OnAnswerWritten() {
  answer_finished_ = false;
  DropExchange();
  since_ = BootClock::now();
  if (!request_keeps_alive_) return Linger();
  state_ = State::kIdle;
  Parse();
  Read();
}

// Unread bytes at a close would reset the connection and take the answer with
// them, so the sending side ends first.
void ServerConnection::Linger() {
  state_ = State::kLingering;
  boost::system::error_code ignored;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  Read();
}

void ServerConnection::Close() {
  if (state_ == State::kClosed) return;
  state_ = State::kClosed;
  DropExchange();
  UpdateHeldBytes();
  boost::system::error_code ignored;
  socket_.close(ignored);
  if (server_ != nullptr) server_->connections_.erase(shared_from_this());
  server_ = nullptr;
}

void ServerConnection::CloseIfIdle() {
  if (state_ == State::kIdle && input_.empty()) Linger();
}

void ServerConnection::CheckTimes(BootClock::time_point now) {
  const auto self = shared_from_this();
  // A client goes by the limit that it knows, which may be the earlier or the current one.
  const auto idle_timeout = std::max(limits_.idle_timeout, server_->limits_.idle_timeout);
  if (state_ == State::kIdle && now - since_ > idle_timeout) return Linger();
  const bool ending = state_ == State::kLingering || state_ == State::kAborting;
  if (ending && now - since_ > kLingerTime) return Close();
  if (state_ != State::kReading) return;
  const bool head_late = !parser_->head_done() && now - request_began_ > limits_.head_timeout;
  const bool body_late = parser_->head_done() && now - since_ > limits_.idle_timeout;
  if (!head_late && !body_late) return;
  RejectWith(kRequestTimeout);
}

}  // namespace saltquay::http
