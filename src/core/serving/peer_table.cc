#include "src/core/serving/peer_table.h"

#include <algorithm>

#include "src/core/serving/node_ranking.h"

namespace saltquay::serving {
namespace {

constexpr Duration kReportExpiry = 3s;
// A node reports to a bounded number of peers per round, so each additional peer delays the next report to a given
// peer.
constexpr Duration kReportExpiryPerPeer = 60ms;
constexpr Duration kMaxReportExpiry = 12s;
// A message mentions a bounded number of nodes, so each additional node delays the next mention of a given one.
constexpr Duration kMentionExpiry = 6s;
constexpr Duration kMentionExpiryPerNode = 10ms;
// Mentioned in every report: a node that has just started has to agree with the others on whom to follow.
constexpr std::size_t kBestPerZone = 2;

// The sender of a report as a member.
PeerNode DescribeSender(const PeerReport& report) {
  return {report.node, report.address, report.zone, report.link_mbps, report.stopping};
}

}  // namespace

void EngineWork::Add(const EngineWork& other) {
  engine = other.engine;
  outstanding += other.outstanding;
  prompt_tokens += other.prompt_tokens;
  response_count += other.response_count;
  failures += other.failures;
}

void ServiceDemand::Add(const ServiceDemand& other) {
  prefill_engines += other.prefill_engines;
  decode_engines += other.decode_engines;
  unloaded_prefill_engines += other.unloaded_prefill_engines;
  if (other.prefill_depth <= 0 || other.depth_nodes <= 0) return;
  const int own_nodes = prefill_depth > 0 ? depth_nodes : 0;
  const double sum = prefill_depth * own_nodes + other.prefill_depth * other.depth_nodes;
  depth_nodes = own_nodes + other.depth_nodes;
  prefill_depth = sum / depth_nodes;
}

bool PeerTable::RecordReport(const PeerReport& report, Time now) {
  if (report.node == local_node_ || report.node.empty()) return false;
  Entry& entry = peers_[report.node];
  const bool known = entry.received_at != Time{};
  if (known && !IsNewer(report, entry.report)) return false;
  if (!known || DescribeSender(entry.report) != DescribeSender(report)) RecordMembershipChange();
  entry.report = report;
  entry.received_at = now;
  RecordMentionedPeers(report, now);
  return true;
}

void PeerTable::RecordMentionedPeers(const PeerReport& report, Time now) {
  for (const PeerNode& peer : report.peers) {
    const Time heard_at = now - peer.age;
    if (peer.node == local_node_ || IsExpired(heard_at, now)) continue;
    Mentioned& mentioned = mentioned_[peer.node];
    if (mentioned.node != peer && heard_at >= mentioned.heard_at) {
      mentioned.node = peer;
      RecordMembershipChange();
    }
    mentioned.heard_at = std::max(mentioned.heard_at, heard_at);
  }
}

// Of a mentioned node that was last heard at that time.
bool PeerTable::IsExpired(Time heard_at, Time now) const { return now - heard_at > MentionExpiry(); }

Duration PeerTable::MentionExpiry() const {
  return std::max(kMentionExpiry, kMentionExpiryPerNode * static_cast<int>(mentioned_.size()));
}

void PeerTable::Expire(Time now) {
  // In a large fleet, nodes are known by mentions, and most of those that once sent a report will not send another.
  const Duration by_peers = kReportExpiry + kReportExpiryPerPeer * static_cast<int>(peers_.size());
  const Duration expiry = std::min(by_peers, std::max(kMaxReportExpiry, MentionExpiry()));
  const auto expired =
      std::erase_if(peers_, [&](const auto& entry) { return now - entry.second.received_at > expiry; }) +
      std::erase_if(mentioned_, [&](const auto& entry) { return IsExpired(entry.second.heard_at, now); });
  if (expired > 0) RecordMembershipChange();
}

void PeerTable::RecordMembershipChange() {
  ++version_;
  lists_valid_ = false;
}

void PeerTable::UpdateLists() const {
  if (lists_valid_) return;
  lists_valid_ = true;
  reporting_nodes_.clear();
  for (const auto& [node, entry] : peers_) reporting_nodes_.push_back(DescribeSender(entry.report));
  nodes_ = reporting_nodes_;
  for (const auto& [node, mentioned] : mentioned_) {
    if (!peers_.contains(node)) nodes_.push_back(mentioned.node);
  }
}

const std::vector<PeerNode>& PeerTable::ReportingNodes() const {
  UpdateLists();
  return reporting_nodes_;
}

const std::vector<PeerNode>& PeerTable::Nodes() const {
  UpdateLists();
  return nodes_;
}

std::vector<PeerNode> PeerTable::RecentNodes(Time now, Duration age) const {
  std::vector<PeerNode> nodes;
  for (const auto& [node, entry] : peers_) {
    const PeerReport& report = entry.report;
    const auto mentioned = mentioned_.find(node);
    const Time last =
        mentioned == mentioned_.end() ? entry.received_at : std::max(entry.received_at, mentioned->second.heard_at);
    if (now - last > age || report.stopping) continue;
    nodes.push_back({node, report.address, report.zone, report.link_mbps, false});
  }
  for (const auto& [node, mentioned] : mentioned_) {
    const bool recent = now - mentioned.heard_at <= age && !mentioned.node.stopping;
    if (recent && !peers_.contains(node)) nodes.push_back(mentioned.node);
  }
  return nodes;
}

int PeerTable::CountReportingNodes(Time now, Duration age) const {
  const auto received = std::count_if(peers_.begin(), peers_.end(),
                                      [&](const auto& entry) { return now - entry.second.received_at <= age; });
  return static_cast<int>(received) + 1;
}

std::vector<PeerNode> PeerTable::NextPeersToMention(std::size_t max_count, Time now) {
  const std::vector<PeerNode>& nodes = Nodes();
  std::vector<PeerNode> listed = BestOfEachZone(nodes, kBestPerZone, max_count / 2);
  const std::size_t wanted = std::min(max_count, nodes.size());
  for (std::size_t i = 0; i < nodes.size() && listed.size() < wanted; ++i) {
    const PeerNode& node = nodes[next_node_++ % nodes.size()];
    if (std::find(listed.begin(), listed.end(), node) == listed.end()) listed.push_back(node);
  }
  for (PeerNode& node : listed) {
    const auto peer = peers_.find(node.node);
    const auto mentioned = mentioned_.find(node.node);
    Time heard_at = peer == peers_.end() ? Time{} : peer->second.received_at;
    if (mentioned != mentioned_.end()) heard_at = std::max(heard_at, mentioned->second.heard_at);
    node.age = now - heard_at;
  }
  return listed;
}

std::vector<RecordMark> PeerTable::LastChanges() const {
  std::map<std::string, std::int64_t> last;
  for (const auto& [node, entry] : peers_) {
    for (const RecordMark& mark : entry.report.records) last[mark.kind] = std::max(last[mark.kind], mark.changed_at);
  }
  std::vector<RecordMark> marks;
  marks.reserve(last.size());
  for (const auto& [kind, changed_at] : last) marks.push_back({kind, changed_at});
  return marks;
}

LeaseMark PeerTable::NewestLease() const {
  LeaseMark newest;
  for (const auto& [node, entry] : peers_) {
    if (entry.report.lease.revision > newest.revision) newest = entry.report.lease;
  }
  return newest;
}

std::map<EngineKey, EngineWork> PeerTable::WorkByEngine() const {
  std::map<EngineKey, EngineWork> sums;
  for (const auto& [node, entry] : peers_) {
    for (const EngineWork& work : entry.report.work) sums[work.engine].Add(work);
  }
  return sums;
}

std::vector<EngineHold> PeerTable::Holds() const {
  std::vector<EngineHold> holds;
  for (const auto& [node, entry] : peers_) {
    holds.insert(holds.end(), entry.report.holds.begin(), entry.report.holds.end());
  }
  return holds;
}

std::vector<ServiceDemand> PeerTable::Demands() const {
  std::vector<ServiceDemand> demands;
  for (const auto& [node, entry] : peers_) {
    demands.insert(demands.end(), entry.report.demand.begin(), entry.report.demand.end());
  }
  return demands;
}

ServiceDemand PeerTable::Demand(const std::string& service) const {
  ServiceDemand sum;
  sum.service = service;
  for (const auto& [node, entry] : peers_) {
    for (const ServiceDemand& demand : entry.report.demand) {
      if (demand.service == service) sum.Add(demand);
    }
  }
  return sum;
}

bool PeerTable::HasLowestName(const std::vector<PeerNode>& nodes) const {
  return std::none_of(nodes.begin(), nodes.end(),
                      [&](const PeerNode& node) { return !node.stopping && node.node < local_node_; });
}

}  // namespace saltquay::serving
