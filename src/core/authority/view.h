// The view: which node incarnations vote on leases (seats) and which keep
// at-most-once records (members), as one numbered object in the store.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/base/status.h"
#include "src/core/types.h"

namespace saltquay {

struct ViewMember {
  NodeIncarnation node;
  ZoneId zone;
  auto operator<=>(const ViewMember&) const = default;
};

// Members and seats of one view number.
struct MemberSet {
  std::uint64_t number = 0;
  std::vector<ViewMember> members;     // Sorted.
  std::vector<NodeIncarnation> seats;  // Some of the members.

  bool HasMember(const NodeIncarnation& node) const;
  bool HasSeat(const NodeIncarnation& node) const;
  // Seats needed for a majority.
  std::size_t Majority() const { return seats.size() / 2 + 1; }
  bool operator==(const MemberSet&) const = default;
};

// The view in force, and the earlier ones whose leases or records may not yet
// have been taken over.
struct View {
  MemberSet current;
  std::vector<MemberSet> predecessors;  // Ascending by number.
  bool operator==(const View&) const = default;
};

inline constexpr std::size_t kRecordersPerKey = 3;

// The members that keep the record of `key`: by rendezvous hashing, one in
// each of three zones; fewer zones are topped up from the members left. Two
// of three must agree, or a majority of however many there are.
std::vector<NodeIncarnation> RecordersOf(const MemberSet& set, const std::string& key);
// How many of `recorder_count` recorders must agree.
inline std::size_t RecorderQuorum(std::size_t recorder_count) { return recorder_count / 2 + 1; }

// Picks an odd number of up to `count` seats among `members`, spread over the zones. Keeps the
// seats of `previous` that are still members.
std::vector<NodeIncarnation> ChooseSeats(const std::vector<ViewMember>& members,
                                         const std::vector<NodeIncarnation>& previous, std::size_t count);

// The store's form: JSON with the writer's nonce.
std::string SerializeView(const View& view, const std::string& nonce);
// Errors are kCorrupt.
absl::StatusOr<View> ParseView(const std::string& text);

}  // namespace saltquay
