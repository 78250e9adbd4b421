#include "src/core/serving/recent_runs.h"

#include <algorithm>
#include <utility>

namespace saltquay::serving {
namespace {

constexpr std::size_t kMaxRuns = 1024;
// Runs whose engine was not heard of for so long are forgotten if there are too many.
constexpr Duration kMaxAge = 10s;
// Some node finds that an engine has crashed, when it calls the engine again, within this time.
constexpr Duration kMaxDetectionDelay = 2s;

}  // namespace

void RecentRuns::Add(EngineKey engine, std::vector<CrashSubject> subjects, Time since) {
  if (subjects.empty()) return;
  if (size_ >= kMaxRuns) ForgetOld(since);
  if (size_ >= kMaxRuns) return;
  runs_[engine].push_back({since, std::move(subjects)});
  ++size_;
}

std::vector<CrashSubject> RecentRuns::TakeSurvived(EngineKey engine, Time alive_at) {
  const auto entry = runs_.find(engine);
  if (entry == runs_.end()) return {};
  const std::vector<Run>& runs = entry->second;
  const auto first_open =
      std::find_if(runs.begin(), runs.end(), [&](const Run& run) { return alive_at < run.since + survival_time_; });
  return TakeFirst(entry, static_cast<std::size_t>(first_open - runs.begin()));
}

std::vector<CrashSubject> RecentRuns::TakeUnsurvived(EngineKey engine, Time found_at) {
  const auto entry = runs_.find(engine);
  if (entry == runs_.end()) return {};
  size_ -= std::erase_if(entry->second, [&](const Run& run) { return run.since + kMaxDetectionDelay <= found_at; });
  return TakeFirst(entry, entry->second.size());
}

std::vector<CrashSubject> RecentRuns::TakeFirst(EngineRuns::iterator engine, std::size_t count) {
  std::vector<CrashSubject> subjects;
  std::vector<Run>& runs = engine->second;
  const auto end = runs.begin() + static_cast<std::ptrdiff_t>(count);
  for (auto run = runs.begin(); run != end; ++run) {
    subjects.insert(subjects.end(), run->subjects.begin(), run->subjects.end());
  }
  runs.erase(runs.begin(), end);
  size_ -= count;
  if (runs.empty()) runs_.erase(engine);
  return subjects;
}

std::vector<EngineKey> RecentRuns::EnginesWithRunsBefore(Time alive_at) const {
  std::vector<EngineKey> engines;
  for (const auto& [engine, runs] : runs_) {
    if (runs.front().since + survival_time_ <= alive_at) engines.push_back(engine);
  }
  return engines;
}

void RecentRuns::ForgetOld(Time now) {
  for (auto& [engine, runs] : runs_) {
    size_ -= std::erase_if(runs, [&](const Run& run) { return now - run.since > kMaxAge; });
  }
  std::erase_if(runs_, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace saltquay::serving
