// HTTP/1.1 client on one event loop, with kept connections.
//
// A request is written once: nothing here sends it again. The outcome says
// whether it can have arrived. A kept connection on which bytes or an end
// arrive while it rests is discarded, so that no answer meets another request.
// A connection carries each call id once: a server may send an earlier
// response again, late, and only its id tells it from the response to a later
// call. Each connection is probed by the kernel, for one may go silent without
// an end.
//
// A process that starts again cannot keep its connections. So what a server
// says of itself on a connection holds for as long as that connection, and a
// call that is meant for one process is sent only where that process has said
// who it is (IdentityCheck).
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <utility>  // Boost 1.74's Asio needs it first under C++20.

#include <boost/asio/io_context.hpp>

#include "src/http/message.h"
#include "src/http/parser.h"
#include "src/http/socket.h"

namespace saltquay::http {

enum class CallFailure {
  kNotSent,    // No byte left this machine, or nobody accepted the connection.
  kBroken,     // It may have arrived; the answer did not come whole.
  kMalformed,  // The peer sent bytes that are no answer.
  // The server accepted the connection but did not say who it is; see IdentityCheck. The call itself was not sent.
  kUnidentified,
};

// Which call a response belongs to, by the id that it names.
enum class ResponseOwner {
  kThisCall,
  kAnotherCall,  // Skipped; this call's own is awaited.
  kUnnamed,      // Taken for this call's. Its connection is not kept, since a copy of it could not be recognized.
};

// Identifies one process of a server among all that have run at its address. What the number means is the caller's
// matter.
using ServerIdentity = std::int64_t;

// Asks the server who it is and sends the call only if it is the expected process.
struct IdentityCheck {
  ServerIdentity expected = 0;
  std::string request;  // Serialized; sent first on a connection whose server has not been identified.
  std::string call_id;  // Of that request; see CallOptions::call_id.
  std::chrono::milliseconds timeout{500};
  // Which call a response to that request belongs to. Unset: every response is its own.
  std::function<ResponseOwner(const ResponseHead&)> owner_of;
  std::function<ServerIdentity(const ResponseHead&, const std::string& body)> decode;
};

struct CallHandlers {
  // Unset: every response is this call's.
  std::function<ResponseOwner(const ResponseHead&)> owner_of;
  std::function<void(const ResponseHead&)> on_head;
  std::function<void(std::string_view)> on_body;
  std::function<void()> on_complete;
  std::function<void(CallFailure)> on_failure;
  // Before on_failure(): what is wrong with bytes that are no response; for the log. It must not end the call.
  std::function<void(std::string_view cause)> on_malformed;
  // Instead of the others: the server is not the expected one, and the call was not sent.
  std::function<void(ServerIdentity)> on_other_server;
};

struct CallOptions {
  std::chrono::milliseconds connect_timeout{1000};
  bool head_request = false;
  bool on_new_connection = false;  // Not on one that rests.
  std::string call_id;             // Names the call in its request and in the response to it; empty: nothing does.
  std::optional<IdentityCheck> identity_check = std::nullopt;  // nullopt: any server will do.
  std::uint64_t max_body_bytes = 64 * 1024;                    // Of the response; a longer one is malformed.
};

// The connection of a call, as it was when the call began.
struct CallConnection {
  std::uint64_t number = 0;  // Of the client's connections, in the order in which they were opened.
  bool kept = false;         // It has carried other calls.
  int passed_over = 0;       // Kept connections that were not used since they had carried the call's id.
};

class ClientConnection;

// A call under way. Cancelling closes its connection, unless the call has
// ended and the connection serves another; no handler runs after.
class Call {
 public:
  ~Call();
  void Cancel();
  const CallConnection& connection() const { return description_; }

 private:
  friend class Client;
  std::weak_ptr<ClientConnection> connection_;
  CallConnection description_;
  std::uint64_t use_ = 0;  // Of the connection, by this call.
};

class Client {
 public:
  explicit Client(boost::asio::io_context& loop);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Sends `request` to `endpoint`. `pool` names connections that may be
  // shared: use the identity of the peer, not only its address.
  std::unique_ptr<Call> Start(const Endpoint& endpoint, const std::string& pool, std::string request,
                              const CallOptions& options, CallHandlers handlers);

  // Ends the resting connections of a pool.
  void ForgetPool(const std::string& pool);
  // Connections of the pool that exist, in use or resting.
  int Connections(const std::string& pool) const;
  std::uint64_t connections_opened() const { return connections_opened_; }

 private:
  friend class ClientConnection;
  struct Pool {
    std::vector<std::shared_ptr<ClientConnection>> resting;
    int open = 0;  // Connections that are up or being opened.
  };

  // Returns a resting connection that can serve the call, or nullptr. `passed_over`: see CallConnection.
  std::shared_ptr<ClientConnection> TakeResting(const std::string& pool, const CallOptions& options, int& passed_over);
  std::shared_ptr<ClientConnection> Open(const Endpoint& endpoint, const std::string& pool, const CallOptions& options);

  boost::asio::io_context& loop_;
  std::unordered_map<std::string, Pool> pools_;
  std::uint64_t connections_opened_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace saltquay::http
