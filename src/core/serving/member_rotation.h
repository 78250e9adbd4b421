// Lists a bounded number of known nodes in each message, so that all of them are listed in turn and new ones at once.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "src/core/serving/peer_table.h"

namespace saltquay::serving {

class MemberRotation {
 public:
  // Records that the node was heard `node.age` ago, from the node itself or from a listing.
  void Record(const PeerNode& node, Time now);
  // Forgets nodes that were not heard for `base` plus `per_node` for each known node.
  void Expire(Time now, Duration base, Duration per_node);
  // The nodes to list next: at most half of them new ones, each of which is listed twice, and the others in turn.
  std::vector<PeerNode> Next(std::size_t max_count, Time now);
  // All nodes, with their ages.
  std::vector<PeerNode> All(Time now) const;
  std::size_t size() const { return members_.size(); }

 private:
  struct Member {
    PeerNode node;
    Time heard_at{};
  };
  struct NewMember {
    std::string name;
    int listings_left = 2;
  };

  std::map<std::string, Member> members_;
  std::deque<NewMember> new_members_;
  std::string last_listed_;  // The rotation goes on after this name.
};

}  // namespace saltquay::serving
