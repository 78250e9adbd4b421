// The lease under which one node orders engines to change their stage.
//
// Protocol. The lease is one object in the store. Its holder is the node whose
// conditional write made its present revision; that revision is the fencing
// token of the orders (unique and rising). The holder may order for `window`
// from before the write was sent, and renews before it orders again. A node
// takes over only after it has seen one revision unchanged for lease + window +
// slack, so orders of two holders are a lease apart. A write without an answer
// is settled by reading the object back: the nonce tells whose it is.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "src/base/time.h"

namespace saltquay::serving {

struct LeaseRecord {
  std::string holder;
  std::uint64_t nonce = 0;  // Of the write.
  std::int64_t revision = 0;
};

struct RoleLeaseTimes {
  Duration lease = 3s;
  Duration window = 1s;
  Duration slack = 400ms;
  Duration retry = 500ms;
};

enum class LeaseStep { kNone, kRead, kWrite };

class RoleLease {
 public:
  RoleLease(std::string node, const RoleLeaseTimes& times, std::uint64_t seed)
      : node_(std::move(node)), times_(times), nonce_(seed) {}

  // What to do next so that orders may be sent for `needed` from now;
  // kWrite: send `draft`.
  LeaseStep Next(Time now, Duration needed);
  const LeaseRecord& draft() const { return draft_; }

  // Answers; an empty record: there is no such object.
  void OnRead(const LeaseRecord& record, Time now);
  void OnReadFailed(Time now);
  void OnWritten(std::int64_t revision);
  // `settled`: the write certainly did not happen.
  void OnWriteFailed(bool settled, Time now);

  // Whether an order may be sent now.
  bool MayOrder(Time now, Duration needed = 0s) const { return holds_ && now + needed < ordered_until_; }
  std::int64_t token() const { return token_; }
  // The engine saw a higher token: this node is not the holder any more.
  void OnFenced() {
    holds_ = false;
    known_.reset();
  }

 private:
  void StartWrite(Time now);

  std::string node_;
  RoleLeaseTimes times_;
  std::uint64_t nonce_;
  LeaseRecord draft_;
  std::optional<LeaseRecord> known_;  // As last read, with its revision.
  Time known_since_{};
  Time write_sent_{};
  Time ordered_until_{};
  Time not_before_{};
  bool holds_ = false;
  bool busy_ = false;       // A call is under way.
  bool unsettled_ = false;  // A write of ours may have happened.
  std::int64_t token_ = 0;
};

}  // namespace saltquay::serving
