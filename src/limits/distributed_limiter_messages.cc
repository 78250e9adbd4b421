// Handles messages from other nodes' limiters.
#include <utility>
#include <variant>

#include "src/base/hash.h"
#include "src/limits/distributed_limiter.h"

namespace saltquay::limits {

namespace {

constexpr std::uint8_t max_forwards = 2;

}

void DistributedLimiter::on_message(Time now, LimitMessage const& message)
{
    check_for_pause(now);
    std::visit([&](auto const& typed) { on(now, typed); }, message);
}

void DistributedLimiter::on(Time now, ChargeRequest const& charge_request)
{
    if (auto const known = buckets_.find_response(charge_request.charge)) {
        auto response = *known;
        response.owner = ranking_.self().node.name;
        send(charge_request.reply_to, response);
        return;
    }
    if (configured_ && !tenants_.contains(charge_request.tenant)) {
        // In this node's configuration the tenant has no limit; the requester has another version of it.
        send(charge_request.reply_to, ChargeResponse { charge_request.charge, true, 0s, ranking_.self().node.name });
        return;
    }
    if (charge_request.declined)
        detector_.record_decline(now, charge_request.unresponsive_owner);
    if (!is_owner(now, charge_request.tenant)) {
        auto const* owner = owner_of(now, charge_request.tenant);
        if (owner != nullptr)
            forward(now, charge_request, *owner);
        return; // Without an owner, this node has just started and knows no other nodes.
    }
    auto response = buckets_.decide(now, charge_request);
    response.owner = ranking_.self().node.name;
    send(charge_request.reply_to, response);
}

void DistributedLimiter::forward(Time now, ChargeRequest const& charge_request, OwnerCandidate const& owner)
{
    if (charge_request.forwards >= max_forwards)
        return; // Nodes disagree on the owner; they may agree by the time the request is resent.
    auto forwarded = charge_request;
    ++forwarded.forwards;
    if (!can_be_owner(now)) {
        forwarded.declined = true;
        forwarded.unresponsive_owner = ranking_.self().hash;
    } else if (!charge_request.declined
        && (charge_request.unresponsive_owner == owner.hash
            || charge_request.unresponsive_owner == ranking_.self().hash)) {
        // The requester and the owner cannot reach each other in at least one direction: relay the request and the
        // response, and check the owner.
        if (charge_request.unresponsive_owner == owner.hash)
            detector_.suspect(now, owner.hash);
        send(charge_request.reply_to, make_probe(now, OwnerProbe::Kind::Reply, 0));
        relayed_[charge_request.charge] = { charge_request.reply_to, now };
        forwarded.reply_to = ranking_.self().node.address;
        if (auto const relay_address = detector_.relay_address(owner.hash); !relay_address.empty())
            send(relay_address, forwarded);
    }
    send(owner.node.address, forwarded);
}

void DistributedLimiter::on(Time now, ChargeResponse const& response)
{
    auto const waiting = pending_by_charge_.find(response.charge);
    if (waiting == pending_by_charge_.end()) {
        // Relayed once for each request, so that two nodes that relay to each other do not loop.
        if (auto const relayed = relayed_.extract(response.charge)) {
            send(relayed.mapped().reply_to, response);
            return;
        }
        auto const abandoned = abandoned_.find(response.charge);
        if (abandoned == abandoned_.end() || !response.admitted)
            return;
        // No request waits for the response any more: refund the charge.
        abandoned_.erase(abandoned);
        if (auto const* owner = ranking_.find(HashText(response.owner)))
            send(owner->node.address, ChargeRefund { response.charge, 0 });
        return;
    }
    auto const request = waiting->second;
    auto const charge_request = pending_.at(request).sent;
    // A relayed response does not show that the owner can be reached from here.
    if (pending_.at(request).sent.unresponsive_owner != HashText(response.owner))
        mark_responsive(now, HashText(response.owner));
    auto const tenant = tenants_.find(charge_request.tenant);
    if (tenant == tenants_.end())
        return complete(request, {});
    Charge const charge { charge_request.charge, charge_request.tenant, charge_request.cost, HashText(response.owner) };
    complete(request, apply_response(now, request, tenant->second, charge, response));
}

OwnerProbe DistributedLimiter::make_probe(Time now, OwnerProbe::Kind kind, std::uint64_t about) const
{
    auto const from = is_ready(now) ? ranking_.self().hash : 0;
    return { kind, from, about, ranking_.self().node.address, buckets_.largest_fleet_size() };
}

void DistributedLimiter::survey(Time now, OwnerCandidate const& owner)
{
    auto const surveyed = ranking_.sample(owner.hash, parameters_.survey_size);
    detector_.record_survey(owner.hash, surveyed.size());
    for (auto const* node : surveyed)
        send(node->node.address, make_probe(now, OwnerProbe::Kind::Survey, owner.hash));
}

// A node that has just started does not respond: it owns no tenants until it knows the fleet.
void DistributedLimiter::on(Time now, OwnerProbe const& probe)
{
    using Kind = OwnerProbe::Kind;
    auto const is_direct = probe.kind != Kind::Relay && probe.kind != Kind::RelayReply;
    if (is_direct)
        mark_responsive(now, probe.from);
    switch (probe.kind) {
    case Kind::Probe:
        if (is_ready(now))
            send(probe.reply_to, make_probe(now, Kind::Reply, 0));
        if (probe.about == ranking_.self().hash)
            on_reported_unresponsive(now);
        return;
    case Kind::Reply:
        learn_fleet_size(now, probe.fleet);
        for (auto& [request, pending] : pending_)
            pending.attempts = pending.target == probe.from ? 0 : pending.attempts;
        return;
    case Kind::Survey:
        return on_survey(now, probe);
    case Kind::SurveyReply:
        learn_fleet_size(now, probe.fleet);
        return detector_.record_survey_reply(probe.about, probe.from);
    case Kind::Relay:
        if (is_ready(now))
            send(probe.reply_to, make_probe(now, Kind::RelayReply, probe.from));
        return;
    case Kind::RelayReply:
        return on_relay_reply(now, probe);
    }
}

// Another node keeps considering this one failed although it responds: its messages do not arrive there, and another
// node has taken over.
void DistributedLimiter::on_reported_unresponsive(Time now)
{
    if (!reported_unresponsive_since_ || now - reported_unresponsive_at_ > parameters_.step_down_duration)
        reported_unresponsive_since_ = now;
    reported_unresponsive_at_ = now;
    if (now - *reported_unresponsive_since_ < parameters_.step_down_after)
        return;
    stepped_down_until_ = now + parameters_.step_down_duration;
    update_ownership(now);
}

void DistributedLimiter::on_survey(Time now, OwnerProbe const& probe)
{
    if (!is_ready(now))
        return;
    send(probe.reply_to, make_probe(now, OwnerProbe::Kind::SurveyReply, probe.about));
    if (auto const* owner = ranking_.find(probe.about)) {
        auto relay = make_probe(now, OwnerProbe::Kind::Relay, probe.about);
        relay.from = probe.from;
        send(owner->node.address, relay);
    }
}

void DistributedLimiter::on_relay_reply(Time now, OwnerProbe const& probe)
{
    if (probe.about == ranking_.self().hash) {
        if (detector_.mark_reachable_via(now, probe.from, probe.reply_to))
            update_ownership(now);
    } else if (auto const* requester = ranking_.find(probe.about)) {
        auto relayed = probe;
        relayed.reply_to = ranking_.self().node.address;
        send(requester->node.address, relayed);
    }
}

// Only a node that started recently adopts the fleet size that others report. If all nodes did, an outdated size would
// circulate among them indefinitely.
void DistributedLimiter::learn_fleet_size(Time now, int nodes)
{
    if (now < ready_at_ + parameters_.fleet_size_memory)
        buckets_.record_fleet_size(now, nodes);
}

void DistributedLimiter::on(Time now, BucketHandoff const& message)
{
    auto const tenant = tenants_.find(message.tenant);
    if (tenant == tenants_.end())
        return;
    if (message.key.node == incarnation_hash_)
        return;
    learn_fleet_size(now, message.fleet);
    if (message.declined)
        detector_.record_decline(now, message.from);
    if (auto const* owner = owner_of(now, message.tenant); owner != nullptr && !is_ready(now)) {
        // This node does not know the fleet yet or is stopping: return the bucket to the current owner.
        auto returned = message;
        returned.key = { incarnation_hash_, ++last_charge_ };
        returned.from = ranking_.self().hash;
        returned.declined = true;
        send(owner->node.address, returned);
        return;
    }
    buckets_.receive_handoff(now, message, tenant->second.limit);
    auto const* from = ranking_.find(message.from);
    output_.changes.push_back({ OwnershipChange::Kind::Received, tenant->second.name,
        from == nullptr ? std::string() : from->node.name, buckets_.level(now, message.tenant) });
}

void DistributedLimiter::mark_responsive(Time now, std::uint64_t node)
{
    if (!detector_.mark_responsive(now, node))
        return;
    if (auto const* owner = ranking_.find(node))
        output_.changes.push_back({ OwnershipChange::Kind::Responsive, "", owner->node.name, 0 });
    update_ownership(now);
}

}
