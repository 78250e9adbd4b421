#include "src/core/routing/router.h"

#include <algorithm>
#include <cmath>

#include "src/base/hash.h"

namespace saltquay {
namespace {

// Prompts up to this many uncached tokens run whole under the baselines.
constexpr std::uint32_t kBaselineShortPrompt = 512;
// Part of a decode step that new work waits for, on average.
constexpr double kStepWait = 0.5;
// Weight of the delay that a prompt on a decode engine causes its streams.
constexpr double kInterferenceWeight = 0.5;
// Part of the uncached prompt time that the prefix's home engine is spared.
constexpr double kHomeEngineBonus = 0.3;
// Baselines use decode engines for long prompts only when nothing else is left.
constexpr double kMisplacedPenalty = 1e6;
// Engines this close are chosen among at random.
constexpr double kTieSeconds = 0.004;
// Seconds by which an engine without a free slot is worse, per slot missing.
constexpr double kMissingSlotSeconds = 0.15;

bool RoleFits(const RouteRequest& request, EngineRole role, bool short_prompt) {
  if (request.decode_in_zone.has_value()) return role == EngineRole::kDecode;
  switch (role) {
    case EngineRole::kWhole:
    case EngineRole::kDecode:
      return true;
    case EngineRole::kPrefill:
      return request.allow_split && !short_prompt;
  }
  return false;
}

bool VersionFits(const RouteRequest& request, ModelVersionId loaded) {
  return std::find(request.versions.begin(), request.versions.end(), loaded) != request.versions.end();
}

double MissingSlots(const EngineProfile& profile, double streams) {
  return std::max(0.0, streams + 1 - profile.max_streams);
}

// Seconds within which engines count as alike. Grows with what the load adds to
// the answer's time, because that part rests on stale reports.
double JitterSpan(const NodeContext& context, const RouteRequest& request, const Route& route) {
  const double added_by_streams =
      std::max(0.0, ToSeconds(route.between_tokens - request.pool->profile.decode_step)) * request.output_tokens;
  return kTieSeconds + context.parameters().routing_jitter * (ToSeconds(route.first_token) + added_by_streams);
}

}  // namespace

RoutingScan ScanPool(const NodeContext& context, const LoadTable& table, const RouteRequest& request) {
  RoutingScan scan;
  const EngineProfile& profile = request.pool->profile;
  const bool has_prefix = request.prompt_blocks != nullptr && !request.prompt_blocks->empty();
  const std::uint64_t prefix = has_prefix ? request.prompt_blocks->front().value : 0;
  for (const auto& [id, entry] : table.engines()) {
    if (entry.machine.pool != request.pool->name || !table.IsUsable(context, entry)) continue;
    scan.usable.push_back(&entry);
    if (has_prefix) {
      RoutingScan::HomeEngine& home = scan.homes[{entry.machine.zone, entry.load->role}];
      const std::uint64_t rank = HashPair(prefix, id.value);
      if (rank >= home.rank) home = RoutingScan::HomeEngine{id, rank};
    }
    if (entry.load->role != EngineRole::kDecode) continue;
    const double streams = table.Streams(entry);
    const double wait_per_token =
        MissingSlots(profile, streams) * kMissingSlotSeconds / std::max(1U, request.output_tokens);
    const double step = DecodeStepSeconds(profile, streams) + wait_per_token;
    const auto [zone_step, inserted] = scan.decode_step_of_zone.try_emplace(entry.machine.zone, step);
    zone_step->second = std::min(zone_step->second, step);
  }
  return scan;
}

double DecodeStepSeconds(const EngineProfile& profile, double streams) {
  const double batch = std::min(streams + 1, static_cast<double>(profile.max_streams));
  return ToSeconds(profile.decode_step) + ToSeconds(profile.decode_per_stream) * batch;
}

double PrefillRate(const EngineProfile& profile, EngineRole role, double streams) {
  if (role != EngineRole::kDecode) return profile.prefill_tokens_per_second;
  const double chunk = profile.decode_chunk_tokens;
  return chunk / (DecodeStepSeconds(profile, streams) + chunk / profile.prefill_tokens_per_second);
}

double Router::BaselineScore(const NodeContext& context, const LoadTable& table, const RoutingScan& scan,
                             const RouteRequest& request, const EngineEntry& entry) const {
  if (context.parameters().routing_policy == RoutingPolicy::kLeastOutstanding) return table.Outstanding(entry);
  // Round robin: the engine after the last one that this stage chose.
  const auto last = round_robin_.find(RoundRobinKey{request.pool->name, request.decode_in_zone});
  const std::uint32_t last_id = last == round_robin_.end() ? 0 : last->second.value;
  const bool wrapped = entry.machine.id <= last_id;
  double position = wrapped ? static_cast<double>(scan.usable.size()) : 0;
  for (const EngineEntry* other : scan.usable) {
    if (other->machine.id < entry.machine.id && (wrapped || other->machine.id > last_id)) position += 1;
  }
  return position;
}

Router::Candidate Router::Score(NodeContext& context, const LoadTable& table, const PrefixIndex& prefixes,
                                const RoutingScan& scan, const RouteRequest& request, const EngineEntry& entry) const {
  const EngineProfile& profile = request.pool->profile;
  const EngineLoad& load = *entry.load;
  const bool import = request.decode_in_zone.has_value();
  const double streams = table.Streams(entry);
  const double rate = PrefillRate(profile, load.role, streams);
  const std::uint32_t known =
      import ? request.prompt_tokens : prefixes.CachedTokens(entry.id(), *request.prompt_blocks);
  const std::uint32_t cached = std::min(known, request.prompt_tokens);
  const double uncached = request.prompt_tokens - cached;
  const double queued = table.QueuedPrefillTokens(context, entry, rate);
  double step = DecodeStepSeconds(profile, streams);
  // The work joins a step that has begun; on average half of it is left.
  double first_token = (queued + uncached) / rate + kStepWait * step;
  if (entry.machine.zone != context.self().zone) first_token += ToSeconds(context.parameters().cross_zone_penalty);
  double interference = 0;
  AttemptMode mode = import ? AttemptMode::kDecode : AttemptMode::kWhole;
  if (load.role == EngineRole::kPrefill) {
    mode = AttemptMode::kPrefill;
    first_token += request.prompt_tokens * profile.kv_bytes_per_token / profile.kv_bytes_per_second;
    step = scan.decode_step_of_zone.at(entry.machine.zone);
    // The decode engine makes the first token, in a step of its own.
    first_token += (1 + kStepWait) * step;
  } else {
    first_token += MissingSlots(profile, streams) * kMissingSlotSeconds;
    if (load.role == EngineRole::kDecode) {
      interference = kInterferenceWeight * uncached / profile.prefill_tokens_per_second * streams;
    }
  }
  Candidate candidate;
  candidate.route =
      Route{entry.id(), load.boot, load.model_version, mode, cached, FromSeconds(first_token), FromSeconds(step)};
  candidate.score = first_token + step * request.output_tokens + interference;
  const auto home = scan.homes.find({entry.machine.zone, load.role});
  const bool is_home = !import && home != scan.homes.end() && home->second.engine == entry.id();
  if (is_home) candidate.score -= kHomeEngineBonus * uncached / rate;
  return candidate;
}

bool Router::IsEligible(const RoutingScan& scan, const RouteRequest& request, const EngineEntry& entry,
                        bool short_prompt) const {
  if (request.avoid.contains(entry.id()) || !VersionFits(request, entry.load->model_version)) return false;
  if (!RoleFits(request, entry.load->role, short_prompt)) return false;
  if (request.decode_in_zone.has_value() && entry.machine.zone != *request.decode_in_zone) return false;
  const bool prefill = entry.load->role == EngineRole::kPrefill;
  return !prefill || scan.decode_step_of_zone.contains(entry.machine.zone);
}

std::optional<Route> Router::Choose(NodeContext& context, const LoadTable& table, const PrefixIndex& prefixes,
                                    const RouteRequest& request) {
  const bool baseline = context.parameters().routing_policy != RoutingPolicy::kPredicted;
  const bool short_prompt = baseline && request.prompt_tokens <= kBaselineShortPrompt;
  const bool wants_prefill = baseline && !short_prompt && request.allow_split && !request.decode_in_zone.has_value();
  const RoutingScan scan = ScanPool(context, table, request);
  std::optional<Candidate> best;
  for (const EngineEntry* entry : scan.usable) {
    if (!IsEligible(scan, request, *entry, short_prompt)) continue;
    Candidate candidate = Score(context, table, prefixes, scan, request, *entry);
    if (baseline) {
      const bool misplaced = wants_prefill && entry->load->role == EngineRole::kDecode;
      candidate.score = BaselineScore(context, table, scan, request, *entry) + (misplaced ? kMisplacedPenalty : 0);
    } else {
      candidate.score += context.random().Unit() * JitterSpan(context, request, candidate.route);
    }
    if (!best.has_value() || candidate.score < best->score) best = candidate;
  }
  if (!best.has_value()) return std::nullopt;
  round_robin_[RoundRobinKey{request.pool->name, request.decode_in_zone}] = best->route.engine;
  return best->route;
}

}  // namespace saltquay
