#include "src/limits/owned_buckets.h"

#include <algorithm>
#include <utility>

namespace saltquay::limits {

double OwnedBuckets::reachable_share() const
{
    auto const largest = largest_fleet_size_.Get();
    return largest <= 0 ? 1.0 : std::min(1.0, static_cast<double>(reachable_.nodes) / largest);
}

double OwnedBuckets::depth_of(TenantLimit const& limit) const
{
    return static_cast<double>(limit.burst) + parameters_.slack_share * static_cast<double>(tolerance_.slack);
}

double OwnedBuckets::share_of(Bucket const& bucket, double fleet_share) const
{
    return bucket.probation_ends_at ? std::min(bucket.share.value_or(1), fleet_share) : fleet_share;
}

double OwnedBuckets::rate_of(Bucket const& bucket, double fleet_share) const
{
    auto const factor = bucket.probation_ends_at && !bucket.share ? parameters_.probation_rate_share : 1.0;
    return static_cast<double>(bucket.limit.rate_per_s) * share_of(bucket, fleet_share) * factor;
}

// The buckets of both sides of a partition may be full; together they hold the depth of one.
double OwnedBuckets::depth_of(Bucket const& bucket) const
{
    return share_of(bucket, reachable_share()) * depth_of(bucket.limit);
}

// A request that costs more than the bucket holds is admitted by a full bucket, whose level becomes negative. In a
// partition only the majority side may do that; a minority side requires the level of an undivided bucket.
double OwnedBuckets::admission_level_of(Bucket const& bucket) const
{
    constexpr double majority = 0.5;
    return share_of(bucket, reachable_share()) > majority ? depth_of(bucket) : depth_of(bucket.limit);
}

void OwnedBuckets::apply_limit(Time now, Bucket& bucket)
{
    bucket.tokens.set_limit(now, rate_of(bucket, reachable_share()), depth_of(bucket));
}

void OwnedBuckets::end_probation_if_due(Time now, Bucket& bucket)
{
    if (!bucket.probation_ends_at || now < *bucket.probation_ends_at)
        return;
    bucket.probation_ends_at.reset();
    apply_limit(now, bucket);
}

void OwnedBuckets::set_reachable_nodes(Time now, Reach const& reach)
{
    auto const share_before = reachable_share();
    reachable_ = reach;
    largest_fleet_size_.RecordValue(reach.nodes, now);
    if (reachable_share() == share_before)
        return;
    for (auto& [tenant, bucket] : buckets_) {
        // Since the partition began, the other side has filled its share while this side still filled the whole bucket.
        auto const excess = rate_of(bucket, share_before) - rate_of(bucket, reachable_share());
        if (excess > 0)
            bucket.tokens.revoke(now, excess, reach.liveness_timeout);
        end_probation_if_due(now, bucket);
        apply_limit(now, bucket);
    }
}

void OwnedBuckets::create(Time now, std::uint64_t tenant, TenantLimit const& limit, std::optional<double> share)
{
    Bucket bucket { limit, TokenBucket(now, 0, 0, 0), now + parameters_.probation, share, 0 };
    apply_limit(now, bucket);
    bucket.provisional = parameters_.initial_level_share * depth_of(bucket);
    bucket.tokens.credit(now, bucket.provisional);
    buckets_.insert_or_assign(tenant, bucket);
}

void OwnedBuckets::restart_probation(Time now)
{
    for (auto& [tenant, bucket] : buckets_) {
        bucket.tokens.skip_to(now, parameters_.initial_level_share * depth_of(bucket));
        bucket.provisional = std::max(0.0, bucket.tokens.level(now));
        bucket.probation_ends_at = now + parameters_.probation;
        bucket.share.reset();
        apply_limit(now, bucket);
    }
}

void OwnedBuckets::receive_handoff(Time now, BucketHandoff const& message, TenantLimit const& limit)
{
    std::erase_if(
        received_handoffs_, [&](auto const& entry) { return now - entry.second > parameters_.response_retention; });
    if (!received_handoffs_.emplace(message.key, now).second)
        return;
    auto const held = buckets_.find(message.tenant);
    if (held != buckets_.end()) {
        auto& bucket = held->second;
        if (message.established)
            bucket.probation_ends_at.reset();
        apply_limit(now, bucket);
        bucket.tokens.credit(now, message.level - std::exchange(bucket.provisional, 0));
        return;
    }
    Bucket bucket { limit, TokenBucket(now, 0, depth_of(limit), message.level), std::nullopt };
    if (!message.established)
        bucket.probation_ends_at = now + parameters_.probation;
    apply_limit(now, bucket);
    buckets_.insert_or_assign(message.tenant, bucket);
}

BucketHandoff OwnedBuckets::release(Time now, std::uint64_t tenant)
{
    BucketHandoff message;
    message.tenant = tenant;
    auto const bucket = buckets_.find(tenant);
    if (bucket == buckets_.end())
        return message;
    end_probation_if_due(now, bucket->second);
    message.level = bucket->second.tokens.level(now);
    message.established = !bucket->second.probation_ends_at;
    message.fleet = largest_fleet_size();
    buckets_.erase(bucket);
    return message;
}

void OwnedBuckets::change_limit(Time now, std::uint64_t tenant, std::optional<TenantLimit> const& limit)
{
    auto const bucket = buckets_.find(tenant);
    if (bucket == buckets_.end())
        return;
    if (!limit) {
        buckets_.erase(bucket);
        return;
    }
    if (bucket->second.limit == *limit)
        return;
    bucket->second.limit = *limit;
    apply_limit(now, bucket->second);
}

void OwnedBuckets::record_response(Time now, RecordedResponse const& recorded)
{
    while (!response_order_.empty() && now - response_order_.front().first > parameters_.response_retention) {
        responses_.erase(response_order_.front().second);
        response_order_.pop_front();
    }
    responses_.insert_or_assign(recorded.response.charge, recorded);
    response_order_.emplace_back(now, recorded.response.charge);
}

std::optional<ChargeResponse> OwnedBuckets::find_response(ChargeId const& charge) const
{
    auto const known = responses_.find(charge);
    return known == responses_.end() ? std::nullopt : std::optional(known->second.response);
}

ChargeResponse OwnedBuckets::decide(Time now, ChargeRequest const& charge_request)
{
    if (auto const known = find_response(charge_request.charge))
        return *known;
    auto& bucket = buckets_.at(charge_request.tenant);
    end_probation_if_due(now, bucket);
    auto const cost = static_cast<double>(charge_request.cost);
    ChargeResponse response;
    response.charge = charge_request.charge;
    auto const admission_level = admission_level_of(bucket);
    response.admitted = bucket.tokens.take(now, cost, admission_level);
    if (!response.admitted)
        response.retry_after =
            bucket.tokens.time_until_available(now, cost, admission_level, parameters_.max_retry_after);
    record_response(now, { response, charge_request.tenant, charge_request.cost });
    return response;
}

void OwnedBuckets::refund(Time now, ChargeId const& charge)
{
    auto const recorded = responses_.find(charge);
    if (recorded == responses_.end() || !recorded->second.response.admitted || recorded->second.cost == 0)
        return;
    auto const bucket = buckets_.find(recorded->second.tenant);
    if (bucket != buckets_.end())
        bucket->second.tokens.credit(now, static_cast<double>(recorded->second.cost));
    recorded->second.cost = 0; // A duplicate refund adds nothing.
}

double OwnedBuckets::level(Time now, std::uint64_t tenant) const
{
    auto const bucket = buckets_.find(tenant);
    return bucket == buckets_.end() ? 0 : bucket->second.tokens.level(now);
}

}
