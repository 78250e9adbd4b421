// Messages about limits and permits in batches; bytes between nodes by kind and locality, for metrics and the log.
#include <algorithm>
#include <map>

#include "src/gateway/fleet_coordinator.h"

namespace saltquay::gateway {
namespace {

// Interval between log lines that summarize traffic; their cost is negligible next to that of the requests in between.
constexpr Duration kTrafficLogInterval = 10s;

}  // namespace

// Called for every datagram sent, so the result of the search through the peer table is cached by address.
TrafficLocality FleetCoordinator::LocalityOf(const std::string& address) {
  constexpr std::size_t kMaxAddresses = 4096;  // Bounds the cache: replaced nodes get new addresses.
  const auto known = peer_localities_.find(address);
  if (known != peer_localities_.end()) return known->second;
  const std::vector<serving::PeerNode>& nodes = peers_.Nodes();
  const auto peer =
      std::find_if(nodes.begin(), nodes.end(), [&](const serving::PeerNode& node) { return node.address == address; });
  if (peer == nodes.end()) return TrafficLocality::kOtherRegion;
  if (peer_localities_.size() >= kMaxAddresses) peer_localities_.clear();
  return peer_localities_[address] = gateway_.traffic().LocalityOf(peer->zone);
}

bool FleetCoordinator::IsPeerAddress(const std::string& ip) const {
  const std::vector<serving::PeerNode>& nodes = peers_.Nodes();
  return !ip.empty() && std::any_of(nodes.begin(), nodes.end(),
                                    [&](const serving::PeerNode& node) { return node.address.starts_with(ip + ":"); });
}

void FleetCoordinator::UpdateForwardingPeers() {
  if (listed_peers_version_ == peers_.version()) return;
  listed_peers_version_ = peers_.version();
  serving::PeersListed listed;
  for (const serving::PeerNode& node : peers_.Nodes()) {
    if (!node.stopping) listed.nodes.push_back(node);
  }
  gateway_.Dispatch(listed);
}

void FleetCoordinator::LogTraffic() {
  const Time now = gateway_.Now();
  if (now < next_traffic_log_) return;
  if (next_traffic_log_ != Time{}) gateway_.Log(EventId::kTrafficSummary, "", gateway_.traffic().Summary());
  next_traffic_log_ = now + kTrafficLogInterval;
}

template <typename Addressed, typename Message>
void FleetCoordinator::SendBatch(const std::vector<Addressed>& messages,
                                 std::vector<Message> serving::PeerReport::*member) {
  if (exchange_ == nullptr) return;
  std::map<std::string, serving::FleetMessage> by_address;
  for (const Addressed& addressed : messages) {
    serving::FleetMessage& message = by_address[addressed.address];
    message.addresses = {addressed.address};
    message.report.scope = serving::ReportScope::kLimits;
    (message.report.*member).push_back(addressed.message);
  }
  for (auto& [address, message] : by_address) exchange_->Send({message});
}

void FleetCoordinator::SendLimitMessageBatch(const serving::SendLimitMessages& action) {
  SendBatch(action.messages, &serving::PeerReport::limits);
}

void FleetCoordinator::SendPermitMessageBatch(const serving::SendPermitMessages& action) {
  SendBatch(action.messages, &serving::PeerReport::permits);
}

void FleetCoordinator::SendStreamMessageBatch(const serving::SendStreamMessages& action) {
  SendBatch(action.messages, &serving::PeerReport::streams);
}

}  // namespace saltquay::gateway
