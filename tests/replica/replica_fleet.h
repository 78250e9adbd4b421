// A fleet of nodes that replicate one object of a store, directly or through each other, with faults on each path: real
// relay servers on loopback, a store simulated in the test, and connections that can be blackholed.
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

// The object that all nodes replicate, and when each of its revisions was acknowledged.
struct StoreTable {
    std::int64_t revision = 100;        // Of the whole store.
    std::int64_t object_revision = 100; // Of the object's last change.
    std::string content = "content";
    std::vector<std::pair<Time, std::int64_t>> acknowledged;
    std::int64_t history_from = 0; // Watches since an earlier revision are rejected.
    bool watches_silent = false;   // Watches get no response.

    void put(Time now) { acknowledged.emplace_back(now, object_revision = ++revision); }
    // Changes an object of another kind.
    void put_other() { ++revision; }
    // Returns the newest revision that was acknowledged at least `age` before `now`.
    std::int64_t required_revision(Time now, Duration age) const;
};

// The store as seen by one node.
class NodeStore final : public gateway::ObjectStore {
public:
    enum class Fault {
        None,
        Unresponsive, // Calls get no response, neither those in flight nor new ones.
        Rejects,      // Calls are rejected at once, including those in flight.
    };
    NodeStore(boost::asio::io_context& loop, StoreTable const& table)
        : loop_(loop)
        , table_(table)
    {
    }

    void set_fault(Fault fault) { fault_ = fault; }
    Fault fault() const { return fault_; }
    // Responses arrive that much later, with the content that they had when the store sent them.
    void set_response_delay(Duration delay) { response_delay_ = delay; }
    Duration response_delay() const { return response_delay_; }
    // Closes the connections of all watches.
    void cut_watches() { ++cut_epoch_; }
    // Blackholes the current connections: calls in flight on them never get a response, and neither does the next call
    // if an idle connection is reused for it.
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
        Time until {};      // When a watch without changes responds.
        Time timeout_at {}; // When the store's client times out.
        std::uint64_t epoch = 0;
        std::uint64_t cut_epoch = 0;
        bool is_watch = false;
        // Returns the step that delivers the response, with the content of this moment.
        std::function<std::function<void()>(absl::Status const&)> respond;
    };
    std::shared_ptr<Call> begin_call(std::int64_t since, Duration wait);
    void finish(Call const&, absl::Status const&, Duration delay);
    // Responds if the store reaches the node and has something to say.
    bool try_respond(Call const&);
    // Responds, or checks again a little later.
    void poll(std::shared_ptr<Call> const&);
    gateway::StoredObject object() const;

    boost::asio::io_context& loop_;
    StoreTable const& table_;
    Fault fault_ = Fault::None;
    Duration response_delay_ {};
    std::uint64_t epoch_ = 0; // Of the connections that are not blackholed.
    std::uint64_t cut_epoch_ = 0;
    int in_flight_ = 0;
    bool idle_connection_is_dead_ = false;
};

// Forwards connections to an address; established ones can be blackholed, and all can be stalled.
class BlackholeProxy {
public:
    BlackholeProxy(boost::asio::io_context&, std::string const& target);
    ~BlackholeProxy();
    std::string address() const;
    void blackhole_connections();
    // While stalled, connections are accepted and carry no bytes, as if the process behind them were suspended.
    void set_stalled(bool stalled) { stalled_ = stalled; }

private:
    struct Pair;
    void accept();
    void start_pair(std::shared_ptr<Pair> const&);

    boost::asio::io_context& loop_;
    boost::asio::ip::tcp::endpoint target_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<Pair>> pairs_;
    bool stalled_ = false;
};

// One node: its store, its relay server, and the newest revision that it received.
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
    std::int64_t latest_revision = 0;
    std::uint64_t sequence = 0;
    bool suspended = false;
    // Until then the freshness limit does not apply to the node, because its path to the store has, or recently had, a
    // fault.
    Time exempt_until {};
};

class ReplicaFleet {
public:
    // `zones`: the zone of each node; earlier nodes have higher link capacities.
    ReplicaFleet(boost::asio::io_context&, std::vector<std::string> const& zones, UpstreamParameters const&);

    ReplicaNode& node(std::size_t i) { return *nodes_[i]; }
    std::size_t size() const { return nodes_.size(); }
    StoreTable& table() { return table_; }

    void start();
    // Faults: of one node's path to the store, or of all keep-alive connections to the store and between nodes.
    void set_fault(std::size_t node, NodeStore::Fault);
    void blackhole_connections();
    // The responses of the store reach the node late, or its process does not run.
    void set_response_delay(std::size_t node, Duration);
    void suspend(std::size_t node, bool suspended);
    // Watches get no response until end_silence(), which also closes them and drops the history of changes.
    void begin_silence() { table_.watches_silent = true; }
    void end_silence();
    void set_reports_arrive(bool arrive) { reports_arrive_ = arrive; }
    // To be called every 50 ms: exchanges reports between the nodes, updates which nodes are exempt, and checks the
    // freshness limit.
    void step();
    // The maximum delay beyond the limit with which a connected node received a change.
    Duration worst_delay() const { return worst_delay_; }
    std::string worst_node() const { return worst_node_; }
    // The maximum time by which a node claimed to be fresher than it was.
    Duration worst_overstatement() const { return worst_overstatement_; }

    // Time without a fault after which the limit applies to a node again.
    static constexpr Duration reconnect_period = 3s;
    // From the acknowledgement of a change until all connected nodes must have it.
    static constexpr Duration apply_limit = 2s;

private:
    void exchange_reports();
    void check(Time now);
    void check_claimed_age(ReplicaNode const&);

    boost::asio::io_context& loop_;
    StoreTable table_;
    std::vector<std::unique_ptr<ReplicaNode>> nodes_;
    Time next_reports_ {};
    bool reports_arrive_ = true;
    Duration worst_delay_ {};
    Duration worst_overstatement_ {};
    std::string worst_node_;
};

}
