#include "src/core/serving/role_lease.h"

namespace saltquay::serving {

LeaseStep RoleLease::Next(Time now, Duration needed) {
  if (busy_ || MayOrder(now, needed) || now < not_before_) return LeaseStep::kNone;
  const bool own = known_ && holds_;
  const bool free = known_ && known_->revision == 0;
  const bool lapsed = known_ && now - known_since_ >= times_.lease + times_.window + times_.slack;
  if (unsettled_ || !known_) {
    busy_ = true;
    return LeaseStep::kRead;
  }
  if (own || free) {
    StartWrite(now);
    return LeaseStep::kWrite;
  }
  if (!lapsed) {
    not_before_ = now + times_.retry;
    return LeaseStep::kNone;
  }
  // Seen unchanged long enough only if it still is: the conditional write tells.
  StartWrite(now);
  return LeaseStep::kWrite;
}

void RoleLease::StartWrite(Time now) {
  busy_ = true;
  write_sent_ = now;
  draft_ = LeaseRecord{node_, ++nonce_, known_ ? known_->revision : 0};
}

void RoleLease::OnRead(const LeaseRecord& record, Time now) {
  busy_ = false;
  const bool ours = record.holder == node_ && record.nonce == draft_.nonce && record.revision > 0;
  if (unsettled_ && ours) {
    holds_ = true;
    token_ = record.revision;
    ordered_until_ = write_sent_ + times_.window;
  } else if (!ours) {
    holds_ = false;
  }
  unsettled_ = false;
  if (!known_ || known_->revision != record.revision) known_since_ = now;
  known_ = record;
}

void RoleLease::OnReadFailed(Time now) {
  busy_ = false;
  not_before_ = now + times_.retry;
}

void RoleLease::OnWritten(std::int64_t revision) {
  busy_ = false;
  holds_ = true;
  token_ = revision;
  ordered_until_ = write_sent_ + times_.window;
  known_ = draft_;
  known_->revision = revision;
  known_since_ = write_sent_;
}

void RoleLease::OnWriteFailed(bool settled, Time now) {
  busy_ = false;
  holds_ = false;
  not_before_ = now + times_.retry;
  if (settled) {
    known_.reset();  // Another write won, or none was possible: look again.
  } else {
    unsettled_ = true;
  }
}

}  // namespace saltquay::serving
