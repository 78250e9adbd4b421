// Who reads the store, and whom the others follow.
#include <set>

#include <gtest/gtest.h>

#include "saltquay/replica/upstream_selector.h"

namespace saltquay::replica {
namespace {

using serving::PeerNode;

std::vector<PeerNode> make_zone(std::string const& zone, int count, int link_mbps = 0)
{
    std::vector<PeerNode> nodes(static_cast<std::size_t>(count));
    int number = 0;
    for (auto& node : nodes)
        node = { zone + std::to_string(number++), "10.0.0.1:1", zone, link_mbps, false };
    return nodes;
}

std::vector<PeerNode> without(std::vector<PeerNode> nodes, std::string const& name)
{
    std::erase_if(nodes, [&](PeerNode const& node) { return node.node == name; });
    return nodes;
}

TEST(UpstreamSelectorTest, AFewNodesOfAZoneReadTheStoreAndTheOthersFollowThem)
{
    auto const nodes = make_zone("a", 12);
    Time const now { 1s };
    std::set<std::string> readers;
    std::set<std::string> followed;
    for (auto const& node : nodes) {
        auto const upstream = UpstreamSelector(node, {}).choose(without(nodes, node.node), now);
        if (upstream)
            followed.insert(upstream->node);
        else
            readers.insert(node.node);
    }
    EXPECT_EQ(readers.size(), 2U);
    EXPECT_EQ(followed, readers);
}

TEST(UpstreamSelectorTest, OtherZonesAndStoppingNodesAreNotFollowed)
{
    PeerNode const self { "a0", "", "a", 0, false };
    auto peers = make_zone("b", 9, 1000);
    EXPECT_FALSE(UpstreamSelector(self, {}).choose(peers, Time { 1s }));
    for (auto& peer : peers) {
        peer.zone = "a";
        peer.stopping = true;
    }
    EXPECT_FALSE(UpstreamSelector(self, {}).choose(peers, Time { 1s }));
}

TEST(UpstreamSelectorTest, NodesWithTheWidestLinksRead)
{
    auto peers = make_zone("a", 20, 10);
    peers[7].link_mbps = 200;
    peers[11].link_mbps = 200;
    for (int i = 0; i < 5; ++i) {
        PeerNode const self { "self" + std::to_string(i), "", "a", 10, false };
        auto const upstream = UpstreamSelector(self, {}).choose(peers, Time { 1s });
        ASSERT_TRUE(upstream);
        EXPECT_EQ(upstream->link_mbps, 200);
    }
}

TEST(UpstreamSelectorTest, AReaderThatFailedIsAvoidedAndThenTriedAgain)
{
    PeerNode const self { "self", "", "a", 1, false };
    auto const peers = make_zone("a", 9, 10);
    UpstreamSelector selector(self, {});
    Time const now { 1s };
    auto const first = selector.choose(peers, now);
    ASSERT_TRUE(first);
    selector.avoid(first->node, now);
    auto const second = selector.choose(peers, now);
    ASSERT_TRUE(second);
    EXPECT_NE(second->node, first->node);
    selector.avoid(second->node, now);
    EXPECT_FALSE(selector.choose(peers, now));
    EXPECT_TRUE(selector.choose(peers, now + 4s));
}

}
}
