#include "saltquay/limits/engine_permits.h"

#include <algorithm>

#include "src/base/hash.h"
#include "src/limits/owner_ranking.h"
#include "src/limits/permit_issuer.h"

namespace saltquay::limits {

namespace {

// Nodes that were refused at the same time ask again at different times.
Duration jittered(Duration duration, ChargeId const& permit)
{
    constexpr double min_factor = 0.75;
    constexpr double spread = 0.5;
    constexpr std::uint64_t steps = 1024;
    auto const draw = static_cast<double>(HashPair(permit.node, permit.number) % steps) / steps;
    return FromSeconds(ToSeconds(duration) * (min_factor + spread * draw));
}

}

EnginePermits::EnginePermits(LimiterNode const& self, std::uint64_t incarnation, bool single_node, Time now,
    EnginePermitsParameters const& parameters)
    : parameters_(parameters)
    , ranking_(std::make_unique<OwnerRanking>(self))
    , issuer_(std::make_unique<PermitIssuer>(PermitIssuerParameters {}))
    , incarnation_hash_(HashPair(HashText(self.name), incarnation))
    , single_node_(single_node)
    , ready_at_(single_node ? now : now + parameters.warm_up)
    , largest_fleet_size_(parameters.fleet_size_memory)
{
}

EnginePermits::~EnginePermits() = default;

void EnginePermits::set_nodes(Time now, std::vector<LimiterNode> const& nodes)
{
    ranking_->set_nodes(nodes);
    std::erase_if(avoided_until_, [&](auto const& avoided) { return avoided.second <= now; });
}

void EnginePermits::set_reachable_nodes(Time now, Reach const& reach)
{
    largest_fleet_size_.RecordValue(reach.nodes, now);
    auto const largest = std::max(1, largest_fleet_size_.Get());
    issuer_->set_reachable_share(now, std::min(1.0, static_cast<double>(reach.nodes) / largest));
}

bool EnginePermits::may_issue(Time now) const { return single_node_ || now >= ready_at_; }

OwnerCandidate const* EnginePermits::issuer_of(Time now, std::uint64_t engine) const
{
    return ranking_->first_candidate(engine, [&](std::uint64_t node) {
        if (node == ranking_->self().hash)
            return !may_issue(now);
        auto const avoided = avoided_until_.find(node);
        return avoided != avoided_until_.end() && now < avoided->second;
    });
}

bool EnginePermits::holds(Time now, std::uint64_t hash) const
{
    auto const engine = engines_.find(hash);
    return engine != engines_.end() && engine->second.permit && now < engine->second.permit->expires_at;
}

bool EnginePermits::may_request(Time now, std::uint64_t hash) const
{
    auto const engine = engines_.find(hash);
    return engine == engines_.end()
        || (!engine->second.permit && !engine->second.pending && now >= engine->second.retry_at);
}

Time EnginePermits::available_at(Time now, std::uint64_t hash) const
{
    auto const engine = engines_.find(hash);
    return engine == engines_.end() ? now : std::max(now, engine->second.retry_at);
}

void EnginePermits::request(Time now, std::uint64_t hash, EngineLimit const& limit)
{
    auto const may_ask = may_request(now, hash);
    auto& engine = engines_[hash];
    engine.limit = limit;
    engine.wanted_at = now;
    if (!may_ask)
        return;
    PendingRequest pending;
    pending.message.permit = { incarnation_hash_, ++last_permit_ };
    pending.message.engine = hash;
    pending.message.requests_per_s = limit.requests_per_s;
    pending.message.limit_age = std::max(Duration(0), now - limit.stated_at);
    pending.message.reply_to = ranking_->self().node.address;
    pending.asked_at = now;
    engine.pending = pending;
    send_request(now, hash, engine);
}

void EnginePermits::send_request(Time now, std::uint64_t hash, Engine& engine)
{
    auto& pending = *engine.pending;
    auto const* issuer = issuer_of(now, hash);
    if (issuer == nullptr) {
        engine.pending.reset();
        engine.retry_at = now + parameters_.no_issuer_retry;
        return;
    }
    auto const* first = ranking_->first_candidate(hash, [](std::uint64_t) { return false; });
    pending.message.is_final = issuer != first;
    pending.issuer = issuer->hash;
    if (issuer->hash == ranking_->self().hash)
        return apply_response(now, engine, issuer_->decide(now, pending.message));
    ++pending.attempts;
    pending.resend_at = now + parameters_.resend_interval;
    send(issuer->node.address, pending.message);
}

void EnginePermits::resend_request(Time now, std::uint64_t hash, Engine& engine)
{
    auto& pending = *engine.pending;
    if (pending.attempts >= parameters_.max_unanswered_requests) {
        // The issuer may have granted the permit: the next one gets a request for another.
        avoided_until_[pending.issuer] = now + parameters_.avoidance_period;
        engine.pending.reset();
        engine.retry_at = now;
        return request(now, hash, engine.limit);
    }
    send_request(now, hash, engine);
}

void EnginePermits::apply_response(Time now, Engine& engine, PermitResponse const& response)
{
    auto const pending = *std::exchange(engine.pending, std::nullopt);
    if (!response.granted) {
        engine.retry_at = now + jittered(response.retry_after, response.permit);
        return;
    }
    engine.permit = Permit { response.permit, pending.issuer, pending.asked_at + parameters_.permit_lifetime };
    output_.granted = true;
}

void EnginePermits::use(Time now, std::uint64_t hash)
{
    auto& engine = engines_[hash];
    engine.permit.reset();
    if (now - engine.wanted_at < parameters_.demand_memory)
        request(now, hash, engine.limit);
}

void EnginePermits::give_back(Time now, std::uint64_t hash, Permit const& permit)
{
    PermitReturn const message { permit.id, hash };
    if (permit.issuer == ranking_->self().hash)
        issuer_->take_back(now, message);
    else if (auto const* issuer = ranking_->find(permit.issuer))
        send(issuer->node.address, message);
}

void EnginePermits::on_message(Time now, PermitMessage const& message)
{
    std::visit([&](auto const& typed) { on(now, typed); }, message);
}

void EnginePermits::on(Time now, PermitRequest const& message)
{
    auto const* issuer = issuer_of(now, message.engine);
    if (!message.is_final && issuer != nullptr && issuer->hash != ranking_->self().hash) {
        auto forwarded = message;
        forwarded.is_final = true;
        return send(issuer->node.address, forwarded);
    }
    send(message.reply_to, issuer_->decide(now, message));
}

void EnginePermits::on(Time now, PermitResponse const& message)
{
    for (auto& [hash, engine] : engines_) {
        if (engine.pending && engine.pending->message.permit == message.permit)
            return apply_response(now, engine, message);
    }
}

void EnginePermits::on(Time now, PermitReturn const& message) { issuer_->take_back(now, message); }

void EnginePermits::step(Time now)
{
    for (auto& [hash, engine] : engines_) {
        if (engine.permit && now >= engine.permit->expires_at)
            give_back(now, hash, *std::exchange(engine.permit, std::nullopt));
        if (engine.pending && now >= engine.pending->resend_at)
            resend_request(now, hash, engine);
    }
}

std::optional<Time> EnginePermits::next_deadline() const
{
    std::optional<Time> next;
    for (auto const& [hash, engine] : engines_) {
        if (engine.permit)
            next = std::min(next.value_or(Time::max()), engine.permit->expires_at);
        if (engine.pending)
            next = std::min(next.value_or(Time::max()), engine.pending->resend_at);
    }
    return next;
}

}
