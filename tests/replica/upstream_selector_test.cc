// Tests which nodes read the store, and which node each of the others follows.
#include <algorithm>
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

TEST(UpstreamSelectorTest, FewNodesOfAZoneReadTheStoreAndTheOthersFollowThem)
{
    auto const nodes = make_zone("a", 12);
    Time const now { 1s };
    std::set<std::string> readers;
    std::set<std::string> followed;
    for (auto const& node : nodes) {
        auto const upstream = UpstreamSelector(node, {}).choose(without(nodes, node.node), now);
        if (upstream.source == Upstream::Source::Peer)
            followed.insert(upstream.peer.node);
        else
            readers.insert(node.node);
    }
    EXPECT_EQ(readers.size(), 2U);
    EXPECT_EQ(followed, readers);
}

TEST(UpstreamSelectorTest, NodesOfOtherZonesAndStoppingNodesAreNotFollowed)
{
    PeerNode const self { "a0", "", "a", 0, false };
    auto peers = make_zone("b", 9, 1000);
    EXPECT_EQ(UpstreamSelector(self, {}).choose(peers, Time { 1s }).source, Upstream::Source::Store);
    for (auto& peer : peers) {
        peer.zone = "a";
        peer.stopping = true;
    }
    EXPECT_EQ(UpstreamSelector(self, {}).choose(peers, Time { 1s }).source, Upstream::Source::Store);
}

TEST(UpstreamSelectorTest, NodesWithTheHighestLinkCapacityRead)
{
    auto peers = make_zone("a", 14, 10);
    peers[7].link_mbps = 200;
    peers[11].link_mbps = 200;
    for (int i = 0; i < 5; ++i) {
        PeerNode const self { "self" + std::to_string(i), "", "a", 10, false };
        auto const upstream = UpstreamSelector(self, {}).choose(peers, Time { 1s });
        ASSERT_EQ(upstream.source, Upstream::Source::Peer);
        EXPECT_EQ(upstream.peer.link_mbps, 200);
    }
}

TEST(UpstreamSelectorTest, FailedReaderIsAvoidedAndThenRetried)
{
    PeerNode const self { "self", "", "a", 1, false };
    auto const peers = make_zone("a", 9, 10);
    UpstreamSelector selector(self, {});
    Time const now { 1s };
    auto const first = selector.choose(peers, now);
    ASSERT_EQ(first.source, Upstream::Source::Peer);
    selector.avoid(first.peer.node, now);
    auto const second = selector.choose(peers, now);
    ASSERT_EQ(second.source, Upstream::Source::Peer);
    EXPECT_NE(second.peer.node, first.peer.node);
    selector.avoid(second.peer.node, now);
    EXPECT_EQ(selector.choose(peers, now).source, Upstream::Source::Store);
    EXPECT_EQ(selector.choose(peers, now + 4s).source, Upstream::Source::Peer);
}

// Five zones, of sixty nodes unless said otherwise, three with high link capacity in each.
std::vector<PeerNode> make_fleet(int nodes_per_zone = 60)
{
    std::vector<PeerNode> fleet;
    for (std::string const zone : { "a", "b", "c", "d", "e" }) {
        auto nodes = make_zone(zone, nodes_per_zone, 20);
        for (std::size_t i = 0; i < 3; ++i)
            nodes[i * 7].link_mbps = 200;
        fleet.insert(fleet.end(), nodes.begin(), nodes.end());
    }
    return fleet;
}

std::set<std::string> find_readers(std::vector<PeerNode> const& fleet, std::set<std::string> const& lost)
{
    std::set<std::string> readers;
    for (auto const& node : fleet) {
        UpstreamSelector selector(node, {});
        for (auto const& name : lost)
            selector.avoid(name, Time { 1s });
        auto const upstream = selector.choose(without(fleet, node.node), Time { 1s });
        if (!lost.contains(node.node) && upstream.source == Upstream::Source::Store)
            readers.insert(node.node);
    }
    return readers;
}

TEST(UpstreamSelectorTest, CallsToTheStoreDoNotGrowWithTheFleet)
{
    auto const fleet = make_fleet();
    auto const readers = find_readers(fleet, {});
    ASSERT_EQ(readers.size(), 2U);
    EXPECT_NE(readers.begin()->front(), readers.rbegin()->front()); // In different zones.
    std::map<std::string, std::set<std::string>> upstreams;
    for (auto const& node : fleet)
        upstreams[node.zone].insert(
            UpstreamSelector(node, {}).choose(without(fleet, node.node), Time { 1s }).peer.node);
    for (auto const& [zone, nodes] : upstreams)
        EXPECT_LE(nodes.size(), 6U) << zone; // Four relays, which follow the two readers.
}

TEST(UpstreamSelectorTest, NextNodesReplaceFailedReaders)
{
    auto const fleet = make_fleet();
    auto const lost = find_readers(fleet, {});
    auto const readers = find_readers(fleet, lost);
    EXPECT_EQ(readers.size(), 2U);
    for (auto const& reader : readers)
        EXPECT_FALSE(lost.contains(reader));
}

TEST(UpstreamSelectorTest, UnreachableStoreIsProbedAFewTimesASecondByTheWholeFleet)
{
    auto const fleet = make_fleet();
    std::vector<UpstreamSelector> selectors;
    std::vector<std::vector<PeerNode>> peers;
    for (auto const& node : fleet) {
        selectors.emplace_back(node, UpstreamParameters {});
        peers.push_back(without(fleet, node.node));
    }
    auto const count_calls = [&](Time now) {
        int calls = 0;
        for (std::size_t i = 0; i < selectors.size(); ++i) {
            auto upstream = selectors[i].choose(peers[i], now);
            while (upstream.source == Upstream::Source::Peer) {
                selectors[i].record_disconnected(upstream.peer.node, now);
                upstream = selectors[i].choose(peers[i], now);
            }
            calls += upstream.source == Upstream::Source::Store ? 1 : 0;
        }
        return calls;
    };
    // Each node finds out for itself, because the store may be rejecting only the nodes that it followed.
    auto const first = count_calls(Time { 1s }) + count_calls(Time { 1410ms });
    EXPECT_GE(first, static_cast<int>(fleet.size()));
    int calls = 0;
    for (Time now { 1800ms }; now < Time { 5800ms }; now += 800ms) // The watcher's maximum retry delay.
        calls += count_calls(now);
    // The relays retry each time, four of sixty in a zone; the other nodes together make 25 calls a second. If each
    // retried by itself: 1,500 calls.
    EXPECT_LT(calls, 250);
    EXPECT_GT(calls, 20);
}

// Guards against a fleet that starts at once and in which every node lists the store itself: 19,747 calls of 985 nodes
// before 10,000 engines, whose list takes fifty pages.
TEST(UpstreamSelectorTest, OnlyReadersListWhileTheFleetStarts)
{
    for (auto const nodes_per_zone : { 60, 200 }) {
        auto const fleet = make_fleet(nodes_per_zone);
        int calls = 0;
        for (auto const& node : fleet) {
            UpstreamSelector selector(node, {});
            auto const peers = without(fleet, node.node);
            for (Time now { 10s }; now < Time { 11900ms }; now += 300ms) {
                auto upstream = selector.choose(peers, now);
                while (upstream.source == Upstream::Source::Peer) {
                    selector.record_starting(upstream.peer.node, now);
                    upstream = selector.choose(peers, now);
                }
                if (upstream.source != Upstream::Source::Store)
                    continue;
                ++calls;
                break; // The list is under way.
            }
        }
        EXPECT_EQ(calls, 2) << nodes_per_zone;
    }
}

TEST(UpstreamSelectorTest, StartingSeedsAreWaitedForBriefly)
{
    // Seen in fcl-norte-large trouble-1: after a power loss 295 nodes and their seeds started at once, and all called
    // the store.
    std::vector<std::string> const seeds { "1.1.1.1:1", "2.2.2.2:1" };
    UpstreamSelector node({ "n", "3.3.3.3:1", "a", 1, false }, {}, seeds);
    Time now { 10s };
    for (auto const& seed : seeds) {
        EXPECT_EQ(node.choose({}, now).peer.address, seed);
        node.record_disconnected(seed, now);
    }
    EXPECT_EQ(node.choose({}, now).source, Upstream::Source::None);
    now += 70ms;
    EXPECT_EQ(node.choose({}, now).peer.address, seeds[0]); // It may have a replica by now.
    node.record_disconnected(seeds[0], now);
    node.record_disconnected(seeds[1], now);
    EXPECT_EQ(node.choose({}, now).source, Upstream::Source::None);
    now += 400ms;
    node.record_disconnected(seeds[0], now);
    node.record_disconnected(seeds[1], now);
    EXPECT_EQ(node.choose({}, now).source, Upstream::Source::Store);
    // A seed itself waits for no other node, and unresponsive seeds are not waited for.
    UpstreamSelector seed({ "s", seeds[0], "a", 1, false }, {}, seeds);
    seed.record_disconnected(seeds[1], now);
    EXPECT_EQ(seed.choose({}, now).source, Upstream::Source::Store);
    UpstreamSelector alone({ "n", "3.3.3.3:1", "a", 1, false }, {}, seeds);
    for (auto const& address : seeds)
        alone.avoid(address, now);
    EXPECT_EQ(alone.choose({}, now).source, Upstream::Source::Store);
}

// Guards against relays that wait for each other: all had just started, the store had rejected each of them, and when
// it served again no node called it for up to two seconds.
TEST(UpstreamSelectorTest, RelaysThatStartWhileTheStoreRejectsThemRetryItEachTime)
{
    auto const fleet = make_zone("a", 4);
    std::vector<UpstreamSelector> selectors;
    selectors.reserve(fleet.size());
    for (auto const& node : fleet)
        selectors.emplace_back(node, UpstreamParameters {});
    auto const try_all = [&](Time now) {
        int calls = 0;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            auto const peers = without(fleet, fleet[i].node);
            auto upstream = selectors[i].choose(peers, now);
            while (upstream.source == Upstream::Source::Peer) {
                selectors[i].record_starting(upstream.peer.node, now);
                upstream = selectors[i].choose(peers, now);
            }
            if (upstream.source != Upstream::Source::Store)
                continue;
            ++calls;
            selectors[i].record_store_failure(now);
        }
        return calls;
    };
    for (Time now { 10s }; now < Time { 14s }; now += 600ms) // The watcher's maximum retry delay.
        EXPECT_EQ(try_all(now), 2) << "at " << now.time_since_epoch() / 1ms
                                   << " ms: expected both relays and no other node";
}

TEST(UpstreamSelectorTest, NodeThatTheStoreRejectsAsksItsPeersAgainSoon)
{
    auto const peers = make_zone("a", 30, 10);
    UpstreamSelector node({ "self", "", "a", 1, false }, {});
    Time const now { 10s };
    for (auto const& peer : peers)
        node.record_disconnected(peer.node, now);
    node.record_store_failure(now);
    EXPECT_NE(node.choose(peers, now + 500ms).source, Upstream::Source::Peer);
    EXPECT_EQ(node.choose(peers, now + 700ms).source, Upstream::Source::Peer);
}

TEST(UpstreamSelectorTest, NodeThatTheStoreServesIsNotHeldBack)
{
    // Seen in rutas-gt scale-2, seed 418471024996: both readers of a zone were cut off; the third node listed at the
    // store but was held back from watching it, and so served with a configuration that was five seconds old.
    auto const peers = make_zone("a", 7, 10);
    UpstreamSelector node({ "self", "", "a", 1, false }, {});
    Time const now { 10s };
    auto upstream = node.choose(peers, now);
    while (upstream.source == Upstream::Source::Peer) {
        node.record_disconnected(upstream.peer.node, now);
        upstream = node.choose(peers, now);
    }
    node.record_store_success(now);
    for (Time at = now; at < now + 2900ms; at += 10ms)
        EXPECT_EQ(node.choose(peers, at).source, Upstream::Source::Store);
}

}
// Guards against a large fleet whose nodes had their turn in an earlier outage and wait for the next one in a new
// outage.
TEST(UpstreamSelectorTest, EachOutageBeginsWithATurnOfEveryNode)
{
    auto const peers = make_zone("a", 300, 10);
    UpstreamSelector node({ "self", "", "a", 1, false }, {});
    for (Time outage { 10s }; outage < Time { 30s }; outage += 5s) {
        node.record_connected();
        for (auto const& peer : peers)
            node.record_disconnected(peer.node, outage);
        auto asked = false;
        for (auto now = outage; !asked && now <= outage + UpstreamParameters {}.initial_probe_spread; now += 10ms)
            asked = node.choose(peers, now).source == Upstream::Source::Store;
        EXPECT_TRUE(asked) << outage.time_since_epoch() / 1s;
    }
}

class RegionUpstreamTest : public ::testing::Test {
protected:
    // Six zones of twelve nodes; each region has two zones.
    RegionUpstreamTest()
    {
        for (auto const& [zone, region] : regions_) {
            auto const nodes = make_zone(zone, 12, 20);
            fleet_.insert(fleet_.end(), nodes.begin(), nodes.end());
        }
    }

    Upstream choose(PeerNode const& node, std::set<std::string> const& lost) const
    {
        UpstreamSelector selector(node, {}, {}, regions_);
        for (auto const& name : lost)
            selector.avoid(name, Time { 1s });
        return selector.choose(without(fleet_, node.node), Time { 1s });
    }
    // Maps each node that reads the store to its region.
    std::map<std::string, std::string> find_region_readers(std::set<std::string> const& lost) const
    {
        std::map<std::string, std::string> readers;
        for (auto const& node : fleet_) {
            if (!lost.contains(node.node) && choose(node, lost).source == Upstream::Source::Store)
                readers[node.node] = regions_.at(node.zone);
        }
        return readers;
    }
    // Counts the nodes that follow a node of another region.
    int count_followers_across_regions(std::set<std::string> const& lost) const
    {
        auto count = 0;
        for (auto const& node : fleet_) {
            auto const upstream = choose(node, lost);
            if (!lost.contains(node.node) && upstream.source == Upstream::Source::Peer
                && regions_.at(upstream.peer.zone) != regions_.at(node.zone))
                ++count;
        }
        return count;
    }

    UpstreamSelector::Regions regions_ { { "a", "north" }, { "b", "north" }, { "c", "south" }, { "d", "south" },
        { "e", "east" }, { "f", "east" } };
    std::vector<PeerNode> fleet_;
};

TEST_F(RegionUpstreamTest, EachRegionHasOneReaderAndNoNodeFollowsAcrossRegions)
{
    auto const readers = find_region_readers({});
    std::set<std::string> regions;
    for (auto const& [node, region] : readers)
        regions.insert(region);
    EXPECT_EQ(readers.size(), 3U);
    EXPECT_EQ(regions.size(), 3U);
    EXPECT_EQ(count_followers_across_regions({}), 0);
}

TEST_F(RegionUpstreamTest, NextNodeOfTheRegionReplacesItsFailedReader)
{
    auto const before = find_region_readers({});
    for (auto const& lost : before) {
        auto const after = find_region_readers({ lost.first });
        auto const is_of_region = [&](auto const& reader) { return reader.second == lost.second; };
        EXPECT_EQ(std::count_if(after.begin(), after.end(), is_of_region), 1) << lost.second;
        EXPECT_EQ(count_followers_across_regions({ lost.first }), 0);
    }
}

TEST_F(RegionUpstreamTest, RelaysWithADisconnectedReaderFollowAnotherRegionsReader)
{
    std::string reader;
    for (auto const& [node, region] : find_region_readers({})) {
        if (region == "south")
            reader = node;
    }
    // The relays of the region, which would follow its reader.
    for (auto const& node : fleet_) {
        UpstreamSelector selector(node, {}, {}, regions_);
        auto const peers = without(fleet_, node.node);
        auto const first = selector.choose(peers, Time { 1s });
        if (first.source != Upstream::Source::Peer || first.peer.node != reader)
            continue;
        selector.record_disconnected(reader, Time { 1s });
        auto const second = selector.choose(peers, Time { 1s });
        ASSERT_EQ(second.source, Upstream::Source::Peer) << node.node;
        EXPECT_NE(second.peer.node, reader);
        EXPECT_EQ(selector.choose(peers, Time { 5s }).peer.node, reader);
    }
}

}
