#include "src/core/serving/forwarding_peers.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace saltquay::serving {

const PeerNode* ForwardingPeers::Choose(const Topology& topology, const std::set<std::string>& tried, Random& random,
                                        Time now) {
  std::erase_if(backoff_until_, [now](const auto& entry) { return now >= entry.second; });
  if (static_cast<int>(tried.size()) >= parameters_.max_peers_per_request) return nullptr;
  if (total_in_flight_ >= parameters_.max_in_flight) return nullptr;
  const std::set<std::string> failing_zones = FailingZones();
  using Rank = std::tuple<bool, Duration>;
  Rank best_rank{true, Duration::max()};
  std::vector<const PeerNode*> best;
  for (const PeerNode& node : nodes_) {
    if (tried.contains(node.node) || IsBackedOff(node.node)) continue;
    const Duration distance = node.zone == topology.local_zone() ? Duration(0) : topology.LatencyTo(node.zone);
    const Rank rank{failing_zones.contains(node.zone), distance};
    if (rank < best_rank) best.clear();
    if (rank <= best_rank) best.push_back(&node), best_rank = rank;
  }
  if (best.empty()) return nullptr;
  const PeerNode* first = best[random.Below(best.size())];
  const PeerNode* second = best[random.Below(best.size())];
  return InFlight(second->node) < InFlight(first->node) ? second : first;
}

std::vector<PeerNode> ForwardingPeers::Sample(std::size_t count, Random& random) const {
  std::map<std::string, std::vector<const PeerNode*>> by_zone;
  for (const PeerNode& node : nodes_) by_zone[node.zone].push_back(&node);
  std::vector<PeerNode> sample;
  while (sample.size() < std::min(count, nodes_.size())) {
    for (auto& [zone, members] : by_zone) {
      if (members.empty() || sample.size() >= count) continue;
      std::swap(members[random.Below(members.size())], members.back());
      sample.push_back(*members.back());
      members.pop_back();
    }
  }
  return sample;
}

std::set<std::string> ForwardingPeers::FailingZones() const {
  std::map<std::string, int> failing;
  for (const PeerNode& node : nodes_) {
    if (IsBackedOff(node.node)) ++failing[node.zone];
  }
  std::set<std::string> zones;
  for (const auto& [zone, count] : failing) {
    if (count >= parameters_.failing_peers_per_zone) zones.insert(zone);
  }
  return zones;
}

int ForwardingPeers::InFlight(const std::string& node) const {
  const auto entry = in_flight_.find(node);
  return entry == in_flight_.end() ? 0 : entry->second;
}

void ForwardingPeers::RecordSent(const std::string& node) {
  ++in_flight_[node];
  ++total_in_flight_;
}

void ForwardingPeers::RecordEnd(const std::string& node) {
  const auto entry = in_flight_.find(node);
  if (entry == in_flight_.end()) return;
  --total_in_flight_;
  if (--entry->second == 0) in_flight_.erase(entry);
}

}  // namespace saltquay::serving
