#include "src/core/serving/crash_ledger.h"

#include <algorithm>
#include <utility>

#include "src/core/serving/round_robin.h"

namespace saltquay::serving {
namespace {

// Entries with fewer ends are not repeated: nearly all of them were only beside an engine's end.
constexpr std::size_t kMinCrashesToRepeat = 2;
// What others tell seems so much later at most than it was: ages do not grow on their way between nodes.
constexpr Duration kReportDelay = 1s;

}  // namespace

bool CrashLedger::RecordCrash(std::uint64_t request, EngineKey engine, Time at, Time now) {
  const bool news = AddCrash(request, engine, at, now);
  const auto entry = entries_.find(request);
  if (entry != entries_.end()) entry->second.own = true;
  return news;
}

bool CrashLedger::AddCrash(std::uint64_t request, EngineKey engine, Time at, Time now) {
  if (request == 0 || now - at > parameters_.memory) return false;
  Entry& entry = entries_[request];
  if (entry.cleared && at <= *entry.cleared + kReportDelay) return false;
  const auto [end, is_new] = entry.ends.emplace(engine, at);
  // A life ends once: what is told much later of it is the better time. What is a little later was on its way.
  if (!is_new && at > end->second + kReportDelay) end->second = at;
  if (!is_new) return false;
  entry.last = std::max(entry.last, at);
  entry.changed = now;
  Shrink(request, now);
  return true;
}

bool CrashLedger::NoteServed(std::uint64_t request, Time now) {
  const auto entry = entries_.find(request);
  return entry != entries_.end() && !entry->second.ends.empty() && NoteCleared(entry->second, now, now);
}

bool CrashLedger::NoteCleared(Entry& entry, Time at, Time now) {
  // The same clearance, told again.
  if (entry.cleared && at <= *entry.cleared + kReportDelay) return false;
  std::erase_if(entry.ends, [&](const auto& end) { return end.second <= at + kReportDelay; });
  entry.cleared = at;
  entry.last = std::max(entry.last, at);
  entry.changed = now;
  return true;
}

std::vector<std::uint64_t> CrashLedger::Merge(std::span<const CrashMark> marks, Time now) {
  std::vector<std::uint64_t> changed;
  for (const CrashMark& mark : marks) {
    const Time at = now - mark.age;
    if (mark.request == 0 || mark.age > parameters_.memory) continue;
    const bool news =
        mark.clears() ? NoteCleared(entries_[mark.request], at, now) : AddCrash(mark.request, mark.engine, at, now);
    Shrink(mark.request, now);
    if (news && std::find(changed.begin(), changed.end(), mark.request) == changed.end()) {
      changed.push_back(mark.request);
    }
  }
  return changed;
}

int CrashLedger::Ends(std::uint64_t request) const {
  const auto entry = entries_.find(request);
  return entry == entries_.end() ? 0 : static_cast<int>(entry->second.ends.size());
}

std::optional<Duration> CrashLedger::QuarantineRemaining(std::uint64_t request, Time now) const {
  const auto entry = entries_.find(request);
  if (entry == entries_.end() || static_cast<int>(entry->second.ends.size()) < parameters_.quarantine_threshold)
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
    if (entry.own && QuarantineRemaining(request, now)) requests.push_back(request);
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
    for (const auto& [engine, at] : entries_.at(request).ends) marks.push_back({request, engine, now - at});
  }
  return marks;
}

std::vector<CrashMark> CrashLedger::MarksToReport(Time now) {
  std::vector<std::pair<std::uint64_t, const Entry*>> news;
  std::vector<CrashMark> repeated;
  for (const auto& [request, entry] : entries_) {
    if (now - entry.changed <= parameters_.news) {
      news.emplace_back(request, &entry);
    } else if (entry.ends.size() >= kMinCrashesToRepeat) {
      AppendMarks(request, entry, now, repeated);
    }
  }
  std::sort(news.begin(), news.end(), [](const auto& first, const auto& second) {
    return std::pair(second.second->ends.size(), first.first) < std::pair(first.second->ends.size(), second.first);
  });
  std::vector<CrashMark> marks;
  for (const auto& [request, entry] : news) AppendMarks(request, *entry, now, marks);
  if (marks.size() > parameters_.max_recent_marks) marks.resize(parameters_.max_recent_marks);
  std::sort(repeated.begin(), repeated.end(), [](const CrashMark& first, const CrashMark& second) {
    return std::pair(first.request, first.engine) < std::pair(second.request, second.engine);
  });
  repeated = TakeRoundRobin(std::move(repeated), parameters_.repeated, next_repeated_mark_);
  marks.insert(marks.end(), repeated.begin(), repeated.end());
  return marks;
}

void CrashLedger::AppendMarks(std::uint64_t request, const Entry& entry, Time now,
                              std::vector<CrashMark>& marks) const {
  for (const auto& [engine, at] : entry.ends) marks.push_back({request, engine, now - at});
  if (entry.cleared) marks.push_back({request, EngineKey{}, now - *entry.cleared});
}

void CrashLedger::Shrink(std::uint64_t kept, Time now) {
  std::erase_if(entries_, [&](const auto& entry) { return now - entry.second.last > parameters_.memory; });
  while (entries_.size() > parameters_.max_ledger_requests) {
    auto least = entries_.end();
    for (auto entry = entries_.begin(); entry != entries_.end(); ++entry) {
      if (entry->first == kept) continue;
      const auto rank = [](const Entry& one) { return std::pair(one.ends.size(), one.last); };
      if (least == entries_.end() || rank(entry->second) < rank(least->second)) least = entry;
    }
    entries_.erase(least);
  }
}

}  // namespace saltquay::serving
