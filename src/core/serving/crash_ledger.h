// Requests that were running at engines when these crashed, by fingerprint, as observed by this node and its peers.
//
// Protocol. A crash mark names a request and one incarnation of an engine. Nodes exchange their marks and a ledger
// holds the union, so marks may arrive in any order, repeatedly and from any node. A request with
// `quarantine_threshold` crashes is quarantined: no node sends it to an engine until `quarantine` after the last crash.
// After that it may be tried again; its crashes are remembered for `retention`, so one more quarantines it again at
// once. A successful execution clears all earlier crashes. This assumes that a request that crashes engines never
// succeeds, whereas one that merely ran next to it does. Clearances are exchanged like crashes; each supersedes all
// earlier crashes and clearances of its request. Marks carry ages, not times, so that nodes need no common clock.
//
// Drawback: an innocent request that happens to run at `quarantine_threshold` engines that crash, without succeeding in
// between, is refused for `quarantine`. A request that crashes engines takes down `quarantine_threshold` of them, plus
// those at which other nodes start it before they learn of the last of these crashes.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "src/base/time.h"
#include "src/core/serving/engine_key.h"

namespace saltquay::serving {

// A request was at an engine that crashed; or, if `engine.hash` is 0, an execution of the request succeeded (a
// clearance).
struct CrashMark {
  std::uint64_t request = 0;  // Fingerprint.
  EngineKey engine;
  Duration age = 0s;

  bool clears() const { return engine.hash == 0; }
};

struct CrashLedgerParameters {
  // The platform's rule counts the executions of a request that are started after its third crash, hence the
  // request is quarantined from that crash on.
  int quarantine_threshold = 3;
  // Clients stop retrying at their deadlines, after seconds; a crashed engine is missing for four or five seconds.
  Duration quarantine = 300s;
  Duration retention = 600s;
  // About 300 bytes each. Beyond the limit, requests with the fewest crashes are evicted first, the oldest among them
  // before others.
  std::size_t max_ledger_requests = 1024;
  // How long a change is included in every message: five reports to peers in a small fleet or twenty digests in a large
  // one (sums of many nodes' reports, see fleet_exchange.h). Some of these messages may be lost.
  Duration recent_period = 2s;
  std::size_t max_recent_marks = 48;  // Per message; a mark takes 24 bytes.
  // Older marks, of requests with two or more crashes, that each message repeats in round-robin order for the benefit
  // of restarted nodes.
  std::size_t max_repeated_marks = 6;
  std::size_t max_persisted_requests = 128;  // Requests whose crashes are kept in the store; about 40 KB of JSON.
};

class CrashLedger {
 public:
  explicit CrashLedger(const CrashLedgerParameters& parameters) : parameters_(parameters) {}

  // This node observed that an engine crashed while it had the request. Returns whether the crash was added to the
  // ledger.
  bool RecordCrash(std::uint64_t request, EngineKey engine, Time at, Time now);
  // An execution of the request succeeded. Returns whether that cleared any crashes.
  bool RecordSuccess(std::uint64_t request, Time now);
  // Merges marks of another node. Returns the requests of which a crash or a clearance was new to this ledger.
  std::vector<std::uint64_t> Merge(std::span<const CrashMark> marks, Time now);

  // For how long the request must not be sent to an engine; nothing if it may be sent.
  std::optional<Duration> QuarantineRemaining(std::uint64_t request, Time now) const;
  // How many engines crashed while they had the request.
  int CrashCount(std::uint64_t request) const;
  // The marks to report to other nodes now: all recent changes, and some older marks in round-robin order.
  std::vector<CrashMark> MarksToReport(Time now);
  std::size_t size() const { return entries_.size(); }
  std::size_t QuarantinedCount(Time now) const;
  // Quarantined requests of which this node itself observed a crash.
  std::vector<std::uint64_t> LocallyObservedQuarantined(Time now) const;
  // All crashes of the quarantined requests, for persistent storage; if these are more than `max_persisted_requests`,
  // of the requests with the latest crashes.
  std::vector<CrashMark> QuarantineMarks(Time now) const;

 private:
  struct Entry {
    std::map<EngineKey, Time> crashes;
    std::optional<Time> cleared;
    Time last{};         // The latest crash or clearance.
    Time changed{};      // When this node last learnt something new about the request.
    bool local = false;  // This node itself observed a crash.
  };

  bool AddCrash(std::uint64_t request, EngineKey engine, Time at, Time now);
  static bool RecordClearance(Entry& entry, Time at, Time now);
  void AppendMarks(std::uint64_t request, const Entry& entry, Time now, std::vector<CrashMark>& marks) const;
  // Removes expired entries, and evicts the least important ones beyond the size limit, but never `protected_request`.
  void Shrink(std::uint64_t protected_request, Time now);

  CrashLedgerParameters parameters_;
  std::unordered_map<std::uint64_t, Entry> entries_;
  std::size_t next_repeated_mark_ = 0;
};

}  // namespace saltquay::serving
