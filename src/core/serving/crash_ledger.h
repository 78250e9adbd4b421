// Requests under which engines ended, by fingerprint, as this node saw it and as others told.
//
// Protocol. An end names a request and one life of an engine. Nodes tell each other their marks; a ledger takes their
// union, so that marks may come in any order, several times, and from anywhere. A request under which
// `quarantine_threshold` engines ended is in quarantine: no node sends it to an engine until `quarantine` after the
// last end. Then it may be tried again; its ends are remembered for `memory`, so one more puts it back at once. A run
// that ended well clears what came before it: a request that ends engines never gets so far, one that was only beside
// it does. Clearances are told like ends; of two the later counts. Ages, not times, are told: nodes need no common
// clock.
//
// Price: a request that was on three engines that ended in a row, and never came to its end in between, is refused for
// `quarantine` though it may be innocent. A request that ends engines costs `quarantine_threshold` of them, and those
// that begin with it at other nodes before the last of these is known.
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

// An engine that ended under a request; or, with key 0, a run of it that ended well.
struct CrashMark {
  std::uint64_t request = 0;  // Its fingerprint.
  EngineKey engine;
  Duration age = 0s;

  bool clears() const { return engine.hash == 0; }
};

struct CrashLedgerParameters {
  // The platform's rule counts what is sent after the third.
  int quarantine_threshold = 3;
  // Callers that repeat give up within their deadlines, of seconds; an engine that ends is missing for four or five.
  Duration quarantine = 300s;
  Duration memory = 600s;
  // About 300 bytes each. Beyond it those with the fewest ends go first, the oldest of them before others.
  std::size_t max_ledger_requests = 1024;
  // A change is told in each message for so long: five reports of a small fleet, twenty digests of a large one, of
  // which some may be lost.
  Duration news = 2s;
  std::size_t max_recent_marks = 48;  // Marks of 24 bytes in one message.
  // Marks of requests with two ends or more that each message repeats besides, by turns, for nodes that start anew.
  std::size_t repeated = 6;
  std::size_t max_persisted_requests = 128;  // Requests of which the store keeps the ends: about 40 KB of JSON.
};

class CrashLedger {
 public:
  explicit CrashLedger(const CrashLedgerParameters& parameters) : parameters_(parameters) {}

  // This node saw that an engine ended under the request. Returns whether that is news.
  bool RecordCrash(std::uint64_t request, EngineKey engine, Time at, Time now);
  // A run of the request ended well. Returns whether that is news: whether engines had ended under it.
  bool NoteServed(std::uint64_t request, Time now);
  // Takes over what another node knows. Returns the requests of which something was news.
  std::vector<std::uint64_t> Merge(std::span<const CrashMark> marks, Time now);

  // How long no node sends the request to an engine; nothing where it may be sent.
  std::optional<Duration> QuarantineRemaining(std::uint64_t request, Time now) const;
  int Ends(std::uint64_t request) const;
  // What to tell others now: news, and some of the rest by turns.
  std::vector<CrashMark> MarksToReport(Time now);
  std::size_t size() const { return entries_.size(); }
  std::size_t QuarantinedCount(Time now) const;
  // Those in quarantine of which this node itself saw an end.
  std::vector<std::uint64_t> LocallyObservedQuarantined(Time now) const;
  // The ends of all that are in quarantine, for who must not forget them; of `max_persisted_requests` requests at most,
  // the latest.
  std::vector<CrashMark> QuarantineMarks(Time now) const;

 private:
  struct Entry {
    std::map<EngineKey, Time> ends;
    std::optional<Time> cleared;
    Time last{};       // Of the ends and the clearance.
    Time changed{};    // When this node learnt the newest of it.
    bool own = false;  // This node saw an end.
  };

  bool AddCrash(std::uint64_t request, EngineKey engine, Time at, Time now);
  static bool NoteCleared(Entry& entry, Time at, Time now);
  void AppendMarks(std::uint64_t request, const Entry& entry, Time now, std::vector<CrashMark>& marks) const;
  // Forgets what is too old, and the least of what is too much; never `kept`.
  void Shrink(std::uint64_t kept, Time now);

  CrashLedgerParameters parameters_;
  std::unordered_map<std::uint64_t, Entry> entries_;
  std::size_t next_repeated_mark_ = 0;
};

}  // namespace saltquay::serving
