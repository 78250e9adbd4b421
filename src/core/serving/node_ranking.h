// Ranks nodes for tasks that serve other nodes, such as aggregating reports. Every node computes the same order from
// the reports that it receives; nodes with high link bandwidth come first.
#pragma once

#include <span>
#include <string_view>
#include <vector>

#include "src/core/serving/peer_table.h"

namespace saltquay::serving {

struct RankedNode {
  const PeerNode* node = nullptr;
  std::uint64_t hash = 0;  // Hash of its name.

  // Tie-breaker between nodes that are equal otherwise: whether this node ranks before `other`, by link bandwidth, then
  // by hash.
  bool Before(const RankedNode& other) const;
};

// All nodes that are not stopping, best first, including `self`; see RankZone for the pointers.
std::vector<RankedNode> RankNodes(const PeerNode& self, std::span<const PeerNode> peers);

// The nodes of the zone that are not stopping, best first, including `self` if it is in the zone. The pointers point
// into `self` and `peers`.
std::vector<RankedNode> RankZone(const PeerNode& self, std::span<const PeerNode> peers, std::string_view zone);

// The best `per_zone` nodes of each zone, without those that are stopping; at most `max_count` in all.
std::vector<PeerNode> BestOfEachZone(std::span<const PeerNode> nodes, std::size_t per_zone, std::size_t max_count);

// The first `count` nodes of a ranking, from as many different zones as possible.
std::vector<RankedNode> PickAcrossZones(std::span<const RankedNode> ranked, std::size_t count);

}  // namespace saltquay::serving
