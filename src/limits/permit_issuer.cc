#include "src/limits/permit_issuer.h"

#include <algorithm>

namespace saltquay::limits {

double PermitIssuer::rate_of(Engine const& engine) const
{
    auto const limit = std::max(engine.limit.requests_per_s, parameters_.min_requests_per_s);
    return parameters_.rate_share * reachable_share_ * limit;
}

double PermitIssuer::burst_of(Engine const& engine) const
{
    return std::min(parameters_.max_burst, parameters_.burst + parameters_.burst_s * engine.limit.requests_per_s);
}

void PermitIssuer::apply_limit(Time now, Engine& engine)
{
    engine.bucket.set_limit(now, rate_of(engine), burst_of(engine));
}

void PermitIssuer::set_reachable_share(Time now, double share)
{
    if (share == reachable_share_)
        return;
    reachable_share_ = share;
    for (auto& [hash, engine] : engines_)
        apply_limit(now, engine);
}

PermitIssuer::Engine& PermitIssuer::engine_for(Time now, PermitRequest const& request)
{
    EngineLimit const limit { request.requests_per_s, now - request.limit_age };
    auto entry = engines_.find(request.engine);
    if (entry == engines_.end()) {
        std::erase_if(
            engines_, [&](auto const& other) { return now - other.second.asked_at > parameters_.idle_timeout; });
        entry = engines_.emplace(request.engine, Engine { limit, TokenBucket(now, 0, 0, 0), now, {}, {} }).first;
        apply_limit(now, entry->second);
    }
    auto& engine = entry->second;
    engine.asked_at = now;
    if (limit.stated_at >= engine.limit.stated_at) {
        auto const changed = limit.requests_per_s != engine.limit.requests_per_s;
        engine.limit = limit;
        if (changed)
            apply_limit(now, engine);
    }
    return engine;
}

void PermitIssuer::forget_old(Time now, Engine& engine)
{
    std::erase_if(engine.decisions,
        [&](auto const& decision) { return now - decision.second.at > parameters_.response_retention; });
    std::erase_if(engine.requesters,
        [&](auto const& requester) { return now - requester.second > parameters_.requester_memory; });
}

// Nodes that were refused ask again at a rate that follows the permits, not the number of nodes.
Duration PermitIssuer::retry_after(Time now, Engine& engine) const
{
    auto const until_available = engine.bucket.time_until_available(now, 1, 1, parameters_.max_retry_after);
    auto const waiting = static_cast<double>(engine.requesters.size());
    auto const spread = waiting / (parameters_.requests_per_permit * rate_of(engine));
    return std::min(parameters_.max_retry_after, std::max(until_available, FromSeconds(spread)));
}

PermitResponse PermitIssuer::decide(Time now, PermitRequest const& request)
{
    auto& engine = engine_for(now, request);
    forget_old(now, engine);
    if (auto const known = engine.decisions.find(request.permit); known != engine.decisions.end())
        return known->second.response;
    engine.requesters[request.permit.node] = now;
    PermitResponse response { request.permit, engine.bucket.take(now, 1, 1), 0s };
    if (!response.granted)
        response.retry_after = retry_after(now, engine);
    engine.decisions[request.permit] = { response, now };
    return response;
}

void PermitIssuer::take_back(Time now, PermitReturn const& message)
{
    auto const engine = engines_.find(message.engine);
    if (engine == engines_.end())
        return;
    // Each permit is taken back once, and only from its own issuer.
    auto const decision = engine->second.decisions.extract(message.permit);
    if (decision && decision.mapped().response.granted)
        engine->second.bucket.credit(now, 1);
}

}
