#include "src/limits/distributed_limiter.h"

#include <algorithm>
#include <utility>

#include "src/base/hash.h"

namespace saltquay::limits {

DistributedLimiter::DistributedLimiter(LimiterNode const& self, std::uint64_t incarnation, bool single_node,
    LimitTolerance const& tolerance, LimiterParameters const& parameters, Time now)
    : parameters_(parameters)
    , tolerance_(tolerance)
    , ranking_(self)
    , detector_(parameters)
    , buckets_(parameters, tolerance)
    , incarnation_hash_(HashPair(HashText(self.name), incarnation))
    , single_node_(single_node)
    , ready_at_(single_node ? now : now + parameters.warm_up)
{
}

bool DistributedLimiter::is_ready(Time now) const
{
    return configured_ && now >= ready_at_ && (single_node_ || (!stopping_ && ranking_.size() > 1));
}

bool DistributedLimiter::can_be_owner(Time now) const { return is_ready(now) && now >= stepped_down_until_; }

OwnerCandidate const* DistributedLimiter::owner_of(Time now, std::uint64_t tenant) const
{
    return ranking_.first_candidate(tenant, [&](std::uint64_t node) {
        return node == ranking_.self().hash ? !can_be_owner(now) : detector_.is_unavailable(now, node);
    });
}

OwnerCandidate const* DistributedLimiter::next_target(Time now, std::uint64_t tenant) const
{
    auto const is_excluded = [&](std::uint64_t node) {
        return node == ranking_.self().hash ? !can_be_owner(now)
                                            : detector_.is_suspect(node) || detector_.is_unavailable(now, node);
    };
    int skipped = 0;
    auto const* target = ranking_.first_candidate(tenant, is_excluded, &skipped);
    return skipped >= parameters_.max_owner_candidates ? nullptr : target;
}

void DistributedLimiter::check_for_pause(Time now)
{
    auto const previous = std::exchange(last_time_, now);
    if (!single_node_ && previous && now - *previous >= parameters_.pause_threshold)
        buckets_.restart_probation(now);
}

void DistributedLimiter::set_limits(Time now, std::map<std::string, TenantLimit> const& limits)
{
    check_for_pause(now);
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
            tenant.local_bucket.reset();
            tenant.refused_until = now;
        }
        tenant.limit = limit;
        buckets_.change_limit(now, hash, limit);
    }
    std::erase_if(tenants_, [&](auto const& entry) {
        if (next.contains(entry.first))
            return false;
        buckets_.change_limit(now, entry.first, std::nullopt);
        return true;
    });
    update_ownership(now);
}

void DistributedLimiter::set_nodes(Time now, std::vector<LimiterNode> const& nodes)
{
    check_for_pause(now);
    auto const ready = is_ready(now);
    for (auto const& node : nodes) {
        // A node that is new to the fleet is still warming up and owns no tenants yet, unlike one that returns after a
        // network partition. A node that has just started cannot distinguish the two: all others are new to it.
        auto const hash = HashText(node.name);
        if (seen_nodes_.insert(hash).second && ready && was_ready_)
            detector_.record_decline(now, hash);
    }
    auto const changed = ranking_.set_nodes(nodes);
    if (changed || ready != was_ready_)
        update_ownership(now);
    else
        hand_off_foreign_buckets(now); // Buckets received from a node that knew fewer nodes.
    was_ready_ = ready;
}

void DistributedLimiter::set_reachable_nodes(Time now, Reach const& reach)
{
    check_for_pause(now);
    buckets_.set_reachable_nodes(now, reach);
}

void DistributedLimiter::hand_off_foreign_buckets(Time now)
{
    std::vector<std::pair<std::uint64_t, OwnerCandidate const*>> departing;
    buckets_.for_each([&](std::uint64_t tenant) {
        auto const* owner = owner_of(now, tenant);
        if (owner != nullptr && owner->hash != ranking_.self().hash)
            departing.emplace_back(tenant, owner);
    });
    for (auto const& [tenant, owner] : departing)
        hand_off(now, tenant, owner);
}

void DistributedLimiter::update_ownership(Time now)
{
    hand_off_foreign_buckets(now);
    for (auto const& [hash, tenant] : tenants_) {
        auto const* owner = owner_of(now, hash);
        if (owner == nullptr || owner->hash != ranking_.self().hash || buckets_.holds(hash))
            continue;
        buckets_.create(now, hash, tenant.limit, detector_.reachable_share_estimate());
        output_.changes.push_back({ OwnershipChange::Kind::TookOver, tenant.name, "", buckets_.level(now, hash) });
    }
}

void DistributedLimiter::hand_off(Time now, std::uint64_t tenant, OwnerCandidate const* to)
{
    auto message = buckets_.release(now, tenant);
    message.from = ranking_.self().hash;
    message.key = { incarnation_hash_, ++last_charge_ };
    auto const known = tenants_.find(tenant);
    auto const name = known == tenants_.end() ? std::string() : known->second.name;
    output_.changes.push_back({ OwnershipChange::Kind::HandedOff, name, to->node.name, message.level });
    send(to->node.address, message);
}

void DistributedLimiter::begin_stop(Time now)
{
    check_for_pause(now);
    stopping_ = true;
    update_ownership(now);
}

std::optional<Decision> DistributedLimiter::cached_refusal(Time now, TenantState const& tenant, std::int64_t cost) const
{
    if (now >= tenant.refused_at + parameters_.refusal_ttl || now >= tenant.refused_until || cost < tenant.refused_cost)
        return std::nullopt;
    // A larger request also has to wait until the additional cost has been filled.
    auto const additional_cost = static_cast<double>(cost - tenant.refused_cost);
    auto const retry_after =
        tenant.refused_until - now + FromSeconds(additional_cost / static_cast<double>(tenant.limit.rate_per_s));
    return Decision { Verdict::Refused, std::min(retry_after, parameters_.max_retry_after), true, tenant.owner };
}

Decision DistributedLimiter::admit(Time now, std::uint64_t request, std::string_view name, std::int64_t cost)
{
    check_for_pause(now);
    auto const hash = HashText(name);
    auto const entry = tenants_.find(hash);
    if (entry == tenants_.end() || cost <= 0)
        return {};
    auto& tenant = entry->second;
    if (auto const refusal = cached_refusal(now, tenant, cost)) {
        tenant.refused += cost;
        return *refusal;
    }
    PendingRequest pending;
    pending.request = request;
    pending.sent.charge = { incarnation_hash_, ++last_charge_ };
    pending.sent.tenant = hash;
    pending.sent.cost = cost;
    pending.sent.reply_to = ranking_.self().node.address;
    pending.expires_at = now + parameters_.max_wait;
    auto const* target = next_target(now, hash);
    if (target != nullptr && target->hash == ranking_.self().hash && is_owner(now, hash))
        return decide_as_owner(now, request, tenant, pending.sent);
    if (!send_to_next_target(now, pending))
        return decide_locally(now, request, tenant, hash, cost);
    pending_by_charge_[pending.sent.charge] = request;
    pending_[request] = std::move(pending);
    return { Verdict::Pending, 0s, false, "" };
}

bool DistributedLimiter::is_owner(Time now, std::uint64_t tenant)
{
    auto const* owner = owner_of(now, tenant);
    if (owner == nullptr || owner->hash != ranking_.self().hash)
        return false;
    if (!buckets_.holds(tenant))
        update_ownership(now);
    return true;
}

Decision DistributedLimiter::decide_as_owner(
    Time now, std::uint64_t request, TenantState& tenant, ChargeRequest const& charge_request)
{
    auto response = buckets_.decide(now, charge_request);
    response.owner = ranking_.self().node.name;
    return apply_response(now, request, tenant,
        { charge_request.charge, charge_request.tenant, charge_request.cost, ranking_.self().hash }, response);
}

Decision DistributedLimiter::decide_locally(
    Time now, std::uint64_t request, TenantState& tenant, std::uint64_t hash, std::int64_t cost)
{
    auto const nodes = buckets_.largest_fleet_size();
    Decision undecided { Verdict::Refused, parameters_.undecided_retry_after, false, "" };
    auto const is_isolated = nodes > 1 && buckets_.reachable_nodes() <= 1;
    if (now < ready_at_ || (!is_isolated && !single_node_)) {
        tenant.refused += cost;
        return undecided;
    }
    auto const node_share = 1.0 / std::max(1, nodes);
    auto const depth = node_share * buckets_.depth_of(tenant.limit);
    if (!tenant.local_bucket)
        tenant.local_bucket.emplace(now, node_share * static_cast<double>(tenant.limit.rate_per_s), depth,
            parameters_.initial_level_share * depth);
    // The bucket does not fill while owners decide: it is unknown how much they admitted.
    if (now - tenant.local_decision_at > parameters_.local_bucket_idle_timeout)
        tenant.local_bucket->skip_to(now, depth);
    tenant.local_decision_at = now;
    if (!tenant.local_bucket->take(now, static_cast<double>(cost), static_cast<double>(cost))) {
        tenant.refused += cost;
        return undecided;
    }
    tenant.admitted += cost;
    charges_[request] = { {}, hash, cost, 0 };
    return { Verdict::Admitted, 0s, false, ranking_.self().node.name };
}

Decision DistributedLimiter::apply_response(
    Time now, std::uint64_t request, TenantState& tenant, Charge const& charge, ChargeResponse const& response)
{
    tenant.owner = response.owner;
    if (response.admitted) {
        tenant.admitted += charge.cost;
        charges_[request] = charge;
        return { Verdict::Admitted, 0s, false, response.owner };
    }
    tenant.refused += charge.cost;
    tenant.refused_cost = charge.cost;
    tenant.refused_at = now;
    tenant.refused_until = now + response.retry_after;
    return { Verdict::Refused, response.retry_after, true, response.owner };
}

bool DistributedLimiter::send_to_next_target(Time now, PendingRequest& pending)
{
    auto const* target = next_target(now, pending.sent.tenant);
    if (target == nullptr)
        return false;
    auto const* first = ranking_.first_candidate(pending.sent.tenant, [](std::uint64_t) { return false; });
    if (detector_.is_suspect(first->hash))
        pending.sent.unresponsive_owner = first->hash; // It may be unreachable only from this node.
    pending.resend_at = now + parameters_.request_resend_interval;
    if (target->hash == ranking_.self().hash) {
        send_via_relay(now, pending);
        return true;
    }
    if (pending.target != target->hash)
        pending.attempts = 0;
    pending.target = target->hash;
    ++pending.attempts;
    send(target->node.address, pending.sent);
    return true;
}

void DistributedLimiter::send_via_relay(Time now, PendingRequest const& pending)
{
    auto const* owner = owner_of(now, pending.sent.tenant);
    if (owner == nullptr || detector_.relay_address(owner->hash).empty())
        return;
    auto charge_request = pending.sent;
    charge_request.unresponsive_owner = owner->hash;
    send(detector_.relay_address(owner->hash), charge_request);
}

void DistributedLimiter::complete(std::uint64_t request, Decision const& decision)
{
    auto const pending = pending_.find(request);
    pending_by_charge_.erase(pending->second.sent.charge);
    pending_.erase(pending);
    output_.decisions.push_back({ request, decision });
}

void DistributedLimiter::resend_requests(Time now)
{
    std::vector<std::uint64_t> due;
    for (auto const& [request, pending] : pending_) {
        if (pending.resend_at <= now || pending.expires_at <= now)
            due.push_back(request);
    }
    for (auto const request : due) {
        auto& pending = pending_.at(request);
        auto const entry = tenants_.find(pending.sent.tenant);
        if (entry == tenants_.end()) { // A new configuration removed the limit.
            complete(request, {});
            continue;
        }
        if (pending.attempts >= parameters_.max_unanswered_requests && ranking_.find(pending.target) != nullptr) {
            detector_.suspect(now, pending.target);
            pending.sent.unresponsive_owner = pending.target;
        }
        auto const* target = next_target(now, pending.sent.tenant);
        if (target != nullptr && target->hash == ranking_.self().hash && is_owner(now, pending.sent.tenant)) {
            complete(request, decide_as_owner(now, request, entry->second, pending.sent));
        } else if (pending.expires_at <= now || !send_to_next_target(now, pending)) {
            abandoned_[pending.sent.charge] = now;
            complete(request, decide_locally(now, request, entry->second, pending.sent.tenant, pending.sent.cost));
        }
    }
}

void DistributedLimiter::refund(Time now, std::uint64_t request)
{
    check_for_pause(now);
    if (auto const pending = pending_.find(request); pending != pending_.end()) {
        abandoned_[pending->second.sent.charge] = now;
        pending_by_charge_.erase(pending->second.sent.charge);
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
        if (tenant != tenants_.end() && tenant->second.local_bucket)
            tenant->second.local_bucket->credit(now, static_cast<double>(charge.cost));
    } else if (charge.owner == ranking_.self().hash) {
        buckets_.refund(now, charge.key);
    } else if (auto const* owner = ranking_.find(charge.owner)) {
        send(owner->node.address, ChargeRefund { charge.key, charge.tenant });
    }
}

void DistributedLimiter::step(Time now)
{
    check_for_pause(now);
    std::erase_if(abandoned_, [&](auto const& entry) { return now - entry.second > parameters_.response_retention; });
    std::erase_if(relayed_, [&](auto const& entry) { return now - entry.second.at > parameters_.response_retention; });
    auto const due = detector_.step(now, [&](std::uint64_t node) { return ranking_.find(node) != nullptr; });
    for (auto const node : due.probes) {
        if (auto const* owner = ranking_.find(node))
            send(owner->node.address,
                make_probe(now, OwnerProbe::Kind::Probe, detector_.is_unavailable(now, node) ? node : 0));
    }
    for (auto const node : due.surveys) {
        if (auto const* owner = ranking_.find(node))
            survey(now, *owner);
    }
    for (auto const node : due.failed) {
        if (auto const* owner = ranking_.find(node))
            output_.changes.push_back({ OwnershipChange::Kind::Unresponsive, "", owner->node.name, 0 });
    }
    if (!due.failed.empty() || due.returned)
        update_ownership(now);
    resend_requests(now);
}

std::optional<Time> DistributedLimiter::next_deadline() const
{
    auto next = detector_.next_deadline();
    for (auto const& [request, pending] : pending_) {
        auto const at = std::min(pending.resend_at, pending.expires_at);
        next = next ? std::min(*next, at) : at;
    }
    return next;
}

std::vector<LimitStatus> DistributedLimiter::status(Time now) const
{
    std::vector<LimitStatus> all;
    all.reserve(tenants_.size());
    for (auto const& [hash, tenant] : tenants_) {
        LimitStatus status { tenant.name, tenant.owner, buckets_.level(now, hash), buckets_.holds(hash),
            tenant.admitted, tenant.refused };
        all.push_back(std::move(status));
    }
    return all;
}

std::unique_ptr<Limiter> make_distributed_limiter(
    LimiterNode const& self, std::uint64_t incarnation, bool single_node, LimitTolerance const& tolerance, Time now)
{
    return std::make_unique<DistributedLimiter>(self, incarnation, single_node, tolerance, LimiterParameters {}, now);
}

}
