// One recorder's share of the at-most-once records.
//
// Protocol: before non-repeatable work is sent, its dispatcher claims the key
// at the key's recorders; two of three must grant. A recorder grants one claim
// to a key and remembers it for record_window. It answers only in the view
// that it has adopted, only in contact with a majority of that view's seats,
// and only once it has the records that a quorum of the key's recorders held
// in each predecessor view. Safe because any two quorums of a key's recorders
// share one, within a view and from one view to the next. Where a quorum's
// memory is lost for good, the recorder waits until every record that it could
// have held is past its window.
//
// Not thread-safe; owned by Node.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/core/authority/view.h"
#include "src/core/context.h"

namespace saltquay {

class RecordKeeper {
 public:
  void OnView(NodeContext& context, const View& view);
  // From now on nothing is recorded in views below `view`.
  void SealBelow(std::uint64_t view) { sealed_below_ = std::max(sealed_below_, view); }
  // Asks for records still missing; forgets those past their window.
  void OnTick(NodeContext& context);

  ClaimReply OnClaim(const NodeContext& context, const ClaimRequest& request, bool in_contact);
  void OnRelease(const ClaimRelease& release);
  void OnOutcome(const NodeContext& context, const RecordClaim& claim);
  RecordTransfer OnTransferRequest(const NodeContext& context, const NodeIncarnation& sender,
                                   const RecordTransferRequest& request);
  void OnTransfer(NodeContext& context, const NodeIncarnation& sender, const RecordTransfer& transfer);

  // The highest view whose earlier records this node has all taken over.
  std::uint64_t settled_view() const { return settled_view_; }
  std::size_t record_count() const { return records_.size(); }

 private:
  struct Record {
    RecordClaim claim;
    Time recorded_at{};
  };

  bool IsReady(const NodeContext& context, const std::string& key) const;
  bool WindowPassed(const NodeContext& context, const MemberSet& predecessor) const;
  bool AllZonesButOneTransferred(const MemberSet& set) const;
  void Remember(const NodeContext& context, const RecordClaim& claim);
  void Erase(const std::string& key, const ClaimId& claim);
  void CheckSettled(NodeContext& context);
  void Forget(const NodeContext& context);

  View view_;
  std::map<std::uint64_t, Time> replaced_since_;  // By number of predecessor.
  std::uint64_t sealed_below_ = 0;
  std::uint64_t settled_view_ = 0;
  std::set<NodeIncarnation> transferred_;  // Members of predecessors whose records are here.
  std::set<NodeIncarnation> lost_;         // Members whose memory is gone.
  Time next_transfer_request_{};
  // Several claims to one key may be known; any of them blocks others.
  std::map<std::string, std::vector<Record>> records_;
  std::deque<std::pair<Time, std::string>> expiry_;
};

}  // namespace saltquay
