// One connection of a client; internal to the server.
#pragma once

#include <array>
#include <chrono>
#include <deque>
#include <memory>
#include <string>

#include "src/http/server.h"

namespace saltquay::http {

class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(Server& server, boost::asio::ip::tcp::socket socket);

  void Start();
  // The server is gone or ends this connection at once.
  void Close();
  // Ends the connection when no request is under way.
  void CloseIfIdle();
  // Enforces the time limits; called twice a second.
  void CheckTimes(BootClock::time_point now);

  // Called by the server when its budget is spent. A request that is still being read can be refused, since it has not
  // been handed over.
  bool MayRefuseBody() const { return state_ == State::kReading && held_bytes_ > kAlwaysHeldBytes; }
  void RefuseBody();
  bool MayEndAnswer() const;
  void EndAnswer();
  std::size_t unread_bytes() const { return output_bytes_; }
  std::size_t held_bytes() const { return held_bytes_; }
  BootClock::time_point since() const { return since_; }

  // Called by Exchange.
  std::string RemoteAddress() const;
  void SendWhole(const ResponseHead& head, std::string_view body);
  void SendHead(const ResponseHead& head);
  void SendChunk(std::string_view bytes);
  void FinishAnswer();
  void AbortAnswer();

 private:
  // kAborting: writes what is queued and then closes.
  // A connection with no more than this never yields.
  static constexpr std::size_t kAlwaysHeldBytes = 32 * 1024;
  enum class State { kIdle, kReading, kHandling, kAborting, kLingering, kClosed };

  void Read();
  void OnRead(std::size_t bytes);
  void Parse();
  void Dispatch();
  void Reject(ParseError error);
  void RejectWith(int status, const Fields& fields = {});
  void OnPeerEnd();
  // Sends nothing more, and ends the connection from the event loop.
  void EndSoon();
  void Send(std::string bytes);
  void WriteNext();
  void OnAnswerWritten();
  void Linger();
  void DropExchange();
  void SetResetAtClose(bool resets);
  bool ClosesAfterAnswer() const;
  // Counts what the connection holds against the server's budget.
  void UpdateHeldBytes();
  std::size_t HeldBytes() const;

  Server* server_;
  boost::asio::ip::tcp::socket socket_;
  ServerLimits limits_;  // In force when the current or the last request began.
  State state_ = State::kIdle;
  std::unique_ptr<RequestParser> parser_;  // Of the current or the last request; null before the first.
  std::string input_;
  std::array<char, 16384> read_buffer_;
  std::deque<std::string> output_;
  std::size_t output_bytes_ = 0;
  std::size_t held_bytes_ = 0;      // As counted against the budget.
  std::size_t lingered_bytes_ = 0;  // Read and dropped since the connection began to end.
  bool writing_ = false;
  bool reading_ = false;
  bool chunked_ = true;  // Whether the stream that is being sent is; otherwise it ends with the connection.
  bool request_keeps_alive_ = true;
  bool answer_finished_ = false;
  bool continue_sent_ = false;
  bool ending_soon_ = false;
  std::shared_ptr<Exchange> exchange_;
  BootClock::time_point since_;  // Of the state, or of the last bytes.
  BootClock::time_point request_began_;
};

}  // namespace saltquay::http
