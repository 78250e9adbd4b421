#include "src/core/serving/digest_tree.h"

#include <algorithm>

#include "src/base/hash.h"

namespace saltquay::serving {

std::vector<FleetMessage> DistributeDigest(const PeerReport& digest, std::vector<PeerNode> receivers,
                                           std::size_t max_copies, std::uint64_t rotation) {
  FleetMessage direct{{}, digest};
  if (receivers.size() <= max_copies) {
    for (PeerNode& receiver : receivers) direct.addresses.push_back(std::move(receiver.address));
    return {std::move(direct)};
  }
  std::sort(receivers.begin(), receivers.end(), [&](const PeerNode& first, const PeerNode& second) {
    if (first.link_mbps != second.link_mbps) return first.link_mbps > second.link_mbps;
    return HashPair(rotation, HashText(first.node)) < HashPair(rotation, HashText(second.node));
  });
  // Each forwarder takes care of itself and of `max_copies` others.
  const std::size_t forwarders = (receivers.size() + max_copies) / (max_copies + 1);
  std::vector<FleetMessage> messages;
  for (std::size_t i = 0; i < forwarders; ++i) messages.push_back({{receivers[i].address}, digest});
  for (std::size_t i = forwarders; i < receivers.size(); ++i) {
    messages[i % forwarders].report.forward_to.push_back(std::move(receivers[i].address));
  }
  return messages;
}

}  // namespace saltquay::serving
