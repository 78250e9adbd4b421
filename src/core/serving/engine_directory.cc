#include "src/core/serving/engine_directory.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace saltquay::serving {

namespace {

constexpr Duration kOutcomeHalf = 1s;

// What one life keeps and has under way is never taken for another's, here and in what nodes tell each other.
EngineKey KeyOf(const EngineRecord& record) {
  if (record.started_ms == 0) return EngineKey(record.id);
  return EngineKey(fmt::format("{}@{}", record.id, record.started_ms));
}

}  // namespace

void RecentOutcomes::Turn(Time now) {
  if (now - began_ < kOutcomeHalf) return;
  before_ = now - began_ < 2 * kOutcomeHalf ? now_ : Half{};
  now_ = Half{};
  began_ = now;
}

void RecentOutcomes::Note(bool failed, Time now) {
  Turn(now);
  ++(failed ? now_.failures : now_.answers);
}

EngineWork RecentOutcomes::Counts(Time now) {
  Turn(now);
  EngineWork counts;
  counts.answers = now_.answers + before_.answers;
  counts.failures = now_.failures + before_.failures;
  return counts;
}

void EngineDirectory::Replace(const std::vector<EngineRecord>& records) {
  std::set<std::string> present;
  for (const EngineRecord& record : records) {
    present.insert(record.id);
    Update(record);
  }
  for (auto& [id, engine] : engines_) {
    if (!present.contains(id)) engine.gone = true;
  }
  NoteRecords();
  Sweep();
}

bool EngineDirectory::Update(const EngineRecord& record) {
  EngineState& engine = engines_[record.id];
  if (record.started_ms < engine.record.started_ms) return false;  // Late word of an earlier life.
  // It started again under its id: nothing that was known of the earlier life holds.
  if (record.started_ms > engine.record.started_ms) engine = EngineState{};
  const bool changed = engine.gone || engine.record != record;
  if (engine.record.stage != record.stage) engine.changing_until = engine.held_until = Time{};
  engine.record = record;
  engine.key = KeyOf(record);
  engine.gone = false;
  if (changed) NoteRecords();
  return changed;
}

void EngineDirectory::Remove(const std::string& id) {
  const auto entry = engines_.find(id);
  if (entry != engines_.end()) entry->second.gone = true;
  NoteRecords();
  Sweep();
}

void EngineDirectory::NoteRecords() {
  ++generation_;
  service_stats_.clear();
}

void EngineDirectory::Sweep() {
  // No index and no tally has those that are gone.
  std::erase_if(engines_, [](const auto& entry) { return entry.second.gone && entry.second.outstanding == 0; });
}

EngineState* EngineDirectory::Find(const std::string& id) {
  const auto entry = engines_.find(id);
  return entry == engines_.end() ? nullptr : &entry->second;
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
  engine->told = load;
  engine->load_reported_at = now;
  engine->outstanding_at_load_report = engine->outstanding;
  engine->has_reported_load = true;
}

std::optional<HealthChange> EngineDirectory::RecordResponse(const std::string& id, bool failed, Time now) {
  EngineState* engine = Find(id);
  if (engine == nullptr) return std::nullopt;
  engine->last_heard = now;
  engine->consecutive_failures = 0;
  engine->backoff = 0s;
  engine->outcomes.Note(failed, now);
  if (!failed) RaiseProbationLimit(*engine);
  ServiceStats& tally = StatsOf(engine->record.service);
  tally.Count(*engine, -1);
  ++engine->answers;
  engine->error_share += policy_.smoothing * ((failed ? 1.0 : 0.0) - engine->error_share);
  tally.Count(*engine, 1);
  const bool judged = engine->answers >= policy_.min_answers;
  const bool bad = judged && engine->error_share > PeerEnginesErrorShare(*engine) + policy_.error_share;
  if (bad) {
    tally.Count(*engine, -1);
    engine->answers = 0;
    return Eject(*engine, "errors above the other engines'", policy_.max_ejected_share, now);
  }
  if (!failed && engine->error_share < policy_.error_share / 2) engine->ejection = 0s;
  return std::nullopt;
}

void EngineDirectory::RecordRejection(const std::string& id, Time now) {
  EngineState* engine = Find(id);
  if (engine == nullptr) return;
  engine->last_heard = now;
  engine->consecutive_failures = 0;
  if (now < engine->backed_off_until) return;  // Sent before the first refusal was known.
  engine->backoff =
      engine->backoff == 0s ? policy_.first_backoff : std::min(engine->backoff * 2, policy_.longest_backoff);
  engine->backed_off_until = now + engine->backoff;
}

std::optional<HealthChange> EngineDirectory::RecordFailure(const std::string& id, const std::string& cause, Time now) {
  EngineState* engine = Find(id);
  if (engine == nullptr) return std::nullopt;
  ++engine->consecutive_failures;
  engine->outcomes.Note(true, now);
  const bool on_probation = engine->ejection > 0s && now < engine->ejected_until + engine->ejection;
  if (engine->consecutive_failures < policy_.failures && !on_probation) return std::nullopt;
  auto change = Eject(*engine, cause, policy_.max_unreachable_share, now);
  if (change) change->lost = true;
  return change;
}

std::optional<HealthChange> EngineDirectory::RecordWrongEngine(const std::string& id, Time now) {
  EngineState* engine = Find(id);
  if (engine == nullptr) return std::nullopt;
  engine->ejection = policy_.longest;
  return EjectUnconditionally(*engine, "another engine has its address", now);
}

std::optional<HealthChange> EngineDirectory::Eject(EngineState& engine, const std::string& cause, double most_out,
                                                   Time now) {
  if (!MayEjectMore(engine.record.service, most_out, now)) return std::nullopt;
  return EjectUnconditionally(engine, cause, now);
}

std::optional<HealthChange> EngineDirectory::EjectUnconditionally(EngineState& engine, const std::string& cause,
                                                                  Time now) {
  if (now < engine.ejected_until) return std::nullopt;
  engine.ejection = engine.ejection == 0s ? policy_.first : std::min(engine.ejection * 2, policy_.longest);
  engine.ejected_until = now + engine.ejection;
  engine.probation_limit = 1;
  engine.consecutive_failures = 0;
  if (engine.gone) return HealthChange{engine.record.id, true, cause, engine.ejection};
  std::vector<EngineState*>& out = StatsOf(engine.record.service).out;
  std::erase(out, &engine);  // From its last time, if nobody has asked since.
  out.push_back(&engine);
  return HealthChange{engine.record.id, true, cause, engine.ejection};
}

std::vector<HealthChange> EngineDirectory::EjectByFleetOutcomes(const std::map<EngineKey, EngineWork>& peers,
                                                                double draw, Time now) {
  service_stats_.clear();  // So that sums of many small changes stay true.
  std::map<std::string, EngineWork> services;
  std::map<EngineKey, EngineWork> seen;
  for (auto& [id, engine] : engines_) {
    if (engine.gone) continue;
    EngineWork& outcomes = seen[engine.key];
    outcomes = engine.outcomes.Counts(now);
    const auto others = peers.find(engine.key);
    if (others != peers.end()) outcomes.Add(others->second);
    services[engine.record.service].Add(outcomes);
  }
  std::vector<HealthChange> changes;
  for (auto& [id, engine] : engines_) {
    if (engine.gone) continue;
    const auto change = EjectOneByFleetOutcomes(engine, seen[engine.key], services[engine.record.service], draw, now);
    if (change) changes.push_back(*change);
  }
  return changes;
}

std::optional<HealthChange> EngineDirectory::EjectOneByFleetOutcomes(EngineState& engine, const EngineWork& seen,
                                                                     const EngineWork& service, double draw, Time now) {
  if (now < engine.ejected_until || seen.failures < policy_.min_fleet_failures) return std::nullopt;
  const bool lost = seen.answers == 0;
  const double share = static_cast<double>(seen.failures) / (seen.failures + seen.answers);
  const int others = service.answers + service.failures - seen.answers - seen.failures;
  const double others_share =
      others <= 0 ? 1.0 : static_cast<double>(service.failures - seen.failures) / static_cast<double>(others);
  const bool bad =
      seen.answers + seen.failures >= policy_.min_fleet_outcomes && share > others_share + policy_.error_share;
  if (!lost && !bad) return std::nullopt;
  auto change = lost ? Eject(engine, "no node is answered", policy_.max_unreachable_share, now)
                     : Eject(engine, "errors above the other engines', of all nodes", policy_.max_ejected_share, now);
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
  if (engine.gone || engine.answers == 0) return;
  answered += sign;
  error_shares += sign * engine.error_share;
}

EngineDirectory::ServiceStats& EngineDirectory::StatsOf(const std::string& service) {
  if (service_stats_.empty()) {
    ForEachPresent([&](EngineState& engine) {
      ServiceStats& tally = service_stats_[engine.record.service];
      tally.serving += engine.record.leaving ? 0 : 1;
      tally.Count(engine, 1);
      if (engine.ejected_until > Time{}) tally.out.push_back(&engine);
    });
  }
  return service_stats_[service];
}

bool EngineDirectory::MayEjectMore(const std::string& service, double most_out, Time now) {
  ServiceStats& tally = StatsOf(service);
  std::erase_if(tally.out, [&](const EngineState* engine) { return now >= engine->ejected_until; });
  const auto out = std::count_if(tally.out.begin(), tally.out.end(),
                                 [](const EngineState* engine) { return !engine->record.leaving; });
  return out < std::max(1, static_cast<int>(most_out * tally.serving));
}

double EngineDirectory::PeerEnginesErrorShare(const EngineState& engine) {
  const ServiceStats& all = StatsOf(engine.record.service);
  const bool counted = !engine.gone && engine.answers > 0;
  const int others = all.answered - (counted ? 1 : 0);
  return others == 0 ? 1.0 : (all.error_shares - (counted ? engine.error_share : 0.0)) / others;
}

}  // namespace saltquay::serving
