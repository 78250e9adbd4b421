// Freshness of a node's replicas: how their age is determined, what happens when one is stale, and what is relayed.
#include <algorithm>

#include "saltquay/replica/relayed_store.h"
#include "src/replica/record_codec.h"

namespace saltquay::replica {
namespace {

constexpr std::chrono::milliseconds min_watch_wait { 1 };

}

// Network time counts as age: the response was written `hold_time` after the request arrived, which was after it was
// sent.
Time RelayedStore::valid_as_of(PeerRequest const& request, Provenance const& from)
{
    if (!from.age)
        return Time {};
    return std::min(request.requested_at + from.hold_time, now()) - *from.age;
}

// A response without changes was held for the whole wait. When one with changes was sent is not known. Network time
// counts as age.
Time RelayedStore::valid_as_of(StoreWatch const& watch, gateway::ObjectEvents const& events)
{
    return events.events.empty() ? std::min(watch.requested_at + watch.wait, now()) : watch.requested_at;
}

void RelayedStore::confirm(std::string const& kind, Time valid_as_of)
{
    auto& state = kind_state(kind);
    state.freshness->confirm(valid_as_of, state.hops);
    state.retried_at_store = false;
    state.store_failed = false;
    report_freshness_change(kind);
}

void RelayedStore::report_freshness_change(std::string const& kind)
{
    auto& state = kind_state(kind);
    auto const fresh = state.freshness->is_fresh(now());
    if (fresh == state.reported_fresh)
        return;
    state.reported_fresh = fresh;
    if (on_freshness_change)
        on_freshness_change(kind, status(kind));
}

ReplicaStatus RelayedStore::status(std::string const& kind) const
{
    auto const entry = kinds_.find(kind);
    if (entry == kinds_.end())
        return {};
    auto const& state = entry->second;
    ReplicaStatus status;
    status.fresh = state.freshness->is_fresh(now());
    status.age = state.freshness->age(now());
    status.revision = state.replica.at();
    status.upstream = state.reads_store ? std::string() : state.follows;
    status.hops = state.hops;
    status.response_time = state.response_time;
    status.changed_at = state.replica.changed_at();
    status.peer_changed_at = state.peer_changed_at;
    return status;
}

void RelayedStore::on_stale(std::string const& kind)
{
    report_freshness_change(kind);
    auto& state = kind_state(kind);
    // A list or a retry delay is in progress; its completion sends a new request.
    if (!state.watching)
        return;
    if (!state.reads_store) {
        selector_.record_disconnected(state.follows, now());
        return watch_upstream(kind, "the upstream's replica is stale");
    }
    // The connection of the watch may be dead: repeats the watch on another one. The first response counts.
    if (!state.retried_at_store) {
        state.retried_at_store = true;
        return send_store_watch(kind, min_watch_wait, "the watch at the store is overdue");
    }
    record_store_failure(state);
    watch_upstream(kind, "the store does not respond");
}

void RelayedStore::record_store_failure(Kind& state)
{
    state.store_failed = true;
    selector_.record_store_failure(now());
}

Time RelayedStore::confirmed(std::string const& kind) const
{
    auto const entry = kinds_.find(kind);
    return entry == kinds_.end() ? Time {} : entry->second.freshness->confirmed();
}

bool RelayedStore::may_relay(Kind const& state) const
{
    return !state.store_failed && state.hops <= options_.max_hops && state.freshness->is_fresh(now());
}

Provenance RelayedStore::provenance(Kind const& state)
{
    Provenance from;
    from.hops = state.hops;
    if (state.freshness->confirmed() != Time {})
        from.age = std::chrono::ceil<std::chrono::milliseconds>(state.freshness->age(now()));
    return from;
}

std::vector<serving::RecordMark> RelayedStore::marks() const
{
    std::vector<serving::RecordMark> marks;
    for (auto const& [kind, state] : kinds_)
        marks.push_back({ kind, state.replica.changed_at() });
    return marks;
}

absl::Status RelayedStore::check_list_request(std::string const& kind, bool allow_stale) const
{
    auto const entry = kinds_.find(kind);
    auto const is_listed = entry != kinds_.end() && entry->second.replica.has_snapshot();
    if (!is_listed && entry != kinds_.end() && entry->second.store_failed)
        return absl::UnavailableError("this node has no replica, and the store rejects it");
    if (!is_listed)
        return absl::FailedPreconditionError("this node has no replica yet");
    if (!allow_stale && !may_relay(entry->second))
        return absl::UnavailableError("this node's replica is stale");
    return absl::OkStatus();
}

absl::StatusOr<RelayedList> RelayedStore::list_for_peer(std::string const& kind, bool allow_stale)
{
    auto const status = check_list_request(kind, allow_stale);
    if (!status.ok())
        return status;
    auto const& state = kind_state(kind);
    return RelayedList { state.replica.list(), provenance(state) };
}

absl::StatusOr<std::string> RelayedStore::encoded_list_for_peer(std::string const& kind, bool allow_stale)
{
    auto const status = check_list_request(kind, allow_stale);
    if (!status.ok())
        return status;
    auto& state = kind_state(kind);
    if (state.packed_version != state.replica.version()) {
        state.packed_version = state.replica.version();
        state.packed_list = pack(state.replica.list());
    }
    return encode(state.packed_list, state.replica.at(), provenance(state));
}

absl::StatusOr<RelayedEvents> RelayedStore::changes_for_peer(std::string const& kind, std::int64_t since)
{
    auto const entry = kinds_.find(kind);
    if (entry == kinds_.end() || !may_relay(entry->second))
        return absl::UnavailableError("this node's replica is stale");
    auto const& replica = entry->second.replica;
    // A requester with a newer revision from elsewhere waits like any other.
    if (since > replica.at())
        return RelayedEvents { { {}, since }, provenance(entry->second) };
    auto changes = replica.changes_since(since);
    if (!changes)
        return absl::OutOfRangeError("these changes were evicted from the history");
    return RelayedEvents { *changes, provenance(entry->second) };
}

}
