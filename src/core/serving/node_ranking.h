// Which nodes of a zone do what serves the others. Every node computes the same
// order from what it hears; nodes with wide links come first.
#pragma once

#include <span>
#include <string_view>
#include <vector>

#include "src/core/serving/peer_table.h"

namespace saltquay::serving {

struct RankedNode {
  const PeerNode* node = nullptr;
  std::uint64_t hash = 0;  // Of its name.

  // Whether it goes before `other` where both are as good in all else.
  bool Before(const RankedNode& other) const;
};

// All nodes that do not stop, best first, `self` among them; see RankZone for the pointers.
std::vector<RankedNode> RankNodes(const PeerNode& self, std::span<const PeerNode> peers);

// The nodes of that zone that do not stop, best first; `self` is one of them where it is its zone. The
// pointers are into `self` and `peers`.
std::vector<RankedNode> RankZone(const PeerNode& self, std::span<const PeerNode> peers, std::string_view zone);

// The first `count` of nodes that are ranked best first, in as many different zones as there are.
std::vector<RankedNode> PickAcrossZones(std::span<const RankedNode> ranked, std::size_t count);

}  // namespace saltquay::serving
