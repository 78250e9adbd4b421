// Lists that take long because they are large and links are narrow, and peers that have just started.
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

// A store that nobody should ask.
class ForbiddenStore final : public gateway::ObjectStore {
public:
    void List(std::string const&, std::function<void(absl::StatusOr<gateway::ObjectList>)> done) override
    {
        ++calls;
        done(absl::UnavailableError("not to be asked"));
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

// A peer that answers one question, in so many parts with a pause before each.
class SlowPeer {
public:
    SlowPeer(boost::asio::io_context& loop, std::string answer, int parts, std::chrono::milliseconds pause)
        : acceptor_(loop, { boost::asio::ip::address_v4::loopback(), 0 })
        , socket_(loop)
        , timer_(loop)
        , answer_(std::move(answer))
        , part_((answer_.size() + static_cast<std::size_t>(parts) - 1) / static_cast<std::size_t>(parts))
        , pause_(pause)
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
        timer_.expires_after(pause_);
        timer_.async_wait([this](boost::system::error_code error) {
            if (error || sent_ == answer_.size())
                return;
            auto const part = std::min(part_, answer_.size() - sent_);
            boost::system::error_code ignored; // The asker may have given up.
            boost::asio::write(socket_, boost::asio::buffer(answer_.data() + sent_, part), ignored);
            sent_ += part;
            send_next();
        });
    }

    tcp::acceptor acceptor_;
    tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::string answer_;
    std::size_t part_;
    std::size_t sent_ = 0;
    std::chrono::milliseconds pause_;
};

std::string make_answer()
{
    RelayedList passed;
    passed.list.items = { { "e1", 7, "content" }, { "e2", 8, "content" } };
    passed.list.at = 9;
    auto const body = encode(passed);
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Lists engines by way of a peer; returns how many came, or nothing within the limit.
std::optional<std::size_t> list_by(
    boost::asio::io_context& loop, SlowPeer& peer, ForbiddenStore& origin, Duration limit)
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

TEST(SlowListTest, AListIsWaitedForAsLongAsItComes)
{
    boost::asio::io_context loop;
    ForbiddenStore origin;
    SlowPeer peer(loop, make_answer(), 8, std::chrono::milliseconds(200));
    EXPECT_EQ(list_by(loop, peer, origin, 4s), 2U);
    EXPECT_EQ(origin.calls, 0);
}

TEST(SlowListTest, AListThatStallsIsGivenUp)
{
    boost::asio::io_context loop;
    ForbiddenStore origin;
    SlowPeer peer(loop, make_answer(), 2, std::chrono::milliseconds(1500));
    EXPECT_FALSE(list_by(loop, peer, origin, 1400ms));
    EXPECT_GT(origin.calls, 0);
}

TEST(SlowListTest, FollowersOfRelaysThatHaveJustStartedDoNotAllTurnToAReader)
{
    // After the loss of all nodes of a fleet: relays learn from the readers, and the others from the relays.
    std::vector<serving::PeerNode> fleet;
    fleet.reserve(60);
    for (int i = 0; i < 60; ++i)
        fleet.push_back({ "n" + std::to_string(i), "10.0.0.1:1", i % 2 == 0 ? "a" : "b", 20, false });
    Time const now { 10s };
    std::map<std::string, int> asked;
    for (auto const& node : fleet) {
        auto peers = fleet;
        std::erase_if(peers, [&](serving::PeerNode const& peer) { return peer.node == node.node; });
        UpstreamSelector selector(node, {});
        std::vector<std::string> starting;
        auto upstream = selector.choose(peers, now);
        // All that are asked know nothing yet.
        while (upstream.source == Upstream::Source::Peer) {
            starting.push_back(upstream.peer.node);
            ++asked[starting.back()];
            selector.record_starting(starting.back(), now);
            upstream = selector.choose(peers, now);
        }
        if (upstream.source != Upstream::Source::Nobody)
            continue;
        // When its relays do not come to know anything, a reader is asked all the same.
        for (auto const& relay : starting)
            selector.record_starting(relay, now + 2s);
        auto const reader = selector.choose(peers, now + 2100ms);
        EXPECT_EQ(reader.source, Upstream::Source::Peer) << node.node;
        EXPECT_FALSE(std::count(starting.begin(), starting.end(), reader.peer.node)) << node.node;
    }
    for (auto const& [node, count] : asked)
        EXPECT_LE(count, 32) << node; // The followers of one zone, never of both.
}

TEST(SlowListTest, ANodeThatHasJustStartedIsAskedAgainSoon)
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
    selector.note_disconnected("relay", now);
    EXPECT_NE(selector.choose(peers, now + 1s).source, Upstream::Source::Peer);
}

}
}
