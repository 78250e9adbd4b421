#include "src/core/serving/duty_lease.h"

#include <algorithm>

namespace saltquay::serving {

LeaseStep DutyLease::Next(Time now, Duration needed, int rank) {
  if (resigned_ || call_in_progress_ || IsHeldFor(now, needed) || now < next_attempt_at_) return LeaseStep::kNone;
  if (!write_unresolved_ && !known_ && now < started_ + std::min(rank, times_.max_takeover_rank) * times_.rank_delay)
    return LeaseStep::kNone;
  if (write_unresolved_ || !known_) {
    call_in_progress_ = true;
    return LeaseStep::kRead;
  }
  if (!holds_ && !CanTakeOver(now, rank)) return LeaseStep::kNone;
  StartWrite(now);
  return LeaseStep::kWrite;
}

// Whether this node may try to replace the record. The conditional write fails if the record has changed since.
bool DutyLease::CanTakeOver(Time now, int rank) const {
  const Duration rank_delay = std::min(rank, times_.max_takeover_rank) * times_.rank_delay;
  const Duration unchanged = now - record_seen_at_;
  if (known_->revision == 0) return unchanged >= rank_delay;
  const bool same_machine = !address_.empty() && known_->holder == node_ && known_->address == address_;
  if (same_machine) return true;
  if (known_->holder.empty()) {
    // This node may itself have held the lease before the holder that resigned.
    const Time quiet_since = std::max(started_, valid_until_);
    return unchanged >= rank_delay && now - quiet_since >= times_.lease + times_.margin;
  }
  return unchanged >= times_.lease + times_.window + times_.margin + rank_delay;
}

void DutyLease::StartWrite(Time now) {
  call_in_progress_ = true;
  write_sent_ = now;
  draft_ = LeaseRecord{node_, address_, ++nonce_, holds_ ? token_ : 0, known_ ? known_->revision : 0};
}

void DutyLease::OnRead(const LeaseRecord& record, Time now) {
  call_in_progress_ = false;
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
  call_in_progress_ = false;
  next_attempt_at_ = now + times_.retry;
}

void DutyLease::OnWritten(std::int64_t revision) {
  call_in_progress_ = false;
  holds_ = !resigned_;
  token_ = draft_.token != 0 ? draft_.token : revision;
  valid_until_ = write_sent_ + times_.window;
  known_ = draft_;
  known_->revision = revision;
  record_seen_at_ = write_sent_;
}

void DutyLease::OnWriteFailed(bool not_applied, Time now) {
  call_in_progress_ = false;
  holds_ = false;
  next_attempt_at_ = now + times_.retry;
  if (not_applied) {
    known_.reset();  // Another write succeeded, or the store rejected ours. Read the record again.
  } else {
    write_unresolved_ = true;
  }
}

void DutyLease::OnPeerRecord(const LeaseRecord& record, Time now) {
  if (call_in_progress_ || write_unresolved_ || record.revision <= known().revision) return;
  holds_ = false;
  known_ = record;
  record_seen_at_ = now;
}

std::optional<LeaseRecord> DutyLease::Resign() {
  resigned_ = true;
  const bool may_write = holds_ && !call_in_progress_ && known_;
  holds_ = false;
  if (!may_write) return std::nullopt;
  return LeaseRecord{"", "", ++nonce_, 0, known_->revision};
}

void DutyLease::OnResigned(std::int64_t revision, Time now) {
  known_ = LeaseRecord{"", "", nonce_, 0, revision};
  record_seen_at_ = now;
}

}  // namespace saltquay::serving
