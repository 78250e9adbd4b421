#include "saltquay/replica/relayed_store.h"

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
constexpr std::chrono::milliseconds peer_connect { 250 };
// A list is waited for as long as it comes: given up, its bytes are spent for nothing, and the next peer sends them
// anew over links that are as full. A thousand engines are 300 KB, which a relay on a narrow link sends to several.
constexpr std::chrono::milliseconds peer_list_stall { 900 };
constexpr std::chrono::milliseconds peer_list_timeout { 6000 };
constexpr std::chrono::milliseconds start_step { 50 };
constexpr std::chrono::milliseconds shortest_wait { 1 };
constexpr Duration probe_interval = 1s;

absl::Status to_status(fetch::Reply const& reply)
{
    if (reply.status == gone)
        return absl::OutOfRangeError("the peer forgot its history");
    return absl::UnavailableError(fmt::format("the peer answered {}", reply.status));
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
        auto const timer = std::make_shared<BootTimer>(loop_, start_step);
        timer->async_wait([this, timer, kind, done](boost::system::error_code error) {
            if (!error)
                List(kind, done);
        });
        return;
    }
    auto const upstream = selector_.choose(peers_, now());
    if (upstream.source == Upstream::Source::Store)
        return list_at_store(kind, done);
    if (upstream.source == Upstream::Source::Nobody)
        return list_anywhere(kind, done);
    list_at_peer(kind, upstream.peer, false, [this, kind, done](auto const& list) {
        if (list.ok())
            return done(list);
        // A node that failed is not chosen again for a while: this comes to an end.
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
    note_upstream(kind, "", "list");
    note_call(kind, "list", "list");
    origin_.List(kind, [this, kind, done, asked = now()](absl::StatusOr<ObjectList> const& list) {
        auto& state = kind_state(kind);
        if (!list.ok()) {
            record_store_failure(state);
            return state.replica.known() ? done(list) : list_anywhere(kind, done);
        }
        selector_.record_store_success(now());
        state.reads_store = true;
        state.hops = 0;
        state.replica.replace(*list);
        // Its pages may have come one after the other.
        confirm(kind, asked);
        take_list(kind, *list, done);
    });
}

// A node that knows nothing yet is better served by a peer's knowledge than by none.
void RelayedStore::list_anywhere(std::string const& kind, ListHandler const& done)
{
    if (kind_state(kind).replica.known() || peers_.empty()) {
        boost::asio::post(loop_, [done] { done(absl::UnavailableError("no node hears the store")); });
        return;
    }
    auto const& peer = peers_[static_cast<std::size_t>(now().time_since_epoch().count()) % peers_.size()];
    list_at_peer(kind, peer, true, done);
}

void RelayedStore::list_at_peer(
    std::string const& kind, serving::PeerNode const& peer, bool allow_stale, ListHandler const& done)
{
    auto const target = fmt::format("/records/{}{}", kind, allow_stale ? "?stale=1" : "");
    PeerRequest const question { peer.node, now() };
    ask(peer, target, [this, kind, done, question](absl::StatusOr<fetch::Reply> const& reply) {
        auto const& node = question.node;
        if (reply.ok() && reply->status == too_early)
            selector_.record_starting(node, now());
        if (reply.ok() && reply->status == unavailable)
            selector_.note_disconnected(node, now());
        if (reply.ok() && (reply->status == too_early || reply->status == unavailable))
            return done(to_status(*reply));
        absl::StatusOr<RelayedList> passed = reply.ok() ? to_status(*reply) : reply.status();
        if (reply.ok() && reply->status == ok)
            passed = decode_list(reply->body);
        auto& state = kind_state(kind);
        if (passed.ok() && passed->list.at < state.replica.at())
            passed = absl::UnavailableError("the peer knows less than this node");
        if (!passed.ok()) {
            selector_.avoid(node, now());
            return done(passed.status());
        }
        note_upstream(kind, node, "list");
        state.reads_store = false;
        state.follows = node;
        state.replica.replace(passed->list);
        state.hops = passed->from.hops + 1;
        confirm(kind, valid_as_of(question, passed->from));
        take_list(kind, passed->list, done);
    });
}

void RelayedStore::take_list(std::string const& kind, ObjectList const& list, ListHandler const& done)
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
    ++state.turn;
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
    if (upstream.source == Upstream::Source::Nobody)
        return finish_watch(kind, state.turn, absl::UnavailableError("no node hears the store"), Time {});
    watch_at_store(kind, cause);
}

void RelayedStore::watch_at_store(std::string const& kind, std::string const& cause)
{
    auto& state = kind_state(kind);
    fetcher_.cancel(state.fetch);
    note_upstream(kind, "", cause);
    state.reads_store = true;
    if (now() < state.next_store_watch)
        return watch_at_store_after(kind, state.next_store_watch - now(), cause);
    ask_store(kind, state.freshness->time_to_next_confirmation(now()), cause);
}

void RelayedStore::ask_store(std::string const& kind, std::chrono::milliseconds wait, std::string const& cause)
{
    auto const& state = kind_state(kind);
    note_call(kind, "watch", cause);
    origin_.Watch(kind, state.revision, wait,
        [this, kind, asked = now(), turn = state.turn](absl::StatusOr<ObjectEvents> const& events) {
            auto& answered = kind_state(kind);
            if (answered.turn != turn || !answered.watching)
                return;
            if (events.ok()) {
                selector_.record_store_success(now());
                answered.hops = 0;
                if (!events->events.empty())
                    answered.next_store_watch = asked + options_.min_store_watch_interval;
            } else if (!absl::IsOutOfRange(events.status())) {
                record_store_failure(answered);
            }
            finish_watch(kind, turn, events, now());
        });
}

void RelayedStore::watch_at_store_after(std::string const& kind, Duration pause, std::string const& cause)
{
    auto const timer = std::make_shared<BootTimer>(loop_, pause);
    timer->async_wait([this, timer, kind, cause, turn = kind_state(kind).turn](boost::system::error_code error) {
        auto const& state = kind_state(kind);
        if (!error && state.watching && state.turn == turn && state.reads_store)
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
    PeerRequest const question { peer.node, now() };
    state.fetch =
        ask(peer, target, [this, kind, turn = state.turn, question](absl::StatusOr<fetch::Reply> const& reply) {
            on_peer_changes(kind, turn, question, reply);
        });
}

void RelayedStore::on_peer_changes(
    std::string const& kind, std::uint64_t turn, PeerRequest const& question, absl::StatusOr<fetch::Reply> const& reply)
{
    auto& state = kind_state(kind);
    auto const& node = question.node;
    if (!state.watching || state.turn != turn || state.reads_store || state.follows != node)
        return;
    if (reply.ok() && reply->status == gone)
        return finish_watch(kind, turn, to_status(*reply), Time {});
    absl::StatusOr<RelayedEvents> passed = reply.ok() ? to_status(*reply) : reply.status();
    if (reply.ok() && reply->status == ok)
        passed = decode_events(reply->body);
    if (passed.ok() && passed->events.at >= state.revision && passed->from.hops <= options_.max_hops) {
        note_upstream(kind, node, "follows");
        state.hops = passed->from.hops + 1;
        return finish_watch(kind, turn, passed->events, valid_as_of(question, passed->from));
    }
    if (reply.ok() && reply->status == unavailable) {
        selector_.note_disconnected(node, now());
        return watch_upstream(kind, "the upstream does not hear the store");
    }
    selector_.avoid(node, now());
    watch_upstream(kind, passed.ok() ? "the upstream knows less" : "the upstream does not answer");
}

void RelayedStore::finish_watch(
    std::string const& kind, std::uint64_t turn, absl::StatusOr<ObjectEvents> const& events, Time valid_as_of)
{
    auto& state = kind_state(kind);
    if (!state.watching || state.turn != turn)
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
    note_call(kind, "write", "write");
    origin_.Write(kind, object, std::move(done));
}

void RelayedStore::Read(
    std::string const& kind, std::string const& name, std::function<void(absl::StatusOr<StoredObject>)> done)
{
    note_call(kind, "read", "read");
    origin_.Read(kind, name, std::move(done));
}

void RelayedStore::update_peers(std::vector<serving::PeerNode> nodes, std::span<serving::RecordMark const> last_changes)
{
    peers_ = std::move(nodes);
    for (auto const& mark : last_changes) {
        auto const entry = kinds_.find(mark.kind);
        if (entry != kinds_.end() && entry->second.watching)
            check_lag(mark.kind, entry->second, mark.changed_at);
    }
}

// A change that some peer knows and that has not come here: the watch may hang on a dead connection.
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
    state.behind_since = now() + probe_interval;
    if (!state.reads_store) {
        selector_.avoid(state.follows, now());
        return watch_upstream(kind, "the upstream lags");
    }
    // The first answer counts; the other is ignored.
    ask_store(kind, shortest_wait, "the store's watch lags");
}

void RelayedStore::note_upstream(std::string const& kind, std::string const& node, std::string const& cause)
{
    auto& told = kind_state(kind).upstream;
    auto const& name = node.empty() ? std::string("store") : node;
    if (told == name)
        return;
    told = name;
    if (on_upstream_change)
        on_upstream_change(kind, node, cause);
}

void RelayedStore::note_call(std::string const& kind, std::string_view call, std::string_view cause)
{
    if (on_store_call)
        on_store_call(kind, call, cause);
}

fetch::FetchId RelayedStore::ask(serving::PeerNode const& peer, std::string const& target, fetch::Fetcher::Handler done)
{
    http::RequestHead head;
    head.method = "GET";
    head.target = target;
    head.fields.Add("Host", peer.address);
    fetch::Options options;
    // A watch holds its connection: kinds must not wait for each other.
    options.pool = peer.address + target.substr(0, target.find('?'));
    options.connect_timeout = peer_connect;
    auto const waits = target.find("wait_ms") != std::string::npos;
    options.timeout = waits ? options_.follower_watch_timeout + options_.follower_watch_margin : peer_list_timeout;
    if (!waits)
        options.stall_timeout = peer_list_stall;
    return fetcher_.fetch(peer.address, head, "", options,
        [this, peer, done = std::move(done)](absl::StatusOr<fetch::Reply> const& reply) {
            if (reply.ok() && on_peer_response)
                on_peer_response(peer, reply->body.size());
            done(reply);
        });
}

}
