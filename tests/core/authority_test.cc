// Views, seats, votes and leases.
#include <algorithm>
#include <map>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/core/authority/lease_keeper.h"
#include "src/core/authority/lease_voter.h"
#include "src/core/authority/view.h"
#include "tests/support/core_fixture.h"

namespace saltquay {
namespace {

std::vector<ViewMember> Members(int zones, int per_zone) {
  std::vector<ViewMember> members;
  std::uint32_t id = 0;
  for (int zone = 0; zone < zones; ++zone) {
    for (int i = 0; i < per_zone; ++i) {
      members.push_back({Incarnation(++id), ZoneId{static_cast<std::uint32_t>(zone + 1)}});
    }
  }
  return members;
}

View ViewOf(std::uint64_t number, const std::vector<ViewMember>& members) {
  View view;
  view.current.number = number;
  view.current.members = members;
  view.current.seats = ChooseSeats(members, {}, 5);
  return view;
}

RC_GTEST_PROP(FenceTokenProperty, OrderIsLexicographic, ()) {
  const auto token = [] {
    return FenceToken{*rc::gen::inRange<std::uint64_t>(0, 4), *rc::gen::inRange<std::uint64_t>(0, 4),
                      *rc::gen::inRange<std::uint64_t>(0, 4)};
  };
  const FenceToken a = token();
  const FenceToken b = token();
  const FenceToken c = token();
  RC_ASSERT((a < b) + (b < a) + (a == b) == 1);
  RC_ASSERT(!(a < b && b < c) || a < c);
  RC_ASSERT(!(a.view < b.view) || a < b);
  RC_ASSERT(!(a.view == b.view && a.ballot < b.ballot) || a < b);
}

RC_GTEST_PROP(ViewProperty, SeatsAreOddSpreadAndKept, ()) {
  const int zones = *rc::gen::inRange(1, 6);
  const int per_zone = *rc::gen::inRange(1, 6);
  const std::vector<ViewMember> members = Members(zones, per_zone);
  const std::vector<NodeIncarnation> seats = ChooseSeats(members, {}, 5);
  RC_ASSERT(seats.size() % 2 == 1U);
  RC_ASSERT(seats.size() <= 5U);
  RC_ASSERT(seats.size() >= std::min<std::size_t>(5, members.size()) - 1);
  std::map<ZoneId, int> in_zone;
  for (const ViewMember& member : members) {
    if (std::find(seats.begin(), seats.end(), member.node) != seats.end()) in_zone[member.zone] += 1;
  }
  for (const auto& [zone, count] : in_zone) RC_ASSERT(count <= (5 + zones - 1) / zones + 1);
  RC_ASSERT(ChooseSeats(members, seats, 5) == seats);
}

RC_GTEST_PROP(ViewProperty, RecordersLieInDifferentZonesAndMoveLittle, ()) {
  const std::string key = *rc::gen::arbitrary<std::string>();
  MemberSet set;
  set.members = Members(*rc::gen::inRange(3, 6), *rc::gen::inRange(1, 5));
  const std::vector<NodeIncarnation> recorders = RecordersOf(set, key);
  RC_ASSERT(recorders.size() == kRecordersPerKey);
  std::set<ZoneId> zones;
  for (const ViewMember& member : set.members) {
    if (std::find(recorders.begin(), recorders.end(), member.node) != recorders.end()) zones.insert(member.zone);
  }
  RC_ASSERT(zones.size() == kRecordersPerKey);
  // A member that is no recorder may go without any effect on the key.
  const std::size_t gone = *rc::gen::inRange<std::size_t>(0, set.members.size());
  const NodeIncarnation leaver = set.members[gone].node;
  set.members.erase(set.members.begin() + static_cast<std::ptrdiff_t>(gone));
  if (std::find(recorders.begin(), recorders.end(), leaver) != recorders.end()) return;
  RC_ASSERT(RecordersOf(set, key) == recorders);
}

RC_GTEST_PROP(ViewProperty, SerializedViewParsesBack, ()) {
  View view = ViewOf(*rc::gen::inRange<std::uint64_t>(1, 1'000), Members(3, *rc::gen::inRange(1, 4)));
  view.predecessors.push_back(ViewOf(1, Members(3, 1)).current);
  const absl::StatusOr<View> parsed = ParseView(SerializeView(view, "nonce"));
  RC_ASSERT(parsed.ok());
  RC_ASSERT(*parsed == view);
}

TEST(ViewTest, CorruptTextIsATypedError) {
  for (const char* text :
       {"", "{}", "[1]", "{\"current\":{\"number\":0,\"members\":[],\"seats\":[]},\"predecessors\":[]}"}) {
    const absl::StatusOr<View> view = ParseView(text);
    ASSERT_FALSE(view.ok()) << text;
    EXPECT_EQ(KindOf(view.status()), ErrorKind::kCorrupt);
  }
}

TEST(LeaseVoterTest, GrantsToOneHolderUntilTheLeaseLapses) {
  TestContext context;
  LeaseVoter voter;
  const LeaseRequest first{1, 10, 1, 1s};
  EXPECT_TRUE(voter.OnRequest(*context, Incarnation(2), first, 1, true).granted);
  const LeaseRequest second{1, 20, 1, 1s};
  EXPECT_FALSE(voter.OnRequest(*context, Incarnation(3), second, 1, true).granted);
  context.Advance(1001ms);
  EXPECT_TRUE(voter.OnRequest(*context, Incarnation(3), second, 1, true).granted);
  // The first holder's ballot is below what was promised since.
  context.Advance(1001ms);
  EXPECT_FALSE(voter.OnRequest(*context, Incarnation(2), first, 1, true).granted);
}

TEST(LeaseVoterTest, RefusesWithoutASeatInOtherViewsAndOnceSealed) {
  TestContext context;
  LeaseVoter voter;
  const LeaseRequest request{2, 10, 1, 1s};
  EXPECT_FALSE(voter.OnRequest(*context, Incarnation(2), request, 2, false).granted);
  EXPECT_FALSE(voter.OnRequest(*context, Incarnation(2), request, 1, true).granted);
  EXPECT_TRUE(voter.OnRequest(*context, Incarnation(2), request, 2, true).granted);
  const SealReply sealed = voter.OnSeal(*context, SealRequest{2, 3});
  EXPECT_EQ(sealed.lease_remaining, Duration(1s));
  EXPECT_FALSE(voter.OnRequest(*context, Incarnation(2), request, 2, true).granted);
}

// Carries messages between the lease keepers and voters of some seats.
class LeaseCell {
 public:
  explicit LeaseCell(const View& view) {
    for (const ViewMember& member : view.current.members) {
      const std::uint32_t id = member.node.node.value;
      seats_.emplace(std::piecewise_construct, std::forward_as_tuple(id), std::forward_as_tuple(id));
      seats_.at(id).keeper.OnView(*seats_.at(id).context, view);
      seats_.at(id).view = view.current.number;
    }
  }

  struct Seat {
    explicit Seat(std::uint32_t id) : context(id, Parameters{}, id) {}
    TestContext context;
    LeaseKeeper keeper;
    LeaseVoter voter;
    std::uint64_t view = 0;
    bool silent = false;
  };

  void Step(Duration duration) {
    for (auto& [id, seat] : seats_) {
      seat.context.Advance(duration);
      if (!seat.silent) seat.keeper.OnTick(*seat.context, seat.voter, [](const NodeIncarnation&) { return false; });
    }
    for (int round = 0; round < 3; ++round) Carry();
  }
  std::vector<std::uint32_t> Holders() {
    std::vector<std::uint32_t> holders;
    for (auto& [id, seat] : seats_) {
      if (seat.keeper.Holds(*seat.context)) holders.push_back(id);
    }
    return holders;
  }
  Seat& seat(std::uint32_t id) { return seats_.at(id); }

 private:
  void Carry() {
    std::vector<SendPeer> messages;
    for (auto& [id, seat] : seats_) {
      for (const SendPeer& send : seat.context.Emitted<SendPeer>()) messages.push_back(send);
      seat.context.Clear();
    }
    for (const SendPeer& send : messages) Deliver(send);
  }
  void Deliver(const SendPeer& send) {
    Seat& to = seats_.at(send.to.value);
    if (to.silent || seats_.at(send.message.sender.node.value).silent) return;
    const NodeIncarnation from = send.message.sender;
    if (const auto* request = std::get_if<LeaseRequest>(&send.message.body)) {
      (*to.context).SendTo(from, to.voter.OnRequest(*to.context, from, *request, to.view, true));
    } else if (const auto* reply = std::get_if<LeaseReply>(&send.message.body)) {
      to.keeper.OnLeaseReply(*to.context, from, *reply);
    } else if (const auto* release = std::get_if<LeaseRelease>(&send.message.body)) {
      to.voter.OnRelease(*to.context, from, *release);
    }
  }

  std::map<std::uint32_t, Seat> seats_;
};

TEST(LeaseKeeperTest, OneSeatLeadsAndAnotherTakesOverWhenItFallsSilent) {
  LeaseCell cell(ViewOf(1, Members(3, 1)));
  for (int i = 0; i < 40; ++i) cell.Step(50ms);
  ASSERT_EQ(cell.Holders().size(), 1U);
  const std::uint32_t first = cell.Holders().front();
  cell.seat(first).silent = true;
  std::vector<std::uint32_t> holders;
  for (int i = 0; i < 120; ++i) {
    cell.Step(50ms);
    EXPECT_LE(cell.Holders().size(), 1U);
    holders = cell.Holders();
  }
  ASSERT_EQ(holders.size(), 1U);
  EXPECT_NE(holders.front(), first);
}

TEST(LeaseKeeperTest, NobodyLeadsWithoutAMajority) {
  LeaseCell cell(ViewOf(1, Members(3, 1)));
  cell.seat(1).silent = true;
  cell.seat(2).silent = true;
  for (int i = 0; i < 100; ++i) {
    cell.Step(50ms);
    EXPECT_TRUE(cell.Holders().empty());
  }
}

RC_GTEST_PROP(LeaseKeeperProperty, NeverTwoHolders, ()) {
  LeaseCell cell(ViewOf(1, Members(5, 1)));
  const std::vector<int> silenced = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 12));
  for (const int choice : silenced) {
    if (choice >= 1 && choice <= 5) {
      LeaseCell::Seat& seat = cell.seat(static_cast<std::uint32_t>(choice));
      seat.silent = !seat.silent;
    }
    for (int i = 0; i < 6; ++i) cell.Step(50ms);
    RC_ASSERT(cell.Holders().size() <= 1U);
  }
}

}  // namespace
}  // namespace saltquay
