// How nodes of a large fleet know each other's work within half a second.
//
// Protocol. In a small fleet a node's reports reach all others in each round and
// nothing is needed here. In a larger one, each node sends its report to the
// first two nodes of its zone, several times a second. A node that gets such reports
// aggregates them: it sends their sum to the aggregators of the other zones, one of each by
// turns, and the sum over all zones, the fleet's digest, to the nodes that report to it.
// Whoever is asked aggregates, so nodes need not agree on the ranking. Messages and work
// grow with the nodes of a zone and with the zones, never with their product,
// and what a node knows is as old in a fleet of 800 nodes as in one of 12.
//
// Where the fleet lies in several regions, zones tell each other within their region only.
// Two aggregators of a region, in different zones, tell the region's sum to one aggregator of each
// other region, more rarely, and it is told on there: links between regions are long and
// paid for by the byte, and their number doesn't grow with the zones.
//
// An aggregator whose digests do not come is left aside for a while, and the next
// in the ranking takes its place. With two of them, one may be lost without a gap.
//
// Deterministic: messages in, messages out; the driver has the sockets.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/core/serving/peer_table.h"
#include "src/core/serving/topology.h"

namespace saltquay::serving {

struct FleetExchangeParameters {
  // Up to so many peers a report reaches all in each round; see PeerExchangeOptions::fan_out.
  std::size_t direct_peers = 10;
  // Between two reports, and between two digests: an engine takes in several prompts in half a second.
  Duration interval = 100ms;
  int aggregators = 2;  // To which a node reports.
  // An aggregator that sent no digest for so long is left aside: ten of them may be lost.
  Duration silence = 1200ms;
  Duration exclusion_time = 5s;
  // Reports and digests count for so long: as many intervals as the silence.
  Duration memory = 1200ms;
  // News of kept parts are passed on for so long after they came, then not again for a while.
  Duration cache_update_forward_time = 300ms;
  Duration cache_update_suppress_time = 8s;  // Well within ServingParameters::cached_part_lifetime.
  std::size_t mentioned_nodes = 24;
  // Between two digests of a region, by each node that speaks for it. With two of them a region hears of another each
  // fifth of a second, and all of it is known everywhere within a second.
  Duration region_interval = 400ms;
  std::size_t region_representatives = 2;  // One may be lost without a gap.
  Duration region_memory = 2s;             // Digests of regions count for so long: five of one speaker's.
  // Of a zone or region of which nobody is heard, so many are tried by turns: the first may all be lost, here and
  // there, and who aggregates in their place does not know of each other.
  std::size_t silent_zone_candidates = 8;
  // Named in a region's digest: these are rarer, and all nodes must be named within PeerTable's memory.
  std::size_t mentioned_across_regions = 48;
  // A digest of fewer nodes than this share of the last one's is taken only when no fuller one comes: its sender has
  // just begun to sum up, or hears only some of its zone.
  double min_completeness = 0.8;
};

// One message for several nodes.
struct FleetMessage {
  std::vector<std::string> addresses;
  PeerReport report;
};

class FleetExchange {
 public:
  // `topology` outlives it.
  FleetExchange(const FleetExchangeParameters& parameters, PeerNode self, const Topology& topology)
      : parameters_(parameters), self_(std::move(self)), topology_(topology) {}

  // Whether the fleet is too large for each to hear each.
  bool IsLarge(const std::vector<PeerNode>& peers) const { return peers.size() > parameters_.direct_peers; }

  // A report of a node that this one aggregates for, or a digest. Returns whether it is a newer digest of the fleet.
  bool Note(const PeerReport& report, Time now);
  // What to send now. `own`: this node's report; call it each interval.
  std::vector<FleetMessage> Tick(Time now, const PeerReport& own, const std::vector<PeerNode>& peers);

  // The newest digest, without what this node told itself; nullptr where none came lately.
  const PeerReport* View(Time now) const;
  // How many nodes the newest digest tells of, this one included; 1 where none came within `age`.
  int Reach(Time now, Duration age) const { return now - view_heard_ <= age ? std::max(1, view_.nodes) : 1; }
  // How old the parts of the view are, on average.
  Duration ViewAge(Time now) const { return now - view_heard_ + view_.age; }
  bool aggregates(Time now) const;

 private:
  struct Heard {
    PeerReport report;
    Time at{};
  };
  struct Passed {
    Time first{};
    Time last{};
  };
  struct Asked {
    Time since{};   // That this node reports to it, without a pause.
    Time digest{};  // Its last one.
  };

  std::vector<PeerNode> ChooseAggregators(Time now, const std::vector<PeerNode>& peers);
  void Aggregate(const PeerReport& report, Time now);
  void RecordCacheUpdates(const PeerReport& report, Time now);
  void Forget(Time now);
  // Whether zones of both tell each other themselves.
  bool IsNear(std::string_view zone) const { return !topology_.HasMultipleRegions() || topology_.IsOwnRegion(zone); }
  void RecordZoneDigest(const PeerReport& report, Time now);
  void RecordRegionDigest(const PeerReport& report, Time now);
  PeerReport Sum(ReportScope scope, const PeerReport& own, Time now);
  void SendZoneDigest(Time now, const PeerReport& own, const std::vector<PeerNode>& peers,
                      std::vector<FleetMessage>& messages);
  std::vector<std::string> AggregatorsOf(const std::string& zone, const std::vector<PeerNode>& peers) const;
  // `own_zone`: aggregators of the own zone.
  void SendRegionDigest(Time now, const PeerReport& own, const std::vector<PeerNode>& peers,
                        const std::vector<PeerNode>& own_zone, std::vector<FleetMessage>& messages);
  // Tells the own region's aggregators what came from other regions since the last call.
  void ForwardRegionDigests(Time now, const std::vector<PeerNode>& peers, const std::vector<PeerNode>& own_zone,
                            std::vector<FleetMessage>& messages);
  bool IsRegionRepresentative(const std::vector<PeerNode>& own_zone) const;
  std::vector<std::string> AggregatorsOfRegion(std::string_view region, const std::vector<PeerNode>& peers) const;
  void UpdateView(const PeerReport& digest, Time now);
  // Whether `known` is to be kept although `report` came after it; `interval`: between two of its sender's.
  bool IsMoreComplete(const PeerReport& known, Time known_at, const PeerReport& report, Time now,
                      Duration interval) const;
  std::vector<PeerNode> NextMentionedPeers(ReportScope scope);

  FleetExchangeParameters parameters_;
  PeerNode self_;
  const Topology& topology_;
  std::map<std::string, Asked> asked_;           // Aggregators of this node.
  std::map<std::string, Time> excluded_until_;   // Aggregators that were silent.
  std::map<std::string, Heard> nodes_;           // Of this zone, that report to this node.
  std::map<std::string, Heard> zones_;           // Other zones' newest digests.
  std::map<std::string, Heard> zone_senders_;    // Aggregators of other zones, by node.
  std::map<std::string, Heard> regions_;         // Other regions' newest digests.
  std::map<std::string, Heard> region_senders_;  // Aggregators that speak for other regions, by node.
  std::map<std::string, Heard> to_forward_;      // Digests of regions that no other node of this region has, by node.
  std::unordered_map<KeptPart, Passed, KeptPartHash> news_;
  std::map<EngineKey, EngineWork> own_reported_work_;  // What this node reported last.
  std::vector<ServiceDemand> own_demand_;
  PeerReport view_;
  Time view_heard_{};
  std::uint64_t sequence_ = 0;
  std::size_t next_member_ = 0;
  std::size_t zone_turn_ = 0;
  Time next_region_digest_{};
  std::size_t region_turn_ = 0;
};

}  // namespace saltquay::serving
