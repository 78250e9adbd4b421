#include "saltquay/replica/relayed_store.h"

#include <algorithm>
#include <memory>

#include <boost/asio/post.hpp>
#include <fmt/format.h>

#include "src/base/status.h"
#include "src/replica/record_codec.h"

namespace saltquay::replica {
namespace {

using gateway::ObjectEvents;
using gateway::ObjectList;
using gateway::StoredObject;

constexpr int ok = 200;
constexpr int gone = 410;
constexpr int too_early = 425;
constexpr int unavailable = 503;
constexpr std::uint64_t max_peer_reply_bytes = 16 * 1024 * 1024; // All records of a kind.
constexpr std::chrono::milliseconds peer_connect_timeout { 250 };
// A list may take as long as data keeps arriving. Giving up wastes the bytes that were received, and the next peer
// would send them again over links that are just as busy. The records of a thousand engines take 300 KB, which a relay
// on a narrow link sends to several followers.
constexpr std::chrono::milliseconds peer_list_stall_timeout { 900 };
// The same for a node that has a replica already: while it lists, nothing else keeps the replica within its limit.
constexpr std::chrono::milliseconds peer_relist_stall_timeout { 300 };
constexpr std::chrono::milliseconds peer_list_timeout { 6000 };
constexpr std::chrono::milliseconds startup_check_interval { 50 };
constexpr std::chrono::milliseconds min_watch_wait { 1 };
constexpr Duration lag_retry_interval = 1s;

absl::Status to_status(fetch::Reply const& reply)
{
    if (reply.status == gone)
        return absl::OutOfRangeError("the peer has evicted these changes from its history");
    return absl::UnavailableError(fmt::format("the peer responded with HTTP status {}", reply.status));
}

}

RelayedStore::RelayedStore(boost::asio::io_context& loop, gateway::ObjectStore& origin, RelayedStoreOptions options)
    : loop_(loop)
    , origin_(origin)
    , options_(std::move(options))
    , fetcher_(loop)
    , selector_(options_.self, options_.upstream, options_.seeds, options_.regions)
    , started_(now())
{
}

Time RelayedStore::now() { return BootNow(); }

void RelayedStore::List(std::string const& kind, std::function<void(absl::StatusOr<ObjectList>)> done)
{
    if (now() < started_ + options_.startup_peer_wait) {
        auto const timer = std::make_shared<BootTimer>(loop_, startup_check_interval);
        timer->async_wait([this, timer, kind, done](boost::system::error_code error) {
            if (!error)
                List(kind, done);
        });
        return;
    }
    auto const upstream = selector_.choose(peers_, now());
    if (upstream.source == Upstream::Source::Store)
        return list_at_store(kind, done);
    if (upstream.source == Upstream::Source::None)
        return list_at_any_peer(kind, done);
    list_at_peer(kind, upstream.peer, false, [this, kind, done](auto const& list) {
        if (list.ok())
            return done(list);
        // A node that failed is avoided for a while, so this recursion ends.
        List(kind, done);
    });
}

RelayedStore::Kind& RelayedStore::kind_state(std::string const& kind)
{
    auto& state = kinds_[kind];
    if (state.freshness == nullptr) {
        state.freshness =
            std::make_unique<FreshnessTracker>(loop_, options_.freshness, [this, kind] { on_stale(kind); });
    }
    return state;
}

void RelayedStore::list_at_store(std::string const& kind, ListHandler const& done)
{
    report_upstream_change(kind, "", "list");
    report_store_call(kind, "list", "list");
    origin_.List(kind, [this, kind, done, requested_at = now()](absl::StatusOr<ObjectList> const& list) {
        auto& state = kind_state(kind);
        if (!list.ok()) {
            record_store_failure(state);
            return state.replica.has_snapshot() ? done(list) : list_at_any_peer(kind, done);
        }
        selector_.record_store_success(now());
        state.reads_store = true;
        state.hops = 0;
        state.replica.replace(*list);
        state.response_time = now() - requested_at;
        // The pages of the list may have been read one after the other, so the list is complete only as of the request.
        confirm(kind, requested_at);
        deliver_list(kind, *list, done);
    });
}

// For a node without a replica, stale data from a peer is better than none.
void RelayedStore::list_at_any_peer(std::string const& kind, ListHandler const& done)
{
    if (kind_state(kind).replica.has_snapshot() || peers_.empty()) {
        boost::asio::post(loop_, [done] { done(absl::UnavailableError("no node is connected to the store")); });
        return;
    }
    auto const& peer = peers_[static_cast<std::size_t>(now().time_since_epoch().count()) % peers_.size()];
    list_at_peer(kind, peer, true, done);
}

void RelayedStore::list_at_peer(
    std::string const& kind, serving::PeerNode const& peer, bool allow_stale, ListHandler const& done)
{
    auto const target = fmt::format("/records/{}{}", kind, allow_stale ? "?stale=1" : "");
    PeerRequest const request { peer.node, now() };
    fetch::Options options;
    options.timeout = peer_list_timeout;
    options.stall_timeout =
        kind_state(kind).replica.has_snapshot() ? peer_relist_stall_timeout : peer_list_stall_timeout;
    send_peer_request(peer, target, options, [this, kind, done, request](absl::StatusOr<fetch::Reply> const& reply) {
        auto const& node = request.node;
        if (reply.ok() && reply->status == too_early)
            selector_.record_starting(node, now());
        if (reply.ok() && reply->status == unavailable)
            selector_.record_disconnected(node, now());
        if (reply.ok() && (reply->status == too_early || reply->status == unavailable))
            return done(to_status(*reply));
        absl::StatusOr<RelayedList> relayed = reply.ok() ? to_status(*reply) : reply.status();
        if (reply.ok() && reply->status == ok)
            relayed = decode_list(reply->body);
        auto& state = kind_state(kind);
        if (relayed.ok() && relayed->list.at < state.replica.at())
            relayed = absl::UnavailableError("the peer's list is older than this node's replica");
        if (!relayed.ok()) {
            selector_.avoid(node, now());
            return done(relayed.status());
        }
        report_upstream_change(kind, node, "list");
        state.reads_store = false;
        state.follows = node;
        state.replica.replace(relayed->list);
        state.hops = relayed->from.hops + 1;
        state.response_time = now() - request.requested_at;
        confirm(kind, valid_as_of(request, relayed->from));
        deliver_list(kind, relayed->list, done);
    });
}

void RelayedStore::deliver_list(std::string const& kind, ObjectList const& list, ListHandler const& done)
{
    done(list);
    if (on_record_update)
        on_record_update(kind);
}

void RelayedStore::Watch(std::string const& kind, std::int64_t revision, std::chrono::milliseconds,
    std::function<void(absl::StatusOr<ObjectEvents>)> done)
{
    auto& state = kind_state(kind);
    state.watching = true;
    ++state.watch_id;
    state.revision = revision;
    state.watch_done = std::move(done);
    watch_upstream(kind, "reader");
}

void RelayedStore::watch_upstream(std::string const& kind, std::string const& cause)
{
    auto& state = kind_state(kind);
    auto const upstream = selector_.choose(peers_, now());
    if (upstream.source == Upstream::Source::Peer)
        return watch_at_peer(kind, upstream.peer);
    if (upstream.source == Upstream::Source::None)
        return finish_watch(kind, state.watch_id, absl::UnavailableError("no node is connected to the store"), Time {});
    watch_at_store(kind, cause);
}

void RelayedStore::watch_at_store(std::string const& kind, std::string const& cause)
{
    auto& state = kind_state(kind);
    fetcher_.cancel(state.fetch);
    report_upstream_change(kind, "", cause);
    state.reads_store = true;
    if (now() < state.next_store_watch)
        return watch_at_store_after(kind, state.next_store_watch - now(), cause);
    send_store_watch(kind, state.freshness->time_to_next_confirmation(now()), cause);
}

void RelayedStore::send_store_watch(std::string const& kind, std::chrono::milliseconds wait, std::string const& cause)
{
    auto const& state = kind_state(kind);
    report_store_call(kind, "watch", cause);
    StoreWatch const watch { state.watch_id, now(), wait };
    origin_.Watch(kind, state.revision, wait,
        [this, kind, watch](absl::StatusOr<ObjectEvents> const& events) { on_store_changes(kind, watch, events); });
}

void RelayedStore::on_store_changes(
    std::string const& kind, StoreWatch const& watch, absl::StatusOr<ObjectEvents> const& events)
{
    auto& state = kind_state(kind);
    auto const response_time = now() - watch.requested_at;
    if (events.ok() && on_watch_response)
        on_watch_response(kind, response_time - watch.wait);
    if (!state.watching || state.watch_id != watch.id)
        return;
    // A lost history and a response that cannot be used are responses, too: the list that must follow is not held back.
    if (events.ok() || absl::IsOutOfRange(events.status()) || absl::IsDataLoss(events.status()))
        selector_.record_store_success(now());
    else
        record_store_failure(state);
    if (!events.ok())
        return finish_watch(kind, watch.id, events, Time {});
    state.hops = 0;
    state.response_time = response_time;
    if (!events->events.empty())
        state.next_store_watch = watch.requested_at + options_.min_store_watch_interval;
    finish_watch(kind, watch.id, events, valid_as_of(watch, *events));
}

void RelayedStore::watch_at_store_after(std::string const& kind, Duration delay, std::string const& cause)
{
    auto const timer = std::make_shared<BootTimer>(loop_, delay);
    timer->async_wait(
        [this, timer, kind, cause, watch_id = kind_state(kind).watch_id](boost::system::error_code error) {
            auto const& state = kind_state(kind);
            if (!error && state.watching && state.watch_id == watch_id && state.reads_store)
                watch_at_store(kind, cause);
        });
}

void RelayedStore::watch_at_peer(std::string const& kind, serving::PeerNode const& peer)
{
    auto& state = kind_state(kind);
    fetcher_.cancel(state.fetch);
    state.reads_store = false;
    state.follows = peer.node;
    auto const target =
        fmt::format("/records/{}?since={}&wait_ms={}", kind, state.revision, options_.follower_watch_timeout.count());
    PeerRequest const request { peer.node, now() };
    fetch::Options options;
    options.timeout = options_.follower_watch_timeout + options_.follower_watch_margin;
    state.fetch = send_peer_request(peer, target, options,
        [this, kind, watch_id = state.watch_id, request](
            absl::StatusOr<fetch::Reply> const& reply) { on_peer_changes(kind, watch_id, request, reply); });
}

void RelayedStore::on_peer_changes(std::string const& kind, std::uint64_t watch_id, PeerRequest const& request,
    absl::StatusOr<fetch::Reply> const& reply)
{
    auto& state = kind_state(kind);
    auto const& node = request.node;
    if (!state.watching || state.watch_id != watch_id || state.reads_store || state.follows != node)
        return;
    if (reply.ok() && reply->status == gone)
        return finish_watch(kind, watch_id, to_status(*reply), Time {});
    absl::StatusOr<RelayedEvents> relayed = reply.ok() ? to_status(*reply) : reply.status();
    if (reply.ok() && reply->status == ok)
        relayed = decode_events(reply->body);
    if (relayed.ok() && relayed->events.at >= state.revision && relayed->from.hops <= options_.max_hops) {
        selector_.record_connected();
        report_upstream_change(kind, node, "follows");
        state.hops = relayed->from.hops + 1;
        state.response_time = now() - request.requested_at;
        return finish_watch(kind, watch_id, relayed->events, valid_as_of(request, relayed->from));
    }
    if (reply.ok() && reply->status == unavailable) {
        selector_.record_disconnected(node, now());
        return watch_upstream(kind, "the upstream is disconnected from the store");
    }
    selector_.avoid(node, now());
    watch_upstream(kind,
        relayed.ok() ? "the upstream's replica is older or too many hops from the store"
                     : "the upstream does not respond");
}

void RelayedStore::finish_watch(
    std::string const& kind, std::uint64_t watch_id, absl::StatusOr<ObjectEvents> const& events, Time valid_as_of)
{
    auto& state = kind_state(kind);
    if (!state.watching || state.watch_id != watch_id)
        return;
    state.watching = false;
    if (events.ok()) {
        state.replica.apply(*events);
        confirm(kind, valid_as_of);
    }
    auto const done = std::move(state.watch_done);
    done(events);
    if (events.ok() && on_record_update)
        on_record_update(kind);
}

void RelayedStore::Write(
    std::string const& kind, StoredObject const& object, std::function<void(absl::StatusOr<StoredObject>)> done)
{
    report_store_call(kind, "write", "write");
    origin_.Write(kind, object, std::move(done));
}

void RelayedStore::Read(
    std::string const& kind, std::string const& name, std::function<void(absl::StatusOr<StoredObject>)> done)
{
    report_store_call(kind, "read", "read");
    origin_.Read(kind, name, std::move(done));
}

void RelayedStore::update_peers(std::vector<serving::PeerNode> nodes, std::span<serving::RecordMark const> last_changes)
{
    peers_ = std::move(nodes);
    update_last_changes(last_changes);
}

void RelayedStore::update_last_changes(std::span<serving::RecordMark const> last_changes)
{
    for (auto const& mark : last_changes) {
        auto const entry = kinds_.find(mark.kind);
        if (entry == kinds_.end())
            continue;
        entry->second.peer_changed_at = std::max(entry->second.peer_changed_at, mark.changed_at);
        if (entry->second.watching)
            check_lag(mark.kind, entry->second, mark.changed_at);
    }
}

// A peer has a change that has not arrived here: the watch may hang on a dead connection.
void RelayedStore::check_lag(std::string const& kind, Kind& state, std::int64_t last_change)
{
    if (last_change <= state.replica.at()) {
        state.behind_since = Time {};
        return;
    }
    if (state.behind_since == Time {})
        state.behind_since = now();
    if (now() - state.behind_since < options_.upstream.lag_grace)
        return;
    state.behind_since = now() + lag_retry_interval;
    if (on_lag)
        on_lag(kind, status(kind));
    if (!state.reads_store) {
        selector_.avoid(state.follows, now());
        return watch_upstream(kind, "the upstream lags behind the peers");
    }
    // The first response counts; the other one is ignored.
    send_store_watch(kind, min_watch_wait, "the watch at the store lags behind the peers");
}

void RelayedStore::report_upstream_change(std::string const& kind, std::string const& node, std::string const& cause)
{
    auto& reported = kind_state(kind).upstream;
    auto const& name = node.empty() ? std::string("store") : node;
    if (reported == name)
        return;
    reported = name;
    if (on_upstream_change)
        on_upstream_change(kind, node, cause);
}

void RelayedStore::report_store_call(std::string const& kind, std::string_view call, std::string_view cause)
{
    if (on_store_call)
        on_store_call(kind, call, cause);
}

fetch::FetchId RelayedStore::send_peer_request(
    serving::PeerNode const& peer, std::string const& target, fetch::Options options, fetch::Fetcher::Handler done)
{
    http::RequestHead head;
    head.method = "GET";
    head.target = target;
    head.fields.Add("Host", peer.address);
    // A watch occupies its connection: watches of different kinds must not queue behind each other.
    options.pool = peer.address + target.substr(0, target.find('?'));
    options.connect_timeout = peer_connect_timeout;
    options.max_body_bytes = max_peer_reply_bytes;
    return fetcher_.fetch(peer.address, head, "", options,
        [this, peer, done = std::move(done)](absl::StatusOr<fetch::Reply> const& reply) {
            if (reply.ok() && on_peer_response)
                on_peer_response(peer, reply->body.size());
            done(reply);
        });
}

}
