// Two nodes on loopback: one reads the store, the other follows it. The store is a table in the test; the faults are an
// unresponsive store, a reader that terminates, and changes that only a third node has.
#include <gtest/gtest.h>

#include <boost/asio/post.hpp>

#include "saltquay/replica/relay_server.h"
#include "saltquay/replica/relayed_store.h"
#include "src/gateway/collection_watcher.h"

namespace saltquay::replica {
namespace {

using gateway::ObjectEvents;
using gateway::ObjectList;
using gateway::StoredObject;

// A store that responds at once, or not at all.
class TableStore final : public gateway::ObjectStore {
public:
    explicit TableStore(boost::asio::io_context& loop)
        : loop_(loop)
    {
    }

    void List(std::string const&, std::function<void(absl::StatusOr<ObjectList>)> done) override
    {
        ++calls;
        if (!up)
            return boost::asio::post(loop_, [done] { done(absl::UnavailableError("down")); });
        boost::asio::post(loop_, [done, response = list()] { done(response); });
    }
    void Watch(std::string const&, std::int64_t revision, std::chrono::milliseconds wait,
        std::function<void(absl::StatusOr<ObjectEvents>)> done) override
    {
        ++calls;
        auto const timer = std::make_shared<boost::asio::steady_timer>(loop_, std::chrono::milliseconds(0));
        poll(timer, revision, std::chrono::steady_clock::now() + wait, done);
    }
    void Write(std::string const&, StoredObject const&, std::function<void(absl::StatusOr<StoredObject>)>) override { }
    void Read(std::string const&, std::string const&, std::function<void(absl::StatusOr<StoredObject>)>) override { }

    void copy(TableStore const& other) { std::tie(objects, revision) = std::tie(other.objects, other.revision); }
    void put(std::string const& name) { objects[name] = { name, ++revision, "r" + std::to_string(revision) }; }

    bool up = true;
    bool unresponsive = false; // Watches never get a response.
    int calls = 0;
    std::int64_t revision = 100;
    std::map<std::string, StoredObject> objects;

private:
    using EventsHandler = std::function<void(absl::StatusOr<ObjectEvents>)>;

    ObjectList list() const
    {
        ObjectList response;
        for (auto const& [name, object] : objects)
            response.items.push_back(object);
        response.at = revision;
        return response;
    }
    void poll(std::shared_ptr<boost::asio::steady_timer> const& timer, std::int64_t since,
        std::chrono::steady_clock::time_point until, EventsHandler const& done)
    {
        timer->expires_after(std::chrono::milliseconds(5));
        timer->async_wait([this, timer, since, until, done](boost::system::error_code error) {
            if (error)
                return;
            if (!up)
                return done(absl::UnavailableError("down"));
            ObjectEvents changes;
            changes.at = revision;
            for (auto const& [name, object] : objects) {
                if (object.revision > since)
                    changes.events.push_back({ false, object });
            }
            auto const ready = !changes.events.empty() || std::chrono::steady_clock::now() >= until;
            if (ready && !unresponsive)
                return done(changes);
            poll(timer, since, until, done);
        });
    }

    boost::asio::io_context& loop_;
};

// The replication components of one node.
struct Node {
    Node(boost::asio::io_context& loop, std::string const& name, int link_mbps, std::vector<std::string> seeds = {})
        : origin(loop)
        , store(loop, origin, make_options(name, link_mbps, std::move(seeds)))
        , relay(std::make_unique<RelayServer>(loop, store))
        , table(name)
    {
        store.on_record_update = [this](std::string const& kind) {
            if (relay != nullptr)
                relay->on_record_update(kind);
        };
        gateway::WatcherHandlers handlers;
        handlers.on_list = [this](ObjectList const& list) {
            copies.clear();
            for (auto const& object : list.items)
                copies[object.name] = object.content;
        };
        handlers.on_event = [this](gateway::ObjectEvent const& event) {
            copies[event.object.name] = event.object.content;
        };
        handlers.on_connectivity_changed = [this](bool is_connected, std::string const&) { connected = is_connected; };
        watcher = std::make_unique<gateway::CollectionWatcher>(
            loop, store, "engines", gateway::WatcherTimings {}, 1, std::move(handlers));
    }
    static RelayedStoreOptions make_options(std::string const& name, int link_mbps, std::vector<std::string> seeds)
    {
        RelayedStoreOptions options;
        options.seeds = std::move(seeds);
        options.self = { name, "", "a", link_mbps, false };
        options.upstream.readers_per_zone = 1;
        return options;
    }
    // Receives a report of a peer with the given address and link capacity.
    void receive(std::string const& name, std::string const& address, int link_mbps, std::int64_t changed_at, Time now)
    {
        serving::PeerReport report;
        report.node = name;
        report.address = address;
        report.zone = "a";
        report.link_mbps = link_mbps;
        report.sequence = ++sequence;
        report.records = { { "engines", changed_at } };
        table.RecordReport(report, now);
        store.update_peers(table.ReportingNodes(), table.LastChanges());
    }

    TableStore origin;
    RelayedStore store;
    std::unique_ptr<RelayServer> relay;
    serving::PeerTable table;
    std::unique_ptr<gateway::CollectionWatcher> watcher;
    std::map<std::string, std::string> copies;
    bool connected = false;
    std::uint64_t sequence = 0;
};

class RelayedStoreTest : public ::testing::Test {
protected:
    // A loopback address on which nobody listens.
    std::string free_address()
    {
        boost::asio::ip::tcp::acceptor probe(loop_, { boost::asio::ip::address_v4::loopback(), 0 });
        return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
    }

    RelayedStoreTest()
    {
        auto const address = free_address();
        reader_->origin.put("e1");
        reader_->receive("follower", "", 10, 0, Time { 1s });
        follower_->receive("reader", address, 1000, 0, Time { 1s });
        EXPECT_TRUE(reader_->relay->listen(address).ok());
    }
    void start_both()
    {
        reader_->watcher->Start();
        run_until([&] { return reader_->connected; }, 2s);
        follower_->watcher->Start();
    }
    bool run_until(std::function<bool()> const& holds, Duration limit)
    {
        auto const end = std::chrono::steady_clock::now() + limit;
        while (!holds() && std::chrono::steady_clock::now() < end)
            loop_.run_one_for(std::chrono::milliseconds(5));
        return holds();
    }
    bool follower_sees(std::string const& name, Duration limit)
    {
        return run_until([&] { return follower_->copies.contains(name); }, limit);
    }

    boost::asio::io_context loop_;
    std::unique_ptr<Node> reader_ = std::make_unique<Node>(loop_, "reader", 1000);
    std::unique_ptr<Node> follower_ = std::make_unique<Node>(loop_, "follower", 10);
};

TEST_F(RelayedStoreTest, FollowerReceivesAllChangesWithoutCallingTheStore)
{
    start_both();
    EXPECT_TRUE(follower_sees("e1", 1s));
    run_until([] { return false; }, 150ms);
    reader_->origin.put("e2");
    EXPECT_TRUE(follower_sees("e2", 3s));
    EXPECT_EQ(follower_->origin.calls, 0);
    EXPECT_TRUE(follower_->connected);
}

TEST_F(RelayedStoreTest, FollowerAsksTheStoreWhenItsReaderIsGone)
{
    start_both();
    ASSERT_TRUE(follower_sees("e1", 1s));
    follower_->origin.copy(reader_->origin);
    reader_->relay.reset();
    follower_->origin.put("e3");
    EXPECT_TRUE(follower_sees("e3", 3s));
    EXPECT_GT(follower_->origin.calls, 0);
}

TEST_F(RelayedStoreTest, FollowerLeavesAFrozenReaderSoon)
{
    // Connections are established, because the kernel accepts them, but never get a response.
    boost::asio::ip::tcp::acceptor frozen(loop_, { boost::asio::ip::address_v4::loopback(), 0 });
    follower_->receive("reader", "127.0.0.1:" + std::to_string(frozen.local_endpoint().port()), 1000, 0, Time { 1s });
    follower_->origin.put("e5");
    auto const started = std::chrono::steady_clock::now();
    follower_->watcher->Start();
    EXPECT_TRUE(follower_sees("e5", 4s));
    EXPECT_GT(std::chrono::steady_clock::now() - started, 500ms); // The frozen reader was asked first.
}

TEST_F(RelayedStoreTest, ChangeReportedByAThirdNodeMakesAFollowerAskTheStore)
{
    start_both();
    ASSERT_TRUE(follower_sees("e1", 1s));
    reader_->origin.unresponsive = true; // Its watch hangs on a dead connection.
    follower_->origin.copy(reader_->origin);
    follower_->origin.put("e4");
    auto const received = run_until(
        [&] {
            follower_->receive("third", "", 0, follower_->origin.revision, Time { 2s });
            return follower_->copies.contains("e4");
        },
        3s); // The reader itself is detected as disconnected only after 4.6 s.
    EXPECT_TRUE(received);
}

TEST_F(RelayedStoreTest, ReaderDisconnectedFromTheStoreDoesNotRelay)
{
    start_both();
    ASSERT_TRUE(follower_sees("e1", 1s));
    reader_->origin.unresponsive = true;
    EXPECT_TRUE(run_until([&] { return follower_->origin.calls > 0; }, 5200ms));
    EXPECT_EQ(reader_->store.changes_for_peer("engines", 0).status().code(), absl::StatusCode::kUnavailable);
    EXPECT_TRUE(reader_->store.list_for_peer("engines", true).ok());
}

TEST_F(RelayedStoreTest, FollowerLeavesAReaderThatTheStoreRejectsAtOnce)
{
    // The store may reject single nodes while it serves the others.
    start_both();
    ASSERT_TRUE(follower_sees("e1", 1s));
    follower_->origin.copy(reader_->origin);
    reader_->origin.up = false;
    follower_->origin.put("e2");
    EXPECT_TRUE(follower_sees("e2", 1s));
}

TEST_F(RelayedStoreTest, NodeThatTheStoreRejectsFollowsOneThatItServes)
{
    start_both();
    Node served(loop_, "served", 500); // It reads the store as well.
    served.origin.copy(reader_->origin);
    auto const address = free_address();
    ASSERT_TRUE(served.relay->listen(address).ok());
    served.watcher->Start();
    ASSERT_TRUE(run_until([&] { return served.connected; }, 1s));
    reader_->receive("served", address, 500, 0, Time { 2s });
    reader_->origin.up = false;
    served.origin.put("e2");
    EXPECT_TRUE(run_until([&] { return reader_->copies.contains("e2") && reader_->connected; }, 1500ms));
}

TEST_F(RelayedStoreTest, RestartedNodeListsAtOnce)
{
    // Seen in fcl-norte trouble-2: after a power loss 21 requests met nodes that waited 0.4 s for peers.
    Node alone(loop_, "alone", 10);
    alone.origin.put("e1");
    alone.watcher->Start();
    EXPECT_TRUE(run_until([&] { return alone.connected; }, 300ms));
}

TEST_F(RelayedStoreTest, RestartedNodeAsksASeedBeforeTheStore)
{
    // Seen in rcr-roster-large trouble-2: 310 restarted nodes each called the store four times before finding a peer.
    auto const address = free_address();
    ASSERT_TRUE(reader_->relay->listen(address).ok());
    reader_->watcher->Start();
    ASSERT_TRUE(run_until([&] { return reader_->connected; }, 2s));
    Node back(loop_, "back", 10, { free_address(), address }); // Nobody listens at the first.
    back.watcher->Start();
    EXPECT_TRUE(run_until([&] { return back.connected && back.copies.contains("e1"); }, 300ms));
    EXPECT_EQ(back.origin.calls, 0);
}

TEST_F(RelayedStoreTest, NodeWithAllSeedsDownListsAtTheStoreAtOnce)
{
    Node alone(loop_, "alone", 10, { free_address(), free_address() });
    alone.origin.put("e1");
    alone.watcher->Start();
    EXPECT_TRUE(run_until([&] { return alone.connected; }, 300ms));
}

TEST_F(RelayedStoreTest, NodeThatStartsWhileTheStoreIsDownListsAtAPeer)
{
    reader_->watcher->Start();
    ASSERT_TRUE(run_until([&] { return reader_->connected; }, 2s));
    reader_->origin.up = false;
    follower_->origin.up = false;
    // By then the reader rejects lists without allow_stale, because its replica is stale.
    ASSERT_TRUE(run_until([&] { return !reader_->store.list_for_peer("engines", false).ok(); }, 8s));
    follower_->watcher->Start();
    EXPECT_TRUE(follower_sees("e1", 2s));
}

TEST_F(RelayedStoreTest, ContinuousChangesDoNotRaiseTheRateOfStoreCalls)
{
    reader_->watcher->Start();
    ASSERT_TRUE(run_until([&] { return reader_->connected; }, 2s));
    auto const before = reader_->origin.calls;
    // 165 engines update their records continuously: sent singly, that wakes each reader ten times a second.
    auto const end = std::chrono::steady_clock::now() + 2s;
    int changes = 0;
    while (std::chrono::steady_clock::now() < end) {
        reader_->origin.put("e" + std::to_string(++changes % 40));
        loop_.run_for(std::chrono::milliseconds(10));
    }
    EXPECT_LE(reader_->origin.calls - before, 6);
    // A single change after a quiet period arrives at once.
    run_until([] { return false; }, 700ms);
    reader_->origin.put("alone");
    EXPECT_TRUE(run_until([&] { return reader_->copies.contains("alone"); }, 200ms));
}

// A chain of three nodes, in which the hop count of relayed records is 0 at the node that reads the store.
class RelayChainTest : public RelayedStoreTest {
protected:
    RelayChainTest()
    {
        auto const address = free_address();
        EXPECT_TRUE(follower_->relay->listen(address).ok());
        last_->receive("follower", address, 1000, 0, Time { 1s });
    }
    std::unique_ptr<Node> last_ = std::make_unique<Node>(loop_, "last", 10);
};

TEST_F(RelayChainTest, FollowerRelaysWhatItReceivesFromAReader)
{
    start_both();
    ASSERT_TRUE(follower_sees("e1", 1s));
    last_->watcher->Start();
    EXPECT_TRUE(run_until([&] { return last_->copies.contains("e1"); }, 1s));
    reader_->origin.put("e2");
    EXPECT_TRUE(run_until([&] { return last_->copies.contains("e2"); }, 2s));
    EXPECT_EQ(last_->origin.calls, 0);
    EXPECT_EQ(reader_->store.changes_for_peer("engines", 0).status().code(), absl::StatusCode::kOutOfRange);
    EXPECT_EQ(follower_->store.list_for_peer("engines", false)->from.hops, 1);
}

TEST_F(RelayChainTest, FollowerWithoutItsReaderStopsRelayingOnceStale)
{
    start_both();
    ASSERT_TRUE(follower_sees("e1", 1s));
    reader_->relay.reset();
    follower_->origin.unresponsive = true;
    EXPECT_TRUE(run_until([&] { return !follower_->store.list_for_peer("engines", false).ok(); }, 6s));
}

TEST_F(RelayChainTest, CycleOfFollowersIsDetected)
{
    start_both();
    ASSERT_TRUE(follower_sees("e1", 1s));
    // Each node considers the other one the reader, as when neither knows a third node.
    auto const address = free_address();
    ASSERT_TRUE(last_->relay->listen(address).ok());
    follower_->receive("last", address, 2000, 0, Time { 2s });
    follower_->receive("reader", address, 1, 0, Time { 2s });
    last_->watcher->Start();
    // Responses with too many hops break the cycle: one of the nodes asks the store.
    EXPECT_TRUE(run_until([&] { return follower_->origin.calls + last_->origin.calls > 0; }, 4s));
}

TEST_F(RelayChainTest, ChangesWithTooManyHopsAreRejected)
{
    start_both();
    ASSERT_TRUE(follower_sees("e1", 1s));
    // Accepts only what a reader of the store relays, not what comes through the follower behind it.
    auto options = Node::make_options("near", 10, {});
    options.max_hops = 0;
    TableStore origin(loop_);
    RelayedStore near(loop_, origin, options);
    near.update_peers(last_->table.ReportingNodes(), last_->table.LastChanges());
    std::optional<bool> accepted;
    near.Watch("engines", 0, std::chrono::milliseconds(50), [&](auto const& events) { accepted = events.ok(); });
    EXPECT_TRUE(run_until([&] { return accepted.has_value(); }, 2s));
    // It asked the store instead, or reported that no node near enough is connected to it.
    EXPECT_EQ(*accepted, origin.calls > 0);
}

}
}
