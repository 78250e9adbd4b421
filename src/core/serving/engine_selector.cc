#include "src/core/serving/engine_selector.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace saltquay::serving {

double EngineSelector::EstimatedLoad(const EngineState& engine, Time now) const {
  double others = 0;
  if (engine.has_reported_load) {
    const double age = ToSeconds(now - engine.load_reported_at) / ToSeconds(parameters_.load_report_lifetime);
    const int told = engine.told.running + engine.told.waiting - engine.outstanding_at_load_report;
    others = std::max(0, told) * std::max(0.0, 1.0 - age);
  }
  return engine.outstanding + std::max(others, static_cast<double>(engine.peers_outstanding));
}

EngineGroup& EngineSelector::GroupOf(EngineDirectory& engines, const std::string& service, EngineStage stage) {
  index_.Refresh(engines, topology_);
  return index_.GroupOf(service, stage);
}

const EngineSelector::Candidates& EngineSelector::CandidatesOf(const EngineGroup& group, std::size_t zone) {
  if (group.few() || parameters_.policy != SelectionPolicy::kCost) return group.all();
  drawn_.clear();
  group.Draw(zone, index_.zones()[zone].region, random_, drawn_);
  return drawn_;
}

void EngineSelector::AddCachingEngines(const std::string& service, EngineStage stage, const PromptMetadata& prompt,
                                       Candidates& candidates) {
  for (const EngineKey& key : kept_.EnginesCaching(prompt)) {
    EngineState* engine = index_.FindPresent(key);
    if (engine == nullptr || engine->record.leaving) continue;
    if (engine->record.service != service || engine->record.stage != stage) continue;
    candidates.push_back({engine, index_.ZoneIndexOf(engine->record.zone)});
  }
}

template <typename Cost>
EngineState* EngineSelector::CheapestOf(const Candidates& candidates, const EngineIds& tried, Time now, Cost cost) {
  EngineState* best = nullptr;
  std::pair<bool, double> best_rank;
  for (const IndexedEngine& candidate : candidates) {
    if (tried.contains(candidate.engine->record.id)) continue;
    const std::pair<bool, double> rank{candidate.engine->IsOutOfService(now), cost(candidate)};
    if (best != nullptr && rank >= best_rank) continue;
    best = candidate.engine;
    best_rank = rank;
  }
  return best;
}

template <typename Cost>
EngineState* EngineSelector::Cheapest(const EngineGroup& group, const Candidates& candidates, const EngineIds& tried,
                                      Time now, Cost cost) {
  if (parameters_.policy == SelectionPolicy::kRoundRobin) {
    Candidates left;
    std::copy_if(group.all().begin(), group.all().end(), std::back_inserter(left),
                 [&](const IndexedEngine& member) { return !tried.contains(member.engine->record.id); });
    return left.empty() ? nullptr : left[turn_++ % left.size()].engine;
  }
  EngineState* best = CheapestOf(candidates, tried, now, cost);
  const bool found = best != nullptr && !best->IsOutOfService(now);
  return found || &candidates == &group.all() ? best : CheapestOf(group.all(), tried, now, cost);
}

double EngineSelector::DrawUnreportedWork(double unseen, std::size_t engines) {
  return engines == 0 ? 0.0 : random_.Unit() * 2 * unseen / static_cast<double>(engines);
}

EngineState* EngineSelector::ChooseUniformEngine(EngineDirectory& engines, const std::string& service,
                                                 const EngineIds& tried, Time now) {
  const EngineGroup& group = GroupOf(engines, service, EngineStage::kUniform);
  const std::vector<double> ways = NetworkCosts();
  const Candidates& candidates = CandidatesOf(group, index_.own_zone());
  return Cheapest(group, candidates, tried, now, [&](const IndexedEngine& candidate) {
    const EngineState& engine = *candidate.engine;
    if (parameters_.policy == SelectionPolicy::kLeastOutstanding) return static_cast<double>(engine.outstanding);
    return DecodeCost(engine, group.all().size(), now) + ways[candidate.zone];
  });
}

EngineState* EngineSelector::ChooseDecodeEngine(EngineDirectory& engines, const std::string& service,
                                                const std::string& kv_cache_zone, const EngineIds& tried, Time now) {
  const EngineGroup& group = GroupOf(engines, service, EngineStage::kDecode);
  const std::vector<double> ways = NetworkCosts(kv_cache_zone);
  const std::size_t near = kv_cache_zone.empty() ? index_.own_zone() : index_.ZoneIndexOf(kv_cache_zone);
  const Candidates& candidates = CandidatesOf(group, near);
  return Cheapest(group, candidates, tried, now, [&](const IndexedEngine& candidate) {
    const EngineState& engine = *candidate.engine;
    if (parameters_.policy == SelectionPolicy::kLeastOutstanding) return static_cast<double>(engine.outstanding);
    return DecodeCost(engine, group.all().size(), now) + ways[candidate.zone];
  });
}

double EngineSelector::RoundTripMs(std::string_view first, std::string_view second) const {
  constexpr double kInMilliseconds = 1000;
  return 2 * ToSeconds(topology_.Distance(first, second)) * kInMilliseconds;
}

std::vector<double> EngineSelector::NetworkCosts(const std::string& kv_cache_zone) const {
  std::vector<double> costs;
  for (const EngineIndex::Zone& zone : index_.zones()) {
    const double memory =
        kv_cache_zone.empty() ? 0.0 : parameters_.kv_transfer_rtt_weight * RoundTripMs(kv_cache_zone, zone.name);
    costs.push_back(parameters_.rtt_weight * RoundTripMs(zone_, zone.name) + memory);
  }
  return costs;
}

double EngineSelector::DecodeCost(const EngineState& engine, std::size_t engines, Time now) {
  constexpr double kTie = 0.1;  // Of a request: engines alike are taken at random.
  const double load =
      EstimatedLoad(engine, now) + random_.Unit() * kTie + DrawUnreportedWork(unreported_work_.requests, engines);
  const double beyond = engine.record.slots > 0 ? std::max(0.0, load - engine.record.slots) : 0.0;
  return parameters_.decode_load_ms * load + parameters_.decode_queue_ms * beyond;
}

EngineState* EngineSelector::ChoosePrefillEngine(EngineDirectory& engines, const std::string& service,
                                                 EngineStage stage, const PromptMetadata& prompt,
                                                 const EngineIds& tried, Time now) {
  EngineGroup& group = GroupOf(engines, service, stage);
  const HomeEngines homes = FindHomeEngines(group, prompt, now);
  const std::vector<double> ways = NetworkCosts();
  const std::vector<double> pressure = BacklogPressure(group, now);
  const std::size_t count = group.all().size();
  const double mean_unseen_ms =
      unreported_work_.prompt_tokens / static_cast<double>(std::max<std::size_t>(1, count)) / read_rate();
  const Candidates& candidates = CandidatesOf(group, index_.own_zone());
  if (&candidates == &drawn_) {
    for (const EngineState* home : {homes.first, homes.second}) {
      if (home != nullptr) drawn_.push_back({engines.Find(home->record.id), index_.ZoneIndexOf(home->record.zone)});
    }
    AddCachingEngines(service, stage, prompt, drawn_);
  }
  return Cheapest(group, candidates, tried, now, [&](const IndexedEngine& candidate) {
    const EngineState& engine = *candidate.engine;
    if (parameters_.policy == SelectionPolicy::kLeastOutstanding) return static_cast<double>(engine.outstanding);
    const double lacking = UncachedPrefillMs(engine, prompt, now);
    const double reread = parameters_.recompute_weight + pressure[index_.zones()[candidate.zone].region];
    const double way = ways[candidate.zone];
    if (&engine == homes.first) return way + PrefillCost(engine, prompt, lacking, now) + mean_unseen_ms;
    if (&engine == homes.second) return way + PrefillCost(engine, prompt, reread * lacking, now) + mean_unseen_ms;
    // The homes of different prompts differ, but the best of the others is the same for all nodes.
    const double unseen_ms = DrawUnreportedWork(unreported_work_.prompt_tokens, count) / read_rate();
    return way + PrefillCost(engine, prompt, reread * parameters_.non_home_weight * lacking, now) + unseen_ms;
  });
}

bool EngineSelector::HasPrefillEngine(EngineDirectory& engines, const std::string& service, const EngineIds& tried) {
  const Candidates& readers = GroupOf(engines, service, EngineStage::kPrefill).all();
  return std::any_of(readers.begin(), readers.end(),
                     [&](const IndexedEngine& reader) { return !tried.contains(reader.engine->record.id); });
}

EngineCount EngineSelector::CountEngines(EngineDirectory& engines, const std::string& service, EngineStage stage,
                                         Time now) {
  const GroupTotals& sums = GroupOf(engines, service, stage).Sums(now);
  return {sums.in_service, sums.peers_outstanding};
}

double EngineSelector::MinPrefillMs(EngineDirectory& engines, const std::string& service, const PromptMetadata& prompt,
                                    Time now) {
  const EngineGroup& group = GroupOf(engines, service, EngineStage::kPrefill);
  Candidates keepers;
  if (!group.few()) AddCachingEngines(service, EngineStage::kPrefill, prompt, keepers);
  int least = prompt.tokens;
  for (const IndexedEngine& candidate : group.few() ? group.all() : keepers) {
    if (!candidate.engine->IsOutOfService(now))
      least = std::min(least, TokensToPrefill(candidate.engine->key, prompt, now));
  }
  return least / read_rate();
}

const EngineState* EngineSelector::FindCachingEngine(EngineDirectory& engines, const EngineState& reader,
                                                     const PromptMetadata& prompt, Time now) {
  index_.Refresh(engines, topology_);
  const EngineState* best = nullptr;
  auto best_rank = std::tuple(prompt.tokens, false, Duration::zero());
  // One that leaves still serves as a source: what it alone keeps would have to be read again. Of equal ones another is
  // better, for it will be there when the copy begins; then the nearest to the reader, for a copy takes as many times
  // longer as its way does.
  const auto consider = [&](const EngineState& engine) {
    const bool ends = engine.record.leaving &&
                      (!engine.leaving_since || now - *engine.leaving_since > parameters_.leaving_source_time);
    if (now < engine.ejected_until || ends) return;
    const int tokens = TokensToPrefill(engine.key, prompt, now);
    if (tokens >= prompt.tokens || tokens > std::get<0>(best_rank)) return;
    const auto rank =
        std::tuple(tokens, engine.record.leaving, topology_.Distance(reader.record.zone, engine.record.zone));
    if (best != nullptr && rank >= best_rank) return;
    best = &engine;
    best_rank = rank;
  };
  const std::vector<EngineState*>& present = index_.PresentOf(reader.record.service);
  if (present.size() <= kMaxFullScanEngines) {
    for (const EngineState* engine : present) consider(*engine);
    return best;
  }
  for (const EngineKey& key : kept_.EnginesCaching(prompt)) {
    const EngineState* engine = index_.FindPresent(key);
    if (engine != nullptr && engine->record.service == reader.record.service) consider(*engine);
  }
  return best;
}

const EngineState* EngineSelector::FindCopySource(EngineDirectory& engines, const EngineState& reader,
                                                  const PromptMetadata& prompt, Time now) {
  const int missing = TokensToPrefill(reader.key, prompt, now) - UnsharedTokens(prompt);
  if (missing < parameters_.min_copied_tokens) return nullptr;
  const EngineState* keeper = FindCachingEngine(engines, reader, prompt, now);
  if (keeper != nullptr) return keeper == &reader ? nullptr : keeper;
  // Nobody is known to keep it, but news are late: the home may.
  const EngineGroup& group = GroupOf(engines, reader.record.service, reader.record.stage);
  const EngineState* home = FindHomeEngines(group, prompt, now).first;
  return home == &reader ? nullptr : home;
}

HomeEngines EngineSelector::FindHomeEngines(const EngineGroup& group, const PromptMetadata& prompt, Time now) const {
  if (prompt.parts.size() < 2) return {};
  // The last part that is shared.
  const PromptPart& part = prompt.parts[prompt.parts.size() - 2];
  return group.FindHomeEngines(part.hash, index_.zones()[index_.own_zone()].region, now);
}

std::vector<double> EngineSelector::BacklogPressure(EngineGroup& group, Time now) const {
  std::vector<double> pressure = group.Sums(now).waiting_tokens;
  for (double& region : pressure) region /= read_rate() * parameters_.backlog_pressure_ms;
  return pressure;
}

double EngineSelector::UncachedPrefillMs(const EngineState& engine, const PromptMetadata& prompt, Time now) const {
  return std::max(0, TokensToPrefill(engine.key, prompt, now) - UnsharedTokens(prompt)) / read_rate();
}

double EngineSelector::PrefillCost(const EngineState& engine, const PromptMetadata& prompt, double lacking_ms,
                                   Time now) const {
  const double others_by_load = std::max(0.0, EstimatedLoad(engine, now) - engine.outstanding) * UnsharedTokens(prompt);
  const double others = has_peer_reports_ ? static_cast<double>(engine.peers_prompt_tokens) : others_by_load;
  const double backlog = (static_cast<double>(engine.outstanding_prompt_tokens) + others) / read_rate();
  const bool answers_too = engine.record.stage == EngineStage::kUniform;
  const double answering = answers_too ? parameters_.decode_load_ms * EstimatedLoad(engine, now) : 0.0;
  return backlog + lacking_ms + answering;
}

}  // namespace saltquay::serving
