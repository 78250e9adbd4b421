// Digests between regions; see fleet_exchange.h.
#include <algorithm>
#include <set>

#include "src/core/serving/fleet_exchange.h"
#include "src/core/serving/node_ranking.h"

namespace saltquay::serving {

void FleetExchange::RecordRegionDigest(const PeerReport& report, Time now) {
  if (IsLocalZone(report.zone)) return;
  Received& sender = region_senders_[report.node];
  if (sender.at != Time{} && !IsNewer(report, sender.report)) return;
  sender = {report, now};
  Received& region = regions_[std::string(topology_.RegionOf(report.zone))];
  if (!IsMoreComplete(region.report, region.at, report, now, parameters_.region_interval)) region = sender;
  if (report.scope == ReportScope::kRegion) to_forward_[report.node] = sender;
  RecordCacheUpdates(report, now);
  RecordMembers(report, now);
}

void FleetExchange::SendRegionDigest(Time now, const PeerReport& own, const std::vector<PeerNode>& peers,
                                     const std::vector<PeerNode>& local_aggregators,
                                     std::vector<FleetMessage>& messages) {
  if (!topology_.HasMultipleRegions() || now < next_region_digest_ || !IsRegionRepresentative(local_aggregators))
    return;
  // Ticks are not exactly one interval apart; the margin keeps a slightly early tick from skipping a digest.
  next_region_digest_ = now + parameters_.region_interval - parameters_.interval / 2;
  std::set<std::string_view> regions;
  for (const PeerNode& peer : peers) regions.insert(topology_.RegionOf(peer.zone));
  regions.erase(topology_.LocalRegion());
  FleetMessage digest{{}, Sum(ReportScope::kRegion, own, now)};
  digest.report.peers = region_members_.Next(parameters_.mentioned_across_regions, now);
  ++region_round_robin_;
  for (const std::string_view region : regions) {
    const std::vector<std::string> aggregators = AggregatorsOfRegion(region, peers);
    if (!aggregators.empty()) digest.addresses.push_back(aggregators[region_round_robin_ % aggregators.size()]);
  }
  messages.push_back(std::move(digest));
}

void FleetExchange::ForwardRegionDigests(Time now, const std::vector<PeerNode>& peers,
                                         const std::vector<PeerNode>& local_aggregators,
                                         std::vector<FleetMessage>& messages) {
  if (to_forward_.empty()) return;
  std::vector<std::string> addresses;
  for (const PeerNode& aggregator : local_aggregators) {
    if (aggregator.node != self_.node) addresses.push_back(aggregator.address);
  }
  std::set<std::string> zones;
  for (const PeerNode& peer : peers) {
    if (peer.zone != self_.zone && IsLocalZone(peer.zone)) zones.insert(peer.zone);
  }
  for (const std::string& zone : zones) {
    for (std::string& address : AggregatorsOf(zone, peers)) addresses.push_back(std::move(address));
  }
  for (auto& [node, received] : to_forward_) {
    PeerReport& report = received.report;
    report.scope = ReportScope::kRegionForwarded;
    report.age += now - received.at;
    report.wall_ms = 0;  // The wall-clock time is stale by now.
    messages.push_back({addresses, std::move(report)});
  }
  to_forward_.clear();
}

// Whether this node is among the first aggregators of the region that it knows. Two halves of a region that cannot
// reach each other both send digests: this costs bandwidth, and receivers use the more complete digest.
bool FleetExchange::IsRegionRepresentative(const std::vector<PeerNode>& local_aggregators) const {
  std::vector<PeerNode> others;
  for (const PeerNode& aggregator : local_aggregators) {
    if (aggregator.node != self_.node) others.push_back(aggregator);
  }
  for (const auto& [node, received] : zone_senders_) {
    const PeerReport& report = received.report;
    others.push_back({node, report.address, report.zone, report.link_mbps, false});
  }
  const std::vector<RankedNode> region_representatives =
      PickAcrossZones(RankNodes(self_, others), parameters_.region_representatives);
  return std::any_of(region_representatives.begin(), region_representatives.end(),
                     [&](const RankedNode& representative) { return representative.node == &self_; });
}

// The region's known representatives, plus the first of its ranking while there are too few.
std::vector<std::string> FleetExchange::AggregatorsOfRegion(std::string_view region,
                                                            const std::vector<PeerNode>& peers) const {
  std::vector<std::string> addresses;
  for (const auto& [node, received] : region_senders_) {
    if (topology_.RegionOf(received.report.zone) == region) addresses.push_back(received.report.address);
  }
  std::vector<RankedNode> ranked = RankNodes(self_, peers);
  std::erase_if(ranked, [&](const RankedNode& candidate) {
    return topology_.RegionOf(candidate.node->zone) != region || region_senders_.contains(candidate.node->node);
  });
  const std::size_t wanted =
      addresses.empty() ? parameters_.unresponsive_zone_candidates : parameters_.region_representatives;
  for (const RankedNode& candidate : PickAcrossZones(ranked, wanted)) {
    if (addresses.size() >= wanted) break;
    addresses.push_back(candidate.node->address);
  }
  return addresses;
}

}  // namespace saltquay::serving
