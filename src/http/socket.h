// Socket helpers shared by server and client.
#pragma once

#include <utility>  // Boost 1.74's Asio needs it first under C++20.

#include <boost/asio/ip/tcp.hpp>

#include <string>

#include "src/base/status.h"

namespace saltquay::http {

using Endpoint = boost::asio::ip::tcp::endpoint;

// Parses "ip:port" (IPv4).
absl::StatusOr<Endpoint> ParseEndpoint(const std::string& address);

// The shortest that whole seconds allow with one probe that may be lost: a silent connection ends after three seconds.
struct KeepAliveTimes {
  int idle_seconds = 1;
  int interval_seconds = 1;
  int probes = 2;
  int unacknowledged_milliseconds = 3000;  // TCP_USER_TIMEOUT.
};

// Sends small writes at once.
void DisableDelay(boost::asio::ip::tcp::socket& socket);
// Makes a silent cut end the connection within the given times.
void EnableKeepAlive(boost::asio::ip::tcp::socket& socket, const KeepAliveTimes& times);

}  // namespace saltquay::http
