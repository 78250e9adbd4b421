#include "src/core/authority/view.h"

#include <algorithm>
#include <map>
#include <set>

#include <nlohmann/json.hpp>

#include "src/base/bounded_json.h"
#include "src/base/json_numbers.h"

#include "src/base/hash.h"

namespace saltquay {
namespace {

using Json = nlohmann::json;

absl::Status Corrupt(const std::string& cause) {
  return MakeError(ErrorKind::kCorrupt, "the view does not parse; restore it: " + cause);
}

std::uint64_t RankOf(std::uint64_t key_hash, const ViewMember& member) {
  return HashPair(key_hash, HashPair(member.node.node.value, member.node.boot.value));
}

Json MemberSetToJson(const MemberSet& set) {
  Json members = Json::array();
  for (const ViewMember& member : set.members) {
    members.push_back({member.node.node.value, member.node.boot.value, member.zone.value});
  }
  Json seats = Json::array();
  for (const NodeIncarnation& seat : set.seats) seats.push_back({seat.node.value, seat.boot.value});
  return {{"number", set.number}, {"members", members}, {"seats", seats}};
}

MemberSet MemberSetFromJson(const Json& json) {
  MemberSet set;
  set.number = ReadInteger<std::uint64_t>(json.at("number"));
  for (const Json& row : json.at("members")) {
    const NodeIncarnation node{NodeId{ReadInteger<std::uint32_t>(row.at(0))},
                               BootId{ReadInteger<std::uint64_t>(row.at(1))}};
    set.members.push_back(ViewMember{node, ZoneId{ReadInteger<std::uint32_t>(row.at(2))}});
  }
  for (const Json& row : json.at("seats")) {
    set.seats.push_back({NodeId{ReadInteger<std::uint32_t>(row.at(0))}, BootId{ReadInteger<std::uint64_t>(row.at(1))}});
  }
  return set;
}

}  // namespace

bool MemberSet::HasMember(const NodeIncarnation& node) const {
  return std::any_of(members.begin(), members.end(), [&](const ViewMember& member) { return member.node == node; });
}

bool MemberSet::HasSeat(const NodeIncarnation& node) const {
  return std::find(seats.begin(), seats.end(), node) != seats.end();
}

std::vector<NodeIncarnation> RecordersOf(const MemberSet& set, const std::string& key) {
  const std::uint64_t key_hash = HashText(key);
  std::vector<std::pair<std::uint64_t, const ViewMember*>> ranked;
  for (const ViewMember& member : set.members) ranked.emplace_back(RankOf(key_hash, member), &member);
  std::sort(ranked.begin(), ranked.end(), [](const auto& left, const auto& right) {
    return left.first != right.first ? left.first > right.first : *left.second < *right.second;
  });
  std::vector<NodeIncarnation> recorders;
  std::set<ZoneId> zones;
  for (const auto& [rank, member] : ranked) {
    if (recorders.size() < kRecordersPerKey && zones.insert(member->zone).second) recorders.push_back(member->node);
  }
  for (const auto& [rank, member] : ranked) {
    const bool chosen = std::find(recorders.begin(), recorders.end(), member->node) != recorders.end();
    if (recorders.size() < kRecordersPerKey && !chosen) recorders.push_back(member->node);
  }
  return recorders;
}

std::vector<NodeIncarnation> ChooseSeats(const std::vector<ViewMember>& members,
                                         const std::vector<NodeIncarnation>& previous, std::size_t count) {
  // An even number bears no more failures than the odd one below it.
  std::size_t wanted = std::min(count, members.size());
  if (wanted % 2 == 0 && wanted > 0) --wanted;
  std::vector<NodeIncarnation> seats;
  std::map<ZoneId, std::size_t> seats_in_zone;
  for (const ViewMember& member : members) {
    seats_in_zone.try_emplace(member.zone, 0);
    const bool had_seat = std::find(previous.begin(), previous.end(), member.node) != previous.end();
    if (!had_seat || seats.size() >= wanted) continue;
    seats.push_back(member.node);
    seats_in_zone[member.zone] += 1;
  }
  while (seats.size() < wanted) {
    const ViewMember* best = nullptr;
    for (const ViewMember& member : members) {
      if (std::find(seats.begin(), seats.end(), member.node) != seats.end()) continue;
      if (best == nullptr || seats_in_zone[member.zone] < seats_in_zone[best->zone]) best = &member;
    }
    seats.push_back(best->node);
    seats_in_zone[best->zone] += 1;
  }
  std::sort(seats.begin(), seats.end());
  return seats;
}

std::string SerializeView(const View& view, const std::string& nonce) {
  Json predecessors = Json::array();
  for (const MemberSet& set : view.predecessors) predecessors.push_back(MemberSetToJson(set));
  return Json{{"current", MemberSetToJson(view.current)}, {"predecessors", predecessors}, {"nonce", nonce}}.dump();
}

absl::StatusOr<View> ParseView(const std::string& text) {
  try {
    const absl::StatusOr<Json> parsed = ParseBoundedJson(text);
    if (!parsed.ok()) return Corrupt(MessageOf(parsed.status()));
    const Json& json = *parsed;
    View view;
    view.current = MemberSetFromJson(json.at("current"));
    for (const Json& row : json.at("predecessors")) view.predecessors.push_back(MemberSetFromJson(row));
    if (view.current.number == 0 || view.current.seats.empty()) {
      return MakeError(ErrorKind::kCorrupt, "the view has no number or no seats; restore it from the store's history");
    }
    return view;
  } catch (const Json::exception& error) {
    return Corrupt(error.what());
  }
}

}  // namespace saltquay
