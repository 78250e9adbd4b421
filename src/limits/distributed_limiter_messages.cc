// What a node does with other nodes' messages of limits.
#include <utility>
#include <variant>

#include "src/base/hash.h"
#include "src/limits/distributed_limiter.h"

namespace saltquay::limits {

namespace {

constexpr std::uint8_t most_forwards = 2;

}

void DistributedLimiter::on_message(Time now, LimitMessage const& message)
{
    record_latency(now);
    std::visit([&](auto const& typed) { on(now, typed); }, message);
}

void DistributedLimiter::on(Time now, ChargeRequest const& ask)
{
    if (auto const known = home_.find_answer(ask.charge)) {
        auto answer = *known;
        answer.owner = order_.self().node.name;
        send(ask.reply_to, answer);
        return;
    }
    if (configured_ && !tenants_.contains(ask.tenant)) {
        // By this node's configuration there is no limit: the asker has a newer version, or an older one.
        send(ask.reply_to, ChargeResponse { ask.charge, true, 0s, order_.self().node.name });
        return;
    }
    if (ask.declined)
        watch_.note_declined(now, ask.unresponsive_owner);
    if (!is_owner(now, ask.tenant)) {
        auto const* owner = home_of(now, ask.tenant);
        if (owner != nullptr)
            pass_on(now, ask, *owner);
        return; // Where there is none, this node has just started and knows no other.
    }
    auto answer = home_.decide(now, ask);
    answer.owner = order_.self().node.name;
    send(ask.reply_to, answer);
}

void DistributedLimiter::pass_on(Time now, ChargeRequest const& ask, OwnerCandidate const& owner)
{
    if (ask.forwards >= most_forwards)
        return; // Nodes disagree on the owner; by the next ask they may not.
    auto forwarded = ask;
    ++forwarded.forwards;
    if (!may_be_home(now)) {
        forwarded.declined = true;
        forwarded.unresponsive_owner = order_.self().hash;
    } else if (!ask.declined
        && (ask.unresponsive_owner == owner.hash || ask.unresponsive_owner == order_.self().hash)) {
        // The asker does not reach it, or is not reached by it; it is asked for the asker, and looked after.
        if (ask.unresponsive_owner == owner.hash)
            watch_.suspect(now, owner.hash);
        send(ask.reply_to, make_probe(now, OwnerProbe::Kind::Reply, 0));
        relayed_[ask.charge] = { ask.reply_to, now };
        forwarded.reply_to = order_.self().node.address;
        if (auto const via = watch_.via(owner.hash); !via.empty())
            send(via, forwarded);
    }
    send(owner.node.address, forwarded);
}

void DistributedLimiter::on(Time now, ChargeResponse const& answer)
{
    auto const asked = asked_.find(answer.charge);
    if (asked == asked_.end()) {
        // Once for each ask: two nodes that relay to each other must not go on for ever.
        if (auto const relayed = relayed_.extract(answer.charge)) {
            send(relayed.mapped().reply_to, answer);
            return;
        }
        auto const abandoned = abandoned_.find(answer.charge);
        if (abandoned == abandoned_.end() || !answer.admitted)
            return;
        // Nobody waits for it any more: the charge goes back.
        abandoned_.erase(abandoned);
        if (auto const* owner = order_.find(HashText(answer.owner)))
            send(owner->node.address, ChargeRefund { answer.charge, 0 });
        return;
    }
    auto const request = asked->second;
    auto const ask = pending_.at(request).ask;
    // Who relays an answer hears the owner in place of this node.
    if (pending_.at(request).ask.unresponsive_owner != HashText(answer.owner))
        note_heard(now, HashText(answer.owner));
    auto const tenant = tenants_.find(ask.tenant);
    if (tenant == tenants_.end())
        return finish(request, {});
    Charge const charge { ask.charge, ask.tenant, ask.cost, HashText(answer.owner) };
    finish(request, conclude(now, request, tenant->second, charge, answer));
}

OwnerProbe DistributedLimiter::make_probe(Time now, OwnerProbe::Kind kind, std::uint64_t about) const
{
    auto const from = has_joined(now) ? order_.self().hash : 0;
    return { kind, from, about, order_.self().node.address, home_.largest_reach() };
}

void DistributedLimiter::survey(Time now, OwnerCandidate const& owner)
{
    auto const asked = order_.sample(owner.hash, parameters_.surveyed_nodes);
    watch_.note_surveyed(owner.hash, asked.size());
    for (auto const* node : asked)
        send(node->node.address, make_probe(now, OwnerProbe::Kind::Survey, owner.hash));
}

// A node that has just started does not answer: until it knows the others, it is no owner.
void DistributedLimiter::on(Time now, OwnerProbe const& probe)
{
    using Kind = OwnerProbe::Kind;
    auto const is_direct = probe.kind != Kind::Relay && probe.kind != Kind::RelayReply;
    if (is_direct)
        note_heard(now, probe.from);
    switch (probe.kind) {
    case Kind::Probe:
        if (has_joined(now))
            send(probe.reply_to, make_probe(now, Kind::Reply, 0));
        if (probe.about == order_.self().hash)
            note_held_silent(now);
        return;
    case Kind::Reply:
        learn_fleet(now, probe.fleet);
        for (auto& [request, pending] : pending_)
            pending.asks = pending.target == probe.from ? 0 : pending.asks;
        return;
    case Kind::Survey:
        return on_survey(now, probe);
    case Kind::SurveyReply:
        learn_fleet(now, probe.fleet);
        return watch_.note_survey_reply(probe.about, probe.from);
    case Kind::Relay:
        if (has_joined(now))
            send(probe.reply_to, make_probe(now, Kind::RelayReply, probe.from));
        return;
    case Kind::RelayReply:
        return on_relay_reply(now, probe);
    }
}

// Another node keeps taking this one for silent, whatever it answers: it is not heard, and has been replaced.
void DistributedLimiter::note_held_silent(Time now)
{
    if (!held_silent_since_ || now - held_silent_at_ > parameters_.replaced_for)
        held_silent_since_ = now;
    held_silent_at_ = now;
    if (now - *held_silent_since_ < parameters_.replaced_after)
        return;
    replaced_until_ = now + parameters_.replaced_for;
    rebalance(now);
}

void DistributedLimiter::on_survey(Time now, OwnerProbe const& probe)
{
    if (!has_joined(now))
        return;
    send(probe.reply_to, make_probe(now, OwnerProbe::Kind::SurveyReply, probe.about));
    if (auto const* owner = order_.find(probe.about)) {
        auto relay = make_probe(now, OwnerProbe::Kind::Relay, probe.about);
        relay.from = probe.from;
        send(owner->node.address, relay);
    }
}

void DistributedLimiter::on_relay_reply(Time now, OwnerProbe const& probe)
{
    if (probe.about == order_.self().hash) {
        if (watch_.note_relayed(now, probe.from, probe.reply_to))
            rebalance(now);
    } else if (auto const* asker = order_.find(probe.about)) {
        auto relayed = probe;
        relayed.reply_to = order_.self().node.address;
        send(asker->node.address, relayed);
    }
}

// One that has seen little of the fleet itself takes others' word for its size. Older ones do not, or what all have
// forgotten would go round for ever.
void DistributedLimiter::learn_fleet(Time now, int nodes)
{
    if (now < joined_at_ + parameters_.reach_memory)
        home_.note_fleet(now, nodes);
}

void DistributedLimiter::on(Time now, BucketHandoff const& message)
{
    auto const tenant = tenants_.find(message.tenant);
    if (tenant == tenants_.end())
        return;
    if (message.key.node == life_)
        return;
    learn_fleet(now, message.fleet);
    if (message.declined)
        watch_.note_declined(now, message.from);
    if (auto const* owner = home_of(now, message.tenant); owner != nullptr && !has_joined(now)) {
        // This node does not know the fleet yet, or stops: back to who decides meanwhile.
        auto returned = message;
        returned.key = { life_, ++last_charge_ };
        returned.from = order_.self().hash;
        returned.declined = true;
        send(owner->node.address, returned);
        return;
    }
    home_.receive(now, message, tenant->second.limit);
    auto const* from = order_.find(message.from);
    output_.changes.push_back({ OwnershipChange::Kind::Received, tenant->second.name,
        from == nullptr ? std::string() : from->node.name, home_.level(now, message.tenant) });
}

void DistributedLimiter::note_heard(Time now, std::uint64_t node)
{
    if (!watch_.note_heard(now, node))
        return;
    if (auto const* owner = order_.find(node))
        output_.changes.push_back({ OwnershipChange::Kind::Responsive, "", owner->node.name, 0 });
    rebalance(now);
}

}
