#include "src/core/serving/fleet_exchange.h"

#include <algorithm>
#include <set>

#include "src/core/serving/demand_sum.h"
#include "src/core/serving/node_ranking.h"
#include "src/core/serving/round_robin.h"

namespace saltquay::serving {
namespace {

bool IsNewer(const PeerReport& report, const PeerReport& known) {
  return report.boot > known.boot || (report.boot == known.boot && report.sequence > known.sequence);
}

// Sums that are told by key.
class ReportSum {
 public:
  void Add(const PeerReport& report, Duration age) {
    nodes_ += report.nodes;
    ages_ += (age + report.age) * report.nodes;
    for (const EngineWork& work : report.work) work_[work.engine].Add(work);
    demand_.Add(report.demand);
    for (const EngineHold& hold : report.holds) {
      Duration& left = holds_[hold.engine_id];
      left = std::max(left, hold.left - age);
    }
    if (report.lease.revision > lease_.revision) lease_ = report.lease;
    for (const RecordMark& mark : report.records) {
      std::int64_t& last = records_[mark.kind];
      last = std::max(last, mark.changed_at);
    }
  }
  void MoveTo(PeerReport& report) const {
    report.nodes = nodes_;
    report.age = nodes_ > 0 ? ages_ / nodes_ : 0s;
    for (const auto& [key, work] : work_) report.work.push_back(work);
    report.demand = demand_.All();
    for (const auto& [engine, left] : holds_) {
      if (left > 0s) report.holds.push_back({engine, left});
    }
    for (const auto& [kind, last] : records_) report.records.push_back({kind, last});
    report.lease = lease_;
  }

 private:
  int nodes_ = 0;
  Duration ages_ = 0s;  // Of all nodes together.
  std::map<EngineKey, EngineWork> work_;
  DemandSum demand_;
  std::map<std::string, Duration> holds_;
  std::map<std::string, std::int64_t> records_;
  LeaseMark lease_;
};

}  // namespace

bool FleetExchange::aggregates(Time now) const {
  return std::any_of(nodes_.begin(), nodes_.end(),
                     [&](const auto& entry) { return now - entry.second.at < parameters_.memory; });
}

bool FleetExchange::Note(const PeerReport& report, Time now) {
  if (report.node == self_.node || report.node.empty()) return false;
  if (report.scope == ReportScope::kNode) {
    if (report.aggregate) Aggregate(report, now);
    return false;
  }
  if (report.scope == ReportScope::kZone) {
    RecordZoneDigest(report, now);
    return false;
  }
  if (report.scope == ReportScope::kRegion || report.scope == ReportScope::kRegionForwarded) {
    RecordRegionDigest(report, now);
    return false;
  }
  const auto asked = asked_.find(report.node);
  if (asked != asked_.end()) asked->second.digest = now;
  if (IsMoreComplete(view_, view_heard_, report, now, parameters_.interval)) return false;
  UpdateView(report, now);
  return true;
}

void FleetExchange::RecordZoneDigest(const PeerReport& report, Time now) {
  if (report.zone == self_.zone || !IsNear(report.zone)) return;
  Heard& sender = zone_senders_[report.node];
  if (sender.at != Time{} && !IsNewer(report, sender.report)) return;
  sender = {report, now};
  Heard& zone = zones_[report.zone];
  if (!IsMoreComplete(zone.report, zone.at, report, now, parameters_.interval)) zone = sender;
  RecordCacheUpdates(report, now);
}

void FleetExchange::RecordRegionDigest(const PeerReport& report, Time now) {
  if (IsNear(report.zone)) return;
  Heard& sender = region_senders_[report.node];
  if (sender.at != Time{} && !IsNewer(report, sender.report)) return;
  sender = {report, now};
  Heard& region = regions_[std::string(topology_.RegionOf(report.zone))];
  if (!IsMoreComplete(region.report, region.at, report, now, parameters_.region_interval)) region = sender;
  if (report.scope == ReportScope::kRegion) to_forward_[report.node] = sender;
  RecordCacheUpdates(report, now);
}

bool FleetExchange::IsMoreComplete(const PeerReport& known, Time known_at, const PeerReport& report, Time now,
                                   Duration interval) const {
  const bool fresh = known_at != Time{} && now - known_at <= 2 * interval;
  return fresh && known.node != report.node && report.nodes < parameters_.min_completeness * known.nodes;
}

void FleetExchange::Aggregate(const PeerReport& report, Time now) {
  Heard& heard = nodes_[report.node];
  if (heard.at != Time{} && !IsNewer(report, heard.report)) return;
  heard.report = report;
  heard.at = now;
  RecordCacheUpdates(report, now);
}

void FleetExchange::RecordCacheUpdates(const PeerReport& report, Time now) {
  for (const KeptPart& kept : report.kept) {
    Passed& passed = news_[kept];
    if (passed.first == Time{} || now - passed.first > parameters_.cache_update_suppress_time) passed.first = now;
    passed.last = now;
  }
}

void FleetExchange::Forget(Time now) {
  std::erase_if(nodes_, [&](const auto& entry) { return now - entry.second.at > parameters_.memory; });
  std::erase_if(zones_, [&](const auto& entry) { return now - entry.second.at > parameters_.memory; });
  std::erase_if(zone_senders_, [&](const auto& entry) { return now - entry.second.at > parameters_.memory; });
  std::erase_if(regions_, [&](const auto& entry) { return now - entry.second.at > parameters_.region_memory; });
  std::erase_if(region_senders_, [&](const auto& entry) { return now - entry.second.at > parameters_.region_memory; });
  std::erase_if(news_,
                [&](const auto& entry) { return now - entry.second.last > parameters_.cache_update_suppress_time; });
  std::erase_if(excluded_until_, [&](const auto& entry) { return entry.second <= now; });
}

// The first nodes of the zone of which none was silent. This node may be one of them.
std::vector<PeerNode> FleetExchange::ChooseAggregators(Time now, const std::vector<PeerNode>& peers) {
  for (const auto& [node, asked] : asked_) {
    const Time last = std::max(asked.since, asked.digest);
    if (now - last > parameters_.silence) excluded_until_[node] = now + parameters_.exclusion_time;
  }
  std::vector<PeerNode> chosen;
  for (const RankedNode& ranked : RankZone(self_, peers, self_.zone)) {
    if (chosen.size() == static_cast<std::size_t>(parameters_.aggregators)) break;
    if (!excluded_until_.contains(ranked.node->node)) chosen.push_back(*ranked.node);
  }
  std::map<std::string, Asked> asked;
  for (const PeerNode& aggregator : chosen) {
    if (aggregator.node == self_.node) continue;
    const auto before = asked_.find(aggregator.node);
    asked[aggregator.node] = before == asked_.end() ? Asked{now, Time{}} : before->second;
  }
  asked_ = std::move(asked);
  return chosen;
}

std::vector<FleetMessage> FleetExchange::Tick(Time now, const PeerReport& own, const std::vector<PeerNode>& peers) {
  std::vector<FleetMessage> messages;
  Forget(now);
  if (!IsLarge(peers)) {
    asked_.clear();
    return messages;
  }
  FleetMessage report{{}, own};
  report.report.aggregate = true;
  bool aggregates_itself = false;
  const std::vector<PeerNode> aggregators = ChooseAggregators(now, peers);
  for (const PeerNode& aggregator : aggregators) {
    aggregates_itself |= aggregator.node == self_.node;
    if (aggregator.node != self_.node) report.addresses.push_back(aggregator.address);
  }
  if (aggregates_itself || !nodes_.empty()) {
    RecordCacheUpdates(own, now);
    SendZoneDigest(now, own, peers, messages);
    SendRegionDigest(now, own, peers, aggregators, messages);
    FleetMessage digest{{}, Sum(ReportScope::kFleet, own, now)};
    for (const auto& [node, heard] : nodes_) digest.addresses.push_back(heard.report.address);
    if (!IsMoreComplete(view_, view_heard_, digest.report, now, parameters_.interval)) UpdateView(digest.report, now);
    messages.push_back(std::move(digest));
  }
  ForwardRegionDigests(now, peers, aggregators, messages);
  own_reported_work_.clear();
  for (const EngineWork& work : own.work) own_reported_work_[work.engine] = work;
  own_demand_ = own.demand;
  messages.push_back(std::move(report));
  return messages;
}

// To one aggregator of each other zone near, by turns: those that are heard, and the first in the zone's ranking while
// fewer are.
void FleetExchange::SendZoneDigest(Time now, const PeerReport& own, const std::vector<PeerNode>& peers,
                                   std::vector<FleetMessage>& messages) {
  FleetMessage digest{{}, Sum(ReportScope::kZone, own, now)};
  std::set<std::string> zones;
  for (const PeerNode& peer : peers) zones.insert(peer.zone);
  zones.erase(self_.zone);
  std::erase_if(zones, [&](const std::string& zone) { return !IsNear(zone); });
  ++zone_turn_;
  for (const std::string& zone : zones) {
    const std::vector<std::string> aggregators = AggregatorsOf(zone, peers);
    if (!aggregators.empty()) digest.addresses.push_back(aggregators[zone_turn_ % aggregators.size()]);
  }
  messages.push_back(std::move(digest));
}

std::vector<std::string> FleetExchange::AggregatorsOf(const std::string& zone,
                                                      const std::vector<PeerNode>& peers) const {
  std::vector<std::string> addresses;
  for (const auto& [node, heard] : zone_senders_) {
    if (heard.report.zone == zone) addresses.push_back(heard.report.address);
  }
  const bool tries_more = addresses.empty() && topology_.HasMultipleRegions();
  const auto wanted =
      tries_more ? parameters_.silent_zone_candidates : static_cast<std::size_t>(parameters_.aggregators);
  for (const RankedNode& ranked : RankZone(self_, peers, zone)) {
    if (addresses.size() >= wanted) break;
    if (!zone_senders_.contains(ranked.node->node)) addresses.push_back(ranked.node->address);
  }
  return addresses;
}

void FleetExchange::SendRegionDigest(Time now, const PeerReport& own, const std::vector<PeerNode>& peers,
                                     const std::vector<PeerNode>& own_zone, std::vector<FleetMessage>& messages) {
  if (!topology_.HasMultipleRegions() || now < next_region_digest_ || !IsRegionRepresentative(own_zone)) return;
  // Calls come an interval apart, more or less: none is to be missed by a little.
  next_region_digest_ = now + parameters_.region_interval - parameters_.interval / 2;
  std::set<std::string_view> regions;
  for (const PeerNode& peer : peers) regions.insert(topology_.RegionOf(peer.zone));
  regions.erase(topology_.OwnRegion());
  FleetMessage digest{{}, Sum(ReportScope::kRegion, own, now)};
  ++region_turn_;
  for (const std::string_view region : regions) {
    const std::vector<std::string> aggregators = AggregatorsOfRegion(region, peers);
    if (!aggregators.empty()) digest.addresses.push_back(aggregators[region_turn_ % aggregators.size()]);
  }
  messages.push_back(std::move(digest));
}

void FleetExchange::ForwardRegionDigests(Time now, const std::vector<PeerNode>& peers,
                                         const std::vector<PeerNode>& own_zone, std::vector<FleetMessage>& messages) {
  if (to_forward_.empty()) return;
  std::vector<std::string> addresses;
  for (const PeerNode& aggregator : own_zone) {
    if (aggregator.node != self_.node) addresses.push_back(aggregator.address);
  }
  std::set<std::string> zones;
  for (const PeerNode& peer : peers) {
    if (peer.zone != self_.zone && IsNear(peer.zone)) zones.insert(peer.zone);
  }
  for (const std::string& zone : zones) {
    for (std::string& address : AggregatorsOf(zone, peers)) addresses.push_back(std::move(address));
  }
  for (auto& [node, heard] : to_forward_) {
    PeerReport& report = heard.report;
    report.scope = ReportScope::kRegionForwarded;
    report.age += now - heard.at;
    report.wall_ms = 0;  // The time of day when it came is over.
    messages.push_back({addresses, std::move(report)});
  }
  to_forward_.clear();
}

// The first of all aggregators of the region that this node knows. Two halves of a region that do not hear each other
// both speak: that costs bytes, and the fuller digest counts.
bool FleetExchange::IsRegionRepresentative(const std::vector<PeerNode>& own_zone) const {
  std::vector<PeerNode> others;
  for (const PeerNode& aggregator : own_zone) {
    if (aggregator.node != self_.node) others.push_back(aggregator);
  }
  for (const auto& [node, heard] : zone_senders_) {
    const PeerReport& report = heard.report;
    others.push_back({node, report.address, report.zone, report.link_mbps, false});
  }
  const std::vector<RankedNode> region_representatives =
      PickAcrossZones(RankNodes(self_, others), parameters_.region_representatives);
  return std::any_of(region_representatives.begin(), region_representatives.end(),
                     [&](const RankedNode& speaker) { return speaker.node == &self_; });
}

// Those that speak for it, and the first in its ranking while fewer are heard.
std::vector<std::string> FleetExchange::AggregatorsOfRegion(std::string_view region,
                                                            const std::vector<PeerNode>& peers) const {
  std::vector<std::string> addresses;
  for (const auto& [node, heard] : region_senders_) {
    if (topology_.RegionOf(heard.report.zone) == region) addresses.push_back(heard.report.address);
  }
  std::vector<RankedNode> ranked = RankNodes(self_, peers);
  std::erase_if(ranked, [&](const RankedNode& candidate) {
    return topology_.RegionOf(candidate.node->zone) != region || region_senders_.contains(candidate.node->node);
  });
  const std::size_t wanted =
      addresses.empty() ? parameters_.silent_zone_candidates : parameters_.region_representatives;
  for (const RankedNode& candidate : PickAcrossZones(ranked, wanted)) {
    if (addresses.size() >= wanted) break;
    addresses.push_back(candidate.node->address);
  }
  return addresses;
}

PeerReport FleetExchange::Sum(ReportScope scope, const PeerReport& own, Time now) {
  ReportSum sum;
  sum.Add(own, 0s);
  for (const auto& [node, heard] : nodes_) sum.Add(heard.report, now - heard.at);
  if (scope != ReportScope::kZone) {
    for (const auto& [zone, heard] : zones_) sum.Add(heard.report, now - heard.at);
  }
  if (scope == ReportScope::kFleet) {
    for (const auto& [region, heard] : regions_) sum.Add(heard.report, now - heard.at);
  }
  PeerReport report;
  report.scope = scope;
  report.node = self_.node;
  report.address = self_.address;
  report.zone = self_.zone;
  report.link_mbps = self_.link_mbps;
  report.boot = own.boot;
  report.wall_ms = own.wall_ms;
  report.sequence = ++sequence_;
  sum.MoveTo(report);
  report.crashes = own.crashes;  // What others told has been merged into them.
  for (const auto& [kept, passed] : news_) {
    if (now - passed.first < parameters_.cache_update_forward_time) report.kept.push_back(kept);
  }
  report.peers = NextMentionedPeers(scope);
  return report;
}

// Some of the nodes that are heard here or through others' aggregators, others each time; other regions are told of the
// own one only.
std::vector<PeerNode> FleetExchange::NextMentionedPeers(ReportScope scope) {
  std::vector<PeerNode> members;
  for (const auto& [node, heard] : nodes_) {
    const PeerReport& report = heard.report;
    if (!report.stopping) members.push_back({node, report.address, report.zone, report.link_mbps, false});
  }
  const auto add_senders = [&](const std::map<std::string, Heard>& senders) {
    for (const auto& [node, heard] : senders) {
      const PeerReport& report = heard.report;
      members.insert(members.end(), report.peers.begin(), report.peers.end());
      members.push_back({node, report.address, report.zone, report.link_mbps, false});
    }
  };
  add_senders(zone_senders_);
  if (scope == ReportScope::kRegion)
    return TakeRoundRobin(std::move(members), parameters_.mentioned_across_regions, next_member_);
  add_senders(region_senders_);
  return TakeRoundRobin(std::move(members), parameters_.mentioned_nodes, next_member_);
}

// This node's own part was told up to two intervals ago; what is under way there now it knows itself.
void FleetExchange::UpdateView(const PeerReport& digest, Time now) {
  view_ = digest;
  view_heard_ = now;
  for (EngineWork& work : view_.work) {
    const auto own = own_reported_work_.find(work.engine);
    if (own == own_reported_work_.end()) continue;
    work.outstanding = std::max(0, work.outstanding - own->second.outstanding);
    work.prompt_tokens = std::max<std::int64_t>(0, work.prompt_tokens - own->second.prompt_tokens);
    work.answers = std::max(0, work.answers - own->second.answers);
    work.failures = std::max(0, work.failures - own->second.failures);
  }
  for (ServiceDemand& demand : view_.demand) {
    const auto own = std::find_if(own_demand_.begin(), own_demand_.end(), [&](const ServiceDemand& told) {
      return told.service == demand.service && told.region == demand.region;
    });
    if (own == own_demand_.end()) continue;
    demand.prefill_engines = std::max(0.0, demand.prefill_engines - own->prefill_engines);
    demand.decode_engines = std::max(0.0, demand.decode_engines - own->decode_engines);
    demand.reading_engines = std::max(0.0, demand.reading_engines - own->reading_engines);
  }
}

const PeerReport* FleetExchange::View(Time now) const {
  return view_heard_ != Time{} && now - view_heard_ < parameters_.memory ? &view_ : nullptr;
}

}  // namespace saltquay::serving
