// The leader's work: brings each engine to what the bundle and the role
// planner want of it, by fenced orders.
//
// Protocol, while the lease is held:
//  1. Take over: read every engine's state and raise its fence to this
//     lease's token in the same call. No order leaves until each engine has
//     answered or a short while has passed, and none ever goes to an engine
//     that has not answered under this lease.
//  2. Choose engines to change; announce them as draining to all nodes, as a
//     versioned object ordered by the fence token.
//  3. Once the drain has settled and a state read shows the engine idle, check
//     the lease, and send the order. It names the engine's boot, quotes that
//     read's clock stamp and is refused past a short validity, or when busy.
//  4. Read the state until the order is done, or the boot changed: an engine
//     that crashed in a change is planned afresh.
// Safe because an engine refuses tokens below its fence, other boots and stale
// quotes, so an order of a holder that lost its lease has no effect; and one
// order at a time is outstanding to an engine under one lease, while a
// successor sees in the state it reads whether one is in progress.
//
// Not thread-safe; owned by Node.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/core/authority/lease_keeper.h"
#include "src/core/bundle/bundle.h"
#include "src/core/context.h"
#include "src/core/events.h"
#include "src/core/roles/role_planner.h"
#include "src/core/routing/load_table.h"

namespace saltquay {

// Engines that get no new work, as the leader announces them.
struct DrainList {
  FenceToken version;
  std::set<EngineId> engines;
};

std::string SerializeDrainList(const DrainList& list);
absl::StatusOr<DrainList> ParseDrainList(const std::string& text);

class OrderExecutor {
 public:
  // Runs the leader's work. Returns a drain list to spread when it changed.
  std::optional<DrainList> OnTick(NodeContext& context, const LeaseKeeper& lease, const LoadTable& table,
                                  const RolledBundle* bundle, const std::vector<ModelDemand>& demands);
  void OnStateRead(NodeContext& context, const LeaseKeeper& lease, const EngineStateRead& read);
  void OnOrderAnswered(NodeContext& context, const OrderAnswered& answer);

  std::uint64_t role_changes() const { return role_changes_; }

 private:
  enum class Step { kDraining, kOrdered, kChanging };
  struct Change {
    Step step = Step::kDraining;
    EngineRole role = EngineRole::kWhole;
    std::shared_ptr<const Bundle> bundle;  // Keeps `model` alive.
    const ModelDeclaration* model = nullptr;
    std::uint64_t generation = 0;
    Time began_at{};
    Time ordered_at{};
    FenceToken order;
    BootId boot;
    bool is_role_change = false;
  };
  struct EngineView {
    std::optional<EngineState> state;  // Read under this lease.
    Time read_at{};
    Time next_read{};
    Time next_hurried_read{};
    std::optional<Change> change;
    Time rest_until{};  // After an abandoned change.
  };

  void BeginLease(NodeContext& context, const FenceToken& token);
  void EndLease();
  bool TakenOver(const NodeContext& context, const LoadTable& table) const;
  void ReadStates(NodeContext& context, const LoadTable& table);
  bool IsOutdated(const EngineView& view, const EngineEntry& entry) const;
  FenceToken FenceForRead(const NodeContext& context, const EngineView& view) const;
  void DropUnorderedChanges();
  void CheckOrdered(NodeContext& context, EngineView& view);
  void PlanPool(NodeContext& context, const LoadTable& table, const RolledBundle& bundle, const PoolDeclaration& pool,
                const std::vector<ModelDemand>& demands);
  void PlanLoads(NodeContext& context, const std::vector<const EngineEntry*>& engines, const RolledBundle& bundle,
                 const PoolDeclaration& pool, const ModelDeclaration& model);
  void PlanRoles(NodeContext& context, const std::vector<const EngineEntry*>& engines, const LoadTable& table,
                 const RolledBundle& bundle, const PoolDeclaration& pool, const ModelDeclaration& model,
                 const std::vector<ModelDemand>& demands);
  EngineRole RoleForNewEngine(const std::vector<const EngineEntry*>& engines, const PoolDeclaration& pool,
                              const EngineEntry& entry) const;
  void BeginChange(NodeContext& context, EngineId engine, const RolledBundle& bundle, const ModelDeclaration& model,
                   EngineRole role, bool is_role_change);
  void AdvanceChanges(NodeContext& context, const LeaseKeeper& lease);
  void SendOrderIfIdle(NodeContext& context, const LeaseKeeper& lease, EngineId engine, EngineView& view);
  void FinishChange(EngineView& view);
  int ChangesUnderWay(const std::vector<const EngineEntry*>& engines) const;
  int LoadsUnderWay() const;
  DrainList CurrentDrains();

  std::optional<FenceToken> lease_token_;
  Time lease_began_at_{};
  std::uint64_t sequence_ = 0;
  std::map<EngineId, EngineView> engines_;
  RolePlanner planner_;
  Time next_role_plan_{};
  std::set<EngineId> announced_drains_;
  bool announce_ = false;
  std::shared_ptr<const Bundle> plan_bundle_;  // Under which changes are planned.
  std::uint64_t role_changes_ = 0;
};

}  // namespace saltquay
