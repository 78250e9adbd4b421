// The lease under which one node does what only one may do at a time: it orders engines to change, and does the
// duties toward the platform.
//
// Protocol. The lease is one object in the store. Its holder is the node whose conditional write made its present
// revision. The revision with which a holder began is its fencing token (unique and rising); it keeps the token while
// it renews, so that a call that arrives late is not older than those before it. The holder may act for `window` from
// before its last write was sent, and renews before it acts again. A node takes over only after it has seen one
// revision unchanged for lease + window + slack, so what two holders do is a lease apart; it sees revisions in the
// store or hears them from peers, and its conditional write tells whether they were the last. A holder that stops
// gives the lease up. The same machine in a later life goes on at once: there is no other holder between. A write
// without an answer is settled by reading the object back: the nonce tells whose it is.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "src/base/time.h"

namespace saltquay::serving {

struct LeaseRecord {
  std::string holder;       // Empty: its holder gave it up.
  std::string address;      // Of the holder's machine.
  std::uint64_t nonce = 0;  // Of the write.
  std::int64_t token = 0;   // Of the holder; 0: the revision of this very write.
  std::int64_t revision = 0;
};

struct DutyLeaseTimes {
  Duration lease = 3s;
  Duration window = 1s;
  Duration slack = 400ms;
  Duration retry = 500ms;
  Duration turn = 300ms;       // Between the tries of two nodes to take a lease that is free.
  int max_takeover_rank = 10;  // From this rank on nodes do not wait longer: most of those before them are gone.
};

enum class LeaseStep { kNone, kRead, kWrite };

class DutyLease {
 public:
  // `address`: of this machine, told apart from others by it; empty: not known.
  DutyLease(std::string node, std::string address, const DutyLeaseTimes& times, std::uint64_t seed, Time started)
      : node_(std::move(node)), address_(std::move(address)), times_(times), nonce_(seed), began_(started) {}

  // What to do next so that this node may act for `needed` from now; kWrite: send `draft`. `rank`: how many nodes go
  // before this one to take a free lease.
  LeaseStep Next(Time now, Duration needed, int rank = 0);
  const LeaseRecord& draft() const { return draft_; }

  // Answers; an empty record: there is no such object.
  void OnRead(const LeaseRecord& record, Time now);
  void OnReadFailed(Time now);
  void OnWritten(std::int64_t revision);
  // `settled`: the write certainly did not happen.
  void OnWriteFailed(bool settled, Time now);
  // A peer knows this revision of the lease.
  void OnPeerRecord(const LeaseRecord& record, Time now);

  // Somebody at this node wants to act soon.
  void Want(Time now) { requested_until_ = now + times_.retry; }
  bool wanted(Time now) const { return now < requested_until_; }
  // Whether this node may act now.
  bool IsHeldFor(Time now, Duration needed = 0s) const { return holds_ && now + needed < valid_until_; }
  std::int64_t token() const { return token_; }
  // The newest record that is known, to be told to peers; revision 0: none.
  LeaseRecord known() const { return known_.value_or(LeaseRecord{}); }
  // Somebody saw a higher token: this node is not the holder any more.
  void OnFenced() {
    holds_ = false;
    known_.reset();
  }
  // This node stops: it acts no more. Returns what to write so that others need not wait; nothing where it holds none.
  std::optional<LeaseRecord> Resign();
  void OnResigned(std::int64_t revision, Time now);

 private:
  void StartWrite(Time now);
  bool MayTake(Time now, int rank) const;

  std::string node_;
  std::string address_;
  DutyLeaseTimes times_;
  std::uint64_t nonce_;
  Time began_;  // Of this life.
  LeaseRecord draft_;
  std::optional<LeaseRecord> known_;  // As last read or heard, with its revision.
  Time record_seen_at_{};
  Time write_sent_{};
  Time valid_until_{};
  Time next_attempt_at_{};
  Time requested_until_{};
  bool holds_ = false;
  bool busy_ = false;              // A call is under way.
  bool write_unresolved_ = false;  // A write of ours may have happened.
  bool resigned_ = false;
  std::int64_t token_ = 0;
};

}  // namespace saltquay::serving
