#include "src/core/authority/lease_voter.h"

#include <algorithm>

namespace saltquay {

void LeaseVoter::SealBelow(std::uint64_t view) { sealed_below_ = std::max(sealed_below_, view); }

LeaseReply LeaseVoter::OnRequest(const NodeContext& context, const NodeIncarnation& sender, const LeaseRequest& request,
                                 std::uint64_t adopted_view, bool has_seat) {
  LeaseReply reply{request.view, request.ballot, request.round, false, 0};
  const bool view_fits = has_seat && request.view == adopted_view && request.view >= sealed_below_;
  if (!view_fits) return reply;
  if (view_ != request.view) {
    view_ = request.view;
    promised_ballot_ = 0;
    holder_ = NodeIncarnation{};
  }
  reply.promised_ballot = promised_ballot_;
  const bool held_by_other = LeaseInForce(context) && holder_ != sender;
  if (held_by_other || request.ballot < promised_ballot_) return reply;
  promised_ballot_ = request.ballot;
  holder_ = sender;
  expires_at_ = std::max(expires_at_, context.now() + request.length);
  reply.granted = true;
  reply.promised_ballot = promised_ballot_;
  return reply;
}

void LeaseVoter::OnRelease(const NodeContext& context, const NodeIncarnation& sender, const LeaseRelease& release) {
  const bool own = holder_ == sender && view_ == release.view && promised_ballot_ == release.ballot;
  if (!own) return;
  expires_at_ = context.now();
  holder_ = NodeIncarnation{};
}

SealReply LeaseVoter::OnSeal(const NodeContext& context, const SealRequest& request) {
  SealBelow(request.next_view);
  const Duration remaining = LeaseInForce(context) ? expires_at_ - context.now() : Duration{0};
  return SealReply{request.sealed_view, request.next_view, false, remaining};
}

}  // namespace saltquay
