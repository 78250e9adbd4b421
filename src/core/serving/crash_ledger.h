// Requests and prompt parts that were running at engines when these crashed, as observed by this node and its peers.
//
// Protocol. A crash mark names a subject, which is a request or a prompt part, and one incarnation of an engine. Nodes
// exchange their marks and a ledger holds the union, so marks may arrive in any order, repeatedly and from any node.
// The subjects that explain the crashes (crash_culprits.h) are quarantined: no node sends them to an engine until
// `quarantine` after the last crash. After that they may be tried again; their crashes are remembered for `retention`,
// so one more quarantines them again at once. A successful execution clears all earlier crashes. This assumes that what
// crashes engines never succeeds, whereas what merely ran next to it does. Clearances are exchanged like crashes; each
// supersedes all earlier crashes and clearances of its subject. Marks carry ages, not times, so that nodes need no
// common clock. Of prompt parts, a node also remembers successes from before a crash: they clear the crash if it
// follows within a second, and otherwise make the part less suspect. So does an execution that was only completed.
//
// Drawback: an innocent subject that happens to run at `culprits.threshold` engines that crash, without succeeding in
// between, is refused for `quarantine`. A subject that crashes engines takes down `culprits.threshold` of them, plus
// those at which other nodes start it before they learn of the last of these crashes.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "src/base/time.h"
#include "src/core/serving/crash_culprits.h"
#include "src/core/serving/crash_subject.h"
#include "src/core/serving/engine_key.h"
#include "src/core/serving/success_log.h"

namespace saltquay::serving {

// A subject was at an engine that crashed. If `engine.hash` is 0: an execution of it succeeded (a clearance), or, if
// `completion`, was completed, though the engine may have crashed afterwards.
struct CrashMark {
  CrashSubject subject;
  EngineKey engine;
  Duration age = 0s;
  bool completion = false;

  bool names_crash() const { return engine.hash != 0; }
};

struct CrashLedgerParameters {
  CulpritParameters culprits{};
  // Clients stop retrying at their deadlines, after seconds; a crashed engine is missing for four or five seconds.
  Duration quarantine = 300s;
  // The same for a prompt part that has succeeded before its crashes: it may be innocent, and only a trial can show
  // that while all requests with it are refused. Each crash beyond the required ones prolongs the quarantine by the
  // factor.
  Duration proven_part_quarantine = 2s;
  int proven_part_factor = 8;
  Duration retention = 600s;
  // About 300 bytes each. Beyond the limit, subjects with the fewest crashes are evicted first, the oldest among them
  // before others.
  std::size_t max_subjects = 1024;
  std::size_t max_remembered_successes = 4096;  // Of prompt parts; about 40 bytes each.
  // How long a change is included in every message: five reports to peers in a small fleet or twenty digests in a large
  // one (sums of many nodes' reports, see fleet_exchange.h). Some of these messages may be lost.
  Duration recent_period = 2s;
  std::size_t max_recent_marks = 48;  // Per message; a mark takes 24 bytes.
  // Older marks, of subjects with two or more crashes, that each message repeats in round-robin order for the benefit
  // of restarted nodes.
  std::size_t max_repeated_marks = 6;
  // Clearances and completions of prompt parts that each message repeats in round-robin order, for `exoneration_period`
  // after the last news of the part: otherwise restarted nodes suspect innocent parts as if these had never succeeded.
  std::size_t max_repeated_exonerations = 24;
  Duration exoneration_period = 60s;
  std::size_t max_persisted_subjects = 128;  // Whose crashes are kept in the store; about 40 KB of JSON.
};

class CrashLedger {
 public:
  explicit CrashLedger(const CrashLedgerParameters& parameters)
      : parameters_(parameters),
        part_successes_(parameters.max_remembered_successes),
        part_completions_(parameters.max_remembered_successes) {}

  // This node observed that an engine crashed while it had the subject. Returns whether the crash was added to the
  // ledger.
  bool RecordCrash(const CrashSubject& subject, EngineKey engine, Time at, Time now);
  // An execution of the subject succeeded. Returns whether that cleared any crashes.
  bool RecordSuccess(const CrashSubject& subject, Time now);
  // A run with the part was completed; its engine may yet crash.
  void RecordPartCompletion(std::uint64_t part, Time now);
  // Merges marks of another node. Returns the subjects of which a crash or a clearance was new to this ledger.
  std::vector<CrashSubject> Merge(std::span<const CrashMark> marks, Time now);

  // For how long the subject must not be sent to an engine; nothing if it may be sent.
  std::optional<Duration> QuarantineRemaining(const CrashSubject& subject, Time now) const;
  // How many engines crashed while they had the subject.
  int CrashCount(const CrashSubject& subject) const;
  // The marks to report to other nodes now: recent changes, and some exonerations and older marks in round-robin order.
  std::vector<CrashMark> MarksToReport(Time now);
  std::size_t size() const { return entries_.size(); }
  std::size_t QuarantinedCount(CrashSubjectKind kind, Time now) const;
  // Quarantined subjects of which this node itself observed a crash.
  std::vector<CrashSubject> LocallyObservedQuarantined(Time now) const;
  // All crashes of the quarantined subjects, for persistent storage; if these are more than `max_persisted_subjects`,
  // of the subjects with the latest crashes.
  std::vector<CrashMark> QuarantineMarks(Time now) const;

 private:
  struct Entry {
    std::map<EngineKey, Time> crashes;
    std::optional<Time> cleared;
    std::optional<Time> completed;  // Any completion within the retention; only of prompt parts.
    Time last{};                    // The latest crash or clearance.
    Time changed{};                 // When this node last learnt something new about the subject.
    bool local = false;             // This node itself observed a crash.

    bool has_succeeded() const { return cleared || completed; }
  };

  bool AddCrash(const CrashSubject& subject, EngineKey engine, Time at, Time now);
  static bool RecordClearance(Entry& entry, Time at, Time now);
  // Merges one mark of another node; returns whether it was news.
  bool MergeMark(const CrashMark& mark, Time now);
  // Adds what this node remembers of the part from before its crashes.
  void RecallPart(std::uint64_t part, Entry& entry, Time now) const;
  void AppendMarks(const CrashSubject& subject, const Entry& entry, Time now, std::vector<CrashMark>& marks) const;
  // Marks of what speaks for the subject: its clearance and its completion.
  static void AppendExonerations(const CrashSubject& subject, const Entry& entry, Time now,
                                 std::vector<CrashMark>& marks);
  // The exonerations of prompt parts to repeat in the next message.
  std::vector<CrashMark> TakeExonerations(Time now);
  // Removes expired entries, and evicts the least important ones beyond the size limit, but never `protected_subject`.
  void Shrink(const CrashSubject& protected_subject, Time now);
  void UpdateCulprits();
  // For how long after its last crash a culprit is quarantined.
  Duration QuarantineOf(const CrashSubject& subject, const Entry& entry) const;

  CrashLedgerParameters parameters_;
  std::map<CrashSubject, Entry> entries_;
  std::set<CrashSubject> culprits_;
  SuccessLog part_successes_;
  SuccessLog part_completions_;
  std::size_t next_repeated_mark_ = 0;
  std::size_t next_exoneration_ = 0;
};

}  // namespace saltquay::serving
