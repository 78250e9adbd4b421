#include "src/core/serving/crash_ledger.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "src/core/serving/round_robin.h"

namespace saltquay::serving {
namespace {

// Entries with fewer crashes are not repeated: nearly all of these subjects merely ran next to the one that crashed the
// engine.
constexpr std::size_t kMinCrashesToRepeat = 2;
// Reported events may appear later than they were by at most this time: ages do not grow in transit between nodes.
constexpr Duration kReportDelay = 1s;

}  // namespace

bool CrashLedger::RecordCrash(const CrashSubject& subject, EngineKey engine, Time at, Time now) {
  const bool is_news = AddCrash(subject, engine, at, now);
  const auto entry = entries_.find(subject);
  if (entry != entries_.end()) entry->second.local = true;
  if (is_news) UpdateCulprits();
  return is_news;
}

bool CrashLedger::AddCrash(const CrashSubject& subject, EngineKey engine, Time at, Time now) {
  if (subject.fingerprint == 0 || now - at > parameters_.retention) return false;
  Entry& entry = entries_[subject];
  if (subject.is_part()) RecallPart(subject.fingerprint, entry, now);
  if (entry.cleared && at <= *entry.cleared + kReportDelay) return false;
  const auto [end, is_new] = entry.crashes.emplace(engine, at);
  // An incarnation crashes only once, so a much later time for the same crash is the better one. A slightly later time
  // is due to transit.
  if (!is_new && at > end->second + kReportDelay) end->second = at;
  if (!is_new) return false;
  entry.last = std::max(entry.last, at);
  entry.changed = now;
  Shrink(subject, now);
  return true;
}

void CrashLedger::RecallPart(std::uint64_t part, Entry& entry, Time now) const {
  const std::optional<Time> success = part_successes_.Find(part);
  if (success && now - *success <= parameters_.retention) RecordClearance(entry, *success, now);
  const std::optional<Time> completion = part_completions_.Find(part);
  if (completion && now - *completion <= parameters_.retention) entry.completed = completion;
}

void CrashLedger::RecordPartCompletion(std::uint64_t part, Time now) {
  part_completions_.Record(part, now);
  const auto entry = entries_.find(CrashSubject::PromptPart(part));
  if (entry == entries_.end() || entry->second.crashes.empty() || entry->second.completed) return;
  entry->second.completed = entry->second.changed = now;
  UpdateCulprits();
}

bool CrashLedger::RecordSuccess(const CrashSubject& subject, Time now) {
  if (subject.is_part()) part_successes_.Record(subject.fingerprint, now);
  const auto entry = entries_.find(subject);
  if (entry == entries_.end() || entry->second.crashes.empty() || !RecordClearance(entry->second, now, now))
    return false;
  UpdateCulprits();
  return true;
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

std::vector<CrashSubject> CrashLedger::Merge(std::span<const CrashMark> marks, Time now) {
  std::vector<CrashSubject> changed;
  for (const CrashMark& mark : marks) {
    if (mark.subject.fingerprint == 0 || mark.age > parameters_.retention) continue;
    const bool is_news = MergeMark(mark, now);
    Shrink(mark.subject, now);
    if (is_news && std::find(changed.begin(), changed.end(), mark.subject) == changed.end()) {
      changed.push_back(mark.subject);
    }
  }
  if (!changed.empty()) UpdateCulprits();
  return changed;
}

bool CrashLedger::MergeMark(const CrashMark& mark, Time now) {
  const Time at = now - mark.age;
  if (mark.names_crash()) return AddCrash(mark.subject, mark.engine, at, now);
  Entry& entry = entries_[mark.subject];
  if (!mark.completion) return RecordClearance(entry, at, now);
  if (entry.completed) return false;
  entry.completed = at;
  entry.last = std::max(entry.last, at);
  entry.changed = now;
  return true;
}

void CrashLedger::UpdateCulprits() {
  std::vector<AccusedSubject> accused;
  for (const auto& [subject, entry] : entries_) {
    if (!entry.crashes.empty()) accused.push_back({subject, &entry.crashes, entry.has_succeeded()});
  }
  culprits_ = FindCulprits(accused, parameters_.culprits);
}

Duration CrashLedger::QuarantineOf(const CrashSubject& subject, const Entry& entry) const {
  if (!subject.is_part() || !entry.has_succeeded()) return parameters_.quarantine;
  const int required = parameters_.culprits.threshold + parameters_.culprits.proven_part_margin;
  Duration quarantine = parameters_.proven_part_quarantine;
  for (int crashes = static_cast<int>(entry.crashes.size()); crashes > required; --crashes) {
    quarantine *= parameters_.proven_part_factor;
    if (quarantine >= parameters_.quarantine) break;
  }
  return std::min(quarantine, parameters_.quarantine);
}

int CrashLedger::CrashCount(const CrashSubject& subject) const {
  const auto entry = entries_.find(subject);
  return entry == entries_.end() ? 0 : static_cast<int>(entry->second.crashes.size());
}

std::optional<Duration> CrashLedger::QuarantineRemaining(const CrashSubject& subject, Time now) const {
  const auto entry = entries_.find(subject);
  if (entry == entries_.end() || !culprits_.contains(subject)) return std::nullopt;
  const Duration left = entry->second.last + QuarantineOf(subject, entry->second) - now;
  if (left <= 0s) return std::nullopt;
  return left;
}

std::size_t CrashLedger::QuarantinedCount(CrashSubjectKind kind, Time now) const {
  return static_cast<std::size_t>(std::count_if(culprits_.begin(), culprits_.end(), [&](const CrashSubject& subject) {
    return subject.kind == kind && QuarantineRemaining(subject, now).has_value();
  }));
}

std::vector<CrashSubject> CrashLedger::LocallyObservedQuarantined(Time now) const {
  std::vector<CrashSubject> subjects;
  for (const CrashSubject& subject : culprits_) {
    if (QuarantineRemaining(subject, now) && entries_.at(subject).local) subjects.push_back(subject);
  }
  return subjects;
}

std::vector<CrashMark> CrashLedger::QuarantineMarks(Time now) const {
  std::vector<std::pair<Time, CrashSubject>> latest;
  for (const CrashSubject& subject : culprits_) {
    if (QuarantineRemaining(subject, now)) latest.emplace_back(entries_.at(subject).last, subject);
  }
  std::sort(latest.rbegin(), latest.rend());
  if (latest.size() > parameters_.max_persisted_subjects) latest.resize(parameters_.max_persisted_subjects);
  std::vector<CrashMark> marks;
  for (const auto& [last, subject] : latest) {
    for (const auto& [engine, at] : entries_.at(subject).crashes) marks.push_back({subject, engine, now - at});
  }
  return marks;
}

std::vector<CrashMark> CrashLedger::MarksToReport(Time now) {
  std::vector<std::pair<CrashSubject, const Entry*>> recent;
  std::vector<CrashMark> older;
  for (const auto& [subject, entry] : entries_) {
    if (now - entry.changed <= parameters_.recent_period) {
      recent.emplace_back(subject, &entry);
    } else if (entry.crashes.size() >= kMinCrashesToRepeat) {
      AppendMarks(subject, entry, now, older);
    }
  }
  // Parts before requests: more requests depend on what is known of them.
  std::sort(recent.begin(), recent.end(), [](const auto& first, const auto& second) {
    return std::tuple(first.second->crashes.size(), first.first.kind, first.first.fingerprint) >
           std::tuple(second.second->crashes.size(), second.first.kind, second.first.fingerprint);
  });
  std::vector<CrashMark> marks;
  for (const auto& [subject, entry] : recent) AppendMarks(subject, *entry, now, marks);
  if (marks.size() > parameters_.max_recent_marks) marks.resize(parameters_.max_recent_marks);
  const std::vector<CrashMark> exonerations = TakeExonerations(now);
  marks.insert(marks.end(), exonerations.begin(), exonerations.end());
  std::sort(older.begin(), older.end(), [](const CrashMark& first, const CrashMark& second) {
    return std::pair(first.subject, first.engine) < std::pair(second.subject, second.engine);
  });
  older = TakeRoundRobin(older, parameters_.max_repeated_marks, next_repeated_mark_);
  marks.insert(marks.end(), older.begin(), older.end());
  return marks;
}

void CrashLedger::AppendMarks(const CrashSubject& subject, const Entry& entry, Time now,
                              std::vector<CrashMark>& marks) const {
  for (const auto& [engine, at] : entry.crashes) marks.push_back({subject, engine, now - at});
  AppendExonerations(subject, entry, now, marks);
}

std::vector<CrashMark> CrashLedger::TakeExonerations(Time now) {
  std::vector<CrashMark> marks;
  for (const auto& [subject, entry] : entries_) {
    if (subject.is_part() && now - entry.changed <= parameters_.exoneration_period)
      AppendExonerations(subject, entry, now, marks);
  }
  return TakeRoundRobin(marks, parameters_.max_repeated_exonerations, next_exoneration_);
}

void CrashLedger::AppendExonerations(const CrashSubject& subject, const Entry& entry, Time now,
                                     std::vector<CrashMark>& marks) {
  if (entry.cleared) marks.push_back({subject, EngineKey{}, now - *entry.cleared});
  if (entry.completed) marks.push_back({subject, EngineKey{}, now - *entry.completed, true});
}

void CrashLedger::Shrink(const CrashSubject& protected_subject, Time now) {
  std::erase_if(entries_, [&](const auto& entry) { return now - entry.second.last > parameters_.retention; });
  while (entries_.size() > parameters_.max_subjects) {
    auto victim = entries_.end();
    for (auto entry = entries_.begin(); entry != entries_.end(); ++entry) {
      if (entry->first == protected_subject) continue;
      const auto rank = [](const Entry& one) { return std::pair(one.crashes.size(), one.last); };
      if (victim == entries_.end() || rank(entry->second) < rank(victim->second)) victim = entry;
    }
    entries_.erase(victim);
  }
}

}  // namespace saltquay::serving
