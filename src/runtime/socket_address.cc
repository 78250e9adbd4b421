#include "src/runtime/socket_address.h"

#include <arpa/inet.h>

#include <charconv>

namespace saltquay {
namespace {

constexpr unsigned kHighestPort = 65535;

absl::Status BadAddress(const std::string& text) {
  return MakeError(ErrorKind::kInvalidSetting, "'" + text + "' is not an address; write it as 127.0.0.1:7000");
}

}  // namespace

std::string SocketAddress::ToString() const { return host + ":" + std::to_string(port); }

sockaddr_in SocketAddress::ToSockaddr() const {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

absl::StatusOr<SocketAddress> ParseSocketAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return BadAddress(text);
  SocketAddress address;
  address.host = text.substr(0, colon);
  unsigned port = 0;
  const char* end = text.data() + text.size();
  const std::from_chars_result parsed = std::from_chars(text.data() + colon + 1, end, port);
  in_addr ignored{};
  const bool host_fits = inet_pton(AF_INET, address.host.c_str(), &ignored) == 1;
  if (parsed.ec != std::errc() || parsed.ptr != end || port > kHighestPort || !host_fits) return BadAddress(text);
  address.port = static_cast<std::uint16_t>(port);
  return address;
}

}  // namespace saltquay
