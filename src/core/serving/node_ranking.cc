#include "src/core/serving/node_ranking.h"

#include <algorithm>
#include <map>

#include "src/base/hash.h"

namespace saltquay::serving {

bool RankedNode::Before(const RankedNode& other) const {
  if (node->link_mbps != other.node->link_mbps) return node->link_mbps > other.node->link_mbps;
  return hash > other.hash;
}

namespace {

void SortBestFirst(std::vector<RankedNode>& nodes) {
  std::sort(nodes.begin(), nodes.end(),
            [](const RankedNode& first, const RankedNode& second) { return first.Before(second); });
}

}  // namespace

std::vector<RankedNode> RankNodes(const PeerNode& self, std::span<const PeerNode> peers) {
  std::vector<RankedNode> nodes{{&self, HashText(self.node)}};
  for (const PeerNode& peer : peers) {
    if (!peer.stopping) nodes.push_back({&peer, HashText(peer.node)});
  }
  SortBestFirst(nodes);
  return nodes;
}

std::vector<RankedNode> RankZone(const PeerNode& self, std::span<const PeerNode> peers, std::string_view zone) {
  std::vector<RankedNode> nodes;
  if (self.zone == zone) nodes.push_back({&self, HashText(self.node)});
  for (const PeerNode& peer : peers) {
    if (peer.zone == zone && !peer.stopping) nodes.push_back({&peer, HashText(peer.node)});
  }
  SortBestFirst(nodes);
  return nodes;
}

std::vector<PeerNode> BestOfEachZone(std::span<const PeerNode> nodes, std::size_t per_zone, std::size_t max_count) {
  std::map<std::string_view, std::vector<RankedNode>> best;
  for (const PeerNode& node : nodes) {
    if (node.stopping) continue;
    std::vector<RankedNode>& zone = best[node.zone];
    zone.push_back({&node, HashText(node.node)});
    SortBestFirst(zone);
    if (zone.size() > per_zone) zone.pop_back();
  }
  std::vector<PeerNode> chosen;
  for (const auto& [zone, ranked] : best) {
    for (const RankedNode& node : ranked) {
      if (chosen.size() < max_count) chosen.push_back(*node.node);
    }
  }
  return chosen;
}

std::vector<RankedNode> PickAcrossZones(std::span<const RankedNode> ranked, std::size_t count) {
  struct Positioned {
    std::size_t position_in_zone = 0;  // Position within its zone.
    RankedNode node;
  };
  std::map<std::string_view, std::size_t> in_zone;
  std::vector<Positioned> positioned;
  positioned.reserve(ranked.size());
  for (const RankedNode& node : ranked) positioned.push_back({in_zone[node.node->zone]++, node});
  std::stable_sort(positioned.begin(), positioned.end(), [](const Positioned& first, const Positioned& second) {
    return first.position_in_zone < second.position_in_zone;
  });
  std::vector<RankedNode> chosen;
  for (const Positioned& candidate : positioned) {
    if (chosen.size() < count) chosen.push_back(candidate.node);
  }
  return chosen;
}

}  // namespace saltquay::serving
