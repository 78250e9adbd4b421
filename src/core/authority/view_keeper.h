// Proposes new views as nodes come and go.
//
// Protocol: any member that is in contact with a majority of the present
// seats, and sees that the members differ from the nodes alive, writes the
// next view to the store by compare-and-swap. Where only seats in contact and
// seats lost for good make up a majority, the lowest alive node does so. A losing writer
// adopts the winner's view. A new view lists as predecessors every earlier one
// that some member has not taken over yet, so no lease or record is forgotten.
//
// With the store down no view changes: leases and records go on within the
// present view for as long as a majority of it stays.
//
// Not thread-safe; owned by Node.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/core/authority/view.h"
#include "src/core/context.h"
#include "src/core/dissemination/settled_write.h"
#include "src/core/membership/membership.h"

namespace saltquay {

inline constexpr char kViewKey[] = "view";

// What the keeper needs to know of the rest of the node.
struct ViewSituation {
  const Membership* membership = nullptr;
  std::set<NodeId> leaving;  // Machines that the list shows as leaving.
  std::set<NodeId> listed;   // Node machines in the list.
  bool list_known = false;
  bool is_leader = false;
  bool leader_known = false;  // A leader has acted in the present view.
  bool all_settled = false;   // Every alive member has taken over the records.
};

class ViewKeeper {
 public:
  const View& view() const { return view_; }
  bool has_view() const { return view_.current.number != 0; }
  bool is_member(const NodeContext& context) const;
  // When the present view was adopted.
  Time adopted_at() const { return adopted_at_; }

  // Takes a view from a peer or the store if it is newer.
  bool Adopt(NodeContext& context, const View& view);

  void OnTick(NodeContext& context, const ViewSituation& situation);

  // Returns true when the answer was for this component. A view that was
  // read or written is in `learned`, for the caller to adopt and spread.
  bool OnStoreAnswer(NodeContext& context, const StoreAnswered& answer, std::optional<View>* learned);

  // True when a majority of the present seats was heard within contact_timeout.
  bool InContact(const NodeContext& context, const Membership& membership) const;
  // True when the memory of `seat` is gone: replaced by a newer run, or its
  // machine is no longer listed for longer than the longest promise.
  bool IsLost(const NodeContext& context, const NodeIncarnation& seat, const ViewSituation& situation);

 private:
  // The store's version of the present view.
  struct ReadDone {
    std::uint64_t version = 0;
    Time at{};
  };

  std::vector<ViewMember> WantedMembers(const NodeContext& context, const ViewSituation& situation) const;
  bool MayPropose(const NodeContext& context, const ViewSituation& situation);
  // True when a majority of the seats is in contact or lost for good.
  bool MajorityAccounted(const NodeContext& context, const ViewSituation& situation);
  View NextView(const std::vector<ViewMember>& members, const ViewSituation& situation, std::size_t seat_count) const;
  void WriteProposal(NodeContext& context);

  View view_;
  Time adopted_at_{};
  std::vector<ViewMember> wanted_;
  Time wanted_since_{};
  Time next_proposal_{};
  std::optional<StoreOperationId> read_;
  std::optional<SettledWrite> write_;
  std::optional<View> proposal_;
  std::optional<ReadDone> read_done_;
  std::map<NodeIncarnation, Time> unlisted_since_;
};

}  // namespace saltquay
