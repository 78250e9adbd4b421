#include "src/core/serving/node_ranking.h"

#include <algorithm>

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

}  // namespace saltquay::serving
