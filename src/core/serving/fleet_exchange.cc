#include "src/core/serving/fleet_exchange.h"

#include <algorithm>
#include <set>

#include "src/core/serving/demand_sum.h"
#include "src/core/serving/node_ranking.h"

namespace saltquay::serving {
namespace {

// Sums the parts of reports that are identified by a key.
class ReportSum {
 public:
  void Add(const PeerReport& report, Duration age) {
    nodes_ += report.nodes;
    age_sum_ += (age + report.age) * report.nodes;
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
    report.age = nodes_ > 0 ? age_sum_ / nodes_ : 0s;
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
  Duration age_sum_ = 0s;  // Sum over all nodes.
  std::map<EngineKey, EngineWork> work_;
  DemandSum demand_;
  std::map<std::string, Duration> holds_;
  std::map<std::string, std::int64_t> records_;
  LeaseMark lease_;
};

}  // namespace

bool FleetExchange::aggregates(Time now) const {
  return std::any_of(nodes_.begin(), nodes_.end(),
                     [&](const auto& entry) { return now - entry.second.at < parameters_.report_expiry; });
}

bool FleetExchange::RecordReport(const PeerReport& report, Time now) {
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
  const auto contact = contacts_.find(report.node);
  if (contact != contacts_.end()) contact->second.digest = now;
  if (IsMoreComplete(view_, view_received_at_, report, now, parameters_.max_digest_interval)) return false;
  UpdateView(report, now);
  return true;
}

void FleetExchange::RecordZoneDigest(const PeerReport& report, Time now) {
  if (report.zone == self_.zone || !IsLocalZone(report.zone)) return;
  Received& sender = zone_senders_[report.node];
  if (sender.at != Time{} && !IsNewer(report, sender.report)) return;
  sender = {report, now};
  Received& zone = zones_[report.zone];
  if (!IsMoreComplete(zone.report, zone.at, report, now, parameters_.max_digest_interval)) zone = sender;
  RecordCacheUpdates(report, now);
  RecordMembers(report, now);
}

bool FleetExchange::IsMoreComplete(const PeerReport& known, Time known_received_at, const PeerReport& report, Time now,
                                   Duration interval) const {
  const bool fresh = known_received_at != Time{} && now - known_received_at <= 2 * interval;
  return fresh && known.node != report.node && report.nodes < parameters_.min_completeness * known.nodes;
}

void FleetExchange::Aggregate(const PeerReport& report, Time now) {
  Received& received = nodes_[report.node];
  if (received.at != Time{} && !IsNewer(report, received.report)) return;
  received.report = report;
  received.at = now;
  RecordCacheUpdates(report, now);
  if (report.stopping) return;
  const PeerNode member{report.node, report.address, report.zone, report.link_mbps, false};
  for (MemberRotation* members : {&zone_members_, &region_members_, &fleet_members_}) members->Record(member, now);
}

std::vector<PeerNode> FleetExchange::ListMembers(MemberRotation& members, Time now) const {
  std::vector<PeerNode> known = fleet_members_.All(now);
  known.push_back(self_);
  std::vector<PeerNode> listed =
      BestOfEachZone(known, parameters_.mentioned_best_per_zone, parameters_.mentioned_nodes / 2);
  for (PeerNode& member : members.Next(parameters_.mentioned_nodes - listed.size(), now)) {
    if (std::find(listed.begin(), listed.end(), member) == listed.end()) listed.push_back(std::move(member));
  }
  return listed;
}

void FleetExchange::RecordMembers(const PeerReport& digest, Time now) {
  std::vector<PeerNode> members = digest.peers;
  members.push_back({digest.node, digest.address, digest.zone, digest.link_mbps, false});
  for (const PeerNode& member : members) {
    if (member.node == self_.node) continue;
    fleet_members_.Record(member, now);
    if (digest.scope == ReportScope::kZone && IsLocalZone(member.zone)) region_members_.Record(member, now);
  }
}

void FleetExchange::RecordCacheUpdates(const PeerReport& report, Time now) {
  for (const KeptPart& kept : report.kept) {
    ForwardedUpdate& forwarded = cache_updates_[kept];
    if (forwarded.first == Time{} || now - forwarded.first > parameters_.cache_update_suppress_time)
      forwarded.first = now;
    forwarded.last = now;
  }
}

void FleetExchange::ExpireOld(Time now) {
  std::erase_if(nodes_, [&](const auto& entry) { return now - entry.second.at > parameters_.report_expiry; });
  std::erase_if(zones_, [&](const auto& entry) { return now - entry.second.at > parameters_.report_expiry; });
  std::erase_if(zone_senders_, [&](const auto& entry) { return now - entry.second.at > parameters_.report_expiry; });
  std::erase_if(regions_, [&](const auto& entry) { return now - entry.second.at > parameters_.region_report_expiry; });
  std::erase_if(region_senders_,
                [&](const auto& entry) { return now - entry.second.at > parameters_.region_report_expiry; });
  std::erase_if(cache_updates_,
                [&](const auto& entry) { return now - entry.second.last > parameters_.cache_update_suppress_time; });
  zone_members_.Expire(now, parameters_.report_expiry, 0s);
  region_members_.Expire(now, parameters_.member_expiry, parameters_.member_expiry_per_node);
  fleet_members_.Expire(now, parameters_.member_expiry, parameters_.member_expiry_per_node);
  std::erase_if(excluded_until_, [&](const auto& entry) { return entry.second <= now; });
}

// The first nodes of the zone's ranking that are not excluded. This node may be one of them.
std::vector<PeerNode> FleetExchange::ChooseAggregators(Time now, const std::vector<PeerNode>& peers) {
  for (const auto& [node, contact] : contacts_) {
    const Time last = std::max(contact.since, contact.digest);
    if (now - last > parameters_.aggregator_timeout) excluded_until_[node] = now + parameters_.exclusion_time;
  }
  std::vector<PeerNode> chosen;
  for (const RankedNode& ranked : RankZone(self_, peers, self_.zone)) {
    if (chosen.size() == static_cast<std::size_t>(parameters_.aggregators)) break;
    if (!excluded_until_.contains(ranked.node->node)) chosen.push_back(*ranked.node);
  }
  std::map<std::string, AggregatorContact> contacts;
  for (const PeerNode& aggregator : chosen) {
    if (aggregator.node == self_.node) continue;
    const auto before = contacts_.find(aggregator.node);
    contacts[aggregator.node] = before == contacts_.end() ? AggregatorContact{now, Time{}} : before->second;
  }
  contacts_ = std::move(contacts);
  return chosen;
}

std::vector<FleetMessage> FleetExchange::Tick(Time now, const PeerReport& own, const std::vector<PeerNode>& peers) {
  std::vector<FleetMessage> messages;
  ExpireOld(now);
  if (!IsLarge(peers)) {
    contacts_.clear();
    return messages;
  }
  const std::vector<PeerNode> aggregators = ChooseAggregators(now, peers);
  const bool aggregates_itself = std::any_of(aggregators.begin(), aggregators.end(),
                                             [&](const PeerNode& aggregator) { return aggregator.node == self_.node; });
  if (aggregates_itself || !nodes_.empty()) {
    RecordCacheUpdates(own, now);
    SendZoneDigest(now, own, peers, messages);
    SendRegionDigest(now, own, peers, aggregators, messages);
    SendFleetDigest(now, own, messages);
  }
  ForwardRegionDigests(now, peers, aggregators, messages);
  SendReport(now, own, aggregators, aggregates_itself, messages);
  return messages;
}

void FleetExchange::SendReport(Time now, const PeerReport& own, const std::vector<PeerNode>& aggregators,
                               bool aggregates_itself, std::vector<FleetMessage>& messages) {
  if (aggregators != reported_to_) report_.Reset();
  const bool is_due = report_.IsDue(own, now, parameters_.keepalive_interval);
  // An aggregator's own contribution to its digests is always current.
  if (!is_due && !aggregates_itself) return;
  report_.RecordSent(own, now);
  reported_to_ = aggregators;
  FleetMessage message{{}, own};
  message.report.aggregate = true;
  for (const PeerNode& aggregator : aggregators) {
    if (aggregator.node != self_.node) message.addresses.push_back(aggregator.address);
  }
  messages.push_back(std::move(message));
}

Duration FleetExchange::DigestInterval(const PeerReport& digest) const {
  const Duration by_size = FromSeconds(static_cast<double>(EstimateBytes(digest)) / parameters_.digest_bytes_per_s);
  return std::clamp(by_size, parameters_.interval, parameters_.max_digest_interval);
}

void FleetExchange::SendFleetDigest(Time now, const PeerReport& own, std::vector<FleetMessage>& messages) {
  PeerReport digest = Sum(ReportScope::kFleet, own, now);
  if (!IsMoreComplete(view_, view_received_at_, digest, now, parameters_.max_digest_interval)) UpdateView(digest, now);
  if (now < next_fleet_digest_ || !fleet_digest_.IsDue(digest, now, parameters_.keepalive_interval)) return;
  digest.peers = ListMembers(fleet_members_, now);
  LimitWork(digest, parameters_.max_digest_engines);
  fleet_digest_.RecordSent(digest, now);
  // Ticks are not exactly one interval apart; the margin keeps a slightly early tick from skipping a digest.
  next_fleet_digest_ = now + DigestInterval(digest) - parameters_.interval / 2;
  std::vector<PeerNode> receivers;
  receivers.reserve(nodes_.size());
  for (const auto& [node, received] : nodes_) {
    receivers.push_back({node, received.report.address, received.report.zone, received.report.link_mbps, false});
  }
  for (FleetMessage& message :
       DistributeDigest(digest, std::move(receivers), parameters_.max_digest_copies, HashText(self_.node))) {
    messages.push_back(std::move(message));
  }
}

// Sent to one aggregator of each other zone of the region, round-robin over those that digests were received from, plus
// the first of the zone's ranking while there are too few.
void FleetExchange::SendZoneDigest(Time now, const PeerReport& own, const std::vector<PeerNode>& peers,
                                   std::vector<FleetMessage>& messages) {
  FleetMessage digest{{}, Sum(ReportScope::kZone, own, now)};
  if (!zone_digest_.IsDue(digest.report, now, parameters_.keepalive_interval)) return;
  zone_digest_.RecordSent(digest.report, now);
  digest.report.peers = ListMembers(zone_members_, now);
  std::set<std::string> zones;
  for (const PeerNode& peer : peers) zones.insert(peer.zone);
  zones.erase(self_.zone);
  std::erase_if(zones, [&](const std::string& zone) { return !IsLocalZone(zone); });
  ++zone_round_robin_;
  for (const std::string& zone : zones) {
    const std::vector<std::string> aggregators = AggregatorsOf(zone, peers);
    if (!aggregators.empty()) digest.addresses.push_back(aggregators[zone_round_robin_ % aggregators.size()]);
  }
  messages.push_back(std::move(digest));
}

std::vector<std::string> FleetExchange::AggregatorsOf(const std::string& zone,
                                                      const std::vector<PeerNode>& peers) const {
  std::vector<std::string> addresses;
  for (const auto& [node, received] : zone_senders_) {
    if (received.report.zone == zone) addresses.push_back(received.report.address);
  }
  const bool tries_more = addresses.empty() && topology_.HasMultipleRegions();
  const auto wanted =
      tries_more ? parameters_.unresponsive_zone_candidates : static_cast<std::size_t>(parameters_.aggregators);
  for (const RankedNode& ranked : RankZone(self_, peers, zone)) {
    if (addresses.size() >= wanted) break;
    if (!zone_senders_.contains(ranked.node->node)) addresses.push_back(ranked.node->address);
  }
  return addresses;
}

PeerReport FleetExchange::Sum(ReportScope scope, const PeerReport& own, Time now) {
  ReportSum sum;
  sum.Add(own, 0s);
  for (const auto& [node, received] : nodes_) sum.Add(received.report, Staleness(now - received.at));
  if (scope != ReportScope::kZone) {
    for (const auto& [zone, received] : zones_) sum.Add(received.report, Staleness(now - received.at));
  }
  if (scope == ReportScope::kFleet) {
    for (const auto& [region, received] : regions_) sum.Add(received.report, now - received.at);
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
  // Large digests are sent less often, and each update has to be in two of them.
  const Duration forward_time =
      std::max(parameters_.cache_update_forward_time, 2 * DigestInterval(fleet_digest_.sent()));
  report.crashes = own.crashes;                  // Crash marks reported by others are already merged into `own`.
  report.engine_limits = own.engine_limits;      // So are engines' limits
  report.leaving_engines = own.leaving_engines;  // and leaving engines.
  for (const auto& [kept, forwarded] : cache_updates_) {
    if (now - forwarded.first < forward_time) report.kept.push_back(kept);
  }
  return report;
}

// Subtracts this node's own contribution, which is up to two intervals old; the node knows its current work itself.
void FleetExchange::UpdateView(const PeerReport& digest, Time now) {
  view_ = digest;
  view_received_at_ = now;
  const PeerReport& reported = report_.sent();
  std::map<EngineKey, const EngineWork*> reported_work;
  for (const EngineWork& work : reported.work) reported_work[work.engine] = &work;
  for (EngineWork& work : view_.work) {
    const auto own = reported_work.find(work.engine);
    if (own == reported_work.end()) continue;
    work.outstanding = std::max(0, work.outstanding - own->second->outstanding);
    work.prompt_tokens = std::max<std::int64_t>(0, work.prompt_tokens - own->second->prompt_tokens);
    work.response_count = std::max(0, work.response_count - own->second->response_count);
    work.failures = std::max(0, work.failures - own->second->failures);
  }
  for (ServiceDemand& demand : view_.demand) {
    const auto own = std::find_if(reported.demand.begin(), reported.demand.end(), [&](const ServiceDemand& part) {
      return part.service == demand.service && part.region == demand.region;
    });
    if (own == reported.demand.end()) continue;
    demand.prefill_engines = std::max(0.0, demand.prefill_engines - own->prefill_engines);
    demand.decode_engines = std::max(0.0, demand.decode_engines - own->decode_engines);
    demand.unloaded_prefill_engines = std::max(0.0, demand.unloaded_prefill_engines - own->unloaded_prefill_engines);
  }
}

const PeerReport* FleetExchange::View(Time now) const {
  return view_received_at_ != Time{} && now - view_received_at_ < parameters_.report_expiry ? &view_ : nullptr;
}

}  // namespace saltquay::serving
