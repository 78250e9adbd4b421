// Obtains and keeps the cell's lease: the right to order engines.
//
// Protocol: a seat that sees no lease in force waits a random while, seals a
// majority of every predecessor view, waits until no lease that those seats
// granted can be in force, then asks the seats of its own view with a ballot
// above every one promised. With a majority it holds the lease until
// (moment before the request was sent) + length - margin, and renews it.
// Safe because two majorities of one view share a seat, which grants to one
// holder at a time and counts the lease from later than the holder does; and
// because a view acts only after a majority of its predecessors is sealed.
// The margin covers clocks whose rates differ by up to 5%.
//
// Not thread-safe; owned by Node.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "src/core/authority/lease_voter.h"
#include "src/core/authority/view.h"
#include "src/core/context.h"

namespace saltquay {

class LeaseKeeper {
 public:
  enum class Phase { kIdle, kSealing, kWaiting, kRequesting, kHolding };

  // Starts over in a view just adopted.
  void OnView(NodeContext& context, const View& view);
  // `lost_seats`: whether the memory of a seat is known to be gone.
  template <typename IsLost>
  void OnTick(NodeContext& context, LeaseVoter& voter, const IsLost& is_lost) {
    NoteLostSeats(is_lost);
    Advance(context, voter);
  }
  void OnLeaseReply(NodeContext& context, const NodeIncarnation& sender, const LeaseReply& reply);
  void OnSealReply(NodeContext& context, const NodeIncarnation& sender, const SealReply& reply);

  // Gives the lease up on purpose.
  void Release(NodeContext& context, LeaseVoter& voter);

  // True while the lease surely lasts at least `remaining` longer.
  bool Holds(const NodeContext& context, Duration remaining = Duration{0}) const;
  bool HoldsAt(Time now) const { return phase_ == Phase::kHolding && now < held_until_; }
  // The last lease that the seats promised, while that promise lasts, even if
  // this node has stepped down since. For checkers.
  std::optional<FenceToken> PromisedAt(Time now) const {
    return now < promised_until_ ? std::optional<FenceToken>(promised_token_) : std::nullopt;
  }
  // Identity of the present lease; sequence 0. Only while Holds().
  FenceToken token() const { return FenceToken{view_.current.number, ballot_, 0}; }
  // True once in this view a lease was obtained by this node.
  bool sealed() const { return sealed_; }
  // Learns that some leader has acted in this view, so predecessors are sealed.
  void NoteLeaderInView(const LeaderHint& hint);

 private:
  struct SealProgress {
    std::set<NodeIncarnation> replied;
    std::set<NodeIncarnation> lost;
  };

  template <typename IsLost>
  void NoteLostSeats(const IsLost& is_lost) {
    if (phase_ != Phase::kSealing) return;
    for (const MemberSet& set : view_.predecessors) {
      for (const NodeIncarnation& seat : set.seats) {
        if (is_lost(seat)) seals_[set.number].lost.insert(seat);
      }
    }
  }

  void Advance(NodeContext& context, LeaseVoter& voter);
  void Idle(NodeContext& context, const LeaseVoter& voter);
  void BeginSealing(NodeContext& context, LeaseVoter& voter);
  void SendSeals(NodeContext& context, LeaseVoter& voter);
  void CheckSealed(NodeContext& context);
  void BeginRequest(NodeContext& context, LeaseVoter& voter);
  void SendRound(NodeContext& context, LeaseVoter& voter);
  void CountGrant(NodeContext& context, const NodeIncarnation& sender);
  void CheckRequestTimeout(NodeContext& context, LeaseVoter& voter);
  void KeepHolding(NodeContext& context, LeaseVoter& voter);
  void BackOff(NodeContext& context);

  View view_;
  Phase phase_ = Phase::kIdle;
  bool has_seat_ = false;
  bool sealed_ = false;
  std::map<std::uint64_t, SealProgress> seals_;
  Time wait_until_{};
  Time next_try_{};
  std::uint64_t ballot_ = 0;
  std::uint64_t highest_ballot_seen_ = 0;
  std::uint64_t round_ = 0;
  Time round_sent_at_{};
  std::set<NodeIncarnation> round_grants_;
  Time held_until_{};
  FenceToken promised_token_;
  Time promised_until_{};
};

}  // namespace saltquay
