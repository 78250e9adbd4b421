#include "src/core/serving/member_rotation.h"

#include <algorithm>
#include <set>

namespace saltquay::serving {
namespace {

constexpr std::size_t kMaxNewMembers = 64;

}  // namespace

void MemberRotation::Record(const PeerNode& node, Time now) {
  const auto [entry, added] = members_.try_emplace(node.node);
  if (added) new_members_.push_back({node.node});
  // In a fleet that has just started all nodes are new, and the rotation lists them as well.
  if (new_members_.size() > kMaxNewMembers) new_members_.pop_front();
  const Time heard_at = now - node.age;
  if (heard_at >= entry->second.heard_at) entry->second = {node, heard_at};
}

void MemberRotation::Expire(Time now, Duration base, Duration per_node) {
  const Duration expiry = base + per_node * static_cast<int>(members_.size());
  std::erase_if(members_, [&](const auto& entry) { return now - entry.second.heard_at > expiry; });
}

std::vector<PeerNode> MemberRotation::Next(std::size_t max_count, Time now) {
  std::vector<PeerNode> listed;
  std::set<std::string> names;
  const auto list = [&](const Member& member) {
    if (!names.insert(member.node.node).second) return;
    listed.push_back(member.node);
    listed.back().age = now - member.heard_at;
  };
  for (std::size_t i = std::min(new_members_.size(), max_count / 2); i > 0; --i) {
    NewMember next = std::move(new_members_.front());
    new_members_.pop_front();
    const auto member = members_.find(next.name);
    if (member == members_.end()) continue;
    list(member->second);
    if (--next.listings_left > 0) new_members_.push_back(std::move(next));
  }
  for (std::size_t i = 0; i < members_.size() && listed.size() < max_count; ++i) {
    auto next = members_.upper_bound(last_listed_);
    if (next == members_.end()) next = members_.begin();
    last_listed_ = next->first;
    list(next->second);
  }
  return listed;
}

std::vector<PeerNode> MemberRotation::All(Time now) const {
  std::vector<PeerNode> all;
  all.reserve(members_.size());
  for (const auto& [name, member] : members_) {
    all.push_back(member.node);
    all.back().age = now - member.heard_at;
  }
  return all;
}

}  // namespace saltquay::serving
