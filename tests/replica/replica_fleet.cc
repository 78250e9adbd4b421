#include "tests/replica/replica_fleet.h"

#include <algorithm>

#include <boost/asio/write.hpp>

#include "src/base/boot_clock.h"

namespace saltquay::replica {
namespace {

constexpr Duration report_interval = 400ms;
constexpr std::chrono::milliseconds poll_interval { 5 };
// The timeout of the platform's store client.
constexpr Duration call_timeout = 1500ms;

std::string free_address(boost::asio::io_context& loop)
{
    boost::asio::ip::tcp::acceptor probe(loop, { boost::asio::ip::address_v4::loopback(), 0 });
    return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

RelayedStoreOptions make_options(
    std::string const& name, std::string const& zone, int link_mbps, UpstreamParameters const& parameters)
{
    RelayedStoreOptions options;
    options.self = { name, "", zone, link_mbps, false };
    options.upstream = parameters;
    return options;
}

}

std::int64_t StoreTable::required_revision(Time now, Duration age) const
{
    std::int64_t known = 0;
    for (auto const& [at, revision] : acknowledged) {
        if (at + age <= now)
            known = revision;
    }
    return known;
}

void NodeStore::blackhole_connections()
{
    ++epoch_;
    idle_connection_is_dead_ = in_flight_ == 0;
}

gateway::StoredObject NodeStore::object() const { return { "main", table_.object_revision, table_.content }; }

std::shared_ptr<NodeStore::Call> NodeStore::begin_call(std::int64_t since, Duration wait)
{
    ++calls;
    ++in_flight_;
    auto call = std::make_shared<Call>();
    call->since = since;
    call->until = BootNow() + wait;
    call->timeout_at = call->until + call_timeout;
    // Reuses the idle connection, whether blackholed or not.
    call->epoch = idle_connection_is_dead_ ? epoch_ - 1 : epoch_;
    call->cut_epoch = cut_epoch_;
    idle_connection_is_dead_ = false;
    return call;
}

void NodeStore::List(std::string const&, std::function<void(absl::StatusOr<gateway::ObjectList>)> done)
{
    auto const call = begin_call(0, 0s);
    call->respond = [this, done](absl::Status const& status) -> std::function<void()> {
        if (!status.ok())
            return [done, status] { done(status); };
        return [done, list = gateway::ObjectList { { object() }, table_.revision }] { done(list); };
    };
    poll(call);
}

void NodeStore::Watch(std::string const&, std::int64_t revision, std::chrono::milliseconds wait,
    std::function<void(absl::StatusOr<gateway::ObjectEvents>)> done)
{
    auto const call = begin_call(revision, wait);
    call->is_watch = true;
    call->respond = [this, revision, done](absl::Status const& status) -> std::function<void()> {
        if (!status.ok())
            return [done, status] { done(status); };
        gateway::ObjectEvents events;
        events.at = table_.revision;
        if (table_.object_revision > revision)
            events.events.push_back({ false, object() });
        return [done, events] { done(events); };
    };
    poll(call);
}

void NodeStore::finish(Call const& call, absl::Status const& status, Duration delay)
{
    --in_flight_;
    auto const deliver = call.respond(status);
    if (delay == Duration {})
        return deliver();
    auto const timer = std::make_shared<BootTimer>(loop_, delay);
    timer->async_wait([timer, deliver](boost::system::error_code error) {
        if (!error)
            deliver();
    });
}

bool NodeStore::try_respond(Call const& call)
{
    if (fault_ != Fault::None || call.epoch != epoch_)
        return false;
    if (call.is_watch && call.cut_epoch != cut_epoch_) {
        finish(call, absl::DeadlineExceededError("the connection was lost"), response_delay_);
        return true;
    }
    if (call.is_watch && table_.watches_silent)
        return false;
    if (call.is_watch && call.since < table_.history_from) {
        finish(call, absl::OutOfRangeError("history is gone"), response_delay_);
        return true;
    }
    if (table_.object_revision <= call.since && BootNow() < call.until)
        return false;
    finish(call, absl::OkStatus(), response_delay_);
    return true;
}

void NodeStore::poll(std::shared_ptr<Call> const& call)
{
    auto const timer = std::make_shared<BootTimer>(loop_, poll_interval);
    timer->async_wait([this, timer, call](boost::system::error_code error) {
        if (error)
            return;
        auto const now = BootNow();
        if (now >= call->timeout_at)
            return finish(*call, absl::DeadlineExceededError("no response in time"), 0s);
        if (fault_ == Fault::Rejects)
            return finish(*call, absl::UnavailableError("the store responded with HTTP status 429"), 0s);
        if (!try_respond(*call))
            poll(call);
    });
}

struct BlackholeProxy::Pair : std::enable_shared_from_this<BlackholeProxy::Pair> {
    Pair(boost::asio::io_context& event_loop, bool const& proxy_stalled)
        : loop(event_loop)
        , client_side(loop)
        , server_side(loop)
        , stalled(proxy_stalled)
    {
    }
    // Runs `step` once the connection is not stalled.
    void when_running(std::function<void()> step)
    {
        if (!stalled)
            return step();
        auto const timer = std::make_shared<BootTimer>(loop, poll_interval);
        timer->async_wait([self = shared_from_this(), timer, step = std::move(step)](boost::system::error_code error) {
            if (!error)
                self->when_running(step);
        });
    }
    void pump(boost::asio::ip::tcp::socket& from, boost::asio::ip::tcp::socket& to, std::array<char, 16384>& bytes)
    {
        from.async_read_some(boost::asio::buffer(bytes),
            [self = shared_from_this(), &from, &to, &bytes](boost::system::error_code error, std::size_t count) {
                if (error)
                    return self->close();
                if (self->blackholed)
                    return self->pump(from, to, bytes);
                self->when_running([self, &from, &to, &bytes, count] { self->forward(from, to, bytes, count); });
            });
    }
    void forward(boost::asio::ip::tcp::socket& from, boost::asio::ip::tcp::socket& to, std::array<char, 16384>& bytes,
        std::size_t count)
    {
        boost::asio::async_write(to, boost::asio::buffer(bytes.data(), count),
            [self = shared_from_this(), &from, &to, &bytes](boost::system::error_code error, std::size_t) {
                if (error)
                    return self->close();
                self->pump(from, to, bytes);
            });
    }
    void close()
    {
        boost::system::error_code ignored;
        server_side.close(ignored);
        // A blackholed connection does not even signal that it was closed.
        if (!blackholed)
            client_side.close(ignored);
    }

    boost::asio::io_context& loop;
    boost::asio::ip::tcp::socket client_side;
    boost::asio::ip::tcp::socket server_side;
    std::array<char, 16384> to_server {};
    std::array<char, 16384> to_client {};
    bool blackholed = false;
    bool const& stalled;
};

BlackholeProxy::BlackholeProxy(boost::asio::io_context& loop, std::string const& target)
    : loop_(loop)
    , target_(*http::ParseEndpoint(target))
    , acceptor_(loop, { boost::asio::ip::address_v4::loopback(), 0 })
{
    accept();
}

BlackholeProxy::~BlackholeProxy() = default;

std::string BlackholeProxy::address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }

void BlackholeProxy::blackhole_connections()
{
    for (auto const& weak : pairs_) {
        if (auto const pair = weak.lock())
            pair->blackholed = true;
    }
    pairs_.clear();
}

void BlackholeProxy::accept()
{
    auto const pair = std::make_shared<Pair>(loop_, stalled_);
    acceptor_.async_accept(pair->client_side, [this, pair](boost::system::error_code error) {
        if (error)
            return;
        pairs_.push_back(pair);
        pair->server_side.async_connect(target_, [pair](boost::system::error_code connect_error) {
            if (connect_error)
                return pair->close();
            pair->pump(pair->client_side, pair->server_side, pair->to_server);
            pair->pump(pair->server_side, pair->client_side, pair->to_client);
        });
        accept();
    });
}

ReplicaNode::ReplicaNode(boost::asio::io_context& loop, StoreTable const& store_table, std::string const& node_name,
    std::string const& node_zone, int mbps, UpstreamParameters const& parameters)
    : name(node_name)
    , zone(node_zone)
    , link_mbps(mbps)
    , origin(loop, store_table)
    , store(loop, origin, make_options(node_name, node_zone, mbps, parameters))
    , relay(std::make_unique<RelayServer>(loop, store))
    , table(node_name)
{
    auto const address = free_address(loop);
    if (!relay->listen(address).ok())
        std::abort();
    link = std::make_unique<BlackholeProxy>(loop, address);
    store.on_record_update = [this](std::string const& kind) { relay->on_record_update(kind); };
    gateway::WatcherHandlers handlers;
    handlers.on_list = [this](gateway::ObjectList const& list) {
        for (auto const& object : list.items)
            latest_revision = std::max(latest_revision, object.revision);
    };
    handlers.on_event = [this](gateway::ObjectEvent const& event) {
        latest_revision = std::max(latest_revision, event.object.revision);
    };
    handlers.on_connectivity_changed = [](bool, std::string const&) {};
    watcher = std::make_unique<gateway::CollectionWatcher>(
        loop, store, "config", gateway::WatcherTimings {}, 1, std::move(handlers));
}

serving::PeerReport ReplicaNode::report()
{
    serving::PeerReport report;
    report.node = name;
    report.address = link->address();
    report.zone = zone;
    report.link_mbps = link_mbps;
    report.sequence = ++sequence;
    report.records = store.marks();
    return report;
}

ReplicaFleet::ReplicaFleet(
    boost::asio::io_context& loop, std::vector<std::string> const& zones, UpstreamParameters const& parameters)
    : loop_(loop)
{
    table_.put(BootNow());
    constexpr int widest_link = 1000;
    for (std::size_t i = 0; i < zones.size(); ++i) {
        auto const width = widest_link - static_cast<int>(i);
        nodes_.push_back(
            std::make_unique<ReplicaNode>(loop_, table_, "n" + std::to_string(i), zones[i], width, parameters));
    }
}

void ReplicaFleet::start()
{
    exchange_reports();
    for (auto const& node : nodes_) {
        node->exempt_until = BootNow() + reconnect_period;
        node->watcher->Start();
    }
}

void ReplicaFleet::set_fault(std::size_t node, NodeStore::Fault fault)
{
    nodes_[node]->origin.set_fault(fault);
    nodes_[node]->exempt_until = BootNow() + reconnect_period;
}

void ReplicaFleet::blackhole_connections()
{
    for (auto const& node : nodes_) {
        node->origin.blackhole_connections();
        node->link->blackhole_connections();
        node->exempt_until = BootNow() + reconnect_period;
    }
}

void ReplicaFleet::set_response_delay(std::size_t node, Duration delay)
{
    nodes_[node]->origin.set_response_delay(delay);
    nodes_[node]->exempt_until = BootNow() + reconnect_period;
}

void ReplicaFleet::suspend(std::size_t node, bool suspended)
{
    auto& suspended_node = *nodes_[node];
    suspended_node.suspended = suspended;
    suspended_node.link->set_stalled(suspended);
    set_fault(node, suspended ? NodeStore::Fault::Unresponsive : NodeStore::Fault::None);
}

void ReplicaFleet::end_silence()
{
    table_.watches_silent = false;
    table_.history_from = table_.revision;
    for (auto const& node : nodes_)
        node->origin.cut_watches();
}

void ReplicaFleet::step()
{
    auto const now = BootNow();
    if (now >= next_reports_)
        exchange_reports();
    for (auto const& node : nodes_) {
        if (node->origin.fault() != NodeStore::Fault::None || node->origin.response_delay() != Duration {})
            node->exempt_until = now + reconnect_period;
        node->store.update_peers(node->table.ReportingNodes(), node->table.LastChanges());
    }
    check(now);
}

void ReplicaFleet::exchange_reports()
{
    auto const now = BootNow();
    next_reports_ = now + report_interval;
    for (auto const& from : nodes_) {
        if (from->suspended || (!reports_arrive_ && from->sequence > 0))
            continue;
        auto const report = from->report();
        for (auto const& to : nodes_) {
            if (to != from)
                to->table.RecordReport(report, now);
        }
    }
}

void ReplicaFleet::check(Time now)
{
    for (auto const& node : nodes_) {
        check_claimed_age(*node);
        if (now < node->exempt_until || node->latest_revision >= table_.required_revision(now, apply_limit))
            continue;
        for (auto const& [at, revision] : table_.acknowledged) {
            auto const delay = now - at - apply_limit;
            if (revision <= node->latest_revision || delay <= worst_delay_)
                continue;
            worst_delay_ = std::chrono::duration_cast<Duration>(delay);
            worst_node_ = node->name;
        }
    }
}

// A node lacks no change that was acknowledged before the time as of which it claims to be complete.
void ReplicaFleet::check_claimed_age(ReplicaNode const& node)
{
    if (node.latest_revision == 0)
        return;
    auto const claimed = node.store.confirmed("config");
    for (auto const& [at, revision] : table_.acknowledged) {
        if (revision > node.latest_revision && at < claimed)
            worst_overstatement_ = std::max(worst_overstatement_, std::chrono::duration_cast<Duration>(claimed - at));
    }
}

}
