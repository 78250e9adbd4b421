// A lease in the object store that elects the one node that orders stage changes of engines (for example from prefill
// to decode) and performs the duties toward the platform (usage reports and scaling orders).
//
// Protocol. The lease is one object in the store. Its holder is the node whose conditional write created the current
// revision. The revision of a holder's first write is its fencing token (unique and increasing). The holder keeps that
// token across renewals, so that a delayed call never carries a lower token than calls that arrived before it. The
// holder may act for `window`, measured from just before it sent its last successful write, and renews the lease before
// it acts again. Another node takes over only after it has seen one revision unchanged for `lease` + `window` +
// `margin` (see DutyLeaseTimes), so actions of two holders are at least `lease` apart. Nodes learn of revisions from
// the store or from peers; a conditional write shows whether the revision was still current. A holder that shuts down
// resigns. If the holder restarts on the same machine, it takes the lease again at once: the record still names it, and
// if another node had held the lease in between, the record would name that node or the conditional write would fail. A
// write without a response is resolved by reading the object back: the nonce shows whose write succeeded.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "src/base/time.h"

namespace saltquay::serving {

struct LeaseRecord {
  std::string holder;       // Empty after the holder resigned.
  std::string address;      // Address of the holder's machine.
  std::uint64_t nonce = 0;  // Identifies the write.
  std::int64_t token = 0;   // The holder's fencing token; 0: its first write, whose revision is the token.
  std::int64_t revision = 0;
};

struct DutyLeaseTimes {
  Duration lease = 3s;          // Minimum time between actions of two holders.
  Duration window = 1s;         // For how long a holder may act after it started its last successful write.
  Duration margin = 400ms;      // Added to the time that other nodes wait before they take over.
  Duration retry = 500ms;       // Delay after a failed store call, and how long a call of Want() remains in effect.
  Duration rank_delay = 300ms;  // Delay between consecutive ranks when nodes compete for a free lease.
  // Rank 0 tries first. Nodes of a rank above this one wait only as long as a node of this rank: most nodes before them
  // are probably down.
  int max_takeover_rank = 10;
};

enum class LeaseStep { kNone, kRead, kWrite };

class DutyLease {
 public:
  // `address` identifies this machine; empty if unknown. The nonces of this process's writes follow
  // `initial_nonce`, which is random so that they differ from those of other processes.
  DutyLease(std::string node, std::string address, const DutyLeaseTimes& times, std::uint64_t initial_nonce,
            Time started)
      : node_(std::move(node)), address_(std::move(address)), times_(times), nonce_(initial_nonce), started_(started) {}

  // Returns the next step towards holding the lease for `needed` from now; on kWrite, send `draft`. `rank`: the number
  // of nodes that precede this one in taking over a free lease.
  LeaseStep Next(Time now, Duration needed, int rank = 0);
  const LeaseRecord& draft() const { return draft_; }

  // Results of the steps. An empty record means that the object does not exist.
  void OnRead(const LeaseRecord& record, Time now);
  void OnReadFailed(Time now);
  void OnWritten(std::int64_t revision);
  // `not_applied`: the write is known not to have taken effect.
  void OnWriteFailed(bool not_applied, Time now);
  // A peer reported this revision of the lease.
  void OnPeerRecord(const LeaseRecord& record, Time now);

  // Marks the lease as wanted for an upcoming action on this node; to be called again until it is held.
  void Want(Time now) { wanted_until_ = now + times_.retry; }
  bool wanted(Time now) const { return now < wanted_until_; }
  // Whether this node holds the lease now and will for `needed` longer.
  bool IsHeldFor(Time now, Duration needed = 0s) const { return holds_ && now + needed < valid_until_; }
  std::int64_t token() const { return token_; }
  // The newest known record, for reports to peers; revision 0: none.
  LeaseRecord known() const { return known_.value_or(LeaseRecord{}); }
  // A receiver has seen a higher fencing token, so this node no longer holds the lease.
  void OnFenced() {
    holds_ = false;
    known_.reset();
  }
  // Called when this node shuts down; it does not act under the lease afterwards. Returns the record to write so that
  // others can take over without waiting, or nothing if this node does not hold the lease.
  std::optional<LeaseRecord> Resign();
  void OnResigned(std::int64_t revision, Time now);

 private:
  void StartWrite(Time now);
  bool CanTakeOver(Time now, int rank) const;

  std::string node_;
  std::string address_;
  DutyLeaseTimes times_;
  std::uint64_t nonce_;
  Time started_;  // Start of this process.
  LeaseRecord draft_;
  std::optional<LeaseRecord> known_;  // Last record read from the store or received from a peer, with its revision.
  Time record_seen_at_{};
  Time write_sent_{};
  Time valid_until_{};
  Time next_attempt_at_{};
  Time wanted_until_{};
  bool holds_ = false;
  bool call_in_progress_ = false;  // A store call is in progress.
  bool write_unresolved_ = false;  // A write of this node may have taken effect.
  bool resigned_ = false;
  std::int64_t token_ = 0;
};

}  // namespace saltquay::serving
