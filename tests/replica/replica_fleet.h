// Nodes that learn one object from a store, itself or through each other, with faults of each way: real relays on
// loopback, a store in the test, links that can fall silent.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include <utility> // Boost 1.74's Asio needs it first under C++20.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "saltquay/replica/relay_server.h"
#include "saltquay/replica/relayed_store.h"
#include "src/base/random.h"
#include "src/gateway/collection_watcher.h"

namespace saltquay::replica {

// The object that all nodes want to know, and when each of its revisions was acknowledged.
struct StoreTable {
    std::int64_t revision = 100;
    std::vector<std::pair<Time, std::int64_t>> acknowledged;

    void put(Time now) { acknowledged.emplace_back(now, ++revision); }
    // The newest revision acknowledged `age` before `now`, or earlier.
    std::int64_t known_since(Time now, Duration age) const;
};

// The store as one node reaches it.
class NodeStore final : public gateway::ObjectStore {
public:
    enum class Fault {
        None,
        Silent,  // Calls are not answered, neither those under way nor new ones.
        Refuses, // Calls are turned away at once, those under way too.
    };
    NodeStore(boost::asio::io_context& loop, StoreTable const& table)
        : loop_(loop)
        , table_(table)
    {
    }

    void set_fault(Fault fault) { fault_ = fault; }
    Fault fault() const { return fault_; }
    // Connections are dead from now on: what is under way on them is never answered, nor is the next call if one rests.
    void blackhole_connections();

    void List(std::string const&, std::function<void(absl::StatusOr<gateway::ObjectList>)> done) override;
    void Watch(std::string const&, std::int64_t revision, std::chrono::milliseconds wait,
        std::function<void(absl::StatusOr<gateway::ObjectEvents>)> done) override;
    void Write(std::string const&, gateway::StoredObject const&,
        std::function<void(absl::StatusOr<gateway::StoredObject>)>) override
    {
    }
    void Read(
        std::string const&, std::string const&, std::function<void(absl::StatusOr<gateway::StoredObject>)>) override
    {
    }

    int calls = 0;

private:
    struct Call {
        std::int64_t since = 0;
        Time until {};    // A watch without changes is answered then.
        Time given_up {}; // By the client of the store.
        std::uint64_t epoch = 0;
        std::function<void(absl::Status const&)> done;
    };
    std::shared_ptr<Call> begin_call(std::int64_t since, Duration wait);
    void finish(Call const&, absl::Status const&);
    // Answers, or looks again a little later.
    void poll(std::shared_ptr<Call> const&);
    gateway::StoredObject object() const;

    boost::asio::io_context& loop_;
    StoreTable const& table_;
    Fault fault_ = Fault::None;
    std::uint64_t epoch_ = 0; // Of the connections that work.
    int under_way_ = 0;
    bool resting_is_dead_ = false;
};

// Passes connections on to an address; those that are up can be silenced.
class BlackholeProxy {
public:
    BlackholeProxy(boost::asio::io_context&, std::string const& target);
    ~BlackholeProxy();
    std::string address() const;
    void blackhole_connections();

private:
    struct Pair;
    void accept();

    boost::asio::io_context& loop_;
    boost::asio::ip::tcp::endpoint target_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<Pair>> pairs_;
};

// One node: its store, its relay, and what it has seen.
struct ReplicaNode {
    ReplicaNode(boost::asio::io_context&, StoreTable const&, std::string const& name, std::string const& zone,
        int link_mbps, UpstreamParameters const&);
    serving::PeerReport report();

    std::string name;
    std::string zone;
    int link_mbps;
    NodeStore origin;
    RelayedStore store;
    std::unique_ptr<RelayServer> relay;
    std::unique_ptr<BlackholeProxy> link;
    serving::PeerTable table;
    std::unique_ptr<gateway::CollectionWatcher> watcher;
    std::int64_t seen = 0;
    std::uint64_t sequence = 0;
    Time out_of_touch_until {}; // Its own way to the store is, or was lately, in a fault.
};

class ReplicaFleet {
public:
    // `zones`: the zone of each node; earlier nodes have wider links.
    ReplicaFleet(boost::asio::io_context&, std::vector<std::string> const& zones, UpstreamParameters const&);

    ReplicaNode& node(std::size_t i) { return *nodes_[i]; }
    std::size_t size() const { return nodes_.size(); }
    StoreTable& table() { return table_; }

    void start();
    // Faults: one node's way to the store, all kept connections to the store and between nodes.
    void set_fault(std::size_t node, NodeStore::Fault);
    void blackhole_connections();
    // Every 50 ms of the test's time: reports between the nodes, marks of being in touch, and the check of the rule.
    void step();
    // How much later than allowed some node in touch had a change, at worst.
    Duration worst_delay() const { return worst_delay_; }
    std::string worst_node() const { return worst_node_; }

    static constexpr Duration contact = 3s;     // Without a fault, until a node is bound by the rule.
    static constexpr Duration apply_limit = 2s; // From a change's acknowledgement until all in touch have it.

private:
    void exchange_reports();
    void check(Time now);

    boost::asio::io_context& loop_;
    StoreTable table_;
    std::vector<std::unique_ptr<ReplicaNode>> nodes_;
    Time next_reports_ {};
    Duration worst_delay_ {};
    std::string worst_node_;
};

}
