// HTTP/1.1 server on one event loop.
//
// A request is handed over whole (head and body read). Its answer is written
// whole or as chunks; the next request of the connection waits for it. The
// server goes on reading while a request is handled, so that it notices a
// client that leaves.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include <utility>  // Boost 1.74's Asio needs it first under C++20.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "src/base/status.h"
#include "src/http/boot_timer.h"
#include "src/http/byte_budget.h"
#include "src/http/message.h"
#include "src/http/parser.h"

namespace saltquay::http {

struct ServerLimits {
  ParserLimits parser;
  std::chrono::milliseconds head_timeout{3000};   // From a request's first byte to the end of its head.
  std::chrono::milliseconds idle_timeout{15000};  // Between requests, and between the pieces of a body.
  // The body of an answer to what cannot be read, by its status; may be empty.
  std::function<std::string(int)> rejection_body;
  std::size_t unread_answer_bytes = 4 * 1024 * 1024;  // A client with more of its answer unread is taken to have left.
};

class ServerConnection;

// One request and its answer. Used on the loop's thread only. No function of an exchange calls on_client_left: it runs
// from the loop, so a caller's state does not change inside a call.
class Exchange {
 public:
  RequestHead head;
  std::string body;

  // Answers whole. Ignored when the client has left or an answer began.
  void Respond(const ResponseHead& head, std::string_view body);
  void BeginStream(const ResponseHead& head);
  void Write(std::string_view bytes);
  void EndStream();
  // Ends the connection so that the answer does not look complete.
  void Abort();

  // IP address of the client; empty once its connection has ended.
  std::string remote_address() const;
  bool client_left() const { return client_left_; }
  bool answer_begun() const { return answer_begun_; }
  // Called at most once, when the client leaves before the answer's end.
  std::function<void()> on_client_left;

 private:
  friend class ServerConnection;
  std::weak_ptr<ServerConnection> connection_;
  bool client_left_ = false;
  bool answer_begun_ = false;
  bool answer_ended_ = false;
};

class Server {
 public:
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;

  // Listens on "ip:port". Errors say which address cannot be bound.
  static absl::StatusOr<std::unique_ptr<Server>> Listen(boost::asio::io_context& loop, const std::string& address,
                                                        const ServerLimits& limits, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Applies to requests that begin later.
  void set_limits(const ServerLimits& limits) { limits_ = limits; }
  // What all connections together may hold; may be shared with other servers. Without one, only each connection has
  // limits. When it is spent, the request body that has not moved for the longest is refused with 503, and the answer
  // with the most unread bytes is ended.
  void set_budget(std::shared_ptr<ByteBudget> budget) { budget_ = std::move(budget); }
  // From now on each answer ends its connection.
  void StartClosing() { closing_ = true; }
  // Takes no more connections and ends the idle ones.
  void StopAccepting();

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  std::size_t open_connections() const { return connections_.size(); }

 private:
  friend class ServerConnection;
  Server(boost::asio::io_context& loop, const ServerLimits& limits, Handler handler);

  void Accept();
  void Sweep();
  // Makes connections yield until the budget holds, or none can.
  void RelieveBudget();

  boost::asio::io_context& loop_;
  ServerLimits limits_;
  Handler handler_;
  std::shared_ptr<ByteBudget> budget_;
  boost::asio::ip::tcp::acceptor acceptor_;
  BootTimer sweep_timer_;
  std::set<std::shared_ptr<ServerConnection>> connections_;
  bool closing_ = false;
};

}  // namespace saltquay::http
