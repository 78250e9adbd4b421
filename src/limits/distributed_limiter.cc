#include "src/limits/distributed_limiter.h"

#include <algorithm>
#include <utility>

#include "src/base/hash.h"

namespace saltquay::limits {

DistributedLimiter::DistributedLimiter(LimiterNode const& self, std::uint64_t boot, bool alone,
    LimitTolerance const& tolerance, LimiterParameters const& parameters, Time now)
    : parameters_(parameters)
    , tolerance_(tolerance)
    , order_(self)
    , watch_(parameters)
    , home_(parameters, tolerance)
    , life_(HashPair(HashText(self.name), boot))
    , alone_(alone)
    , joined_at_(alone ? now : now + parameters.joining)
{
}

bool DistributedLimiter::has_joined(Time now) const
{
    return configured_ && now >= joined_at_ && (alone_ || (!stopping_ && order_.size() > 1));
}

bool DistributedLimiter::may_be_home(Time now) const { return has_joined(now) && now >= replaced_until_; }

OwnerCandidate const* DistributedLimiter::home_of(Time now, std::uint64_t tenant) const
{
    return order_.first(tenant, [&](std::uint64_t node) {
        return node == order_.self().hash ? !may_be_home(now) : watch_.is_absent(now, node);
    });
}

OwnerCandidate const* DistributedLimiter::target_of(Time now, std::uint64_t tenant) const
{
    auto const is_left_out = [&](std::uint64_t node) {
        return node == order_.self().hash ? !may_be_home(now) : watch_.is_suspect(node) || watch_.is_absent(now, node);
    };
    int before = 0;
    auto const* target = order_.first(tenant, is_left_out, &before);
    return before >= parameters_.homes_tried ? nullptr : target;
}

// A single node has no rival, whatever it missed.
void DistributedLimiter::record_latency(Time now)
{
    auto const before = std::exchange(last_time_, now);
    if (!alone_ && before && now - *before >= parameters_.stood_still)
        home_.distrust(now);
}

void DistributedLimiter::set_limits(Time now, std::map<std::string, TenantLimit> const& limits)
{
    record_latency(now);
    configured_ = true;
    std::map<std::uint64_t, TenantLimit const*> next;
    for (auto const& [name, limit] : limits) {
        if (limit.rate_per_s <= 0)
            continue;
        auto const hash = HashText(name);
        next[hash] = &limit;
        auto& tenant = tenants_[hash];
        tenant.name = name;
        if (tenant.limit != limit) {
            tenant.own.reset();
            tenant.refused_until = now;
        }
        tenant.limit = limit;
        home_.change_limit(now, hash, limit);
    }
    std::erase_if(tenants_, [&](auto const& entry) {
        if (next.contains(entry.first))
            return false;
        home_.change_limit(now, entry.first, std::nullopt);
        return true;
    });
    rebalance(now);
}

void DistributedLimiter::set_nodes(Time now, std::vector<LimiterNode> const& nodes)
{
    record_latency(now);
    auto const joined = has_joined(now);
    for (auto const& node : nodes) {
        // A node that is new to the fleet is no owner yet, unlike one that returns from behind a cut. To one that has
        // just started, all others are new.
        auto const hash = HashText(node.name);
        if (known_before_.insert(hash).second && joined && was_joined_)
            watch_.note_declined(now, hash);
    }
    auto const changed = order_.set_nodes(nodes);
    if (changed || joined != was_joined_)
        rebalance(now);
    else
        hand_over_strays(now); // Handed to this node by one that knew fewer nodes.
    was_joined_ = joined;
}

void DistributedLimiter::set_reachable_nodes(Time now, Reach const& reach)
{
    record_latency(now);
    home_.set_reachable_nodes(now, reach);
}

void DistributedLimiter::hand_over_strays(Time now)
{
    std::vector<std::pair<std::uint64_t, OwnerCandidate const*>> leaving;
    home_.for_each([&](std::uint64_t tenant) {
        auto const* owner = home_of(now, tenant);
        if (owner != nullptr && owner->hash != order_.self().hash)
            leaving.emplace_back(tenant, owner);
    });
    for (auto const& [tenant, owner] : leaving)
        hand_over(now, tenant, owner);
}

void DistributedLimiter::rebalance(Time now)
{
    hand_over_strays(now);
    for (auto const& [hash, tenant] : tenants_) {
        auto const* owner = home_of(now, hash);
        if (owner == nullptr || owner->hash != order_.self().hash || home_.holds(hash))
            continue;
        home_.open(now, hash, tenant.limit, watch_.surveyed_share());
        output_.changes.push_back({ OwnershipChange::Kind::TookOver, tenant.name, "", home_.level(now, hash) });
    }
}

void DistributedLimiter::hand_over(Time now, std::uint64_t tenant, OwnerCandidate const* to)
{
    auto message = home_.give_up(now, tenant);
    message.from = order_.self().hash;
    message.key = { life_, ++last_charge_ };
    auto const known = tenants_.find(tenant);
    auto const name = known == tenants_.end() ? std::string() : known->second.name;
    output_.changes.push_back({ OwnershipChange::Kind::HandedOver, name, to->node.name, message.level });
    send(to->node.address, message);
}

void DistributedLimiter::begin_stop(Time now)
{
    record_latency(now);
    stopping_ = true;
    rebalance(now);
}

std::optional<Decision> DistributedLimiter::repeat_refusal(Time now, Limited const& tenant, std::int64_t cost) const
{
    if (now >= tenant.refused_at + parameters_.refusal_kept || now >= tenant.refused_until
        || cost < tenant.refused_cost)
        return std::nullopt;
    // A larger one fits when the rest has come in too.
    auto const rest = static_cast<double>(cost - tenant.refused_cost);
    auto const retry_after =
        tenant.refused_until - now + FromSeconds(rest / static_cast<double>(tenant.limit.rate_per_s));
    return Decision { Verdict::Refused, std::min(retry_after, parameters_.longest_retry_after), true, tenant.owner };
}

Decision DistributedLimiter::admit(Time now, std::uint64_t request, std::string_view name, std::int64_t cost)
{
    record_latency(now);
    auto const hash = HashText(name);
    auto const entry = tenants_.find(hash);
    if (entry == tenants_.end() || cost <= 0)
        return {};
    auto& tenant = entry->second;
    if (auto const refusal = repeat_refusal(now, tenant, cost)) {
        tenant.refused += cost;
        return *refusal;
    }
    Pending pending;
    pending.request = request;
    pending.ask.charge = { life_, ++last_charge_ };
    pending.ask.tenant = hash;
    pending.ask.cost = cost;
    pending.ask.reply_to = order_.self().node.address;
    pending.ends = now + parameters_.longest_wait;
    auto const* target = target_of(now, hash);
    if (target != nullptr && target->hash == order_.self().hash && is_owner(now, hash))
        return decide_here(now, request, tenant, pending.ask);
    if (!ask_next(now, pending))
        return decide_alone(now, request, tenant, hash, cost);
    asked_[pending.ask.charge] = request;
    pending_[request] = std::move(pending);
    return { Verdict::Pending, 0s, false, "" };
}

bool DistributedLimiter::is_owner(Time now, std::uint64_t tenant)
{
    auto const* owner = home_of(now, tenant);
    if (owner == nullptr || owner->hash != order_.self().hash)
        return false;
    if (!home_.holds(tenant))
        rebalance(now);
    return true;
}

Decision DistributedLimiter::decide_here(Time now, std::uint64_t request, Limited& tenant, ChargeRequest const& ask)
{
    auto answer = home_.decide(now, ask);
    answer.owner = order_.self().node.name;
    return conclude(now, request, tenant, { ask.charge, ask.tenant, ask.cost, order_.self().hash }, answer);
}

// Only where this node is cut off from all others: while it hears them, their homes admit for all, and a owner that is
// only slow would let every node admit besides. Until it is known of how many nodes this one is a part, its part is
// nothing.
Decision DistributedLimiter::decide_alone(
    Time now, std::uint64_t request, Limited& tenant, std::uint64_t hash, std::int64_t cost)
{
    auto const nodes = home_.largest_reach();
    Decision undecided { Verdict::Refused, parameters_.undecided_retry_after, false, "" };
    auto const cut_off = nodes > 1 && home_.reach() <= 1;
    if (now < joined_at_ || (!cut_off && !alone_)) {
        tenant.refused += cost;
        return undecided;
    }
    auto const part = 1.0 / std::max(1, nodes);
    auto const depth = part * home_.depth_of(tenant.limit);
    if (!tenant.own)
        tenant.own.emplace(
            now, part * static_cast<double>(tenant.limit.rate_per_s), depth, parameters_.first_level * depth);
    // While homes decided, the bucket did not fill: what they admitted is not known.
    if (now - tenant.decided_alone_at > parameters_.alone_pause)
        tenant.own->skip_to(now, depth);
    tenant.decided_alone_at = now;
    if (!tenant.own->take(now, static_cast<double>(cost), static_cast<double>(cost))) {
        tenant.refused += cost;
        return undecided;
    }
    tenant.admitted += cost;
    charges_[request] = { {}, hash, cost, 0 };
    return { Verdict::Admitted, 0s, false, order_.self().node.name };
}

Decision DistributedLimiter::conclude(
    Time now, std::uint64_t request, Limited& tenant, Charge const& charge, ChargeResponse const& answer)
{
    tenant.owner = answer.owner;
    if (answer.admitted) {
        tenant.admitted += charge.cost;
        charges_[request] = charge;
        return { Verdict::Admitted, 0s, false, answer.owner };
    }
    tenant.refused += charge.cost;
    tenant.refused_cost = charge.cost;
    tenant.refused_at = now;
    tenant.refused_until = now + answer.retry_after;
    return { Verdict::Refused, answer.retry_after, true, answer.owner };
}

bool DistributedLimiter::ask_next(Time now, Pending& pending)
{
    auto const* target = target_of(now, pending.ask.tenant);
    if (target == nullptr)
        return false;
    auto const* first = order_.first(pending.ask.tenant, [](std::uint64_t) { return false; });
    if (watch_.is_suspect(first->hash))
        pending.ask.unresponsive_owner = first->hash; // It may be silent to this node only.
    pending.next = now + parameters_.ask_again;
    if (target->hash == order_.self().hash) {
        ask_relay(now, pending);
        return true;
    }
    if (pending.target != target->hash)
        pending.asks = 0;
    pending.target = target->hash;
    ++pending.asks;
    send(target->node.address, pending.ask);
    return true;
}

// This node is the next after a owner that it does not hear: others may reach it.
void DistributedLimiter::ask_relay(Time now, Pending const& pending)
{
    auto const* owner = home_of(now, pending.ask.tenant);
    if (owner == nullptr || watch_.via(owner->hash).empty())
        return;
    auto ask = pending.ask;
    ask.unresponsive_owner = owner->hash;
    send(watch_.via(owner->hash), ask);
}

void DistributedLimiter::finish(std::uint64_t request, Decision const& decision)
{
    auto const pending = pending_.find(request);
    asked_.erase(pending->second.ask.charge);
    pending_.erase(pending);
    output_.decisions.push_back({ request, decision });
}

void DistributedLimiter::repeat_asks(Time now)
{
    std::vector<std::uint64_t> due;
    for (auto const& [request, pending] : pending_) {
        if (pending.next <= now || pending.ends <= now)
            due.push_back(request);
    }
    for (auto const request : due) {
        auto& pending = pending_.at(request);
        auto const entry = tenants_.find(pending.ask.tenant);
        if (entry == tenants_.end()) { // A version took its limit away.
            finish(request, {});
            continue;
        }
        if (pending.asks >= parameters_.asks_before_silent && order_.find(pending.target) != nullptr) {
            watch_.suspect(now, pending.target);
            pending.ask.unresponsive_owner = pending.target;
        }
        auto const* target = target_of(now, pending.ask.tenant);
        if (target != nullptr && target->hash == order_.self().hash && is_owner(now, pending.ask.tenant)) {
            finish(request, decide_here(now, request, entry->second, pending.ask));
        } else if (pending.ends <= now || !ask_next(now, pending)) {
            abandoned_[pending.ask.charge] = now;
            finish(request, decide_alone(now, request, entry->second, pending.ask.tenant, pending.ask.cost));
        }
    }
}

void DistributedLimiter::refund(Time now, std::uint64_t request)
{
    record_latency(now);
    if (auto const pending = pending_.find(request); pending != pending_.end()) {
        abandoned_[pending->second.ask.charge] = now;
        asked_.erase(pending->second.ask.charge);
        pending_.erase(pending);
        return;
    }
    auto const entry = charges_.extract(request);
    if (!entry)
        return;
    auto const& charge = entry.mapped();
    auto const tenant = tenants_.find(charge.tenant);
    if (tenant != tenants_.end())
        tenant->second.admitted -= charge.cost;
    if (charge.owner == 0) {
        if (tenant != tenants_.end() && tenant->second.own)
            tenant->second.own->credit(now, static_cast<double>(charge.cost));
    } else if (charge.owner == order_.self().hash) {
        home_.refund(now, charge.key);
    } else if (auto const* owner = order_.find(charge.owner)) {
        send(owner->node.address, ChargeRefund { charge.key, charge.tenant });
    }
}

void DistributedLimiter::step(Time now)
{
    record_latency(now);
    std::erase_if(abandoned_, [&](auto const& entry) { return now - entry.second > parameters_.answers_kept; });
    std::erase_if(relayed_, [&](auto const& entry) { return now - entry.second.at > parameters_.answers_kept; });
    auto const due = watch_.step(now, [&](std::uint64_t node) { return order_.find(node) != nullptr; });
    for (auto const node : due.probes) {
        if (auto const* owner = order_.find(node))
            send(owner->node.address, make_probe(now, OwnerProbe::Kind::Probe, watch_.is_absent(now, node) ? node : 0));
    }
    for (auto const node : due.surveys) {
        if (auto const* owner = order_.find(node))
            survey(now, *owner);
    }
    for (auto const node : due.absent) {
        if (auto const* owner = order_.find(node))
            output_.changes.push_back({ OwnershipChange::Kind::Unresponsive, "", owner->node.name, 0 });
    }
    if (!due.absent.empty() || due.joined)
        rebalance(now);
    repeat_asks(now);
}

std::optional<Time> DistributedLimiter::next_deadline() const
{
    auto next = watch_.next_deadline();
    for (auto const& [request, pending] : pending_) {
        auto const at = std::min(pending.next, pending.ends);
        next = next ? std::min(*next, at) : at;
    }
    return next;
}

std::vector<LimitStatus> DistributedLimiter::status(Time now) const
{
    std::vector<LimitStatus> all;
    all.reserve(tenants_.size());
    for (auto const& [hash, tenant] : tenants_) {
        LimitStatus status { tenant.name, tenant.owner, home_.level(now, hash), home_.holds(hash), tenant.admitted,
            tenant.refused };
        all.push_back(std::move(status));
    }
    return all;
}

std::unique_ptr<Limiter> make_distributed_limiter(
    LimiterNode const& self, std::uint64_t boot, bool alone, LimitTolerance const& tolerance, Time now)
{
    return std::make_unique<DistributedLimiter>(self, boot, alone, tolerance, LimiterParameters {}, now);
}

}
