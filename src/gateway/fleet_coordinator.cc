#include "src/gateway/fleet_coordinator.h"

#include <algorithm>

#include <fmt/format.h>

namespace saltquay::gateway {
namespace {

constexpr std::chrono::milliseconds kTickInterval{100};
// Cache updates are repeated in two or three report rounds, since datagrams may be lost.
constexpr std::chrono::milliseconds kCacheUpdateRepeatTime{900};
constexpr std::chrono::milliseconds kDigestCacheUpdateRepeatTime{600};
// Maximum number of peers listed in a report, so that its size does not grow with the fleet.
constexpr std::size_t kMaxListedPeers = 48;
// The first reports of a node are immediately responded to with a full report, since it knows few other nodes.
constexpr std::uint64_t kIntroductionReports = 3;
// A node that was not listed by any peer for this long, plus two full cycles of the peer listing, counts as lost.
constexpr Duration kListedTimeout = 1500ms;
// Digests (sums over the fleet, see fleet_exchange.h) arrive every 100 ms; a node that receives none for this long is
// partitioned from the fleet.
constexpr Duration kDigestTimeout = 500ms;
// The same for a small fleet, where every node reports to every other one each 400 ms.
constexpr Duration kReportTimeout = 1s;
// The lease is renewed before less than this is left of it: the time for an order (a stage change of an engine) and its
// transmission.
constexpr Duration kLeaseMargin = 400ms;

serving::FleetExchangeParameters DigestParameters() {
  serving::FleetExchangeParameters parameters;
  parameters.direct_peers = PeerExchangeOptions{}.fan_out;
  parameters.mentioned_nodes = kMaxListedPeers;
  return parameters;
}

serving::RoleControllerParameters RoleParameters(const GatewaySettings& settings) {
  serving::RoleControllerParameters parameters;
  parameters.planner.initial_prefill_share = settings.initial_prefill_share;
  return parameters;
}

serving::DutyLeaseTimes LeaseTimes(const GatewaySettings& settings) {
  serving::DutyLeaseTimes times;
  times.lease = settings.lease;
  return times;
}

}  // namespace

FleetCoordinator::FleetCoordinator(boost::asio::io_context& loop, const GatewaySettings& settings,
                                   const EngineProtocol& protocol, Gateway& gateway, replica::RelayedStore& store,
                                   DutyApi* duty_api, std::uint64_t seed)
    : loop_(loop),
      settings_(settings),
      gateway_(gateway),
      store_(store),
      engine_control_(loop, protocol, settings.node_name),
      peers_(settings.node_name),
      fleet_(DigestParameters(),
             serving::PeerNode{settings.node_name, settings.peer_listen, settings.zone, settings.link_mbps, false},
             gateway.core().selector().topology()),
      incarnation_(static_cast<std::uint64_t>(UnixMilliseconds())),
      lease_(settings.node_name, settings.peer_listen, LeaseTimes(settings), seed, gateway.Now()),
      lease_client_(gateway, store, lease_),
      roles_(RoleParameters(settings), lease_, gateway.core().selector().topology(), gateway.Now()),
      duties_(settings, gateway, store, duty_api, lease_, incarnation_),
      quarantine_(gateway, store, !settings.first_start, seed + 1),
      timer_(loop) {
  gateway.on_report_to_peers = [this] { ReportToPeers(); };
  gateway.on_send_limit_messages = [this](const serving::SendLimitMessages& action) { SendLimitMessageBatch(action); };
  gateway.on_send_permit_messages = [this](const serving::SendPermitMessages& action) {
    SendPermitMessageBatch(action);
  };
  gateway.on_send_stream_messages = [this](const serving::SendStreamMessages& action) {
    SendStreamMessageBatch(action);
  };
  gateway.on_execution_started = [this](const serving::ExecutionStarted& execution) {
    duties_.OnExecutionStarted(execution);
  };
}

absl::Status FleetCoordinator::Start() {
  Tick();
  if (settings_.peer_listen.empty()) {
    DispatchPeersChanged({});  // Without a peer address this node runs alone: there are no peers.
    return absl::OkStatus();
  }
  PeerExchangeOptions options;
  options.address = settings_.peer_listen;
  options.seeds = settings_.peer_seeds;
  PeerExchange::Handlers handlers;
  handlers.fill = [this](serving::PeerReport& report) {
    FillReport(report);
    report.peers = peers_.NextPeersToMention(kMaxListedPeers, gateway_.Now());
  };
  handlers.on_report = [this](const serving::PeerReport& report) { OnReport(report); };
  handlers.on_rejected_report = [this](const absl::Status& cause, const std::string& sender) {
    OnRejectedReport(cause, sender);
  };
  handlers.peers = [this]() -> const std::vector<serving::PeerNode>& { return peers_.Nodes(); };
  handlers.on_sent = [this](const std::string& address, serving::ReportScope scope, std::size_t bytes) {
    gateway_.traffic().Count(KindOf(scope), LocalityOf(address), bytes);
  };
  exchange_ = std::make_unique<PeerExchange>(loop_, std::move(options), std::move(handlers));
  return exchange_->Start();
}

void FleetCoordinator::StartStopping() {
  stopping_ = true;
  gateway_.Dispatch(serving::NodeStopping{});
  lease_client_.Resign([this] {
    if (exchange_ != nullptr) exchange_->SendReportNow();
  });
  if (exchange_ != nullptr) exchange_->SendReportNow();
}

void FleetCoordinator::FillReport(serving::PeerReport& report) {
  const Time now = gateway_.Now();
  const bool in_digests = fleet_.View(now) != nullptr;
  report.node = settings_.node_name;
  report.address = settings_.peer_listen;
  report.boot = incarnation_;  // The wire format's name for the incarnation.
  report.sequence = ++sequence_;
  report.stopping = stopping_;
  report.work = gateway_.core().LocalWork(now);
  report.demand = LocalDemand();
  report.holds = roles_.Holds(now);
  report.kept = gateway_.core().selector().CacheUpdatesSince(
      now - (in_digests ? kDigestCacheUpdateRepeatTime : kCacheUpdateRepeatTime));
  report.crashes = gateway_.core().crashes().MarksToReport(now);
  report.engine_limits = gateway_.core().EngineLimitMarks(now);
  report.leaving_engines = gateway_.core().LeavingEngines();
  report.zone = settings_.zone;
  report.link_mbps = settings_.link_mbps;
  report.records = store_.marks();
  if (duties_.is_enabled()) {
    report.lease = LocalLeaseMark();
    report.wall_ms = UnixMilliseconds();
  }
}

// In a small fleet, the nodes that this node receives reports from. In a large one it receives reports from few nodes,
// so nodes that other nodes mention are members too.
const std::vector<serving::PeerNode>& FleetCoordinator::Members() const {
  const std::vector<serving::PeerNode>& nodes = peers_.Nodes();
  return fleet_.IsLarge(nodes) ? nodes : peers_.ReportingNodes();
}

void FleetCoordinator::OnReport(const serving::PeerReport& report) {
  const Time now = gateway_.Now();
  if (!report.forward_to.empty()) Forward(report);
  if (report.scope == serving::ReportScope::kUsage) return duties_.OnUsage(report);
  if (report.scope == serving::ReportScope::kLimits) {
    for (const limits::LimitMessage& message : report.limits) gateway_.Dispatch(serving::LimitMessageArrived{message});
    for (const limits::PermitMessage& message : report.permits)
      gateway_.Dispatch(serving::PermitMessageArrived{message});
    for (const serving::StreamMessage& message : report.streams)
      gateway_.Dispatch(serving::StreamMessageArrived{message});
    return;
  }
  // Crash marks and engines' statements are merged regardless of sender and delay; their order does not matter.
  if (!report.crashes.empty()) gateway_.Dispatch(serving::PeerCrashesReported{report.crashes});
  if (!report.engine_limits.empty()) gateway_.Dispatch(serving::PeerEngineLimitsReported{report.engine_limits});
  if (!report.leaving_engines.empty()) {
    gateway_.Dispatch(serving::PeerLeavingEnginesReported{report.leaving_engines});
  }
  duties_.OnClock(report);  // Reads the sender's wall clock time from the report.
  MergeLeaseMark(report.lease);
  if (report.scope != serving::ReportScope::kNode) {
    peers_.RecordMentionedPeers(report, now);
    if (fleet_.RecordReport(report, now)) DispatchPeersChanged(report.kept);
    return;
  }
  const int before = peers_.Count();
  fleet_.RecordReport(report, now);
  if (!peers_.RecordReport(report, now)) return;
  if (peers_.Count() != before) {
    gateway_.Log(EventId::kMemberAlive, "",
                 fmt::format(R"("node":"{}","nodes":{})", EscapeJson(report.node), peers_.Count()));
    if (report.sequence <= kIntroductionReports) exchange_->SendFullReport(report.address);
  }
  // While digests arrive, their contents are more complete and more recent than single reports.
  if (fleet_.View(now) == nullptr) DispatchPeersChanged(report.kept);
}

void FleetCoordinator::Forward(const serving::PeerReport& report) {
  serving::FleetMessage copy{report.forward_to, report};
  copy.report.forward_to.clear();
  exchange_->Send({std::move(copy)});
}

void FleetCoordinator::OnRejectedReport(const absl::Status& cause, const std::string& sender) {
  constexpr std::size_t kMaxSenders = 64;
  if (rejected_senders_.size() >= kMaxSenders || !rejected_senders_.insert(sender).second) return;
  gateway_.Log(EventId::kPeerDataRefused, "",
               fmt::format(R"("sender":"{}","cause":"{}")", EscapeJson(sender), EscapeJson(MessageOf(cause))));
}

void FleetCoordinator::DispatchPeersChanged(const std::vector<serving::KeptPart>& kept) {
  serving::PeersChanged changed;
  changed.kept = kept;
  if (const serving::PeerReport* digest = fleet_.View(gateway_.Now())) {
    AddFleetDigest(changed, *digest);
  } else {
    AddPeerReports(changed);
  }
  for (const serving::EngineHold& hold : roles_.Holds(gateway_.Now())) changed.holds.push_back(hold);
  gateway_.Dispatch(changed);
}

void FleetCoordinator::DispatchNodesChanged() {
  if (!gateway_.core().needs_nodes()) return;
  const Time now = gateway_.Now();
  const std::size_t known = peers_.Nodes().size();
  const bool large = fleet_.IsLarge(peers_.Nodes());
  // A lost node is no longer listed by its peers; every other node is listed once per cycle of the peer listing.
  const Duration listing = DigestParameters().max_digest_interval * static_cast<int>(known / kMaxListedPeers + 1);
  serving::NodesChanged changed;
  for (const serving::PeerNode& peer : peers_.RecentNodes(now, kListedTimeout + 2 * listing)) {
    changed.nodes.push_back({peer.node, peer.address, peer.zone, peer.link_mbps});
  }
  // The number of nodes from which information arrived within the timeout.
  if (large) {
    changed.reach = {fleet_.Reach(now, kDigestTimeout), kDigestTimeout};
  } else {
    changed.reach = {peers_.CountReportingNodes(now, kReportTimeout), kReportTimeout};
  }
  gateway_.Dispatch(changed);
}

void FleetCoordinator::AddPeerReports(serving::PeersChanged& changed) {
  changed.age = PeerExchangeOptions{}.interval / 2;  // A report is half an interval old on average.
  changed.nodes = static_cast<int>(Members().size()) + 1;
  changed.work = peers_.WorkByEngine();
  changed.holds = peers_.Holds();
  for (const serving::ServiceDemand& own : gateway_.core().LocalDemand(gateway_.Now())) {
    changed.demand.push_back(peers_.Demand(own.service));
  }
}

void FleetCoordinator::AddFleetDigest(serving::PeersChanged& changed, const serving::PeerReport& digest) {
  changed.nodes = digest.nodes;
  changed.age = fleet_.ViewAge(gateway_.Now());
  gateway_.metrics().ObserveDigestAge(ToSeconds(changed.age));
  for (const serving::EngineWork& work : digest.work) changed.work[work.engine] = work;
  changed.holds = digest.holds;
  serving::DemandSum demand;
  demand.Add(digest.demand);
  for (const auto& [service, sum] : demand.ByService()) changed.demand.push_back(sum);
}

void FleetCoordinator::ExchangeDigests() {
  const Time now = gateway_.Now();
  if (exchange_ == nullptr || now < next_digests_) return;
  next_digests_ = now + DigestParameters().interval;
  const std::vector<serving::PeerNode>& nodes = peers_.Nodes();
  if (!fleet_.IsLarge(nodes)) return exchange_->set_reduced_rate(false);
  serving::PeerReport own;
  FillReport(own);
  const bool aggregates = fleet_.aggregates(now);
  exchange_->Send(fleet_.Tick(now, own, nodes));
  exchange_->set_reduced_rate(fleet_.View(now) != nullptr);
  if (aggregates) DispatchPeersChanged({});
}

void FleetCoordinator::UpdateStorePeers() {
  const serving::PeerReport* digest = fleet_.View(gateway_.Now());
  std::vector<serving::RecordMark> marks = peers_.LastChanges();
  if (digest != nullptr) marks.insert(marks.end(), digest->records.begin(), digest->records.end());
  const bool large = fleet_.IsLarge(peers_.Nodes());
  const std::pair membership(peers_.version(), large);
  if (store_membership_ == membership) return store_.update_last_changes(marks);
  store_membership_ = membership;
  store_.update_peers(Members(), marks);
}

// Detects that the process was suspended or starved of CPU time: its state is outdated by the length of the gap.
void FleetCoordinator::DetectStall() {
  constexpr Duration kStallThreshold = 1s;
  const Time now = gateway_.Now();
  const Duration gap = now - last_tick_;
  if (last_tick_ != Time{} && gap > kStallThreshold) {
    gateway_.Log(EventId::kNodeStoodStill, "",
                 fmt::format(R"("for_ms":{})", gap.count() / 1000));  // From microseconds.
  }
  last_tick_ = now;
}

void FleetCoordinator::Tick() {
  DetectStall();
  const int before = peers_.Count();
  peers_.Expire(gateway_.Now());
  // While digests arrive, report rounds are rare and most nodes are known only from other nodes' listings.
  if (peers_.Count() != before && fleet_.View(gateway_.Now()) == nullptr) {
    gateway_.Log(EventId::kMemberDead, "", fmt::format(R"("nodes":{})", peers_.Count()));
    DispatchPeersChanged({});
  }
  UpdateStorePeers();
  UpdateForwardingPeers();
  ExchangeDigests();
  DispatchNodesChanged();
  const std::vector<serving::PeerNode>& members = Members();
  const std::optional<serving::ServingConfig>& config = gateway_.core().config();
  serving::DemandSum demand;
  if (config) demand = TotalDemand();
  if (config && settings_.changes_roles) {
    std::vector<serving::RoleAction> actions;
    roles_.set_nodes(static_cast<int>(members.size()) + 1);
    roles_.OnTick(gateway_.Now(), IsCandidate(members), *config, demand, gateway_.core().engines(), actions);
    Perform(actions);
  }
  duties_.Tick(members, demand.ByService(), [this](const std::vector<serving::FleetMessage>& messages) {
    if (exchange_ != nullptr) exchange_->Send(messages);
  });
  RunLease();
  quarantine_.Step();
  LogTraffic();
  gateway_.metrics().SetLeader(lease_.IsHeldFor(gateway_.Now()));
  const serving::PeerReport* digest = fleet_.View(gateway_.Now());
  gateway_.metrics().SetFleet(static_cast<double>(members.size()) + 1, digest == nullptr ? 1 : digest->nodes);
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) Tick();
  });
}

// The lease elects one node (see duty_lease.h). With platform duties (usage reports and scaling orders), its holder
// also plans engine roles. Without them, one node on which all nodes agree (the one with the smallest name) plans, and
// the lease is taken only for the duration of orders.
bool FleetCoordinator::IsCandidate(const std::vector<serving::PeerNode>& members) {
  // A node that cannot connect to the engines cannot order them either.
  const bool may_plan =
      !stopping_ && store_connected_ && gateway_.core().ready() && gateway_.core().ReachesMostEngines();
  if (!may_plan) return false;
  return duties_.is_enabled() ? lease_.IsHeldFor(gateway_.Now()) : peers_.HasLowestName(members);
}

void FleetCoordinator::RunLease() {
  const Time now = gateway_.Now();
  if (!duties_.is_enabled()) {
    if (lease_.wanted(now)) lease_client_.Step(kLeaseMargin, 0);
    return;
  }
  // A node that receives no digests gets no usage counts from its peers: in a large fleet it leaves the lease to
  // others.
  const bool receives_usage_counts = !fleet_.IsLarge(peers_.Nodes()) || fleet_.View(now) != nullptr;
  if (!stopping_ && store_connected_ && receives_usage_counts) lease_client_.Step(kLeaseMargin, duties_.local_rank());
}

serving::LeaseMark FleetCoordinator::LocalLeaseMark() const {
  const serving::LeaseRecord& record = lease_.known();
  return {record.holder, record.address, record.revision};
}

void FleetCoordinator::MergeLeaseMark(const serving::LeaseMark& mark) {
  if (mark.revision > 0) lease_.OnPeerRecord({mark.holder, mark.address, 0, 0, mark.revision}, gateway_.Now());
}

std::vector<serving::ServiceDemand> FleetCoordinator::LocalDemand() {
  std::vector<serving::ServiceDemand> demand = gateway_.core().LocalDemand(gateway_.Now());
  const serving::Topology& topology = gateway_.core().selector().topology();
  if (!topology.HasMultipleRegions()) return demand;
  for (serving::ServiceDemand& own : demand) own.region = topology.LocalRegion();
  return demand;
}

serving::DemandSum FleetCoordinator::TotalDemand() {
  serving::DemandSum total;
  total.Add(LocalDemand());
  const serving::PeerReport* digest = fleet_.View(gateway_.Now());
  total.Add(digest != nullptr ? digest->demand : peers_.Demands());
  return total;
}

void FleetCoordinator::ReportToPeers() {
  if (exchange_ != nullptr) exchange_->SendReportWide();
  ExchangeDigestsImmediately();
}

void FleetCoordinator::ExchangeDigestsImmediately() {
  next_digests_ = Time{};
  ExchangeDigests();
}

}  // namespace saltquay::gateway
