#include "src/core/routing/load_reporter.h"

#include <algorithm>

#include "src/base/hash.h"

namespace saltquay {
namespace {

constexpr std::size_t kReadersPerEngine = 2;
constexpr Duration kAssignmentInterval = 500ms;
constexpr Duration kDemandReportInterval = 1s;
constexpr Duration kDemandExpiry = 5s;
constexpr int kFailedReadsToUnavailable = 2;
// Wire size of a report and of the envelope around a batch.
constexpr double kBytesPerLoad = 40;
constexpr double kBytesPerEnvelope = 120;
// Queue changes smaller than this are not worth a message.
constexpr std::uint32_t kQueuedTokensStep = 256;

bool IsWorthSending(const EngineLoad& present, const EngineLoad& sent) {
  EngineLoad quantised_present = present;
  EngineLoad quantised_sent = sent;
  quantised_present.queued_prefill_tokens /= kQueuedTokensStep;
  quantised_sent.queued_prefill_tokens /= kQueuedTokensStep;
  return quantised_present != quantised_sent;
}

std::uint16_t Saturate(std::uint32_t value) { return static_cast<std::uint16_t>(std::min(value, 0xFFFFU)); }

}  // namespace

EngineLoad MakeEngineLoad(const EngineState& state) {
  EngineLoad load;
  load.engine = state.engine;
  load.boot = state.boot;
  load.role = state.role;
  load.model_version = state.model_version;
  load.generation = static_cast<std::uint32_t>(state.generation);
  load.available = !state.order_in_progress && state.model_version != ModelVersionId{};
  load.running = Saturate(state.running);
  load.waiting = Saturate(state.waiting);
  load.queued_prefill_tokens = static_cast<std::uint32_t>(std::min<std::uint64_t>(state.queued_prefill_tokens, ~0U));
  return load;
}

bool LoadReporter::IsReader(const NodeContext& context, const Membership& membership, const EngineEntry& entry) const {
  const NodeId self = context.self().incarnation.node;
  std::vector<NodeId> readers = membership.AlivePeersInZone(entry.machine.zone);
  if (context.self().zone == entry.machine.zone) readers.push_back(self);
  if (readers.empty()) {
    readers = membership.AlivePeers();
    readers.push_back(self);
  }
  const std::uint64_t own_rank = HashPair(entry.machine.id, self.value);
  std::size_t above = 0;
  bool candidate = false;
  for (const NodeId reader : readers) {
    if (reader == self) candidate = true;
    if (HashPair(entry.machine.id, reader.value) > own_rank) ++above;
  }
  return candidate && above < kReadersPerEngine;
}

void LoadReporter::AssignReads(const NodeContext& context, const Membership& membership, const LoadTable& table) {
  if (context.now() < next_assignment_) return;
  next_assignment_ = context.now() + kAssignmentInterval;
  assigned_.clear();
  for (const auto& [id, entry] : table.engines()) {
    if (IsReader(context, membership, entry)) assigned_.push_back(id);
  }
  std::erase_if(own_reads_, [&](const auto& entry) {
    return std::find(assigned_.begin(), assigned_.end(), entry.first) == assigned_.end();
  });
}

void LoadReporter::Spread(NodeContext& context, Group& group, const std::vector<NodeId>& peers, double budget) {
  if (context.now() < group.next_at || peers.empty()) return;
  LoadDelta delta;
  for (const auto& [id, load] : own_reads_) {
    Sent& sent = group.sent[id];
    const bool stale = context.now() - sent.at >= context.parameters().load_expiry / 3 || sent.at == Time{};
    if (!stale && !IsWorthSending(load, sent.load)) continue;
    sent = Sent{load, context.now()};
    delta.loads.push_back(load);
  }
  if (delta.loads.empty()) return;
  const double bytes =
      static_cast<double>(peers.size()) * (kBytesPerEnvelope + kBytesPerLoad * static_cast<double>(delta.loads.size()));
  const Duration pause = std::max(context.parameters().load_spread_min_interval, FromSeconds(bytes / budget));
  group.next_at = context.now() + pause;
  for (const NodeId peer : peers) context.Send(peer, delta);
}

void LoadReporter::OnTick(NodeContext& context, const Membership& membership, LoadTable& table,
                          const PrefixIndex& prefixes) {
  AssignReads(context, membership, table);
  for (const EngineId engine : assigned_) {
    Time& next = next_read_[engine];
    if (context.now() < next) continue;
    next = context.now() + context.parameters().load_read_interval;
    context.Emit(ReadEngineState{engine, std::nullopt, prefixes.LastSequence(engine)});
  }
  const std::vector<NodeId> zone_peers = membership.AlivePeersInZone(context.self().zone);
  std::vector<NodeId> far_peers = membership.AlivePeers();
  std::erase_if(far_peers,
                [&](NodeId peer) { return std::find(zone_peers.begin(), zone_peers.end(), peer) != zone_peers.end(); });
  const double budget = context.parameters().load_budget_bytes_per_second / 2;
  Spread(context, zone_group_, zone_peers, budget);
  Spread(context, far_group_, far_peers, budget);
}

void LoadReporter::OnStateRead(NodeContext& context, LoadTable& table, PrefixIndex& prefixes,
                               const EngineStateRead& read) {
  if (!read.state.has_value()) {
    if (++failed_reads_[read.engine] < kFailedReadsToUnavailable) return;
    table.OnReadFailed(read.engine);
    const auto own = own_reads_.find(read.engine);
    if (own != own_reads_.end()) own->second.available = false;
    return;
  }
  failed_reads_[read.engine] = 0;
  const EngineLoad load = MakeEngineLoad(*read.state);
  table.OnLoad(context, load);
  if (!read.state->cache_events.empty()) prefixes.OnEvents(read.engine, read.state->boot, read.state->cache_events);
  const bool assigned = std::find(assigned_.begin(), assigned_.end(), read.engine) != assigned_.end();
  if (assigned) own_reads_[read.engine] = load;
}

void LoadReporter::OnDelta(const NodeContext& context, NodeId sender, LoadTable& table, const LoadDelta& delta) {
  for (const EngineLoad& load : delta.loads) {
    const bool own = std::find(assigned_.begin(), assigned_.end(), load.engine) != assigned_.end();
    if (!own) table.OnLoad(context, load);
  }
  if (!delta.demands.empty()) demands_[sender] = NodeDemand{delta.demands, context.now()};
}

void LoadReporter::ReportDemand(NodeContext& context, NodeId leader, const std::vector<ModelDemand>& demands) {
  if (context.now() < next_demand_report_ || demands.empty()) return;
  next_demand_report_ = context.now() + kDemandReportInterval;
  if (leader == context.self().incarnation.node) {
    demands_[leader] = NodeDemand{demands, context.now()};
  } else {
    context.Send(leader, LoadDelta{{}, demands});
  }
}

std::vector<ModelDemand> LoadReporter::CellDemands(const NodeContext& context) const {
  std::vector<ModelDemand> all;
  for (const auto& [node, demand] : demands_) {
    if (context.now() - demand.at > kDemandExpiry) continue;
    all.insert(all.end(), demand.demands.begin(), demand.demands.end());
  }
  return all;
}

}  // namespace saltquay
