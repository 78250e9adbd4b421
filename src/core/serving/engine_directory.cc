#include "src/core/serving/engine_directory.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace saltquay::serving {

namespace {

constexpr Duration kOutcomeBucket = 1s;
// An engine that did not say which process it is may say so later.
constexpr Duration kIdentifyAgainAfter = 2s;
// Statistics of services are updated incrementally; recomputing them bounds the accumulated rounding errors.
constexpr Duration kStatsLifetime = 5s;

// The key differs between incarnations of an engine, so that cached parts and work in flight of one are never
// attributed to another, on this node or in reports between nodes.
EngineKey KeyOf(const EngineRecord& record) {
  std::string text = record.id;
  if (record.started_ms != 0) text += fmt::format("@{}", record.started_ms);
  if (!record.software_version.empty()) text += "#" + record.software_version;
  return EngineKey(text);
}

}  // namespace

std::optional<std::int64_t> EngineState::ExpectedProcess(Time now) {
  if (record.started_ms == 0) return std::nullopt;  // The id alone identifies the process.
  const bool tells = process_started_ms != 0;
  if (!tells && now < identified_again_at) return std::nullopt;
  if (!tells) process_started_ms.reset();
  return process_started_ms.value_or(record.started_ms);
}

void EngineState::RecordOtherProcess(std::int64_t started_ms, Time now) {
  process_started_ms = started_ms;
  identified_again_at = now + kIdentifyAgainAfter;
}

// One call may fail for many reasons. An engine that does not answer twice in a row serves without being asked.
void EngineState::RecordUnidentified(Time now) {
  const bool repeated = unidentified_at != Time{} && now - unidentified_at < kIdentifyAgainAfter;
  unidentified_at = now;
  if (repeated) RecordOtherProcess(0, now);
}

void RecentOutcomes::Rotate(Time now) {
  if (now - bucket_started_ < kOutcomeBucket) return;
  previous_ = now - bucket_started_ < 2 * kOutcomeBucket ? current_ : Bucket{};
  current_ = Bucket{};
  bucket_started_ = now;
}

void RecentOutcomes::RecordOutcome(bool failed, Time now) {
  Rotate(now);
  ++(failed ? current_.failures : current_.response_count);
}

EngineWork RecentOutcomes::Counts(Time now) {
  Rotate(now);
  EngineWork counts;
  counts.response_count = current_.response_count + previous_.response_count;
  counts.failures = current_.failures + previous_.failures;
  return counts;
}

void EngineDirectory::Replace(const std::vector<EngineRecord>& records) {
  std::set<std::string> present;
  for (const EngineRecord& record : records) {
    present.insert(record.id);
    Update(record);
  }
  std::vector<std::string> removed;
  for (const auto& [id, engine] : engines_) {
    if (!present.contains(id)) removed.push_back(id);
  }
  for (const std::string& id : removed) Remove(id);
  OnRecordsChanged();
}

bool EngineDirectory::Update(EngineRecord record) {
  EngineState& engine = engines_[record.id];
  if (record.started_ms < engine.record.started_ms) return false;  // Delayed update about an earlier incarnation.
  // The engine restarted under the same id: all state of the earlier incarnation is invalid.
  const EngineKey key = KeyOf(record);
  if (engine.key != key) by_key_.erase(engine.key.hash);
  if (engine.key != key) engine = EngineState{};
  record.leaving = record.leaving || engine.stated_leaving;
  const bool changed = engine.gone || engine.record != record;
  if (engine.record.stage != record.stage) engine.changing_until = engine.held_until = Time{};
  by_key_[key.hash] = &engine;
  engine.record = record;
  engine.key = key;
  engine.gone = false;
  if (changed) OnRecordsChanged();
  return changed;
}

void EngineDirectory::Remove(const std::string& id) {
  const auto entry = engines_.find(id);
  if (entry != engines_.end() && !entry->second.gone) {
    entry->second.gone = true;
    by_key_.erase(entry->second.key.hash);
    removed_engines_.push_back(id);
  }
  OnRecordsChanged();
  std::erase_if(removed_engines_, [this](const std::string& removed) { return DropIfDone(removed); });
  DropOldestRemoved();
}

void EngineDirectory::RecordLeavingStatement(EngineState& engine) {
  engine.stated_leaving = true;
  engine.record.leaving = true;
  OnRecordsChanged();
}

void EngineDirectory::OnRecordsChanged() {
  ++generation_;
  service_stats_.clear();
}

// Removed engines are in no index and no statistics.
bool EngineDirectory::DropIfDone(const std::string& id) {
  const auto entry = engines_.find(id);
  if (entry == engines_.end() || !entry->second.gone) return true;
  const EngineState& engine = entry->second;
  // Records also disappear while the store is down, and return.
  if (engine.outstanding > 0 || engine.HasStatements()) return false;
  engines_.erase(entry);
  return true;
}

void EngineDirectory::DropOldestRemoved() {
  constexpr std::size_t kMaxRemoved = 1024;
  if (removed_engines_.size() <= kMaxRemoved) return;
  const auto oldest = std::find_if(removed_engines_.begin(), removed_engines_.end(), [this](const std::string& id) {
    const auto entry = engines_.find(id);
    return entry == engines_.end() || !entry->second.gone || entry->second.outstanding == 0;
  });
  if (oldest == removed_engines_.end()) return;
  const auto entry = engines_.find(*oldest);
  if (entry != engines_.end() && entry->second.gone) engines_.erase(entry);
  removed_engines_.erase(oldest);
}

EngineState* EngineDirectory::Find(const std::string& id) {
  const auto entry = engines_.find(id);
  return entry == engines_.end() ? nullptr : &entry->second;
}

EngineState* EngineDirectory::FindPresent(const EngineKey& key) {
  const auto entry = by_key_.find(key.hash);
  return entry == by_key_.end() ? nullptr : entry->second;
}

void EngineDirectory::BeginWork(EngineState& engine, std::int64_t prompt_tokens) {
  ++engine.outstanding;
  engine.outstanding_prompt_tokens += prompt_tokens;
  active_engines_.insert(engine.record.id);
}

void EngineDirectory::EndWork(EngineState& engine, std::int64_t prompt_tokens) {
  --engine.outstanding;
  engine.outstanding_prompt_tokens -= prompt_tokens;
}

std::vector<EngineWork> EngineDirectory::LocalWork(Time now) {
  std::vector<EngineWork> all;
  std::erase_if(active_engines_, [&](const std::string& id) {
    EngineState* engine = Find(id);
    if (engine == nullptr) return true;
    EngineWork work = engine->outcomes.Counts(now);
    work.engine = engine->key;
    work.outstanding = engine->outstanding;
    work.prompt_tokens = engine->outstanding_prompt_tokens;
    if (work.outstanding + work.response_count + work.failures == 0) return true;
    all.push_back(work);
    return false;
  });
  return all;
}

void EngineDirectory::SetPeerWork(const std::map<EngineKey, EngineWork>& work) {
  for (const EngineKey& key : peer_work_) {
    EngineState* engine = FindPresent(key);
    if (engine == nullptr) continue;
    engine->peers_outstanding = engine->peers_responses = 0;
    engine->peers_prompt_tokens = 0;
  }
  peer_work_.clear();
  for (const auto& [key, peers] : work) {
    EngineState* engine = FindPresent(key);
    if (engine == nullptr) continue;
    engine->peers_outstanding = peers.outstanding;
    engine->peers_prompt_tokens = peers.prompt_tokens;
    engine->peers_responses = peers.response_count;
    peer_work_.push_back(key);
  }
}

void EngineDirectory::ForEachPresent(const std::function<void(EngineState&)>& visit) {
  for (auto& [id, engine] : engines_) {
    if (!engine.gone) visit(engine);
  }
}

void EngineDirectory::ForEachPresent(const std::string& service, const std::function<void(EngineState&)>& visit) {
  ForEachPresent([&](EngineState& engine) {
    if (engine.record.service == service) visit(engine);
  });
}

void EngineDirectory::ForEachServing(const std::string& service, const std::function<void(EngineState&)>& visit) {
  ForEachPresent(service, [&](EngineState& engine) {
    if (!engine.record.leaving) visit(engine);
  });
}

void EngineDirectory::RecordLoad(const std::string& id, const EngineLoad& load, Time now) {
  EngineState* engine = Find(id);
  if (engine == nullptr) return;
  engine->reported_load = load;
  engine->load_reported_at = now;
  engine->outstanding_at_load_report = engine->outstanding;
  engine->has_reported_load = true;
}

std::optional<HealthChange> EngineDirectory::RecordResponse(const std::string& id, bool failed, Time now) {
  EngineState* engine = Find(id);
  if (engine == nullptr) return std::nullopt;
  engine->last_response_time = now;
  engine->consecutive_failures = 0;
  engine->backoff = 0s;
  engine->outcomes.RecordOutcome(failed, now);
  active_engines_.insert(id);
  if (!failed) RaiseProbationLimit(*engine);
  ServiceStats& stats = StatsOf(engine->record.service);
  stats.Count(*engine, -1);
  ++engine->response_count;
  engine->error_share += policy_.smoothing * ((failed ? 1.0 : 0.0) - engine->error_share);
  stats.Count(*engine, 1);
  const bool has_enough_responses = engine->response_count >= policy_.min_responses;
  const bool is_outlier =
      has_enough_responses && engine->error_share > PeerEnginesErrorShare(*engine) + policy_.error_share;
  if (is_outlier) {
    stats.Count(*engine, -1);
    engine->response_count = 0;
    return Eject(*engine, "error share above the service's other engines", policy_.max_ejected_share, now);
  }
  if (!failed && engine->error_share < policy_.error_share / 2) engine->ejection = 0s;
  return std::nullopt;
}

void EngineDirectory::RecordRejection(const std::string& id, Time now) {
  EngineState* engine = Find(id);
  if (engine == nullptr) return;
  engine->last_response_time = now;
  engine->consecutive_failures = 0;
  if (now < engine->backed_off_until) return;  // This request was sent before the first rejection was known.
  engine->backoff =
      engine->backoff == 0s ? policy_.initial_backoff : std::min(engine->backoff * 2, policy_.max_backoff);
  engine->backed_off_until = now + engine->backoff;
}

std::optional<HealthChange> EngineDirectory::RecordFailure(const std::string& id, const std::string& cause, Time now) {
  EngineState* engine = Find(id);
  if (engine == nullptr) return std::nullopt;
  ++engine->consecutive_failures;
  engine->outcomes.RecordOutcome(true, now);
  active_engines_.insert(id);
  const bool on_probation = engine->ejection > 0s && now < engine->ejected_until + engine->ejection;
  if (engine->consecutive_failures < policy_.failures && !on_probation) return std::nullopt;
  auto change = Eject(*engine, cause, policy_.max_unreachable_share, now);
  if (change) change->lost = true;
  return change;
}

std::optional<HealthChange> EngineDirectory::RecordWrongEngine(const std::string& id, Time now) {
  EngineState* engine = Find(id);
  if (engine == nullptr) return std::nullopt;
  engine->ejection = policy_.max_ejection;
  return EjectUnconditionally(*engine, "another engine responds at its address", now);
}

std::optional<HealthChange> EngineDirectory::Eject(EngineState& engine, const std::string& cause, double max_share,
                                                   Time now) {
  if (!MayEjectMore(engine.record.service, max_share, now)) return std::nullopt;
  return EjectUnconditionally(engine, cause, now);
}

std::optional<HealthChange> EngineDirectory::EjectUnconditionally(EngineState& engine, const std::string& cause,
                                                                  Time now) {
  if (now < engine.ejected_until) return std::nullopt;
  engine.ejection =
      engine.ejection == 0s ? policy_.initial_ejection : std::min(engine.ejection * 2, policy_.max_ejection);
  engine.ejected_until = now + engine.ejection;
  engine.probation_limit = 1;
  engine.consecutive_failures = 0;
  if (engine.gone) return HealthChange{engine.record.id, true, cause, engine.ejection};
  std::vector<EngineState*>& ejected_engines = StatsOf(engine.record.service).ejected_engines;
  // May still be listed for an earlier ejection, since expired entries are dropped only on the next query.
  std::erase(ejected_engines, &engine);
  ejected_engines.push_back(&engine);
  return HealthChange{engine.record.id, true, cause, engine.ejection};
}

std::vector<HealthChange> EngineDirectory::EjectByFleetOutcomes(const std::map<EngineKey, EngineWork>& peers,
                                                                double draw, Time now) {
  if (now - stats_recomputed_at_ >= kStatsLifetime) {
    stats_recomputed_at_ = now;
    service_stats_.clear();
  }
  std::map<std::string, EngineWork> totals;  // By id, of the engines with outcomes.
  for (const std::string& id : active_engines_) {
    EngineState* engine = Find(id);
    if (engine != nullptr && !engine->gone) totals[id] = engine->outcomes.Counts(now);
  }
  for (const auto& [key, work] : peers) {
    const EngineState* engine = FindPresent(key);
    if (engine != nullptr) totals[engine->record.id].Add(work);
  }
  std::map<std::string, EngineWork> service_totals;
  for (const auto& [id, outcomes] : totals) service_totals[engines_.at(id).record.service].Add(outcomes);
  std::vector<HealthChange> changes;
  for (const auto& [id, outcomes] : totals) {
    EngineState& engine = engines_.at(id);
    const auto change = EjectOneByFleetOutcomes(engine, outcomes, service_totals[engine.record.service], draw, now);
    if (change) changes.push_back(*change);
  }
  return changes;
}

std::optional<HealthChange> EngineDirectory::EjectOneByFleetOutcomes(EngineState& engine, const EngineWork& totals,
                                                                     const EngineWork& service, double draw, Time now) {
  if (now < engine.ejected_until || totals.failures < policy_.min_fleet_failures) return std::nullopt;
  const bool lost = totals.response_count == 0;
  const double share = static_cast<double>(totals.failures) / (totals.failures + totals.response_count);
  const int others = service.response_count + service.failures - totals.response_count - totals.failures;
  const double others_share =
      others <= 0 ? 1.0 : static_cast<double>(service.failures - totals.failures) / static_cast<double>(others);
  const bool is_outlier = totals.response_count + totals.failures >= policy_.min_fleet_outcomes &&
                          share > others_share + policy_.error_share;
  if (!lost && !is_outlier) return std::nullopt;
  auto change = lost ? Eject(engine, "no successful response to any node", policy_.max_unreachable_share, now)
                     : Eject(engine, "error share above the service's other engines, over all nodes",
                             policy_.max_ejected_share, now);
  if (!change) return change;
  change->lost = lost;
  change->span = FromSeconds(ToSeconds(std::max(policy_.min_fleet_ejection, engine.ejection)) * (1 + draw));
  engine.ejected_until = now + change->span;
  return change;
}

void EngineDirectory::RaiseProbationLimit(EngineState& engine) const {
  engine.probation_limit *= 2;
  if (engine.probation_limit >= policy_.full_trust_limit) engine.probation_limit = 0;
}

void EngineDirectory::ServiceStats::Count(const EngineState& engine, int sign) {
  if (engine.gone || engine.response_count == 0) return;
  responding_engines += sign;
  error_share_sum += sign * engine.error_share;
}

EngineDirectory::ServiceStats& EngineDirectory::StatsOf(const std::string& service) {
  if (service_stats_.empty()) {
    ForEachPresent([&](EngineState& engine) {
      ServiceStats& stats = service_stats_[engine.record.service];
      stats.serving += engine.record.leaving ? 0 : 1;
      stats.Count(engine, 1);
      if (engine.ejected_until > Time{}) stats.ejected_engines.push_back(&engine);
    });
  }
  return service_stats_[service];
}

bool EngineDirectory::MayEjectMore(const std::string& service, double max_share, Time now) {
  ServiceStats& stats = StatsOf(service);
  std::erase_if(stats.ejected_engines, [&](const EngineState* engine) { return now >= engine->ejected_until; });
  const auto ejected_engines = std::count_if(stats.ejected_engines.begin(), stats.ejected_engines.end(),
                                             [](const EngineState* engine) { return !engine->record.leaving; });
  return ejected_engines < std::max(1, static_cast<int>(max_share * stats.serving));
}

double EngineDirectory::PeerEnginesErrorShare(const EngineState& engine) {
  const ServiceStats& all = StatsOf(engine.record.service);
  const bool counted = !engine.gone && engine.response_count > 0;
  const int others = all.responding_engines - (counted ? 1 : 0);
  return others == 0 ? 1.0 : (all.error_share_sum - (counted ? engine.error_share : 0.0)) / others;
}

}  // namespace saltquay::serving
