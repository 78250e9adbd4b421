#include "src/runtime/peer_transport.h"

#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstring>
#include <vector>

#include "src/base/logger.h"
#include "src/wire/codec.h"

namespace saltquay {
namespace {

constexpr std::size_t kQueueLimitBytes = 32 * 1024 * 1024;
constexpr std::size_t kReadBytes = 64 * 1024;
constexpr int kBacklog = 256;
constexpr int kEventsPerWait = 64;
constexpr int kWaitMilliseconds = 100;
constexpr std::chrono::milliseconds kReconnectPause{100};
constexpr std::size_t kLengthBytes = 4;

void MakeNonBlocking(int socket) { fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) | O_NONBLOCK); }

void DisableDelay(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

std::uint32_t ReadLength(const std::string& buffer, std::size_t at) {
  std::uint32_t length = 0;
  std::memcpy(&length, buffer.data() + at, kLengthBytes);
  return ntohl(length);
}

}  // namespace

absl::StatusOr<std::unique_ptr<PeerTransport>> PeerTransport::Start(const SocketAddress& address, Receiver receiver) {
  std::unique_ptr<PeerTransport> transport(new PeerTransport(std::move(receiver)));
  const absl::Status listening = transport->Listen(address);
  if (!listening.ok()) return listening;
  transport->thread_ = std::thread([raw = transport.get()] { raw->Run(); });
  return transport;
}

absl::Status PeerTransport::Listen(const SocketAddress& address) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in bound = address.ToSockaddr();
  socklen_t size = sizeof(bound);
  const bool listens = bind(listener_, reinterpret_cast<sockaddr*>(&bound), size) == 0 &&
                       listen(listener_, kBacklog) == 0 &&
                       getsockname(listener_, reinterpret_cast<sockaddr*>(&bound), &size) == 0;
  if (!listens) {
    return MakeError(ErrorKind::kInvalidSetting,
                     "cannot listen for peers on " + address.ToString() + "; free the port or set another");
  }
  port_ = ntohs(bound.sin_port);
  MakeNonBlocking(listener_);
  epoll_ = epoll_create1(EPOLL_CLOEXEC);
  wake_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  Watch(listener_, EPOLLIN, true);
  Watch(wake_, EPOLLIN, true);
  return absl::OkStatus();
}

PeerTransport::~PeerTransport() {
  stopping_ = true;
  if (thread_.joinable()) {
    Wake();
    thread_.join();
  }
  for (auto& [node, outgoing] : outgoing_) {
    if (outgoing.socket >= 0) close(outgoing.socket);
  }
  for (auto& [socket, incoming] : incoming_) close(socket);
  for (const int descriptor : {listener_, epoll_, wake_}) {
    if (descriptor >= 0) close(descriptor);
  }
}

void PeerTransport::Wake() const {
  const std::uint64_t one = 1;
  const ssize_t written = write(wake_, &one, sizeof(one));
  (void)written;  // A full counter wakes the thread all the same.
}

void PeerTransport::Watch(int socket, std::uint32_t events, bool add) const {
  epoll_event event{};
  event.events = events;
  event.data.fd = socket;
  epoll_ctl(epoll_, add ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, socket, &event);
}

void PeerTransport::SetAddress(NodeId node, const SocketAddress& address) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Outgoing& outgoing = outgoing_[node];
  const bool same = outgoing.address.host == address.host && outgoing.address.port == address.port;
  if (same) return;
  CloseOutgoing(outgoing);
  outgoing.address = address;
}

void PeerTransport::Send(NodeId to, const PeerMessage& message) {
  const std::string bytes = EncodePeerMessage(message);
  if (bytes.size() > kMaxPeerMessageBytes) return;
  const std::uint32_t length = htonl(static_cast<std::uint32_t>(bytes.size()));
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto entry = outgoing_.find(to);
    if (entry == outgoing_.end() || entry->second.buffer.size() + bytes.size() > kQueueLimitBytes) return;
    entry->second.buffer.append(reinterpret_cast<const char*>(&length), kLengthBytes);
    entry->second.buffer += bytes;
  }
  bytes_sent_ += bytes.size() + kLengthBytes;
  Wake();
}

void PeerTransport::CloseOutgoing(Outgoing& outgoing) {
  if (outgoing.socket >= 0) close(outgoing.socket);
  outgoing.socket = -1;
  outgoing.connected = false;
  // A message cut in the middle must not be continued on another connection.
  outgoing.buffer.clear();
  outgoing.retry_at = Clock::now() + kReconnectPause;
}

void PeerTransport::Connect(Outgoing& outgoing) {
  if (Clock::now() < outgoing.retry_at) return;
  outgoing.socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  DisableDelay(outgoing.socket);
  const sockaddr_in address = outgoing.address.ToSockaddr();
  const int result = connect(outgoing.socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (result != 0 && errno != EINPROGRESS) return CloseOutgoing(outgoing);
  Watch(outgoing.socket, EPOLLOUT, true);
}

void PeerTransport::Flush(Outgoing& outgoing) {
  while (!outgoing.buffer.empty()) {
    const ssize_t sent = send(outgoing.socket, outgoing.buffer.data(), outgoing.buffer.size(), MSG_NOSIGNAL);
    if (sent > 0) {
      outgoing.connected = true;
      outgoing.buffer.erase(0, static_cast<std::size_t>(sent));
      continue;
    }
    const bool wait = errno == EAGAIN || errno == ENOTCONN || errno == EINPROGRESS;
    if (!wait) return CloseOutgoing(outgoing);
    Watch(outgoing.socket, EPOLLOUT, false);
    return;
  }
  // Only errors are of interest until there is more to send.
  Watch(outgoing.socket, 0, false);
}

void PeerTransport::ServeOutgoing() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto& [node, outgoing] : outgoing_) {
    if (outgoing.buffer.empty()) continue;
    if (outgoing.socket < 0) Connect(outgoing);
    if (outgoing.socket >= 0) Flush(outgoing);
  }
}

void PeerTransport::Accept() {
  while (true) {
    const int accepted = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0) return;
    incoming_[accepted] = Incoming{};
    Watch(accepted, EPOLLIN, true);
  }
}

void PeerTransport::CloseIncoming(int socket) {
  close(socket);
  incoming_.erase(socket);
}

bool PeerTransport::TakeMessages(Incoming& incoming) {
  std::size_t at = 0;
  while (incoming.buffer.size() - at >= kLengthBytes) {
    const std::uint32_t length = ReadLength(incoming.buffer, at);
    if (length > kMaxPeerMessageBytes) return false;
    if (incoming.buffer.size() - at < kLengthBytes + length) break;
    // FlatBuffers wants aligned bytes, so each message is copied out.
    const std::string bytes = incoming.buffer.substr(at + kLengthBytes, length);
    at += kLengthBytes + length;
    absl::StatusOr<PeerMessage> message = DecodePeerMessage(bytes);
    if (!message.ok()) return false;
    receiver_(std::move(*message));
  }
  incoming.buffer.erase(0, at);
  return true;
}

void PeerTransport::Read(int socket) {
  Incoming& incoming = incoming_[socket];
  std::vector<char> bytes(kReadBytes);
  const ssize_t count = recv(socket, bytes.data(), bytes.size(), 0);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (count <= 0) return CloseIncoming(socket);
  bytes_received_ += static_cast<std::uint64_t>(count);
  incoming.buffer.append(bytes.data(), static_cast<std::size_t>(count));
  if (TakeMessages(incoming)) return;
  refused_messages_ += 1;
  LogEvent(EventId::kPeerDataRefused, "bytes on the peer port do not verify; the connection is closed");
  CloseIncoming(socket);
}

void PeerTransport::Run() {
  std::array<epoll_event, kEventsPerWait> events{};
  while (!stopping_) {
    const int count = epoll_wait(epoll_, events.data(), kEventsPerWait, kWaitMilliseconds);
    for (int i = 0; i < count; ++i) {
      const epoll_event& event = events[static_cast<std::size_t>(i)];
      const int socket = event.data.fd;
      if (socket == listener_) {
        Accept();
      } else if (socket == wake_) {
        std::uint64_t ignored = 0;
        const ssize_t taken = read(wake_, &ignored, sizeof(ignored));
        (void)taken;
      } else if (incoming_.contains(socket)) {
        Read(socket);
      } else if ((event.events & (EPOLLERR | EPOLLHUP)) != 0U) {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (auto& [node, outgoing] : outgoing_) {
          if (outgoing.socket == socket) CloseOutgoing(outgoing);
        }
      }
    }
    ServeOutgoing();
  }
}

}  // namespace saltquay
