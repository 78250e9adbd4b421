#include "src/core/serving/duty_lease.h"

#include <algorithm>

namespace saltquay::serving {

LeaseStep DutyLease::Next(Time now, Duration needed, int rank) {
  if (resigned_ || busy_ || IsHeldFor(now, needed) || now < next_attempt_at_) return LeaseStep::kNone;
  if (!write_unresolved_ && !known_ && now < began_ + std::min(rank, times_.max_takeover_rank) * times_.turn)
    return LeaseStep::kNone;
  if (write_unresolved_ || !known_) {
    busy_ = true;
    return LeaseStep::kRead;
  }
  if (!holds_ && !MayTake(now, rank)) return LeaseStep::kNone;
  StartWrite(now);
  return LeaseStep::kWrite;
}

// Whether the record may be replaced by this node's, if it is still the last one: the conditional write tells.
bool DutyLease::MayTake(Time now, int rank) const {
  const Duration turn = std::min(rank, times_.max_takeover_rank) * times_.turn;
  const Duration unchanged = now - record_seen_at_;
  if (known_->revision == 0) return unchanged >= turn;
  const bool same_machine = !address_.empty() && known_->holder == node_ && known_->address == address_;
  if (same_machine) return true;
  if (known_->holder.empty()) {
    // This node may have been the holder before the one that gave up.
    const Time quiet_since = std::max(began_, valid_until_);
    return unchanged >= turn && now - quiet_since >= times_.lease + times_.slack;
  }
  return unchanged >= times_.lease + times_.window + times_.slack + turn;
}

void DutyLease::StartWrite(Time now) {
  busy_ = true;
  write_sent_ = now;
  draft_ = LeaseRecord{node_, address_, ++nonce_, holds_ ? token_ : 0, known_ ? known_->revision : 0};
}

void DutyLease::OnRead(const LeaseRecord& record, Time now) {
  busy_ = false;
  const bool ours = record.holder == node_ && record.nonce == draft_.nonce && record.revision > 0;
  if (write_unresolved_ && ours) {
    holds_ = true;
    token_ = record.token != 0 ? record.token : record.revision;
    valid_until_ = write_sent_ + times_.window;
  } else if (!ours) {
    holds_ = false;
  }
  write_unresolved_ = false;
  if (!known_ || known_->revision != record.revision) record_seen_at_ = now;
  known_ = record;
}

void DutyLease::OnReadFailed(Time now) {
  busy_ = false;
  next_attempt_at_ = now + times_.retry;
}

void DutyLease::OnWritten(std::int64_t revision) {
  busy_ = false;
  holds_ = !resigned_;
  token_ = draft_.token != 0 ? draft_.token : revision;
  valid_until_ = write_sent_ + times_.window;
  known_ = draft_;
  known_->revision = revision;
  record_seen_at_ = write_sent_;
}

void DutyLease::OnWriteFailed(bool settled, Time now) {
  busy_ = false;
  holds_ = false;
  next_attempt_at_ = now + times_.retry;
  if (settled) {
    known_.reset();  // Another write won, or none was possible: look again.
  } else {
    write_unresolved_ = true;
  }
}

void DutyLease::OnPeerRecord(const LeaseRecord& record, Time now) {
  if (busy_ || write_unresolved_ || record.revision <= known().revision) return;
  holds_ = false;
  known_ = record;
  record_seen_at_ = now;
}

std::optional<LeaseRecord> DutyLease::Resign() {
  resigned_ = true;
  const bool may_write = holds_ && !busy_ && known_;
  holds_ = false;
  if (!may_write) return std::nullopt;
  return LeaseRecord{"", "", ++nonce_, 0, known_->revision};
}

void DutyLease::OnResigned(std::int64_t revision, Time now) {
  known_ = LeaseRecord{"", "", nonce_, 0, revision};
  record_seen_at_ = now;
}

}  // namespace saltquay::serving
