// Distribution of a digest to the nodes of a zone over a tree of two levels, so that neither its sender nor any other
// node sends more copies than a bound.
#pragma once

#include <cstddef>
#include <vector>

#include "src/core/serving/peer_table.h"

namespace saltquay::serving {

// One message to several nodes.
struct FleetMessage {
  std::vector<std::string> addresses;
  PeerReport report;
};

// The messages that bring the digest to all `receivers`. Up to `max_copies` receivers get it directly. Otherwise the
// first of them, those with the fastest links, forward it to up to `max_copies` others each (PeerReport::forward_to).
// `rotation` varies which of several equal nodes forward, so that digests of two senders take different ways.
std::vector<FleetMessage> DistributeDigest(const PeerReport& digest, std::vector<PeerNode> receivers,
                                           std::size_t max_copies, std::uint64_t rotation);

}  // namespace saltquay::serving
