// Distributes the work of all nodes of a large fleet to every node within half a second.
//
// Protocol. In a small fleet, each node's reports reach all others in every round and this class does nothing. In a
// larger fleet, each node sends its report to the first two nodes of its zone: at once if it has news, otherwise a few
// times a second. A node that receives such reports acts as an aggregator: it sends their sum to the aggregators of the
// other zones, one per zone round-robin, and the sum over all zones (the fleet digest) back to the nodes that report to
// it, in a large zone through some of them (digest_tree.h). Any node that is asked aggregates, so nodes need not agree
// on the ranking. The number of messages and the work grow with the number of nodes per zone and with the number of
// zones, never with their product. A digest lists a bounded number of engines, and its interval follows its size, so
// that the bytes that a node receives do not grow with the fleet.
//
// If the fleet spans several regions, zones exchange digests only within their region. Two aggregators of a region, in
// different zones, send the region's sum to one aggregator of each other region, less often, and the receiver forwards
// it within its region. Links between regions have high latency and are paid for by the byte, and the number of those
// messages does not grow with the number of zones.
//
// An aggregator whose digests stop is excluded for a while, and the next node in the ranking replaces it. With two
// aggregators, one may fail without a gap.
//
// Deterministic: messages in, messages out; the driver owns the sockets.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/core/serving/digest_tree.h"
#include "src/core/serving/member_rotation.h"
#include "src/core/serving/peer_table.h"
#include "src/core/serving/report_news.h"
#include "src/core/serving/topology.h"

namespace saltquay::serving {

struct FleetExchangeParameters {
  // Up to this many peers, a report reaches all of them in every round; see PeerExchangeOptions::fan_out.
  std::size_t direct_peers = 10;
  // Shortest interval of reports and of digests. An engine accepts several prompts within half a second.
  Duration interval = 100ms;
  // Reports and digests without news are sent this often, so that their receivers know that the sender is alive.
  Duration keepalive_interval = 200ms;
  // A node receives about this from each aggregator: larger digests are sent less often, but not so seldom that a node
  // takes itself for cut off (FleetCoordinator's digest timeout).
  double digest_bytes_per_s = 25'000;
  Duration max_digest_interval = 300ms;
  std::size_t max_digest_engines = 200;  // Engines whose work a digest lists.
  std::size_t max_digest_copies = 16;    // Copies of a digest that one node sends.
  int aggregators = 2;                   // Number of aggregators that a node reports to.
  // An aggregator that has sent no digest for this long is excluded; three of its digests may be lost.
  Duration aggregator_timeout = 1200ms;
  Duration exclusion_time = 5s;
  // Reports and digests expire after this time, like `aggregator_timeout`.
  Duration report_expiry = 1200ms;
  // Cache updates are forwarded for this long after they were first received, then suppressed for a while.
  Duration cache_update_forward_time = 300ms;
  Duration cache_update_suppress_time = 8s;  // Well below ServingParameters::cached_part_lifetime.
  std::size_t mentioned_nodes = 48;
  std::size_t mentioned_best_per_zone = 2;  // As many as `aggregators`.
  // Nodes of other zones are listed in turn, so each of them is listed less often the more there are.
  Duration member_expiry = 3s;
  Duration member_expiry_per_node = 5ms;
  // Interval of region digests from each representative of a region. With two representatives, a region receives
  // another one's digest every fifth of a second, and all information reaches every node within a second.
  Duration region_interval = 400ms;
  std::size_t region_representatives = 2;  // One may fail without a gap.
  Duration region_report_expiry = 2s;      // Expiry of region digests: five digests of one representative.
  // If no digest of a zone or region is being received, this many of its nodes are tried round-robin. The first in the
  // ranking may all be down on both sides, and the nodes that replace them as aggregators do not know of each other.
  std::size_t unresponsive_zone_candidates = 8;
  // Nodes mentioned in a region digest. These are sent less often, and every node must be mentioned within PeerTable's
  // expiry time.
  std::size_t mentioned_across_regions = 96;
  // A digest that covers fewer nodes than this share of the last one replaces it only if no more complete one arrives:
  // its sender has just begun to aggregate, or receives only part of its zone's reports.
  double min_completeness = 0.8;
};

class FleetExchange {
 public:
  // `topology` must outlive the object.
  FleetExchange(const FleetExchangeParameters& parameters, PeerNode self, const Topology& topology)
      : parameters_(parameters), self_(std::move(self)), topology_(topology) {}

  // Whether the fleet is too large for every node to report to every other.
  bool IsLarge(const std::vector<PeerNode>& peers) const { return peers.size() > parameters_.direct_peers; }

  // Handles a report that this node is asked to aggregate, or a digest. Returns whether it is a newer fleet digest.
  bool RecordReport(const PeerReport& report, Time now);
  // Returns the messages to send now. `own`: this node's report. Call it every interval.
  std::vector<FleetMessage> Tick(Time now, const PeerReport& own, const std::vector<PeerNode>& peers);

  // The newest digest without this node's own contribution; nullptr if none was received recently.
  const PeerReport* View(Time now) const;
  // Number of nodes that the newest digest covers, including this one; 1 if none was received within `age`.
  int Reach(Time now, Duration age) const { return now - view_received_at_ <= age ? std::max(1, view_.nodes) : 1; }
  // Mean age of the information in the digest.
  Duration ViewAge(Time now) const { return Staleness(now - view_received_at_) + view_.age; }
  bool aggregates(Time now) const;

 private:
  struct Received {
    PeerReport report;
    Time at{};
  };
  struct ForwardedUpdate {
    Time first{};
    Time last{};
  };
  struct AggregatorContact {
    Time since{};   // Start of uninterrupted reports to it.
    Time digest{};  // Time of its last digest.
  };

  std::vector<PeerNode> ChooseAggregators(Time now, const std::vector<PeerNode>& peers);
  void Aggregate(const PeerReport& report, Time now);
  void RecordCacheUpdates(const PeerReport& report, Time now);
  void ExpireOld(Time now);
  // Whether zones exchange digests with that zone directly.
  bool IsLocalZone(std::string_view zone) const {
    return !topology_.HasMultipleRegions() || topology_.IsOwnRegion(zone);
  }
  void RecordZoneDigest(const PeerReport& report, Time now);
  void RecordRegionDigest(const PeerReport& report, Time now);
  PeerReport Sum(ReportScope scope, const PeerReport& own, Time now);
  void SendReport(Time now, const PeerReport& own, const std::vector<PeerNode>& aggregators, bool aggregates_itself,
                  std::vector<FleetMessage>& messages);
  void SendFleetDigest(Time now, const PeerReport& own, std::vector<FleetMessage>& messages);
  // By how much information is out of date that was received this long ago. News is sent at once, so until the next
  // keep-alive is overdue a message is as good as one of the last interval.
  Duration Staleness(Duration since_received) const {
    return since_received <= 2 * parameters_.keepalive_interval ? std::min(since_received, parameters_.interval)
                                                                : since_received;
  }
  // The interval between fleet digests of that size.
  Duration DigestInterval(const PeerReport& digest) const;
  void SendZoneDigest(Time now, const PeerReport& own, const std::vector<PeerNode>& peers,
                      std::vector<FleetMessage>& messages);
  std::vector<std::string> AggregatorsOf(const std::string& zone, const std::vector<PeerNode>& peers) const;
  // `local_aggregators`: aggregators of this node's zone.
  void SendRegionDigest(Time now, const PeerReport& own, const std::vector<PeerNode>& peers,
                        const std::vector<PeerNode>& local_aggregators, std::vector<FleetMessage>& messages);
  // Forwards digests of other regions received since the last call to the aggregators of this region.
  void ForwardRegionDigests(Time now, const std::vector<PeerNode>& peers,
                            const std::vector<PeerNode>& local_aggregators, std::vector<FleetMessage>& messages);
  bool IsRegionRepresentative(const std::vector<PeerNode>& local_aggregators) const;
  std::vector<std::string> AggregatorsOfRegion(std::string_view region, const std::vector<PeerNode>& peers) const;
  void UpdateView(const PeerReport& digest, Time now);
  // Whether to keep `known` although `report` arrived later; `interval`: interval between digests of one sender.
  bool IsMoreComplete(const PeerReport& known, Time known_received_at, const PeerReport& report, Time now,
                      Duration interval) const;
  // The nodes to list in a digest: the best of each zone, and others of `members` in turn. A node that does not know
  // the best of its zone would report to others, and they would form a fleet of their own.
  std::vector<PeerNode> ListMembers(MemberRotation& members, Time now) const;
  // Records the nodes that another zone's or region's aggregator lists.
  void RecordMembers(const PeerReport& digest, Time now);

  FleetExchangeParameters parameters_;
  PeerNode self_;
  const Topology& topology_;
  std::map<std::string, AggregatorContact> contacts_;  // Aggregators that this node reports to.
  std::map<std::string, Time> excluded_until_;         // Excluded aggregators.
  std::map<std::string, Received> nodes_;              // Nodes of this zone that report to this node.
  std::map<std::string, Received> zones_;              // Newest digests of other zones.
  std::map<std::string, Received> zone_senders_;       // Aggregators of other zones, by node.
  std::map<std::string, Received> regions_;            // Newest digests of other regions.
  std::map<std::string, Received> region_senders_;     // Representatives of other regions, by node.
  // Region digests that no other node of this region has received, by node.
  std::map<std::string, Received> to_forward_;
  std::unordered_map<KeptPart, ForwardedUpdate, KeptPartHash> cache_updates_;
  RepeatedMessage report_;             // This node's report.
  std::vector<PeerNode> reported_to_;  // The aggregators that it was last sent to.
  RepeatedMessage zone_digest_;
  RepeatedMessage fleet_digest_;
  Time next_fleet_digest_{};
  PeerReport view_;
  Time view_received_at_{};
  std::uint64_t sequence_ = 0;
  // Nodes to list: of this zone, of this region, and of the fleet.
  MemberRotation zone_members_;
  MemberRotation region_members_;
  MemberRotation fleet_members_;
  std::size_t zone_round_robin_ = 0;
  Time next_region_digest_{};
  std::size_t region_round_robin_ = 0;
};

}  // namespace saltquay::serving
