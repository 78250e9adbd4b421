// The store as a node of a large fleet sees it: lists and watches go to the
// store itself or to a peer that reads it (see upstream_selector.h); writes and
// single reads always go to the store.
//
// Protocol. A node answers its followers from its replica, as long as what it knows is
// fresh (see freshness_tracker.h). A follower asks again and again, and each question waits for
// a change, or until the store has confirmed that there is none. When what it knows grows stale, its upstream does
// not answer, or some peer's report names a change that has not come, the follower
// asks the next one from where it stands, at last the store itself. Each answer says
// through how many nodes it went, so that long chains are refused, and how old it is. A node that starts while the
// store is down takes what any peer has. While changes keep coming, calls to the store keep a distance: what comes
// meanwhile comes in one answer.
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
    std::vector<std::string> seeds;    // Addresses of peers that may be there; asked while no peer is heard.
    UpstreamSelector::Regions regions; // Of each zone.
    UpstreamParameters upstream;
    FreshnessParameters freshness;
    std::chrono::milliseconds follower_watch_timeout { 900 }; // Beyond the time between two confirmations.
    std::chrono::milliseconds follower_watch_margin { 300 };  // For the reader's answer, beyond its wait.
    std::chrono::milliseconds startup_peer_wait { 0 };        // After the start, for the peers' reports.
    // Between two watches at the store where the first brought changes. Engines' records are obeyed within seconds.
    std::chrono::milliseconds min_store_watch_interval { 500 };
    int max_hops = 2; // Of what is passed on: reader, relay, and one that is about to become a reader.
};

// What a node knows of a kind, for its log.
struct ReplicaStatus {
    bool fresh = false;
    Duration age {};           // Since the store confirmed it.
    std::int64_t revision = 0; // Of the store, up to which it is complete.
    std::string upstream;      // The node that this one follows; empty: it reads the store.
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

    // Takes over what the peers report; call it some times a second.
    // `last_changes`: of each kind, the newest change that any of them knows.
    void update_peers(std::vector<serving::PeerNode> nodes, std::span<serving::RecordMark const> last_changes);
    // What this node knows, for its own report.
    std::vector<serving::RecordMark> marks() const;

    // Answers for followers. Errors: kFailedPrecondition: this node has just started and knows nothing yet;
    // kUnavailable: what it knows is stale;
    // kOutOfRange: the changes are forgotten here.
    absl::StatusOr<RelayedList> list_for_peer(std::string const& kind, bool allow_stale);
    absl::StatusOr<RelayedEvents> changes_for_peer(std::string const& kind, std::int64_t since);
    // Up to when what this node knows of that kind is complete.
    Time confirmed(std::string const& kind) const;

    // Called after changes of that kind were taken over, or what is known was confirmed.
    std::function<void(std::string const& kind)> on_record_update;
    // Called when what is known of a kind becomes stale, and when it is fresh again.
    std::function<void(std::string const& kind, ReplicaStatus const&)> on_freshness_change;
    // Called when lists and watches of a kind go to another upstream; empty: the store.
    std::function<void(std::string const& kind, std::string const& node, std::string const& cause)> on_upstream_change;
    // Called with each answer of a peer: where it came from, and its size.
    std::function<void(serving::PeerNode const&, std::size_t bytes)> on_peer_response;
    // Called before each call to the store; `call`: list, watch, read or write.
    std::function<void(std::string const& kind, std::string_view call, std::string_view cause)> on_store_call;

private:
    struct Kind {
        RecordReplica replica;
        std::unique_ptr<FreshnessTracker> freshness;
        bool told_fresh = false;  // Last told to on_freshness_change.
        bool asked_again = false; // The store, since what is known became stale.
        bool reads_store = false;
        bool store_failed = false; // It refused this node, or did not answer, since it last confirmed anything.
        int hops = 0;              // From the store to this node.
        Time next_store_watch {};
        Time behind_since {};
        std::string upstream; // Last told to on_upstream_change.

        // The watch under way.
        bool watching = false;
        std::uint64_t turn = 0; // Answers to earlier watches are ignored.
        std::int64_t revision = 0;
        std::function<void(absl::StatusOr<gateway::ObjectEvents>)> watch_done;
        fetch::FetchId fetch = 0;
        std::string follows;
    };
    // What a peer was asked, and when.
    struct PeerRequest {
        std::string node;
        Time asked {};
    };
    using ListHandler = std::function<void(absl::StatusOr<gateway::ObjectList>)>;

    static Time now();
    void list_at_store(std::string const& kind, ListHandler const&);
    void list_at_peer(std::string const& kind, serving::PeerNode const&, bool allow_stale, ListHandler const&);
    void take_list(std::string const& kind, gateway::ObjectList const&, ListHandler const&);
    // Asks the upstream that is chosen now; `cause`: why it is another one than before.
    void watch_upstream(std::string const& kind, std::string const& cause);
    void watch_at_store(std::string const& kind, std::string const& cause);
    // Asks the store for what it has now.
    void ask_store(std::string const& kind, std::chrono::milliseconds wait, std::string const& cause);
    void watch_at_store_after(std::string const& kind, Duration pause, std::string const& cause);
    void on_peer_changes(
        std::string const& kind, std::uint64_t turn, PeerRequest const&, absl::StatusOr<fetch::Reply> const& reply);
    void list_anywhere(std::string const& kind, ListHandler const&);
    void watch_at_peer(std::string const& kind, serving::PeerNode const&);
    // `valid_as_of`: up to when the answer is, see FreshnessTracker.
    void finish_watch(
        std::string const& kind, std::uint64_t turn, absl::StatusOr<gateway::ObjectEvents> const&, Time valid_as_of);
    void check_lag(std::string const& kind, Kind&, std::int64_t last_change);
    void note_upstream(std::string const& kind, std::string const& node, std::string const& cause);
    Kind& kind_state(std::string const& kind);
    void confirm(std::string const& kind, Time valid_as_of);
    static Time valid_as_of(PeerRequest const&, Provenance const&);
    // What followers could hear through another node must not wait until what is known here is stale.
    void record_store_failure(Kind&);
    // What is known of the kind is stale: asks elsewhere.
    void on_stale(std::string const& kind);
    void tell_freshness(std::string const& kind);
    bool may_pass_on(Kind const&) const;
    static Provenance provenance(Kind const&);
    void note_call(std::string const& kind, std::string_view call, std::string_view cause);
    fetch::FetchId ask(serving::PeerNode const&, std::string const& target, fetch::Fetcher::Handler);

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
