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

std::vector<RankedNode> PickAcrossZones(std::span<const RankedNode> ranked, std::size_t count) {
  struct Placed {
    std::size_t place = 0;  // In its zone.
    RankedNode node;
  };
  std::map<std::string_view, std::size_t> in_zone;
  std::vector<Placed> placed;
  placed.reserve(ranked.size());
  for (const RankedNode& node : ranked) placed.push_back({in_zone[node.node->zone]++, node});
  std::stable_sort(placed.begin(), placed.end(),
                   [](const Placed& first, const Placed& second) { return first.place < second.place; });
  std::vector<RankedNode> chosen;
  for (const Placed& candidate : placed) {
    if (chosen.size() < count) chosen.push_back(candidate.node);
  }
  return chosen;
}

}  // namespace saltquay::serving
