// Partitions of nodes from engines, in the fleet of serving_fleet.h.
#include <fmt/format.h>

#include "tests/support/serving_fleet.h"

namespace saltquay::serving {
namespace {

constexpr Duration kLinkDelay = 1ms;
constexpr Duration kProbeTimeout = 300ms;
constexpr Duration kCheckTimeout = 450ms;

}  // namespace

void ServingFleet::PartitionFromEngines(int node, PartitionKind kind, const std::set<std::string>& engines) {
  partitions_[node] = {kind, engines};
  if (kind == PartitionKind::kReset) return ResetConnections(node);
  if (kind != PartitionKind::kSilent) return;
  for (const StartAttempt& start : CallsInFlight(node)) silenced_.insert({node, start.attempt});
}

std::vector<StartAttempt> ServingFleet::CallsInFlight(int node) const {
  std::vector<StartAttempt> calls;
  for (const auto& [id, simulated] : engines_) {
    if (FindPartition(node, id) == nullptr) continue;
    for (const auto& [key, call] : simulated.outstanding) {
      if (key.first == node) calls.push_back(call.start);
    }
    for (const Call& call : simulated.waiting) {
      if (call.node == node) calls.push_back(call.start);
    }
  }
  return calls;
}

void ServingFleet::HealPartition(int node) { partitions_.erase(node); }

const ServingFleet::Partition* ServingFleet::FindPartition(int node, const std::string& engine) const {
  const auto entry = partitions_.find(node);
  if (entry == partitions_.end()) return nullptr;
  const bool affected = entry->second.engines.empty() || entry->second.engines.contains(engine);
  return affected ? &entry->second : nullptr;
}

bool ServingFleet::TakeConnection(int node, const StartAttempt& start) {
  const auto idle = idle_connections_.find({node, start.engine_id});
  if (start.on_new_connection || idle == idle_connections_.end() || idle->second == 0) return false;
  --idle->second;
  return true;
}

void ServingFleet::FailAttempt(int node, const StartAttempt& start, AttemptFailure failure) {
  if (cancelled_.contains({node, start.attempt})) return;
  Send(node, AttemptFailed{start.flow, start.attempt, failure});
}

void ServingFleet::Connect(int node, const StartAttempt& start) {
  const bool reused = TakeConnection(node, start);
  const Partition* partition = FindPartition(node, start.engine_id);
  const bool passes = partition == nullptr || (reused && partition->kind == PartitionKind::kNewRefused);
  if (passes) {
    At(now_ + kLinkDelay, [this, node, start] { Arrive(node, start); });
    return;
  }
  if (reused) return;  // The open connection is silent; those that were reset are not idle any more.
  const Duration after = partition->kind == PartitionKind::kSilent ? start.connect_timeout : 2 * kLinkDelay;
  At(now_ + after, [this, node, start] { FailAttempt(node, start, AttemptFailure::kNotSent); });
}

void ServingFleet::ResetConnections(int node) {
  for (const auto& [id, simulated] : engines_) {
    if (FindPartition(node, id) != nullptr) idle_connections_.erase({node, id});
  }
  for (const StartAttempt& start : CallsInFlight(node)) {
    if (silenced_.insert({node, start.attempt}).second) FailAttempt(node, start, AttemptFailure::kBroken);
  }
}

EngineProbeOutcome ServingFleet::ProbeOutcome(int node, const std::string& engine) const {
  const Partition* partition = FindPartition(node, engine);
  if (partition != nullptr && partition->kind == PartitionKind::kSilent) return EngineProbeOutcome::kUnknown;
  const bool refused = partition != nullptr || engines_.at(engine).crashed;
  return refused ? EngineProbeOutcome::kRefused : EngineProbeOutcome::kAccepted;
}

void ServingFleet::Probe(int node, const std::string& engine) {
  const Partition* partition = FindPartition(node, engine);
  const bool hangs = partition != nullptr && partition->kind == PartitionKind::kSilent;
  At(now_ + (hangs ? kProbeTimeout : 2 * kLinkDelay), [this, node, engine, hangs] {
    Send(node, EngineProbed{engine, hangs ? EngineProbeOutcome::kUnknown : ProbeOutcome(node, engine)});
  });
}

// The peer connects to a second engine as well, which tells whether it can connect to any.
void ServingFleet::CheckAtPeer(int node, const CheckEngineAtPeers& check, const PeerNode& peer) {
  const int asked = std::stoi(peer.node.substr(1));
  const bool lost = !ReceivesFrom(node, asked);
  At(now_ + (lost ? kCheckTimeout : 4 * kLinkDelay), [this, node, check, asked, lost] {
    const EngineState* control = nodes_[asked]->ControlEngine(check.engine_id);
    const bool reaches_others =
        control != nullptr && ProbeOutcome(asked, control->record.id) == EngineProbeOutcome::kAccepted;
    if (lost) return Send(node, PeerProbedEngine{check.engine_id, check.engine, std::nullopt});
    EngineProbeOutcome outcome = ProbeOutcome(asked, check.engine_id);
    if (outcome == EngineProbeOutcome::kRefused && !reaches_others) outcome = EngineProbeOutcome::kUnknown;
    Send(node, PeerProbedEngine{check.engine_id, check.engine, outcome});
  });
}

bool ServingFleet::DeliversResponse(const Call& call) {
  const std::pair key(call.node, call.start.attempt);
  if (cancelled_.contains(key) || silenced_.contains(key)) return false;
  ++idle_connections_[{call.node, call.start.engine_id}];
  return true;
}

void ServingFleet::RecordRun(int node, FlowId flow) {
  const auto id = request_ids_.find({node, flow});
  if (id != request_ids_.end()) ++records_[id->second].runs;
}

std::vector<std::string> ServingFleet::Violations() const {
  std::vector<std::string> found;
  for (const auto& [id, record] : records_) {
    if (record.at_most_once && record.runs > 1) found.push_back(fmt::format("{} ran {} times", id, record.runs));
    if (record.refused && record.runs > 0) found.push_back(fmt::format("{} was refused although it ran", id));
  }
  return found;
}

}  // namespace saltquay::serving
