#include "src/core/roles/role_planner.h"

#include <algorithm>
#include <cmath>

#include "src/core/routing/router.h"

namespace saltquay {
namespace {

// Queues grow without bound as engines near full use; this share is usable.
constexpr double kUsableShare = 0.85;
// Sharpness of the bend from "all served" to "as much as fits".
constexpr double kBend = 6.0;

// Served share of demand for a capacity: near 1 below it, capacity/demand above.
double ServedShare(double demand, double capacity) {
  if (demand <= 0) return 1.0;
  const double use = demand / std::max(1e-9, capacity * kUsableShare);
  return 1.0 / std::pow(1.0 + std::pow(use, kBend), 1.0 / kBend);
}

double RequestsPerStep(const PoolDeclaration& pool, Duration between_tokens) {
  const double step = ToSeconds(pool.profile.decode_step);
  const double slope = std::max(1e-9, ToSeconds(pool.profile.decode_per_stream));
  const double by_deadline = (ToSeconds(between_tokens) - step) / slope;
  return std::clamp(by_deadline, 1.0, static_cast<double>(pool.profile.max_streams));
}

}  // namespace

PoolDemand ComputePoolDemand(const PoolDeclaration& pool, std::uint32_t model, Duration between_tokens,
                             const std::vector<ModelDemand>& demands) {
  const double streams = RequestsPerStep(pool, between_tokens);
  const double tokens_per_second = streams / DecodeStepSeconds(pool.profile, streams - 1);
  PoolDemand sum;
  for (const ModelDemand& demand : demands) {
    if (demand.model != model) continue;
    sum.prefill += demand.prefill_tokens_per_second / pool.profile.prefill_tokens_per_second;
    sum.decode += demand.output_tokens_per_second / tokens_per_second;
    sum.decode += demand.whole_prefill_tokens_per_second / pool.profile.prefill_tokens_per_second;
  }
  return sum;
}

double ServedWork(const PoolDemand& demand, double prefill_engines, double decode_engines) {
  const double prefill_share = ServedShare(demand.prefill, prefill_engines);
  const double decode_share = ServedShare(demand.decode, decode_engines);
  // Long prompts need both halves; the rest of the output only decode engines.
  return demand.prefill * std::min(prefill_share, decode_share) + demand.decode * decode_share;
}

double RolePlanner::Threshold(const NodeContext& context, const std::string& pool, EngineRole to) const {
  const double threshold = context.parameters().role_gain_threshold;
  const auto last = last_change_.find(pool);
  const bool turns_back = last != last_change_.end() && last->second.role != to &&
                          context.now() - last->second.at < context.parameters().role_reversal_window;
  return turns_back ? threshold * context.parameters().role_reversal_factor : threshold;
}

void RolePlanner::NoteChange(const NodeContext& context, const std::string& pool, EngineId engine, EngineRole role) {
  last_change_[pool] = PoolChange{context.now(), role};
  engine_changed_at_[engine] = context.now();
}

bool RolePlanner::Cooling(const NodeContext& context, const std::string& pool, EngineId engine) const {
  const auto pool_change = last_change_.find(pool);
  const bool pool_cooling = pool_change != last_change_.end() &&
                            context.now() - pool_change->second.at < context.parameters().role_pool_cooldown;
  const auto engine_change = engine_changed_at_.find(engine);
  const bool engine_cooling = engine_change != engine_changed_at_.end() &&
                              context.now() - engine_change->second < context.parameters().role_engine_cooldown;
  return pool_cooling || engine_cooling;
}

std::optional<EngineId> RolePlanner::PickEngine(const NodeContext& context, const PoolDeclaration& pool,
                                                EngineRole from, const std::vector<PlannedEngine>& engines) const {
  std::map<ZoneId, int> of_role;
  std::map<ZoneId, int> of_zone;
  for (const PlannedEngine& engine : engines) {
    of_zone[engine.zone] += 1;
    if (engine.role == from) of_role[engine.zone] += 1;
  }
  const PlannedEngine* best = nullptr;
  for (const PlannedEngine& engine : engines) {
    if (engine.role != from || engine.changing || Cooling(context, pool.name, engine.engine)) continue;
    // Decode engines can run anything whole; prefill engines need one in their zone.
    const bool last_decode = from == EngineRole::kDecode && of_role[engine.zone] == 1 && of_zone[engine.zone] > 1;
    if (last_decode) continue;
    const bool better = best == nullptr || of_role[engine.zone] > of_role[best->zone] ||
                        (of_role[engine.zone] == of_role[best->zone] && engine.streams < best->streams);
    if (better) best = &engine;
  }
  if (best == nullptr) return std::nullopt;
  return best->engine;
}

std::optional<RoleChange> RolePlanner::Plan(const NodeContext& context, const PoolDeclaration& pool,
                                            const PoolDemand& demand, const std::vector<PlannedEngine>& engines) {
  if (!context.parameters().role_control || !pool.is_split()) return std::nullopt;
  int prefill = 0;
  int decode = 0;
  for (const PlannedEngine& engine : engines) {
    if (engine.role == EngineRole::kPrefill) ++prefill;
    if (engine.role == EngineRole::kDecode) ++decode;
  }
  const double horizon = ToSeconds(context.parameters().role_horizon);
  const double now_served = ServedWork(demand, prefill, decode);
  std::optional<RoleChange> best;
  for (const EngineRole to : {EngineRole::kPrefill, EngineRole::kDecode}) {
    const bool grow_prefill = to == EngineRole::kPrefill;
    const EngineRole from = grow_prefill ? EngineRole::kDecode : EngineRole::kPrefill;
    const int next_prefill = prefill + (grow_prefill ? 1 : -1);
    const int next_decode = decode + (grow_prefill ? -1 : 1);
    const RoleBounds& prefill_bounds = pool.bounds(EngineRole::kPrefill);
    const RoleBounds& decode_bounds = pool.bounds(EngineRole::kDecode);
    const bool within = next_prefill >= prefill_bounds.minimum && next_prefill <= prefill_bounds.maximum &&
                        next_decode >= decode_bounds.minimum && next_decode <= decode_bounds.maximum;
    if (!within) continue;
    const double gain = (ServedWork(demand, next_prefill, next_decode) - now_served) * horizon;
    const double use =
        from == EngineRole::kPrefill ? demand.prefill / std::max(1, prefill) : demand.decode / std::max(1, decode);
    const double cost = ToSeconds(context.parameters().role_change_cost) * std::min(1.0, use);
    if (gain <= 0 || gain < cost * Threshold(context, pool.name, to)) continue;
    const std::optional<EngineId> engine = PickEngine(context, pool, from, engines);
    if (!engine.has_value() || (best.has_value() && gain - cost <= best->gain - best->cost)) continue;
    best = RoleChange{*engine, to, gain, cost};
  }
  return best;
}

}  // namespace saltquay
