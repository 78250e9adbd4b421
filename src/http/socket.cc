#include "src/http/socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>

namespace saltquay::http {
namespace {

void SetOption(boost::asio::ip::tcp::socket& socket, int level, int option, int value) {
  // Failure only costs detection time: the caller's own deadlines still hold.
  static_cast<void>(setsockopt(socket.native_handle(), level, option, &value, sizeof(value)));
}

}  // namespace

absl::StatusOr<Endpoint> ParseEndpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  std::uint16_t port = 0;
  boost::system::error_code error;
  boost::asio::ip::address_v4 ip;
  bool valid = colon != std::string::npos;
  if (valid) {
    const char* first = address.data() + colon + 1;
    const char* last = address.data() + address.size();
    const auto read = std::from_chars(first, last, port);
    valid = read.ec == std::errc() && read.ptr == last;
    ip = boost::asio::ip::make_address_v4(address.substr(0, colon), error);
  }
  if (!valid || error)
    return absl::InvalidArgumentError("'" + address + "' is not IPV4:PORT; write for example 127.0.0.1:8080");
  return Endpoint(ip, port);
}

void DisableDelay(boost::asio::ip::tcp::socket& socket) { SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1); }

void EnableKeepAlive(boost::asio::ip::tcp::socket& socket, const KeepAliveTimes& times) {
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, times.idle_seconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, times.interval_seconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, times.probes);
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, times.unacknowledged_milliseconds);
}

}  // namespace saltquay::http
