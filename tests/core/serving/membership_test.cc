// Who is known to whom in a fleet: new nodes are listed at once, lost ones are forgotten whatever others repeat.
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/core/serving/member_rotation.h"
#include "src/core/serving/node_ranking.h"
#include "src/core/serving/peer_table.h"

namespace saltquay::serving {
namespace {

PeerNode MakeNode(int index, int link_mbps = 20) {
  const std::string name = "n" + std::to_string(1000 + index);
  return {name, name, index % 2 == 0 ? "a" : "b", link_mbps, false};
}

TEST(MemberRotationTest, EveryNodeIsListedInTurnAndNewOnesFirst) {
  MemberRotation members;
  for (int i = 0; i < 100; ++i) members.Record(MakeNode(i), Time{1s});
  std::set<std::string> listed;
  for (int message = 0; message < 40; ++message) {
    for (const PeerNode& node : members.Next(10, Time{1s})) listed.insert(node.node);
  }
  EXPECT_EQ(listed.size(), 100U);
  members.Record(MakeNode(500), Time{2s});
  const std::vector<PeerNode> next = members.Next(10, Time{3s});
  ASSERT_EQ(next.size(), 10U);
  EXPECT_EQ(next[0], MakeNode(500));
  EXPECT_EQ(next[0].age, 1s);
}

TEST(MemberRotationTest, AListingDoesNotMakeANodeYounger) {
  MemberRotation members;
  PeerNode node = MakeNode(1);
  members.Record(node, Time{10s});
  node.age = 4s;
  members.Record(node, Time{11s});
  EXPECT_EQ(members.All(Time{11s})[0].age, 1s);
  members.Expire(Time{14s}, 3s, 10ms);
  EXPECT_EQ(members.size(), 0U);
}

// Two nodes go on mentioning a lost node to each other.
TEST(PeerTableTest, MutualMentionsDoNotKeepALostNodeKnown) {
  PeerTable first("first");
  PeerTable second("second");
  PeerReport last_words;
  last_words.node = "lost";
  last_words.address = "lost";
  last_words.sequence = 1;
  first.RecordReport(last_words, Time{1s});
  std::uint64_t sequence = 0;
  for (Time now{1s}; now < Time{30s}; now += 200ms) {
    PeerReport report;
    report.sequence = ++sequence;
    for (auto [from, to, name] : {std::tuple{&first, &second, "first"}, std::tuple{&second, &first, "second"}}) {
      from->Expire(now);
      report.node = report.address = name;
      report.peers = from->NextPeersToMention(24, now);
      to->RecordReport(report, now);
    }
  }
  EXPECT_EQ(first.Nodes().size(), 1U);
  EXPECT_EQ(second.Nodes().size(), 1U);
}

TEST(PeerTableTest, TheVersionChangesExactlyWithTheMembers) {
  PeerTable table("self");
  PeerReport report;
  report.node = "peer";
  report.sequence = 1;
  report.peers = {MakeNode(1), MakeNode(2)};
  table.RecordReport(report, Time{1s});
  const std::uint64_t version = table.version();
  ++report.sequence;
  table.RecordReport(report, Time{2s});
  table.Expire(Time{2s});
  EXPECT_EQ(table.version(), version);
  EXPECT_EQ(table.Nodes().size(), 3U);
  report.peers[0].link_mbps = 200;
  ++report.sequence;
  table.RecordReport(report, Time{3s});
  EXPECT_NE(table.version(), version);
  EXPECT_EQ(table.Nodes()[1].link_mbps, 200);
}

TEST(NodeRankingTest, TheBestOfEachZoneHaveTheFastestLinks) {
  std::vector<PeerNode> nodes;
  nodes.reserve(40);
  for (int i = 0; i < 40; ++i) nodes.push_back(MakeNode(i, i < 4 ? 200 : 20));
  nodes[0].stopping = true;
  const std::vector<PeerNode> best = BestOfEachZone(nodes, 2, 10);
  ASSERT_EQ(best.size(), 4U);
  EXPECT_EQ(best[0], nodes[2]);  // The other fast node of zone "a" is stopping.
  EXPECT_EQ(best[2].zone, "b");
  EXPECT_EQ(best[2].link_mbps + best[3].link_mbps, 400);
  EXPECT_EQ(BestOfEachZone(nodes, 2, 3).size(), 3U);
}

}  // namespace
}  // namespace saltquay::serving
