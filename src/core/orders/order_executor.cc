#include "src/core/orders/order_executor.h"

#include <algorithm>

#include <fmt/format.h>

#include "src/core/admission/demand_meter.h"

namespace saltquay {
namespace {

constexpr Duration kTakeOverPatience = 1s;
constexpr Duration kIdleReadInterval = 1s;
// Spreads the idle reads of a large cell over time; news comes by load reports.
constexpr Duration kIdleReadPerEngine = 20ms;
constexpr Duration kBusyReadInterval = 100ms;
constexpr Duration kOrderAnswerTimeout = 1500ms;
constexpr Duration kChangeTimeout = 60s;
constexpr Duration kRestAfterAbandon = 10s;
// At most this part of a pool leaves service at once for a new version.
constexpr int kPoolShareOutOfService = 4;

bool IsLoaded(const EngineState& state) { return state.model_version != ModelVersionId{}; }

}  // namespace

void OrderExecutor::BeginLease(NodeContext& context, const FenceToken& token) {
  lease_token_ = token;
  lease_began_at_ = context.now();
  sequence_ = 0;
  engines_.clear();
  announced_drains_.clear();
  announce_ = true;  // Clears what a predecessor drained.
  next_role_plan_ = context.now() + context.parameters().role_plan_interval;
}

void OrderExecutor::EndLease() {
  lease_token_.reset();
  engines_.clear();
}

bool OrderExecutor::TakenOver(const NodeContext& context, const LoadTable& table) const {
  if (context.now() - lease_began_at_ >= kTakeOverPatience) return true;
  return std::all_of(table.engines().begin(), table.engines().end(), [this](const auto& entry) {
    const auto view = engines_.find(entry.first);
    return view != engines_.end() && view->second.state.has_value();
  });
}

bool OrderExecutor::IsOutdated(const EngineView& view, const EngineEntry& entry) const {
  if (view.change.has_value() || !view.state.has_value()) return true;
  if (!entry.load.has_value()) return false;
  return entry.load->boot != view.state->boot || entry.load->model_version != view.state->model_version;
}

FenceToken OrderExecutor::FenceForRead(const NodeContext& context, const EngineView& view) const {
  // After a lost answer the fence is raised to the order itself: if the state
  // then does not show the order, it can never take effect any more.
  const bool unanswered = view.change.has_value() && view.change->step == Step::kOrdered &&
                          context.now() - view.change->ordered_at >= kOrderAnswerTimeout;
  return unanswered ? view.change->order : *lease_token_;
}

void OrderExecutor::ReadStates(NodeContext& context, const LoadTable& table) {
  const Duration idle_interval =
      std::max(kIdleReadInterval, kIdleReadPerEngine * static_cast<std::int64_t>(table.engines().size()));
  for (const auto& [id, entry] : table.engines()) {
    EngineView& view = engines_[id];
    if (context.now() < view.next_read && !(IsOutdated(view, entry) && context.now() >= view.next_hurried_read)) {
      continue;
    }
    view.next_read = context.now() + idle_interval;
    view.next_hurried_read = context.now() + kBusyReadInterval;
    std::optional<FenceToken> fence = FenceForRead(context, view);
    if (!context.parameters().protections.fence_raise_before_order) fence.reset();
    context.Emit(ReadEngineState{id, fence, 0});
  }
  std::erase_if(engines_, [&](const auto& entry) { return !table.engines().contains(entry.first); });
}

void OrderExecutor::OnStateRead(NodeContext& context, const LeaseKeeper& lease, const EngineStateRead& read) {
  if (!lease_token_.has_value() || !lease.Holds(context) || !read.state.has_value()) return;
  const bool raised = read.state->fence >= *lease_token_ || !context.parameters().protections.fence_raise_before_order;
  const auto entry = engines_.find(read.engine);
  if (entry == engines_.end() || !raised) return;
  EngineView& view = entry->second;
  view.state = read.state;
  view.read_at = context.now();
  if (!view.change.has_value()) return;
  const bool restarted = view.change->step != Step::kDraining && view.change->boot != read.state->boot;
  const bool done = view.change->step != Step::kDraining && read.state->last_order == view.change->order &&
                    !read.state->order_in_progress;
  if (restarted || done) FinishChange(view);
}

void OrderExecutor::OnOrderAnswered(NodeContext& context, const OrderAnswered& answer) {
  const auto entry = engines_.find(answer.engine);
  if (entry == engines_.end() || !entry->second.change.has_value()) return;
  EngineView& view = entry->second;
  if (view.change->order != answer.order || !answer.verdict.has_value()) return;
  context.Log(EventId::kOrderAnswered,
              fmt::format("engine {} verdict {}", answer.engine.value, static_cast<int>(*answer.verdict)));
  const bool accepted = *answer.verdict == OrderVerdict::kAccepted || *answer.verdict == OrderVerdict::kRepeated;
  // Refused: the drain goes on, and a fresh read leads to a fresh order.
  view.change->step = accepted ? Step::kChanging : Step::kDraining;
  view.next_read = context.now();
  view.state.reset();
}

void OrderExecutor::FinishChange(EngineView& view) {
  view.change.reset();
  announce_ = true;
}

EngineRole OrderExecutor::RoleForNewEngine(const std::vector<const EngineEntry*>& engines, const PoolDeclaration& pool,
                                           const EngineEntry& entry) const {
  if (!pool.is_split()) return EngineRole::kWhole;
  int prefill = 0;
  int prefill_in_zone = 0;
  int decode_in_zone = 0;
  for (const EngineEntry* other : engines) {
    const auto view = engines_.find(other->id());
    if (other == &entry || view == engines_.end()) continue;
    const EngineView& known = view->second;
    const bool loaded = known.state.has_value() && IsLoaded(*known.state);
    if (!loaded && !known.change.has_value()) continue;
    const EngineRole role = known.change.has_value() ? known.change->role : known.state->role;
    const bool same_zone = other->machine.zone == entry.machine.zone;
    if (role == EngineRole::kPrefill) ++prefill;
    if (role == EngineRole::kPrefill && same_zone) ++prefill_in_zone;
    if (role == EngineRole::kDecode && same_zone) ++decode_in_zone;
  }
  const bool wanted = prefill < pool.bounds(EngineRole::kPrefill).start;
  // Each zone gets one of both before it gets a second of either.
  if (prefill_in_zone == 0 && decode_in_zone > 0) return EngineRole::kPrefill;
  if (decode_in_zone == 0 && prefill_in_zone > 0) return EngineRole::kDecode;
  return wanted ? EngineRole::kPrefill : EngineRole::kDecode;
}

int OrderExecutor::ChangesUnderWay(const std::vector<const EngineEntry*>& engines) const {
  return static_cast<int>(std::count_if(engines.begin(), engines.end(), [this](const EngineEntry* entry) {
    const auto view = engines_.find(entry->id());
    return view != engines_.end() && view->second.change.has_value();
  }));
}

int OrderExecutor::LoadsUnderWay() const {
  return static_cast<int>(std::count_if(engines_.begin(), engines_.end(), [](const auto& entry) {
    return entry.second.change.has_value() && !entry.second.change->is_role_change;
  }));
}

void OrderExecutor::BeginChange(NodeContext& context, EngineId engine, const RolledBundle& bundle,
                                const ModelDeclaration& model, EngineRole role, bool is_role_change) {
  EngineView& view = engines_[engine];
  Change change;
  change.role = role;
  change.bundle = bundle.bundle;
  change.model = &model;
  change.generation = bundle.generation;
  change.began_at = context.now();
  change.is_role_change = is_role_change;
  view.change = change;
  view.next_read = context.now();
  announce_ = true;
  context.Log(EventId::kEngineDraining, fmt::format("engine {} for role {} of {}@{}", engine.value,
                                                    static_cast<int>(role), model.name, model.version));
}

void OrderExecutor::PlanLoads(NodeContext& context, const std::vector<const EngineEntry*>& engines,
                              const RolledBundle& bundle, const PoolDeclaration& pool, const ModelDeclaration& model) {
  const int out_of_service_limit = std::max(1, static_cast<int>(engines.size()) / kPoolShareOutOfService);
  int out_of_service = 0;
  for (const EngineEntry* entry : engines) {
    const EngineView& view = engines_[entry->id()];
    if (view.change.has_value() && view.state.has_value() && IsLoaded(*view.state)) ++out_of_service;
  }
  for (const EngineEntry* entry : engines) {
    EngineView& view = engines_[entry->id()];
    if (view.change.has_value() || !view.state.has_value() || context.now() < view.rest_until) continue;
    const EngineState& state = *view.state;
    const bool role_known = pool.is_split() ? state.role != EngineRole::kWhole : state.role == EngineRole::kWhole;
    const bool fits = state.model_version == model.version_id() && role_known;
    const bool busy = state.order_in_progress && context.parameters().protections.wait_for_order_in_progress;
    if (fits || busy || LoadsUnderWay() >= context.parameters().weight_loads_under_way) continue;
    const bool serving = IsLoaded(state);
    if (serving && out_of_service >= out_of_service_limit) continue;
    if (serving) ++out_of_service;
    const EngineRole role = serving && role_known ? state.role : RoleForNewEngine(engines, pool, *entry);
    BeginChange(context, entry->id(), bundle, model, role, false);
  }
}

void OrderExecutor::PlanRoles(NodeContext& context, const std::vector<const EngineEntry*>& engines,
                              const LoadTable& table, const RolledBundle& bundle, const PoolDeclaration& pool,
                              const ModelDeclaration& model, const std::vector<ModelDemand>& demands) {
  if (ChangesUnderWay(engines) >= context.parameters().role_changes_under_way) return;
  Duration between_tokens = Duration::max();
  for (const ClassDeclaration& row : bundle.bundle->classes) {
    between_tokens = std::min(between_tokens, row.between_tokens);
  }
  std::vector<PlannedEngine> planned;
  for (const EngineEntry* entry : engines) {
    const EngineView& view = engines_[entry->id()];
    if (!view.state.has_value() || !IsLoaded(*view.state)) continue;
    // A change under way counts as done, or the next one would overshoot.
    const EngineRole role = view.change.has_value() ? view.change->role : view.state->role;
    planned.push_back({entry->id(), entry->machine.zone, role, table.Streams(*entry), view.change.has_value()});
  }
  const PoolDemand demand = ComputePoolDemand(pool, DemandModelId(model.name), between_tokens, demands);
  const std::optional<RoleChange> change = planner_.Plan(context, pool, demand, planned);
  if (!change.has_value()) return;
  planner_.NoteChange(context, pool.name, change->engine, change->role);
  BeginChange(context, change->engine, bundle, model, change->role, true);
}

void OrderExecutor::PlanPool(NodeContext& context, const LoadTable& table, const RolledBundle& bundle,
                             const PoolDeclaration& pool, const std::vector<ModelDemand>& demands) {
  const ModelDeclaration* model = bundle.bundle->FindModelOfPool(pool.name);
  if (model == nullptr) return;
  std::vector<const EngineEntry*> engines;
  for (const auto& [id, entry] : table.engines()) {
    const bool live = entry.machine.state == MachineState::kLive;
    if (live && entry.machine.pool == pool.name) engines.push_back(&entry);
  }
  PlanLoads(context, engines, bundle, pool, *model);
  if (context.now() >= next_role_plan_) PlanRoles(context, engines, table, bundle, pool, *model, demands);
}

void OrderExecutor::SendOrderIfIdle(NodeContext& context, const LeaseKeeper& lease, EngineId engine, EngineView& view) {
  const Change& change = *view.change;
  const bool guarded = context.parameters().protections.drain_before_order;
  if (!view.state.has_value()) return;
  if (view.state->order_in_progress && context.parameters().protections.wait_for_order_in_progress) return;
  const EngineState& state = *view.state;
  const bool drained = !IsLoaded(state) || context.now() - change.began_at >= context.parameters().drain_settle;
  const bool idle = state.running == 0 && state.waiting == 0;
  const bool fresh = context.now() - view.read_at < context.parameters().order_validity / 2;
  if (guarded && (!drained || !idle || !fresh)) return;
  if (!lease.Holds(context, context.parameters().order_validity) &&
      context.parameters().protections.lease_check_before_order) {
    return;
  }
  EngineOrder order;
  order.token = FenceToken{lease_token_->view, lease_token_->ballot, ++sequence_};
  order.boot = state.boot;
  order.role = change.role;
  order.model = change.model->name;
  order.version = change.model->version;
  order.adapters = change.model->adapters;
  order.generation = change.generation;
  order.quoted_stamp_us = state.clock_stamp_us;
  if (context.parameters().protections.order_validity_limit) order.validity = context.parameters().order_validity;
  order.only_when_idle = guarded;
  if (change.is_role_change && change.order == FenceToken{}) ++role_changes_;
  view.change->order = order.token;
  view.change->boot = state.boot;
  view.change->step = Step::kOrdered;
  view.change->ordered_at = context.now();
  context.Log(EventId::kOrderSent, fmt::format("engine {} {} to role {} of {}@{}", engine.value,
                                               change.is_role_change ? "role change" : "load",
                                               static_cast<int>(order.role), order.model, order.version));
  context.Emit(SendOrder{engine, order});
}

void OrderExecutor::AdvanceChanges(NodeContext& context, const LeaseKeeper& lease) {
  for (auto& [engine, view] : engines_) {
    if (!view.change.has_value()) continue;
    const Change& change = *view.change;
    const Duration age = context.now() - change.began_at;
    const bool stuck = age >= (change.step == Step::kDraining ? context.parameters().drain_limit : kChangeTimeout * 2);
    if (stuck) {
      context.Log(EventId::kOrderAbandoned, fmt::format("engine {}", engine.value));
      view.rest_until = context.now() + kRestAfterAbandon;
      FinishChange(view);
      continue;
    }
    if (change.step == Step::kDraining) SendOrderIfIdle(context, lease, engine, view);
    if (change.step == Step::kOrdered) CheckOrdered(context, view);
  }
}

void OrderExecutor::CheckOrdered(NodeContext& context, EngineView& view) {
  Change& change = *view.change;
  if (context.now() - change.ordered_at < kOrderAnswerTimeout || !view.state.has_value()) return;
  // The state settles a lost answer once the fence shuts the order out.
  const bool shut_out = view.read_at > change.ordered_at && view.state->fence >= change.order;
  if (!shut_out) return;
  change.step = view.state->last_order == change.order ? Step::kChanging : Step::kDraining;
}

void OrderExecutor::DropUnorderedChanges() {
  for (auto& [engine, view] : engines_) {
    if (view.change.has_value() && view.change->step == Step::kDraining) FinishChange(view);
  }
}

DrainList OrderExecutor::CurrentDrains() {
  DrainList drains;
  drains.version = FenceToken{lease_token_->view, lease_token_->ballot, ++sequence_};
  drains.engines = announced_drains_;
  return drains;
}

std::optional<DrainList> OrderExecutor::OnTick(NodeContext& context, const LeaseKeeper& lease, const LoadTable& table,
                                               const RolledBundle* bundle, const std::vector<ModelDemand>& demands) {
  if (!lease.Holds(context)) {
    EndLease();
    return std::nullopt;
  }
  if (lease_token_ != lease.token()) BeginLease(context, lease.token());
  ReadStates(context, table);
  if (bundle == nullptr || !TakenOver(context, table)) return std::nullopt;
  if (plan_bundle_ != bundle->bundle) {
    DropUnorderedChanges();
    plan_bundle_ = bundle->bundle;
  }
  for (const PoolDeclaration& pool : bundle->bundle->pools) PlanPool(context, table, *bundle, pool, demands);
  if (context.now() >= next_role_plan_) next_role_plan_ = context.now() + context.parameters().role_plan_interval;
  AdvanceChanges(context, lease);
  std::set<EngineId> drains;
  for (const auto& [engine, view] : engines_) {
    if (view.change.has_value()) drains.insert(engine);
  }
  if (!announce_ && drains == announced_drains_) return std::nullopt;
  announce_ = false;
  announced_drains_ = drains;
  return CurrentDrains();
}

}  // namespace saltquay
