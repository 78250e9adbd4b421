// One seat's vote: who holds the lease, as far as this seat promised.
//
// Protocol: a seat grants the lease to one holder at a time and counts it from
// the moment the request arrives, later than the holder counts it. It holds
// its promises in memory only: a restarted node is a new incarnation and has
// no seat until the next view, so it never votes on memory that it lost.
// Sealing a view makes the seat refuse every later request in it.
#pragma once

#include <cstdint>

#include "src/core/context.h"

namespace saltquay {

class LeaseVoter {
 public:
  // `view` is the view this node has adopted, in which it has a seat or not.
  LeaseReply OnRequest(const NodeContext& context, const NodeIncarnation& sender, const LeaseRequest& request,
                       std::uint64_t adopted_view, bool has_seat);
  void OnRelease(const NodeContext& context, const NodeIncarnation& sender, const LeaseRelease& release);
  SealReply OnSeal(const NodeContext& context, const SealRequest& request);

  // From now on nothing is granted below `view`.
  void SealBelow(std::uint64_t view);

  // True while a lease granted by this seat may be in force.
  bool LeaseInForce(const NodeContext& context) const { return context.now() < expires_at_; }
  std::uint64_t promised_ballot() const { return promised_ballot_; }

 private:
  std::uint64_t sealed_below_ = 0;
  std::uint64_t view_ = 0;
  std::uint64_t promised_ballot_ = 0;
  NodeIncarnation holder_;
  Time expires_at_{};
};

}  // namespace saltquay
