// Exchanges reports with peers over UDP.
//
// Each round sends this node's report to a bounded number of peers in rotation, so that a node's traffic does not grow
// with the fleet; digests are sent to the addresses that the core chooses. The protocol tolerates lost datagrams.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <utility>  // Boost 1.74's Asio needs it first under C++20.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "src/base/status.h"
#include "src/core/serving/fleet_exchange.h"
#include "src/http/boot_timer.h"

namespace saltquay::gateway {

struct PeerExchangeOptions {
  std::string address;             // ip:port to listen on.
  std::vector<std::string> seeds;  // ip:port of some nodes, for discovery; may be stale.
  std::chrono::milliseconds interval{400};
  std::size_t fan_out = 10;
  // Reduced fan-out and interval multiplier while digests arrive. Digests carry the state of the other nodes then;
  // reports only maintain the membership.
  std::size_t reduced_fan_out = 2;
  int reduced_interval_factor = 5;
};

class PeerExchange {
 public:
  struct Handlers {
    std::function<void(serving::PeerReport&)> fill;             // Fills in a report before it is sent.
    std::function<void(const serving::PeerReport&)> on_report;  // Receives every valid report.
    std::function<void(const absl::Status&, const std::string&)>
        on_rejected_report;                                        // Cause and address of the sender.
    std::function<const std::vector<serving::PeerNode>&()> peers;  // Candidate receivers of a round.
    // Called for every datagram sent, with its receiver, scope and size.
    std::function<void(const std::string&, serving::ReportScope, std::size_t bytes)> on_sent;
  };
  PeerExchange(boost::asio::io_context& loop, PeerExchangeOptions options, Handlers handlers);

  // Errors name the address that cannot be bound.
  absl::Status Start();
  // Sends a report immediately, in addition to the periodic rounds.
  void SendReportNow() { SendReport(reduced_rate_ ? options_.reduced_fan_out : options_.fan_out); }
  // Like SendReportNow, but always with the full fan-out: urgent information must not depend on the aggregators of
  // digests.
  void SendReportWide() { SendReport(options_.fan_out); }
  // Sends a report with its list of peers to one address immediately.
  void SendFullReport(const std::string& address);
  void Send(const std::vector<serving::FleetMessage>& messages);
  void set_reduced_rate(bool reduced_rate) { reduced_rate_ = reduced_rate; }

 private:
  void Receive();
  void Round();
  void SendReport(std::size_t fan_out);
  void SendBytes(const std::string& address, serving::ReportScope scope, const std::string& bytes);

  boost::asio::ip::udp::socket socket_;
  BootTimer timer_;
  PeerExchangeOptions options_;
  Handlers handlers_;
  bool reduced_rate_ = false;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, 65536> buffer_;
  // Position of the next round. Starts at a different one at each node: all nodes know the same peers in the same
  // order, and would otherwise report to the same few at a time.
  std::size_t next_;
};

}  // namespace saltquay::gateway
