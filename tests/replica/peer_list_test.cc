// Fetching lists from peers: slow responses, which are large or cross narrow links, and peers that have just started.
#include <algorithm>
#include <map>

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "saltquay/replica/relayed_store.h"
#include "src/replica/record_codec.h"

namespace saltquay::replica {
namespace {

using boost::asio::ip::tcp;

// A store that rejects lists and counts them.
class FailingStore final : public gateway::ObjectStore {
public:
    void List(std::string const&, std::function<void(absl::StatusOr<gateway::ObjectList>)> done) override
    {
        ++calls;
        done(absl::UnavailableError("the store fails in this test"));
    }
    void Watch(std::string const&, std::int64_t, std::chrono::milliseconds,
        std::function<void(absl::StatusOr<gateway::ObjectEvents>)>) override
    {
    }
    void Write(std::string const&, gateway::StoredObject const&,
        std::function<void(absl::StatusOr<gateway::StoredObject>)>) override
    {
    }
    void Read(
        std::string const&, std::string const&, std::function<void(absl::StatusOr<gateway::StoredObject>)>) override
    {
    }

    int calls = 0;
};

// A peer that sends one response in `parts` parts, with a delay before each.
class SlowPeer {
public:
    SlowPeer(boost::asio::io_context& loop, std::string response, int parts, std::chrono::milliseconds delay)
        : acceptor_(loop, { boost::asio::ip::address_v4::loopback(), 0 })
        , socket_(loop)
        , timer_(loop)
        , response_(std::move(response))
        , part_((response_.size() + static_cast<std::size_t>(parts) - 1) / static_cast<std::size_t>(parts))
        , delay_(delay)
    {
        acceptor_.async_accept(socket_, [this](boost::system::error_code error) {
            if (!error)
                send_next();
        });
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }

private:
    void send_next()
    {
        timer_.expires_after(delay_);
        timer_.async_wait([this](boost::system::error_code error) {
            if (error || sent_ == response_.size())
                return;
            auto const part = std::min(part_, response_.size() - sent_);
            boost::system::error_code ignored; // The requester may have timed out.
            boost::asio::write(socket_, boost::asio::buffer(response_.data() + sent_, part), ignored);
            sent_ += part;
            send_next();
        });
    }

    tcp::acceptor acceptor_;
    tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::string response_;
    std::size_t part_;
    std::size_t sent_ = 0;
    std::chrono::milliseconds delay_;
};

std::string make_response()
{
    RelayedList relayed;
    relayed.list.items = { { "e1", 7, "content" }, { "e2", 8, "content" } };
    relayed.list.at = 9;
    auto const body = encode(relayed);
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Lists engines through a peer; returns the number of engines, or nothing if the list did not arrive within the limit.
std::optional<std::size_t> list_at_peer(
    boost::asio::io_context& loop, SlowPeer& peer, FailingStore& origin, Duration limit)
{
    RelayedStoreOptions options;
    options.self = { "follower", "", "a", 10, false };
    options.upstream.readers_per_zone = 1;
    RelayedStore store(loop, origin, options);
    store.update_peers({ { "relay", peer.address(), "a", 1000, false } }, {});
    std::optional<std::size_t> items;
    store.List("engines", [&](absl::StatusOr<gateway::ObjectList> const& list) {
        if (list.ok())
            items = list->items.size();
    });
    auto const end = std::chrono::steady_clock::now() + limit;
    while (!items && std::chrono::steady_clock::now() < end)
        loop.run_one_for(std::chrono::milliseconds(5));
    return items;
}

TEST(PeerListTest, ListMayTakeLongWhileDataArrives)
{
    boost::asio::io_context loop;
    FailingStore origin;
    SlowPeer peer(loop, make_response(), 8, std::chrono::milliseconds(200));
    EXPECT_EQ(list_at_peer(loop, peer, origin, 4s), 2U);
    EXPECT_EQ(origin.calls, 0);
}

TEST(PeerListTest, StalledListTimesOut)
{
    boost::asio::io_context loop;
    FailingStore origin;
    SlowPeer peer(loop, make_response(), 2, std::chrono::milliseconds(1500));
    EXPECT_FALSE(list_at_peer(loop, peer, origin, 1400ms));
    EXPECT_GT(origin.calls, 0);
}

TEST(PeerListTest, FollowersOfStartingRelaysDoNotAllTurnToAReader)
{
    // Readers read the store, relays fetch from readers, and the other nodes (followers) from relays of their zone.
    // After a restart of the whole fleet, none of them has a replica yet.
    std::vector<serving::PeerNode> fleet;
    fleet.reserve(60);
    for (int i = 0; i < 60; ++i)
        fleet.push_back({ "n" + std::to_string(i), "10.0.0.1:1", i % 2 == 0 ? "a" : "b", 20, false });
    Time const now { 10s };
    std::map<std::string, int> request_counts;
    std::vector<std::string> readers_of_the_store;
    for (auto const& node : fleet) {
        auto peers = fleet;
        std::erase_if(peers, [&](serving::PeerNode const& peer) { return peer.node == node.node; });
        UpstreamSelector selector(node, {});
        std::vector<std::string> starting_nodes;
        auto upstream = selector.choose(peers, now);
        // All nodes that are asked respond that they have no replica yet.
        while (upstream.source == Upstream::Source::Peer) {
            starting_nodes.push_back(upstream.peer.node);
            ++request_counts[starting_nodes.back()];
            selector.record_starting(starting_nodes.back(), now);
            upstream = selector.choose(peers, now);
        }
        if (upstream.source != Upstream::Source::None)
            continue;
        // If its relays still have no replica after `relay_start_wait_limit`, the node turns to a reader; a relay,
        // which waits for the readers, turns to the store.
        for (auto const& relay : starting_nodes)
            selector.record_starting(relay, now + 2s);
        auto const reader = selector.choose(peers, now + 2100ms);
        if (reader.source == Upstream::Source::Store) {
            readers_of_the_store.push_back(node.node);
            continue;
        }
        EXPECT_EQ(reader.source, Upstream::Source::Peer) << node.node;
        EXPECT_FALSE(std::count(starting_nodes.begin(), starting_nodes.end(), reader.peer.node)) << node.node;
    }
    for (auto const& [node, count] : request_counts)
        EXPECT_LE(count, 32) << node; // The followers of one zone, never of both.
    for (auto const& node : readers_of_the_store)
        EXPECT_TRUE(request_counts.contains(node)) << node << " is no relay";
}

TEST(PeerListTest, StartingNodeIsAskedAgainSoon)
{
    std::vector<serving::PeerNode> const peers { { "relay", "10.0.0.1:1", "a", 1000, false } };
    UpstreamParameters parameters;
    parameters.readers_per_zone = 1;
    UpstreamSelector selector({ "follower", "", "a", 10, false }, parameters);
    Time const now { 10s };
    ASSERT_EQ(selector.choose(peers, now).source, Upstream::Source::Peer);
    selector.record_starting("relay", now);
    EXPECT_NE(selector.choose(peers, now + 100ms).source, Upstream::Source::Peer);
    EXPECT_EQ(selector.choose(peers, now + 250ms).source, Upstream::Source::Peer);
    selector.record_disconnected("relay", now);
    EXPECT_NE(selector.choose(peers, now + 1s).source, Upstream::Source::Peer);
}

}
}
