// Messages between nodes over TCP: length-prefixed FlatBuffers.
//
// Best effort, as the core expects: each peer has a bounded queue, a message
// that does not fit or whose connection breaks is dropped, and the core sends
// again what matters. One thread serves all connections. Bytes that do not
// verify are counted and close their connection.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "src/base/boot_clock.h"
#include "src/base/ids.h"
#include "src/base/status.h"
#include "src/core/messages.h"
#include "src/runtime/socket_address.h"

namespace saltquay {

class PeerTransport {
 public:
  using Receiver = std::function<void(PeerMessage)>;

  // Listens on `address` (port 0: any). `receiver` runs on the transport's thread.
  static absl::StatusOr<std::unique_ptr<PeerTransport>> Start(const SocketAddress& address, Receiver receiver);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  std::uint16_t port() const { return port_; }
  void SetAddress(NodeId node, const SocketAddress& address);
  // Thread-safe; never blocks.
  void Send(NodeId to, const PeerMessage& message);

  std::uint64_t bytes_sent() const { return bytes_sent_; }
  std::uint64_t bytes_received() const { return bytes_received_; }
  std::uint64_t refused_messages() const { return refused_messages_; }

 private:
  using Clock = BootClock;
  struct Outgoing {
    SocketAddress address;
    int socket = -1;
    bool connected = false;
    std::string buffer;
    Clock::time_point retry_at{};
  };
  struct Incoming {
    std::string buffer;
  };

  explicit PeerTransport(Receiver receiver) : receiver_(std::move(receiver)) {}
  absl::Status Listen(const SocketAddress& address);
  void Run();
  void Wake() const;
  void Accept();
  void Read(int socket);
  bool TakeMessages(Incoming& incoming);
  void CloseIncoming(int socket);
  void ServeOutgoing();
  void Connect(Outgoing& outgoing);
  void Flush(Outgoing& outgoing);
  void CloseOutgoing(Outgoing& outgoing);
  void Watch(int socket, std::uint32_t events, bool add) const;

  Receiver receiver_;
  int listener_ = -1;
  int epoll_ = -1;
  int wake_ = -1;
  std::uint16_t port_ = 0;
  std::mutex mutex_;
  std::map<NodeId, Outgoing> outgoing_;  // Guarded by mutex_.
  std::map<int, Incoming> incoming_;     // Only the transport's thread.
  std::atomic<bool> stopping_{false};
  std::atomic<std::uint64_t> bytes_sent_{0};
  std::atomic<std::uint64_t> bytes_received_{0};
  std::atomic<std::uint64_t> refused_messages_{0};
  std::thread thread_;
};

}  // namespace saltquay
