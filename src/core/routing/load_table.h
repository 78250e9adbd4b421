// This node's picture of the engines: the last report of each, aged, plus what
// this node sent since. Not thread-safe; owned by Node.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/core/context.h"

namespace saltquay {

// Work that this node sent to an engine and that has not ended.
struct OwnWork {
  Time sent_at{};
  std::uint32_t prefill_tokens = 0;  // Not found in the cache, as predicted.
  bool decodes = false;              // Will hold, or holds, a decode slot.
};

struct EngineEntry {
  Machine machine;
  std::optional<EngineLoad> load;
  Time reported_at{};
  int consecutive_failures = 0;
  Time ejected_until{};
  std::map<AttemptId, OwnWork> own_work;

  EngineId id() const { return EngineId{machine.id}; }
};

class LoadTable {
 public:
  // Takes the engines of a machine list; gone ones are forgotten.
  void SetMachines(const std::vector<Machine>& machines);
  // Engines that the authority drains.
  void SetDraining(std::set<EngineId> draining) { draining_ = std::move(draining); }

  // A report, direct or by a peer. Older boots and absent engines are ignored.
  void OnLoad(const NodeContext& context, const EngineLoad& load);
  // The engine did not answer a state read.
  void OnReadFailed(EngineId engine);

  void OnSent(const NodeContext& context, EngineId engine, const AttemptId& attempt, std::uint32_t prefill_tokens,
              bool decodes);
  void OnFirstToken(EngineId engine, const AttemptId& attempt);
  void OnEnded(EngineId engine, const AttemptId& attempt);

  // Repeated failures eject the engine for a while; a success clears them.
  void RecordFailure(NodeContext& context, EngineId engine);
  void NoteSuccess(NodeContext& context, EngineId engine);

  // True when new work may go to the engine.
  bool IsUsable(const NodeContext& context, const EngineEntry& entry) const;
  bool IsDraining(EngineId engine) const { return draining_.contains(engine); }

  // Prompt tokens waiting at the engine, reported and own.
  double QueuedPrefillTokens(const NodeContext& context, const EngineEntry& entry, double tokens_per_second) const;
  // Streams that decode or will, reported and own.
  double Streams(const EngineEntry& entry) const;
  // Requests at the engine, by count.
  double Outstanding(const EngineEntry& entry) const;

  const std::map<EngineId, EngineEntry>& engines() const { return engines_; }
  const EngineEntry* Find(EngineId engine) const;
  // Loads reported recently, for the role planner.
  std::vector<EngineLoad> RecentLoads(const NodeContext& context) const;

 private:
  std::map<EngineId, EngineEntry> engines_;
  std::set<EngineId> draining_;
};

}  // namespace saltquay
