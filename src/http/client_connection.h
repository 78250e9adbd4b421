// One connection to a server; internal to the client.
#pragma once

#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include <utility>  // Boost 1.74's Asio needs it first under C++20.

#include "src/http/boot_timer.h"
#include "src/http/carried_calls.h"
#include "src/http/client.h"

namespace saltquay::http {

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(Client& client, boost::asio::io_context& loop, std::string pool, std::uint64_t number);

  void Connect(const Endpoint& endpoint, const CallOptions& options);
  // Sends on a connection that is up, or as soon as it is.
  void Begin(std::string request, const CallOptions& options, CallHandlers handlers);
  // Closes without a word to the handlers.
  void Close();
  // Returns whether nothing has arrived and the peer's own limit is not near.
  bool FitForUse();
  // Returns whether a call with that id may have been sent here; false for an empty id.
  bool MayHaveCarried(std::string_view call_id) const { return !call_id.empty() && carried_.MayContain(call_id); }
  // Returns whether the server is known not to be the one that the call is meant for.
  bool LeadsToOtherServer(const CallOptions& options) const {
    return options.identity_check && server_identity_ && *server_identity_ != options.identity_check->expected;
  }
  // Changes with each call begun and each call ended.
  std::uint64_t use() const { return use_; }
  std::uint64_t number() const { return number_; }

 private:
  enum class State { kConnecting, kBusy, kResting, kClosed };
  // How the server's side of the connection ended during the current call.
  enum class ReadEnd { kNone, kOrderly, kFailed };

  void OnConnected(const boost::system::error_code& error);
  void Write();
  void OnWritten(const boost::system::error_code& error, std::size_t bytes);
  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t bytes);
  void Consume();
  bool SkipForeignAnswer();
  void StartIdentityTimer();
  // The server has said who it is: sends the call, or ends it.
  void OnIdentified();
  void EndAtOtherServer();
  // Returns false if more has been skipped during the call than a sound server sends.
  bool CountSkipped(std::size_t bytes, bool whole_response);
  // Takes the bytes of the body that were parsed; returns false if the body is too long.
  bool TakeBody();
  ResponseOwner OwnerOf(const ResponseHead& head) const;
  void DeliverBody();
  void Complete();
  void OnEnd();
  bool ResponseIsWholeAtEnd();
  void Fail(CallFailure failure);
  void FailMalformed(std::string_view cause);
  void Rest(const ResponseHead& head);
  void NewParser();

  Client* client_;
  std::weak_ptr<bool> client_alive_;
  std::string pool_;
  std::uint64_t number_;
  boost::asio::ip::tcp::socket socket_;
  BootTimer timer_;
  State state_ = State::kConnecting;
  std::uint64_t use_ = 0;
  CarriedCalls carried_;
  std::string request_;
  CallOptions options_;
  std::optional<CallHandlers> handlers_;
  std::unique_ptr<ResponseParser> parser_;
  std::string input_;
  std::string body_;  // Not delivered yet.
  std::uint64_t body_bytes_ = 0;
  std::uint64_t skipped_bytes_ = 0;
  int skipped_responses_ = 0;
  std::array<char, 16384> read_buffer_;
  bool reading_ = false;
  bool writing_ = false;
  bool write_failed_ = false;  // After its first bytes.
  ReadEnd read_end_ = ReadEnd::kNone;
  bool head_seen_ = false;
  bool skipping_ = false;
  bool response_unnamed_ = false;  // The response of the current call names no call.
  bool identifying_ = false;       // The server is being asked who it is; the call has not been sent.
  bool call_due_ = false;          // It has answered while the question was still being written.
  bool needs_names_ = false;       // It named no call in its answer: only responses that name theirs are told apart.
  std::optional<ServerIdentity> server_identity_;
  BootClock::time_point usable_until_ = BootClock::time_point::max();
};

}  // namespace saltquay::http
