#include "src/core/routing/load_table.h"

#include <algorithm>

#include <fmt/format.h>

namespace saltquay {
namespace {

// Reports describe a moment before their arrival; work sent this shortly
// before a report arrived is probably not in it.
constexpr Duration kReportLag = 150ms;

}  // namespace

void LoadTable::SetMachines(const std::vector<Machine>& machines) {
  std::set<EngineId> listed;
  for (const Machine& machine : machines) {
    if (machine.kind != MachineKind::kEngine) continue;
    listed.insert(EngineId{machine.id});
    engines_[EngineId{machine.id}].machine = machine;
  }
  std::erase_if(engines_, [&](const auto& entry) { return !listed.contains(entry.first); });
}

const EngineEntry* LoadTable::Find(EngineId engine) const {
  const auto entry = engines_.find(engine);
  return entry == engines_.end() ? nullptr : &entry->second;
}

void LoadTable::OnLoad(const NodeContext& context, const EngineLoad& load) {
  const auto found = engines_.find(load.engine);
  if (found == engines_.end()) return;
  EngineEntry& entry = found->second;
  const bool restarted = entry.load.has_value() && entry.load->boot != load.boot;
  if (restarted) {
    entry.consecutive_failures = 0;
    entry.ejected_until = Time{};
  }
  entry.load = load;
  entry.reported_at = context.now();
}

void LoadTable::OnReadFailed(EngineId engine) {
  const auto found = engines_.find(engine);
  if (found != engines_.end() && found->second.load.has_value()) found->second.load->available = false;
}

void LoadTable::OnSent(const NodeContext& context, EngineId engine, const AttemptId& attempt,
                       std::uint32_t prefill_tokens, bool decodes) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return;
  found->second.own_work[attempt] = OwnWork{context.now(), prefill_tokens, decodes};
}

void LoadTable::OnFirstToken(EngineId engine, const AttemptId& attempt) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return;
  const auto work = found->second.own_work.find(attempt);
  if (work != found->second.own_work.end()) work->second.prefill_tokens = 0;
}

void LoadTable::OnEnded(EngineId engine, const AttemptId& attempt) {
  const auto found = engines_.find(engine);
  if (found != engines_.end()) found->second.own_work.erase(attempt);
}

void LoadTable::RecordFailure(NodeContext& context, EngineId engine) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return;
  EngineEntry& entry = found->second;
  entry.consecutive_failures += 1;
  if (entry.consecutive_failures < context.parameters().eject_after_failures) return;
  entry.ejected_until = context.now() + context.parameters().eject_time;
  // One failure after the pause ejects again; a success clears the count.
  entry.consecutive_failures = context.parameters().eject_after_failures - 1;
  context.Log(EventId::kEngineEjected, fmt::format("engine {}", engine.value));
}

void LoadTable::NoteSuccess(NodeContext& context, EngineId engine) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return;
  if (found->second.ejected_until != Time{}) {
    context.Log(EventId::kEngineReadmitted, fmt::format("engine {}", engine.value));
  }
  found->second.consecutive_failures = 0;
  found->second.ejected_until = Time{};
}

bool LoadTable::IsUsable(const NodeContext& context, const EngineEntry& entry) const {
  const bool leaving = entry.machine.state == MachineState::kLeaving && context.parameters().protections.leaving_filter;
  if (leaving || !entry.load.has_value() || !entry.load->available) return false;
  if (context.now() - entry.reported_at > context.parameters().load_expiry) return false;
  if (context.now() < entry.ejected_until) return false;
  return !IsDraining(entry.id());
}

double LoadTable::QueuedPrefillTokens(const NodeContext& context, const EngineEntry& entry,
                                      double tokens_per_second) const {
  double reported = entry.load.has_value() ? entry.load->queued_prefill_tokens : 0;
  reported = std::max(0.0, reported - ToSeconds(context.now() - entry.reported_at) * tokens_per_second);
  double own_since_report = 0;
  for (const auto& [attempt, work] : entry.own_work) {
    if (work.sent_at > entry.reported_at - kReportLag) own_since_report += work.prefill_tokens;
  }
  return reported + own_since_report;
}

double LoadTable::Streams(const EngineEntry& entry) const {
  double own_since_report = 0;
  for (const auto& [attempt, work] : entry.own_work) {
    if (work.decodes && work.sent_at > entry.reported_at - kReportLag) own_since_report += 1;
  }
  const double reported = entry.load.has_value() ? entry.load->running + entry.load->waiting : 0;
  return reported + own_since_report;
}

double LoadTable::Outstanding(const EngineEntry& entry) const {
  const double reported = entry.load.has_value() ? entry.load->running + entry.load->waiting : 0;
  return std::max(reported, static_cast<double>(entry.own_work.size()));
}

std::vector<EngineLoad> LoadTable::RecentLoads(const NodeContext& context) const {
  std::vector<EngineLoad> loads;
  for (const auto& [id, entry] : engines_) {
    const bool recent = context.now() - entry.reported_at <= context.parameters().load_expiry;
    if (entry.load.has_value() && recent) loads.push_back(*entry.load);
  }
  return loads;
}

}  // namespace saltquay
