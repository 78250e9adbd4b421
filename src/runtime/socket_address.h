// IPv4 "ip:port" addresses.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <string>

#include "src/base/status.h"

namespace saltquay {

struct SocketAddress {
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;

  std::string ToString() const;
  sockaddr_in ToSockaddr() const;
};

// Parses "127.0.0.1:7000". Errors are kInvalidSetting.
absl::StatusOr<SocketAddress> ParseSocketAddress(const std::string& text);

}  // namespace saltquay
