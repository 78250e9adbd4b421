#include "src/core/serving/engine_selector.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace saltquay::serving {

double EngineSelector::EstimatedLoad(const EngineState& engine, Time now) const {
  double others = 0;
  if (engine.has_reported_load) {
    const double age = ToSeconds(now - engine.load_reported_at) / ToSeconds(parameters_.load_report_lifetime);
    const int others_at_report =
        engine.reported_load.running + engine.reported_load.waiting - engine.outstanding_at_load_report;
    others = std::max(0, others_at_report) * std::max(0.0, 1.0 - age);
  }
  return engine.outstanding + std::max(others, static_cast<double>(engine.peers_outstanding));
}

EngineGroup& EngineSelector::GroupOf(EngineDirectory& engines, const std::string& service, EngineStage stage) {
  index_.Refresh(engines, topology_);
  return index_.GroupOf(service, stage);
}

const EngineSelector::Candidates& EngineSelector::CandidatesOf(const EngineGroup& group, std::size_t zone) {
  if (group.AllowsFullScan() || parameters_.policy != SelectionPolicy::kCost) return group.all();
  sampled_.clear();
  group.Sample(zone, index_.zones()[zone].region, random_, sampled_);
  return sampled_;
}

void EngineSelector::AddCachingEngines(const std::string& service, EngineStage stage, const PromptMetadata& prompt,
                                       Candidates& candidates) {
  for (const EngineKey& key : prompt_cache_.EnginesCaching(prompt)) {
    EngineState* engine = index_.FindPresent(key);
    if (engine == nullptr || engine->record.leaving) continue;
    if (engine->record.service != service || engine->record.stage != stage) continue;
    candidates.push_back({engine, index_.ZoneIndexOf(engine->record.zone)});
  }
}

template <typename Cost>
EngineState* EngineSelector::CheapestOf(const Candidates& candidates, const EngineFilter& filter, Time now, Cost cost) {
  struct Best {
    EngineState* engine = nullptr;
    std::tuple<bool, bool, bool, double> rank;
  };
  Best open;
  Best without_permit;  // Of the engines that only need a permit.
  for (const IndexedEngine& candidate : candidates) {
    if (!filter.Admits(*candidate.engine, now)) continue;
    const bool is_open = IsOpen(*candidate.engine, now);
    if (!is_open && !gate_->MayRequestPermit(*candidate.engine, now)) continue;
    const std::tuple rank{candidate.engine->HasDoubtfulPath(now), filter.Avoids(*candidate.engine, now),
                          candidate.engine->IsOutOfService(now), cost(candidate)};
    Best& best = is_open ? open : without_permit;
    if (best.engine == nullptr || rank < best.rank) best = {candidate.engine, rank};
  }
  const bool wants_permit =
      without_permit.engine != nullptr && (open.engine == nullptr || without_permit.rank < open.rank);
  if (wants_permit) without_permit_.push_back(without_permit.engine->key);
  return open.engine;
}

template <typename Cost>
EngineState* EngineSelector::Cheapest(const EngineGroup& group, const Candidates& candidates,
                                      const EngineFilter& filter, Time now, Cost cost) {
  if (parameters_.policy == SelectionPolicy::kRoundRobin) {
    Candidates left;
    std::copy_if(group.all().begin(), group.all().end(), std::back_inserter(left), [&](const IndexedEngine& member) {
      return filter.Admits(*member.engine, now) && IsOpen(*member.engine, now);
    });
    return left.empty() ? nullptr : left[next_round_robin_++ % left.size()].engine;
  }
  EngineState* best = CheapestOf(candidates, filter, now, cost);
  const bool found = best != nullptr && !best->IsOutOfService(now);
  return found || &candidates == &group.all() ? best : CheapestOf(group.all(), filter, now, cost);
}

double EngineSelector::DrawUnreportedWork(double unreported, std::size_t engines) {
  return engines == 0 ? 0.0 : random_.Unit() * 2 * unreported / static_cast<double>(engines);
}

EngineState* EngineSelector::ChooseUniformEngine(EngineDirectory& engines, const std::string& service,
                                                 const EngineFilter& filter, Time now) {
  const EngineGroup& group = GroupOf(engines, service, EngineStage::kUniform);
  const std::vector<double> network_costs = NetworkCosts();
  const Candidates& candidates = CandidatesOf(group, index_.local_zone());
  return Cheapest(group, candidates, filter, now, [&](const IndexedEngine& candidate) {
    const EngineState& engine = *candidate.engine;
    if (parameters_.policy == SelectionPolicy::kLeastOutstanding) return static_cast<double>(engine.outstanding);
    return DecodeCost(engine, group.all().size(), now) + network_costs[candidate.zone];
  });
}

EngineState* EngineSelector::ChooseDecodeEngine(EngineDirectory& engines, const std::string& service,
                                                const std::string& kv_cache_zone, const EngineFilter& filter,
                                                Time now) {
  const EngineGroup& group = GroupOf(engines, service, EngineStage::kDecode);
  const std::vector<double> network_costs = NetworkCosts(kv_cache_zone);
  const std::size_t preferred_zone = kv_cache_zone.empty() ? index_.local_zone() : index_.ZoneIndexOf(kv_cache_zone);
  const Candidates& candidates = CandidatesOf(group, preferred_zone);
  return Cheapest(group, candidates, filter, now, [&](const IndexedEngine& candidate) {
    const EngineState& engine = *candidate.engine;
    if (parameters_.policy == SelectionPolicy::kLeastOutstanding) return static_cast<double>(engine.outstanding);
    return DecodeCost(engine, group.all().size(), now) + network_costs[candidate.zone];
  });
}

double EngineSelector::RoundTripMs(std::string_view first, std::string_view second) const {
  constexpr double kInMilliseconds = 1000;
  return 2 * ToSeconds(topology_.Latency(first, second)) * kInMilliseconds;
}

std::vector<double> EngineSelector::NetworkCosts(const std::string& kv_cache_zone) const {
  std::vector<double> costs;
  for (const EngineIndex::Zone& zone : index_.zones()) {
    const double kv_transfer =
        kv_cache_zone.empty() ? 0.0 : parameters_.kv_transfer_rtt_weight * RoundTripMs(kv_cache_zone, zone.name);
    costs.push_back(parameters_.rtt_weight * RoundTripMs(zone_, zone.name) + kv_transfer);
  }
  return costs;
}

double EngineSelector::DecodeCost(const EngineState& engine, std::size_t engines, Time now) {
  constexpr double kTie = 0.1;  // In requests: breaks ties between equal engines at random.
  const double load =
      EstimatedLoad(engine, now) + random_.Unit() * kTie + DrawUnreportedWork(unreported_work_.requests, engines);
  const double over_slots = engine.record.slots > 0 ? std::max(0.0, load - engine.record.slots) : 0.0;
  return parameters_.decode_load_ms * load + parameters_.decode_queue_ms * over_slots;
}

EngineState* EngineSelector::ChoosePrefillEngine(EngineDirectory& engines, const std::string& service,
                                                 EngineStage stage, const PromptMetadata& prompt,
                                                 const EngineFilter& filter, Time now) {
  EngineGroup& group = GroupOf(engines, service, stage);
  const HomeEngines homes = FindHomeEngines(group, prompt, now);
  const std::vector<double> network_costs = NetworkCosts();
  const std::vector<double> pressure = BacklogPressure(group, now);
  const std::size_t count = group.all().size();
  const double mean_unreported_ms =
      unreported_work_.prompt_tokens / static_cast<double>(std::max<std::size_t>(1, count)) / median_prefill_rate();
  const Candidates& candidates = CandidatesOf(group, index_.local_zone());
  if (&candidates == &sampled_) {
    for (const EngineState* home : {homes.first, homes.second}) {
      if (home != nullptr) sampled_.push_back({engines.Find(home->record.id), index_.ZoneIndexOf(home->record.zone)});
    }
    AddCachingEngines(service, stage, prompt, sampled_);
  }
  return Cheapest(group, candidates, filter, now, [&](const IndexedEngine& candidate) {
    const EngineState& engine = *candidate.engine;
    if (parameters_.policy == SelectionPolicy::kLeastOutstanding) return static_cast<double>(engine.outstanding);
    const double uncached = UncachedPrefillMs(engine, prompt, now);
    const double recompute = parameters_.recompute_weight + pressure[index_.zones()[candidate.zone].region];
    const double network_cost = network_costs[candidate.zone];
    if (&engine == homes.first) return network_cost + PrefillCost(engine, prompt, uncached, now) + mean_unreported_ms;
    if (&engine == homes.second)
      return network_cost + PrefillCost(engine, prompt, recompute * uncached, now) + mean_unreported_ms;
    // Home engines differ between prompts, but all nodes would choose the same engine among the others.
    const double unreported_ms = DrawUnreportedWork(unreported_work_.prompt_tokens, count) / median_prefill_rate();
    return network_cost + PrefillCost(engine, prompt, recompute * parameters_.non_home_weight * uncached, now) +
           unreported_ms;
  });
}

std::optional<Time> EngineSelector::OpensAt(EngineDirectory& engines, const std::string& service, EngineStage stage,
                                            const EngineFilter& filter, Time now) {
  std::optional<Time> earliest;
  for (const IndexedEngine& member : GroupOf(engines, service, stage).all()) {
    if (!filter.Admits(*member.engine, now)) continue;
    const Time at = gate_ == nullptr ? now : gate_->OpensAt(*member.engine, now);
    if (at <= now) return now;
    earliest = std::min(earliest.value_or(at), at);
  }
  return earliest;
}

bool EngineSelector::ReachesNone(EngineDirectory& engines, const std::string& service, EngineStage stage, Time now) {
  const Candidates& members = GroupOf(engines, service, stage).all();
  return !members.empty() && std::all_of(members.begin(), members.end(), [now](const IndexedEngine& member) {
    return member.engine->HasDoubtfulPath(now);
  });
}

EngineCount EngineSelector::CountEngines(EngineDirectory& engines, const std::string& service, EngineStage stage,
                                         Time now) {
  const GroupTotals& totals = GroupOf(engines, service, stage).Totals(now);
  return {totals.in_service, totals.peers_outstanding};
}

double EngineSelector::MinPrefillMs(EngineDirectory& engines, const std::string& service, const PromptMetadata& prompt,
                                    Time now) {
  const EngineGroup& group = GroupOf(engines, service, EngineStage::kPrefill);
  Candidates caching_engines;
  if (!group.AllowsFullScan()) AddCachingEngines(service, EngineStage::kPrefill, prompt, caching_engines);
  int min_tokens = prompt.tokens;
  for (const IndexedEngine& candidate : group.AllowsFullScan() ? group.all() : caching_engines) {
    if (!candidate.engine->IsOutOfService(now))
      min_tokens = std::min(min_tokens, TokensToPrefill(candidate.engine->key, prompt, now));
  }
  return min_tokens / median_prefill_rate();
}

const EngineState* EngineSelector::FindCachingEngine(EngineDirectory& engines, const EngineState& prefill_engine,
                                                     const PromptMetadata& prompt, Time now) {
  index_.Refresh(engines, topology_);
  const EngineState* best = nullptr;
  auto best_rank = std::tuple(prompt.tokens, false, Duration::zero());
  // A leaving engine can still be a source: parts cached only there would otherwise have to be recomputed. Among equal
  // sources one that is not leaving is preferred, since it will still be there when the copy starts; then the one
  // nearest to the prefill engine, since the time of a copy grows in proportion to the network latency.
  const auto consider = [&](const EngineState& engine) {
    const bool is_copy_window_over =
        engine.record.leaving &&
        (!engine.leaving_since || now - *engine.leaving_since > parameters_.leaving_source_time);
    if (now < engine.ejected_until || is_copy_window_over) return;
    const int tokens = TokensToPrefill(engine.key, prompt, now);
    if (tokens >= prompt.tokens || tokens > std::get<0>(best_rank)) return;
    const auto rank =
        std::tuple(tokens, engine.record.leaving, topology_.Latency(prefill_engine.record.zone, engine.record.zone));
    if (best != nullptr && rank >= best_rank) return;
    best = &engine;
    best_rank = rank;
  };
  const std::vector<EngineState*>& present = index_.PresentOf(prefill_engine.record.service);
  if (present.size() <= kMaxFullScanEngines) {
    for (const EngineState* engine : present) consider(*engine);
    return best;
  }
  for (const EngineKey& key : prompt_cache_.EnginesCaching(prompt)) {
    const EngineState* engine = index_.FindPresent(key);
    if (engine != nullptr && engine->record.service == prefill_engine.record.service) consider(*engine);
  }
  return best;
}

const EngineState* EngineSelector::FindCopySource(EngineDirectory& engines, const EngineState& prefill_engine,
                                                  const PromptMetadata& prompt, Time now) {
  const int missing = TokensToPrefill(prefill_engine.key, prompt, now) - UnsharedTokens(prompt);
  if (missing < parameters_.min_copied_tokens) return nullptr;
  const EngineState* caching_engine = FindCachingEngine(engines, prefill_engine, prompt, now);
  if (caching_engine != nullptr) return caching_engine == &prefill_engine ? nullptr : caching_engine;
  // No engine is known to cache it, but cache updates are delayed: the home engine may have it.
  const EngineGroup& group = GroupOf(engines, prefill_engine.record.service, prefill_engine.record.stage);
  const EngineState* home = FindHomeEngines(group, prompt, now).first;
  return home == &prefill_engine ? nullptr : home;
}

HomeEngines EngineSelector::FindHomeEngines(const EngineGroup& group, const PromptMetadata& prompt, Time now) const {
  if (prompt.parts.size() < 2) return {};
  // The last shared part.
  const PromptPart& part = prompt.parts[prompt.parts.size() - 2];
  return group.FindHomeEngines(part.hash, index_.zones()[index_.local_zone()].region, now);
}

std::vector<double> EngineSelector::BacklogPressure(EngineGroup& group, Time now) const {
  std::vector<double> pressure = group.Totals(now).waiting_tokens;
  for (double& region : pressure) region /= median_prefill_rate() * parameters_.backlog_pressure_ms;
  return pressure;
}

double EngineSelector::UncachedPrefillMs(const EngineState& engine, const PromptMetadata& prompt, Time now) const {
  return std::max(0, TokensToPrefill(engine.key, prompt, now) - UnsharedTokens(prompt)) / median_prefill_rate();
}

double EngineSelector::PrefillCost(const EngineState& engine, const PromptMetadata& prompt, double uncached_ms,
                                   Time now) const {
  const double others_by_load = std::max(0.0, EstimatedLoad(engine, now) - engine.outstanding) * UnsharedTokens(prompt);
  const double others = has_peer_reports_ ? static_cast<double>(engine.peers_prompt_tokens) : others_by_load;
  const double backlog = (static_cast<double>(engine.outstanding_prompt_tokens) + others) / median_prefill_rate();
  const bool decodes_too = engine.record.stage == EngineStage::kUniform;
  const double decode_delay_ms = decodes_too ? parameters_.decode_load_ms * EstimatedLoad(engine, now) : 0.0;
  return backlog + uncached_ms + decode_delay_ms;
}

}  // namespace saltquay::serving
