// A server on loopback whose behaviour is scripted by the test for each connection.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <cstdlib>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace saltquay::testing {

// An accepted connection with blocking calls that time out after two seconds.
class ScriptedConnection {
 public:
  explicit ScriptedConnection(int socket) : socket_(socket) {
    const timeval limit{2, 0};
    setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(socket_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  }
  // A new connection to a server on loopback.
  static std::unique_ptr<ScriptedConnection> To(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const int client = socket(AF_INET, SOCK_STREAM, 0);
    if (connect(client, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) std::abort();
    return std::make_unique<ScriptedConnection>(client);
  }
  ~ScriptedConnection() { Close(); }
  ScriptedConnection(const ScriptedConnection&) = delete;
  ScriptedConnection& operator=(const ScriptedConnection&) = delete;

  // Reads until `mark` was received, and returns everything received.
  std::string ReadUntil(const std::string& mark) {
    std::string text;
    char byte = 0;
    while (text.find(mark) == std::string::npos && recv(socket_, &byte, 1, 0) == 1) text += byte;
    return text;
  }
  std::string ReadHead() { return ReadUntil("\r\n\r\n"); }
  // Reads until the peer closes the connection or two seconds pass.
  std::string ReadToEnd() {
    std::string text;
    char byte = 0;
    ssize_t received = 0;
    while ((received = recv(socket_, &byte, 1, 0)) == 1) text += byte;
    reset_by_peer_ = received < 0 && errno == ECONNRESET;
    return text;
  }
  // Whether ReadToEnd() found the connection reset.
  bool reset_by_peer() const { return reset_by_peer_; }
  // Returns whether all of it could be written.
  bool Write(const std::string& text) {
    return send(socket_, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
  }
  // Ends this side of the connection in an orderly way; the peer may go on sending.
  void EndWriting() { shutdown(socket_, SHUT_WR); }
  // Reads until the peer closes the connection or two seconds pass.
  void Discard() {
    std::vector<char> buffer(1024 * 1024);
    while (recv(socket_, buffer.data(), buffer.size(), 0) > 0) continue;
  }
  void Close() {
    if (socket_ >= 0) close(socket_);
    socket_ = -1;
  }
  void Reset() {
    const linger now{1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    Close();
  }

 private:
  int socket_;
  bool reset_by_peer_ = false;
};

class ScriptedServer {
 public:
  using Script = std::function<void(ScriptedConnection&)>;

  // The first connection runs the first script, and so on; the last script repeats.
  explicit ScriptedServer(std::vector<Script> scripts) : scripts_(std::move(scripts)) {
    listener_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) std::abort();
    listen(listener_, 64);
    socklen_t length = sizeof(address);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { Accept(); });
  }
  ~ScriptedServer() {
    StopListening();
    thread_.join();
    for (std::thread& connection : connections_) connection.join();
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  int accepted() const { return accepted_; }
  // Refuses further connections, as if the process had ended.
  void StopListening() {
    if (stopping_.exchange(true)) return;
    shutdown(listener_, SHUT_RDWR);
    close(listener_);
  }

 private:
  void Accept() {
    while (!stopping_) {
      const int socket = accept(listener_, nullptr, nullptr);
      if (socket < 0) return;
      const std::size_t index = std::min<std::size_t>(static_cast<std::size_t>(accepted_++), scripts_.size() - 1);
      connections_.emplace_back([this, socket, index] {
        ScriptedConnection connection(socket);
        scripts_[index](connection);
      });
    }
  }

  std::vector<Script> scripts_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> accepted_ = 0;
  std::thread thread_;
  std::vector<std::thread> connections_;
};

}  // namespace saltquay::testing
