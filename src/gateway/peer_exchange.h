// Sends this node's report to its peers over UDP and takes theirs.
//
// Every round goes to a bounded number of peers, in turn, so that the traffic
// of a node does not grow with the fleet; digests go where the core says. Lost
// datagrams do not matter.
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
  std::vector<std::string> seeds;  // ip:port of a few nodes; may be stale.
  std::chrono::milliseconds interval{400};
  std::size_t fan_out = 10;
  // The same while digests come, which tell what the others do: rounds then only keep nodes known to each other, and
  // are as much rarer.
  std::size_t reduced_fan_out = 2;
  int reduced_interval_factor = 5;
};

class PeerExchange {
 public:
  struct Handlers {
    std::function<void(serving::PeerReport&)> fill;             // Completes a report before it is sent.
    std::function<void(const serving::PeerReport&)> on_report;  // Gets what arrives.
    std::function<void(const absl::Status&, const std::string&)>
        on_rejected_report;                                 // Cause, and the sender's address.
    std::function<std::vector<serving::PeerNode>()> peers;  // To whom rounds go.
    // Gets what is sent: its address, what it tells of, and its size.
    std::function<void(const std::string&, serving::ReportScope, std::size_t bytes)> on_sent;
  };
  PeerExchange(boost::asio::io_context& loop, PeerExchangeOptions options, Handlers handlers);

  // Errors say which address cannot be bound.
  absl::Status Start();
  // Sends a report now, besides the rounds.
  void SendReportNow() { SendReport(reduced_rate_ ? options_.reduced_fan_out : options_.fan_out); }
  // The same to as many as where no digests come: what must be known soon does not hang on who sums up.
  void SendReportWide() { SendReport(options_.fan_out); }
  // Sends a report with all known peers to one address now.
  void Greet(const std::string& address);
  void Send(const std::vector<serving::FleetMessage>& messages);
  void set_reduced_rate(bool quiet) { reduced_rate_ = quiet; }

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
  std::size_t next_ = 0;
};

}  // namespace saltquay::gateway
