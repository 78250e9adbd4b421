// An ObjectStore for the nodes of a large fleet: lists and watches go to the store itself or to a peer that has a copy
// (see upstream_selector.h); writes and single reads always go to the store.
//
// Protocol. A node serves its followers from its replica for as long as the replica is fresh (see freshness_tracker.h).
// A follower repeats long-polling watches; each gets a response when there is a change, or when the store has confirmed
// that there is none. When the replica becomes stale, the upstream does not respond, or a peer's report names a change
// that has not arrived, the follower continues from its current revision at the next upstream, at last at the store
// itself. Each response carries its number of hops, so that long chains are rejected, and its age. A node that starts
// while the store is down accepts a stale list from any peer. While changes keep arriving, a minimum interval separates
// calls to the store, so that one response carries several changes.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include <utility> // Boost 1.74's Asio needs it first under C++20.

#include <boost/asio/io_context.hpp>

#include "saltquay/fetch/fetcher.h"
#include "saltquay/replica/freshness_tracker.h"
#include "saltquay/replica/record_replica.h"
#include "saltquay/replica/upstream_selector.h"
#include "src/core/serving/peer_table.h"
#include "src/gateway/object_store.h"
#include "src/http/boot_timer.h"

namespace saltquay::replica {

struct RelayedStoreOptions {
    serving::PeerNode self;
    std::vector<std::string> seeds;    // Addresses of possible peers, asked while no peer is known.
    UpstreamSelector::Regions regions; // The region of each zone.
    UpstreamParameters upstream;
    FreshnessParameters freshness;
    // Timeout of a follower's watch, longer than the time between two confirmations.
    std::chrono::milliseconds follower_watch_timeout { 900 };
    // Added to the watch timeout for the response to arrive.
    std::chrono::milliseconds follower_watch_margin { 300 };
    // Time after the start in which the peers' reports are awaited before the first list.
    std::chrono::milliseconds startup_peer_wait { 0 };
    // Between two watches at the store if the first returned changes. Changes of engine records must take effect within
    // seconds.
    std::chrono::milliseconds min_store_watch_interval { 500 };
    int max_hops = 2; // Of relayed content: reader, relay, and a relay that is about to become a reader.
};

// The state of a node's replica of one kind, for its log.
struct ReplicaStatus {
    bool fresh = false;
    Duration age {};           // Since the store confirmed the replica.
    std::int64_t revision = 0; // The store revision up to which the replica is complete.
    std::string upstream;      // The node that this one follows; empty if it reads the store.
    int hops = 0;              // From the store to this node.
    Duration response_time {}; // From the request of the last accepted response to its arrival.
    // The newest change in the replica, and the newest one that any peer reports.
    std::int64_t changed_at = 0;
    std::int64_t peer_changed_at = 0;
};

class RelayedStore final : public gateway::ObjectStore {
public:
    RelayedStore(boost::asio::io_context&, gateway::ObjectStore& origin, RelayedStoreOptions);

    void List(std::string const& kind, std::function<void(absl::StatusOr<gateway::ObjectList>)> done) override;
    void Watch(std::string const& kind, std::int64_t revision, std::chrono::milliseconds wait,
        std::function<void(absl::StatusOr<gateway::ObjectEvents>)> done) override;
    void Write(std::string const& kind, gateway::StoredObject const&,
        std::function<void(absl::StatusOr<gateway::StoredObject>)> done) override;
    void Read(std::string const& kind, std::string const& name,
        std::function<void(absl::StatusOr<gateway::StoredObject>)> done) override;

    // Updates the known peers from their reports. `last_changes`: see update_last_changes.
    void update_peers(std::vector<serving::PeerNode> nodes, std::span<serving::RecordMark const> last_changes);
    // Compares the replicas with the newest change of each kind that any peer has; call it several times a second.
    void update_last_changes(std::span<serving::RecordMark const> last_changes);
    // The newest revision of each kind in this node's replicas, for its own report.
    std::vector<serving::RecordMark> marks() const;

    // Responses for followers. Errors: kFailedPrecondition: this node has just started and has no replica yet;
    // kUnavailable: the replica is stale, or there is none because the store rejects this node; kOutOfRange: the
    // changes were evicted from the history.
    absl::StatusOr<RelayedList> list_for_peer(std::string const& kind, bool allow_stale);
    absl::StatusOr<RelayedEvents> changes_for_peer(std::string const& kind, std::int64_t since);
    // The encoded list_for_peer(). Followers that ask for the same objects share the work.
    absl::StatusOr<std::string> encoded_list_for_peer(std::string const& kind, bool allow_stale);
    // The time as of which the replica of that kind is confirmed to be complete.
    Time confirmed(std::string const& kind) const;
    ReplicaStatus status(std::string const& kind) const;

    // Called after changes of a kind were applied or its replica was confirmed.
    std::function<void(std::string const& kind)> on_record_update;
    // Called when the replica of a kind becomes stale, and when it becomes fresh again.
    std::function<void(std::string const& kind, ReplicaStatus const&)> on_freshness_change;
    // Called when this node's replica has lacked a change that peers report for longer than the allowed lag.
    std::function<void(std::string const& kind, ReplicaStatus const&)> on_lag;
    // Called with each response of the store to a watch: the time from its request, less the wait that was asked for.
    std::function<void(std::string const& kind, Duration delay)> on_watch_response;
    // Called when lists and watches of a kind switch to another upstream; an empty node means the store.
    std::function<void(std::string const& kind, std::string const& node, std::string const& cause)> on_upstream_change;
    // Called with each response of a peer: the peer, and the size of the body.
    std::function<void(serving::PeerNode const&, std::size_t bytes)> on_peer_response;
    // Called before each call to the store; `call` is list, watch, read or write.
    std::function<void(std::string const& kind, std::string_view call, std::string_view cause)> on_store_call;

private:
    struct Kind {
        RecordReplica replica;
        PackedList packed_list; // Of this version of the replica.
        std::uint64_t packed_version = 0;
        std::unique_ptr<FreshnessTracker> freshness;
        bool reported_fresh = false;   // Last reported to on_freshness_change.
        bool retried_at_store = false; // The watch was repeated at the store since the replica became stale.
        bool reads_store = false;
        // The store rejected a call of this node or did not respond since it last confirmed anything.
        bool store_failed = false;
        int hops = 0; // From the store to this node.
        Time next_store_watch {};
        Time behind_since {};
        std::int64_t peer_changed_at = 0; // The newest change that any peer reports.
        Duration response_time {};        // Of the last accepted response.
        std::string upstream;             // Last reported to on_upstream_change.

        // The watch in flight.
        bool watching = false;
        std::uint64_t watch_id = 0; // Responses to earlier watches are ignored.
        std::int64_t revision = 0;
        std::function<void(absl::StatusOr<gateway::ObjectEvents>)> watch_done;
        fetch::FetchId fetch = 0;
        std::string follows;
    };
    // A request to a peer, and when it was sent.
    struct PeerRequest {
        std::string node;
        Time requested_at {};
    };
    // A watch at the store: its id, when it was sent, and how long it was to be held open.
    struct StoreWatch {
        std::uint64_t id = 0;
        Time requested_at {};
        std::chrono::milliseconds wait {};
    };
    using ListHandler = std::function<void(absl::StatusOr<gateway::ObjectList>)>;

    static Time now();
    void list_at_store(std::string const& kind, ListHandler const&);
    void list_at_peer(std::string const& kind, serving::PeerNode const&, bool allow_stale, ListHandler const&);
    void deliver_list(std::string const& kind, gateway::ObjectList const&, ListHandler const&);
    // Sends the watch to the currently selected upstream; `cause`: why it differs from the previous one.
    void watch_upstream(std::string const& kind, std::string const& cause);
    void watch_at_store(std::string const& kind, std::string const& cause);
    // Sends the watch to the store at once.
    void send_store_watch(std::string const& kind, std::chrono::milliseconds wait, std::string const& cause);
    void on_store_changes(
        std::string const& kind, StoreWatch const&, absl::StatusOr<gateway::ObjectEvents> const& events);
    void watch_at_store_after(std::string const& kind, Duration delay, std::string const& cause);
    void on_peer_changes(
        std::string const& kind, std::uint64_t watch_id, PeerRequest const&, absl::StatusOr<fetch::Reply> const& reply);
    void list_at_any_peer(std::string const& kind, ListHandler const&);
    void watch_at_peer(std::string const& kind, serving::PeerNode const&);
    // `valid_as_of`: the time as of which the response is complete, see FreshnessTracker.
    void finish_watch(std::string const& kind, std::uint64_t watch_id, absl::StatusOr<gateway::ObjectEvents> const&,
        Time valid_as_of);
    void check_lag(std::string const& kind, Kind&, std::int64_t last_change);
    void report_upstream_change(std::string const& kind, std::string const& node, std::string const& cause);
    Kind& kind_state(std::string const& kind);
    void confirm(std::string const& kind, Time valid_as_of);
    // The time as of which a response proves the replica to be complete, see FreshnessTracker.
    static Time valid_as_of(PeerRequest const&, Provenance const&);
    static Time valid_as_of(StoreWatch const&, gateway::ObjectEvents const&);
    // Stops relaying at once: followers that another node could serve must not wait until this replica is stale.
    void record_store_failure(Kind&);
    // The replica of the kind is stale: tries another connection or another upstream.
    void on_stale(std::string const& kind);
    void report_freshness_change(std::string const& kind);
    bool may_relay(Kind const&) const;
    absl::Status check_list_request(std::string const& kind, bool allow_stale) const;
    static Provenance provenance(Kind const&);
    void report_store_call(std::string const& kind, std::string_view call, std::string_view cause);
    // `options`: the time limits of the call.
    fetch::FetchId send_peer_request(
        serving::PeerNode const&, std::string const& target, fetch::Options options, fetch::Fetcher::Handler);

    boost::asio::io_context& loop_;
    gateway::ObjectStore& origin_;
    RelayedStoreOptions options_;
    fetch::Fetcher fetcher_;
    UpstreamSelector selector_;
    std::vector<serving::PeerNode> peers_;
    std::map<std::string, Kind> kinds_;
    Time started_;
};

}
