#include "src/gateway/peer_exchange.h"

#include <set>

#include <boost/asio/buffer.hpp>

#include "src/base/hash.h"
#include "src/core/serving/round_robin.h"
#include "src/gateway/peer_codec.h"
#include "src/http/socket.h"

namespace saltquay::gateway {

using boost::asio::ip::udp;

PeerExchange::PeerExchange(boost::asio::io_context& loop, PeerExchangeOptions options, Handlers handlers)
    : socket_(loop),
      timer_(loop),
      options_(std::move(options)),
      handlers_(std::move(handlers)),
      next_(HashText(options_.address)) {}

absl::Status PeerExchange::Start() {
  const absl::StatusOr<http::Endpoint> endpoint = http::ParseEndpoint(options_.address);
  if (!endpoint.ok()) return endpoint.status();
  boost::system::error_code error;
  socket_.open(udp::v4(), error);
  if (!error) socket_.bind(udp::endpoint(endpoint->address(), endpoint->port()), error);
  if (!error) socket_.non_blocking(true, error);
  if (error) {
    return MakeError(ErrorKind::kInvalidSetting, "cannot listen for peers on " + options_.address + " (" +
                                                     error.message() + "); free the port or set another address");
  }
  Receive();
  Round();
  return absl::OkStatus();
}

void PeerExchange::Receive() {
  socket_.async_receive_from(boost::asio::buffer(buffer_), sender_,
                             [this](boost::system::error_code error, std::size_t bytes) {
                               if (error == boost::asio::error::operation_aborted) return;
                               if (!error) {
                                 const auto report = DecodeReport({buffer_.data(), bytes});
                                 if (report.ok()) {
                                   handlers_.on_report(*report);
                                 } else {
                                   handlers_.on_rejected_report(report.status(), sender_.address().to_string());
                                 }
                               }
                               Receive();
                             });
}

void PeerExchange::Round() {
  SendReportNow();
  timer_.expires_after(reduced_rate_ ? options_.reduced_interval_factor * options_.interval : options_.interval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) Round();
  });
}

void PeerExchange::SendReport(std::size_t fan_out) {
  serving::PeerReport report;
  report.address = options_.address;
  handlers_.fill(report);
  std::vector<std::string> targets;
  for (const serving::PeerNode& peer : serving::TakeRoundRobin(handlers_.peers(), fan_out, next_)) {
    targets.push_back(peer.address);
  }
  // Seeds are added only while fewer peers than seeds are known, since the configured seeds may be stale.
  if (!reduced_rate_ && targets.size() < options_.seeds.size()) {
    targets.insert(targets.end(), options_.seeds.begin(), options_.seeds.end());
  }
  // Membership changes rarely, so the peer list is sent only in some rounds.
  constexpr std::uint64_t kRoundsPerListing = 5;
  if (!reduced_rate_ && report.sequence % kRoundsPerListing != 1) report.peers.clear();
  if (reduced_rate_) {
    report.work.clear();
    report.kept.clear();
  }
  const std::string bytes = EncodeReport(report);
  for (const std::string& target : std::set<std::string>(targets.begin(), targets.end())) {
    if (target != options_.address) SendBytes(target, report.scope, bytes);
  }
}

void PeerExchange::SendFullReport(const std::string& address) {
  serving::PeerReport report;
  report.address = options_.address;
  handlers_.fill(report);
  SendBytes(address, report.scope, EncodeReport(report));
}

void PeerExchange::Send(const std::vector<serving::FleetMessage>& messages) {
  for (const serving::FleetMessage& message : messages) {
    if (message.addresses.empty()) continue;
    const std::string bytes = EncodeReport(message.report);
    for (const std::string& address : message.addresses) SendBytes(address, message.report.scope, bytes);
  }
}

void PeerExchange::SendBytes(const std::string& address, serving::ReportScope scope, const std::string& bytes) {
  const absl::StatusOr<http::Endpoint> endpoint = http::ParseEndpoint(address);
  if (!endpoint.ok()) return;
  boost::system::error_code ignored;  // A failed send is equivalent to a lost datagram.
  socket_.send_to(boost::asio::buffer(bytes), udp::endpoint(endpoint->address(), endpoint->port()), 0, ignored);
  handlers_.on_sent(address, scope, bytes.size());
}

}  // namespace saltquay::gateway
