#include "src/core/serving/peer_table.h"

#include <algorithm>

namespace saltquay::serving {
namespace {

constexpr Duration kForgetAfter = 3s;
// A node reports to a bounded number of peers in a round: each more peer delays the next report to one.
constexpr Duration kForgetAfterPerPeer = 60ms;
constexpr Duration kNamedFor = 6s;

}  // namespace

bool PeerTable::Note(const PeerReport& report, Time now) {
  if (report.node == own_node_ || report.node.empty()) return false;
  Entry& entry = peers_[report.node];
  const bool known = entry.heard != Time{};
  const bool newer =
      report.boot > entry.report.boot || (report.boot == entry.report.boot && report.sequence > entry.report.sequence);
  if (known && !newer) return false;
  entry.report = report;
  entry.heard = now;
  for (const PeerAddress& peer : report.peers) {
    if (peer.node != own_node_) named_[peer.node] = {peer.address, now};
  }
  return true;
}

void PeerTable::Expire(Time now) {
  const Duration forget_after = kForgetAfter + kForgetAfterPerPeer * static_cast<int>(peers_.size());
  std::erase_if(peers_, [&](const auto& entry) { return now - entry.second.heard > forget_after; });
  std::erase_if(named_, [&](const auto& entry) { return now - entry.second.second > kNamedFor; });
}

std::vector<PeerAddress> PeerTable::Addresses() const {
  std::vector<PeerAddress> addresses;
  for (const auto& [node, entry] : peers_) addresses.push_back({node, entry.report.address});
  for (const auto& [node, named] : named_) {
    if (!peers_.contains(node)) addresses.push_back({node, named.first});
  }
  return addresses;
}

std::vector<PeerAddress> PeerTable::NextAddresses(std::size_t most) {
  std::vector<PeerAddress> addresses = Addresses();
  if (addresses.size() <= most) return addresses;
  const std::size_t first = next_address_ % addresses.size();
  next_address_ = first + most;
  std::rotate(addresses.begin(), addresses.begin() + static_cast<std::ptrdiff_t>(first), addresses.end());
  addresses.resize(most);
  return addresses;
}

std::vector<PeerNode> PeerTable::Nodes() const {
  std::vector<PeerNode> nodes;
  nodes.reserve(peers_.size());
  for (const auto& [node, entry] : peers_) {
    const PeerReport& report = entry.report;
    nodes.push_back({node, report.address, report.zone, report.link_mbps, report.stopping});
  }
  return nodes;
}

std::int64_t PeerTable::LastChange(const std::string& kind) const {
  std::int64_t last = 0;
  for (const auto& [node, entry] : peers_) {
    for (const RecordMark& mark : entry.report.records) {
      if (mark.kind == kind) last = std::max(last, mark.changed_at);
    }
  }
  return last;
}

std::map<std::string, EngineWork> PeerTable::WorkByEngine() const {
  std::map<std::string, EngineWork> sums;
  for (const auto& [node, entry] : peers_) {
    for (const EngineWork& work : entry.report.work) {
      EngineWork& sum = sums[work.engine_id];
      sum.engine_id = work.engine_id;
      sum.outstanding += work.outstanding;
      sum.prompt_tokens += work.prompt_tokens;
    }
  }
  return sums;
}

std::vector<EngineHold> PeerTable::Holds() const {
  std::vector<EngineHold> holds;
  for (const auto& [node, entry] : peers_) {
    holds.insert(holds.end(), entry.report.holds.begin(), entry.report.holds.end());
  }
  return holds;
}

ServiceDemand PeerTable::Demand(const std::string& service) const {
  ServiceDemand sum;
  sum.service = service;
  int depths = 0;
  for (const auto& [node, entry] : peers_) {
    for (const ServiceDemand& demand : entry.report.demand) {
      if (demand.service != service) continue;
      sum.prefill_engines += demand.prefill_engines;
      sum.decode_engines += demand.decode_engines;
      if (demand.reading_depth <= 0) continue;
      sum.reading_depth += demand.reading_depth;
      ++depths;
    }
  }
  if (depths > 0) sum.reading_depth /= depths;
  return sum;
}

bool PeerTable::OwnNameIsLeast() const {
  for (const auto& [node, entry] : peers_) {
    if (!entry.report.stopping && node < own_node_) return false;
  }
  return true;
}

}  // namespace saltquay::serving
