// Sends this node's report to its peers over UDP and takes theirs.
//
// Every round goes to a bounded number of peers, in turn, so that the traffic
// of a node does not grow with the fleet. Lost datagrams do not matter.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <utility>  // Boost 1.74's Asio needs it first under C++20.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "src/base/status.h"
#include "src/core/serving/peer_table.h"

namespace saltquay::gateway {

struct PeerExchangeOptions {
  std::string address;             // ip:port to listen on.
  std::vector<std::string> seeds;  // ip:port of a few nodes; may be stale.
  std::chrono::milliseconds interval{400};
  std::size_t fan_out = 10;
};

class PeerExchange {
 public:
  // `fill` completes a report before it is sent; `on_report` gets what arrives.
  PeerExchange(boost::asio::io_context& loop, PeerExchangeOptions options,
               std::function<void(serving::PeerReport&)> fill,
               std::function<void(const serving::PeerReport&)> on_report,
               std::function<std::vector<serving::PeerAddress>()> addresses);

  // Errors say which address cannot be bound.
  absl::Status Start();
  // Sends a report now, besides the rounds.
  void SendNow();
  // Sends a report with all known peers to one address now.
  void Greet(const std::string& address);

 private:
  void Receive();
  void Round();
  void SendTo(const std::string& address, const std::string& bytes);

  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer timer_;
  PeerExchangeOptions options_;
  std::function<void(serving::PeerReport&)> fill_;
  std::function<void(const serving::PeerReport&)> on_report_;
  std::function<std::vector<serving::PeerAddress>()> addresses_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, 65536> buffer_;
  std::size_t next_ = 0;
};

}  // namespace saltquay::gateway
