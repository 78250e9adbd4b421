#include "src/core/serving/crash_ledger.h"

#include <algorithm>
#include <utility>

#include "src/core/serving/round_robin.h"

namespace saltquay::serving {
namespace {

// Entries with fewer crashes are not repeated: nearly all of these requests merely ran next to the one that crashed the
// engine.
constexpr std::size_t kMinCrashesToRepeat = 2;
// Reported events may appear later than they were by at most this time: ages do not grow in transit between nodes.
constexpr Duration kReportDelay = 1s;

}  // namespace

bool CrashLedger::RecordCrash(std::uint64_t request, EngineKey engine, Time at, Time now) {
  const bool is_news = AddCrash(request, engine, at, now);
  const auto entry = entries_.find(request);
  if (entry != entries_.end()) entry->second.local = true;
  return is_news;
}

bool CrashLedger::AddCrash(std::uint64_t request, EngineKey engine, Time at, Time now) {
  if (request == 0 || now - at > parameters_.retention) return false;
  Entry& entry = entries_[request];
  if (entry.cleared && at <= *entry.cleared + kReportDelay) return false;
  const auto [end, is_new] = entry.crashes.emplace(engine, at);
  // An incarnation crashes only once, so a much later time for the same crash is the better one. A slightly later time
  // is due to transit.
  if (!is_new && at > end->second + kReportDelay) end->second = at;
  if (!is_new) return false;
  entry.last = std::max(entry.last, at);
  entry.changed = now;
  Shrink(request, now);
  return true;
}

bool CrashLedger::RecordSuccess(std::uint64_t request, Time now) {
  const auto entry = entries_.find(request);
  return entry != entries_.end() && !entry->second.crashes.empty() && RecordClearance(entry->second, now, now);
}

bool CrashLedger::RecordClearance(Entry& entry, Time at, Time now) {
  // The same clearance, reported again.
  if (entry.cleared && at <= *entry.cleared + kReportDelay) return false;
  std::erase_if(entry.crashes, [&](const auto& end) { return end.second <= at + kReportDelay; });
  entry.cleared = at;
  entry.last = std::max(entry.last, at);
  entry.changed = now;
  return true;
}

std::vector<std::uint64_t> CrashLedger::Merge(std::span<const CrashMark> marks, Time now) {
  std::vector<std::uint64_t> changed;
  for (const CrashMark& mark : marks) {
    const Time at = now - mark.age;
    if (mark.request == 0 || mark.age > parameters_.retention) continue;
    const bool is_news =
        mark.clears() ? RecordClearance(entries_[mark.request], at, now) : AddCrash(mark.request, mark.engine, at, now);
    Shrink(mark.request, now);
    if (is_news && std::find(changed.begin(), changed.end(), mark.request) == changed.end()) {
      changed.push_back(mark.request);
    }
  }
  return changed;
}

int CrashLedger::CrashCount(std::uint64_t request) const {
  const auto entry = entries_.find(request);
  return entry == entries_.end() ? 0 : static_cast<int>(entry->second.crashes.size());
}

std::optional<Duration> CrashLedger::QuarantineRemaining(std::uint64_t request, Time now) const {
  const auto entry = entries_.find(request);
  if (entry == entries_.end() || static_cast<int>(entry->second.crashes.size()) < parameters_.quarantine_threshold)
    return std::nullopt;
  const Duration left = entry->second.last + parameters_.quarantine - now;
  if (left <= 0s) return std::nullopt;
  return left;
}

std::size_t CrashLedger::QuarantinedCount(Time now) const {
  return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), [&](const auto& entry) {
    return QuarantineRemaining(entry.first, now).has_value();
  }));
}

std::vector<std::uint64_t> CrashLedger::LocallyObservedQuarantined(Time now) const {
  std::vector<std::uint64_t> requests;
  for (const auto& [request, entry] : entries_) {
    if (entry.local && QuarantineRemaining(request, now)) requests.push_back(request);
  }
  return requests;
}

std::vector<CrashMark> CrashLedger::QuarantineMarks(Time now) const {
  std::vector<std::pair<Time, std::uint64_t>> latest;
  for (const auto& [request, entry] : entries_) {
    if (QuarantineRemaining(request, now)) latest.emplace_back(entry.last, request);
  }
  std::sort(latest.rbegin(), latest.rend());
  if (latest.size() > parameters_.max_persisted_requests) latest.resize(parameters_.max_persisted_requests);
  std::vector<CrashMark> marks;
  for (const auto& [last, request] : latest) {
    for (const auto& [engine, at] : entries_.at(request).crashes) marks.push_back({request, engine, now - at});
  }
  return marks;
}

std::vector<CrashMark> CrashLedger::MarksToReport(Time now) {
  std::vector<std::pair<std::uint64_t, const Entry*>> recent;
  std::vector<CrashMark> older;
  for (const auto& [request, entry] : entries_) {
    if (now - entry.changed <= parameters_.recent_period) {
      recent.emplace_back(request, &entry);
    } else if (entry.crashes.size() >= kMinCrashesToRepeat) {
      AppendMarks(request, entry, now, older);
    }
  }
  std::sort(recent.begin(), recent.end(), [](const auto& first, const auto& second) {
    return std::pair(second.second->crashes.size(), first.first) <
           std::pair(first.second->crashes.size(), second.first);
  });
  std::vector<CrashMark> marks;
  for (const auto& [request, entry] : recent) AppendMarks(request, *entry, now, marks);
  if (marks.size() > parameters_.max_recent_marks) marks.resize(parameters_.max_recent_marks);
  std::sort(older.begin(), older.end(), [](const CrashMark& first, const CrashMark& second) {
    return std::pair(first.request, first.engine) < std::pair(second.request, second.engine);
  });
  older = TakeRoundRobin(older, parameters_.max_repeated_marks, next_repeated_mark_);
  marks.insert(marks.end(), older.begin(), older.end());
  return marks;
}

void CrashLedger::AppendMarks(std::uint64_t request, const Entry& entry, Time now,
                              std::vector<CrashMark>& marks) const {
  for (const auto& [engine, at] : entry.crashes) marks.push_back({request, engine, now - at});
  if (entry.cleared) marks.push_back({request, EngineKey{}, now - *entry.cleared});
}

void CrashLedger::Shrink(std::uint64_t protected_request, Time now) {
  std::erase_if(entries_, [&](const auto& entry) { return now - entry.second.last > parameters_.retention; });
  while (entries_.size() > parameters_.max_ledger_requests) {
    auto victim = entries_.end();
    for (auto entry = entries_.begin(); entry != entries_.end(); ++entry) {
      if (entry->first == protected_request) continue;
      const auto rank = [](const Entry& one) { return std::pair(one.crashes.size(), one.last); };
      if (victim == entries_.end() || rank(entry->second) < rank(victim->second)) victim = entry;
    }
    entries_.erase(victim);
  }
}

}  // namespace saltquay::serving
