#include "src/core/authority/lease_keeper.h"

#include <algorithm>

#include <fmt/format.h>

namespace saltquay {
namespace {

constexpr Duration kRoundTimeout = 300ms;
// A ballot is (counter, node id), so that no two nodes ever use the same.
constexpr std::uint64_t kBallotNodeBits = 1 << 20;

}  // namespace

void LeaseKeeper::OnView(NodeContext& context, const View& view) {
  if (phase_ == Phase::kHolding) {
    context.Log(EventId::kLeaseLost, fmt::format("view {} replaced by {}", view_.current.number, view.current.number));
  }
  view_ = view;
  has_seat_ = view.current.HasSeat(context.self().incarnation);
  phase_ = Phase::kIdle;
  sealed_ = view.predecessors.empty();
  seals_.clear();
  highest_ballot_seen_ = 0;
  held_until_ = Time{};
  BackOff(context);
}

void LeaseKeeper::NoteLeaderInView(const LeaderHint& hint) {
  if (hint.view != view_.current.number) return;
  sealed_ = true;
  highest_ballot_seen_ = std::max(highest_ballot_seen_, hint.ballot);
}

bool LeaseKeeper::Holds(const NodeContext& context, Duration remaining) const {
  return HoldsAt(context.now() + remaining);
}

void LeaseKeeper::BackOff(NodeContext& context) {
  next_try_ = context.now() + context.random().DurationBelow(context.parameters().candidate_jitter);
}

void LeaseKeeper::Advance(NodeContext& context, LeaseVoter& voter) {
  if (!has_seat_) return;
  switch (phase_) {
    case Phase::kIdle:
      return Idle(context, voter);
    case Phase::kSealing:
      if (context.now() >= next_try_) SendSeals(context, voter);
      return CheckSealed(context);
    case Phase::kWaiting:
      if (context.now() < wait_until_) return;
      sealed_ = true;
      context.Log(EventId::kViewSealed, fmt::format("predecessors of view {}", view_.current.number));
      return BeginRequest(context, voter);
    case Phase::kRequesting:
      return CheckRequestTimeout(context, voter);
    case Phase::kHolding:
      return KeepHolding(context, voter);
  }
}

void LeaseKeeper::Idle(NodeContext& context, const LeaseVoter& voter) {
  if (voter.LeaseInForce(context)) {
    BackOff(context);
    return;
  }
  if (context.now() < next_try_) return;
  if (sealed_) {
    phase_ = Phase::kRequesting;
    round_sent_at_ = Time{};
    return;
  }
  phase_ = Phase::kSealing;
  wait_until_ = context.now();
}

void LeaseKeeper::SendSeals(NodeContext& context, LeaseVoter& voter) {
  next_try_ = context.now() + kRoundTimeout;
  for (const MemberSet& set : view_.predecessors) {
    for (const NodeIncarnation& seat : set.seats) {
      const SealRequest request{set.number, view_.current.number};
      if (seat == context.self().incarnation) {
        OnSealReply(context, seat, voter.OnSeal(context, request));
      } else if (!seals_[set.number].replied.contains(seat)) {
        context.SendTo(seat, request);
      }
    }
  }
}

void LeaseKeeper::OnSealReply(NodeContext& context, const NodeIncarnation& sender, const SealReply& reply) {
  if (phase_ != Phase::kSealing || reply.next_view != view_.current.number) return;
  if (reply.seat_lost) {
    for (const MemberSet& set : view_.predecessors) {
      for (const NodeIncarnation& seat : set.seats) {
        const bool same_machine = seat.node == sender.node && seat.boot < sender.boot;
        if (set.number == reply.sealed_view && same_machine) seals_[set.number].lost.insert(seat);
      }
    }
    return;
  }
  seals_[reply.sealed_view].replied.insert(sender);
  // The rest of the lease runs on the seat's clock; the margin covers its rate.
  wait_until_ = std::max(wait_until_, context.now() + reply.lease_remaining + context.parameters().lease_margin);
}

void LeaseKeeper::CheckSealed(NodeContext& context) {
  bool lost_needed = false;
  for (const MemberSet& set : view_.predecessors) {
    const SealProgress& progress = seals_[set.number];
    if (progress.replied.size() >= set.Majority()) continue;
    std::set<NodeIncarnation> accounted = progress.replied;
    accounted.insert(progress.lost.begin(), progress.lost.end());
    if (accounted.size() < set.Majority()) return;
    lost_needed = true;
  }
  // Nobody remembers what the lost seats promised: wait out the longest lease.
  if (lost_needed) {
    const Duration longest = context.parameters().lease_length + context.parameters().lease_margin;
    wait_until_ = std::max(wait_until_, context.now() + longest);
  }
  phase_ = Phase::kWaiting;
}

void LeaseKeeper::BeginRequest(NodeContext& context, LeaseVoter& voter) {
  const std::uint64_t highest = std::max({highest_ballot_seen_, voter.promised_ballot(), ballot_});
  ballot_ = (highest / kBallotNodeBits + 1) * kBallotNodeBits + context.self().incarnation.node.value;
  phase_ = Phase::kRequesting;
  SendRound(context, voter);
}

void LeaseKeeper::SendRound(NodeContext& context, LeaseVoter& voter) {
  ++round_;
  round_sent_at_ = context.now();
  round_grants_.clear();
  const LeaseRequest request{view_.current.number, ballot_, round_, context.parameters().lease_length};
  for (const NodeIncarnation& seat : view_.current.seats) {
    if (seat == context.self().incarnation) {
      OnLeaseReply(context, seat, voter.OnRequest(context, seat, request, view_.current.number, has_seat_));
    } else {
      context.SendTo(seat, request);
    }
  }
}

void LeaseKeeper::OnLeaseReply(NodeContext& context, const NodeIncarnation& sender, const LeaseReply& reply) {
  if (reply.view != view_.current.number) return;
  highest_ballot_seen_ = std::max(highest_ballot_seen_, reply.promised_ballot);
  const bool in_round = (phase_ == Phase::kRequesting || phase_ == Phase::kHolding) && reply.round == round_ &&
                        reply.ballot == ballot_ && view_.current.HasSeat(sender);
  if (in_round && reply.granted) CountGrant(context, sender);
}

void LeaseKeeper::CountGrant(NodeContext& context, const NodeIncarnation& sender) {
  round_grants_.insert(sender);
  if (round_grants_.size() < view_.current.Majority()) return;
  const Time until = round_sent_at_ + context.parameters().lease_length - context.parameters().lease_margin;
  if (context.now() >= until) return;
  held_until_ = std::max(held_until_, until);
  promised_until_ = held_until_;
  promised_token_ = token();
  if (phase_ == Phase::kHolding) return;
  phase_ = Phase::kHolding;
  context.Log(EventId::kLeaseAcquired, fmt::format("view {} ballot {}", view_.current.number, ballot_));
}

void LeaseKeeper::CheckRequestTimeout(NodeContext& context, LeaseVoter& voter) {
  if (round_sent_at_ == Time{}) return BeginRequest(context, voter);
  if (context.now() - round_sent_at_ < kRoundTimeout) return;
  Release(context, voter);
}

void LeaseKeeper::KeepHolding(NodeContext& context, LeaseVoter& voter) {
  if (context.now() >= held_until_) {
    context.Log(EventId::kLeaseLost, fmt::format("view {} ballot {}", view_.current.number, ballot_));
    phase_ = Phase::kIdle;
    BackOff(context);
    return;
  }
  if (context.now() - round_sent_at_ >= context.parameters().lease_renewal) SendRound(context, voter);
}

void LeaseKeeper::Release(NodeContext& context, LeaseVoter& voter) {
  if (phase_ != Phase::kRequesting && phase_ != Phase::kHolding) return;
  const LeaseRelease release{view_.current.number, ballot_};
  for (const NodeIncarnation& seat : view_.current.seats) {
    if (seat == context.self().incarnation) {
      voter.OnRelease(context, seat, release);
    } else {
      context.SendTo(seat, release);
    }
  }
  phase_ = Phase::kIdle;
  held_until_ = Time{};
  BackOff(context);
}

}  // namespace saltquay
