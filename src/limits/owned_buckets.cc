#include "src/limits/owned_buckets.h"

#include <algorithm>
#include <utility>

namespace saltquay::limits {

double OwnedBuckets::reach_share() const
{
    auto const largest = largest_reach_.Get();
    return largest <= 0 ? 1.0 : std::min(1.0, static_cast<double>(reach_.nodes) / largest);
}

double OwnedBuckets::depth_of(TenantLimit const& limit) const
{
    return static_cast<double>(limit.burst) + parameters_.slack_share * static_cast<double>(tolerance_.slack);
}

double OwnedBuckets::share_of(Bucket const& bucket, double reach) const
{
    return bucket.settled_at ? std::min(bucket.share.value_or(1), reach) : reach;
}

double OwnedBuckets::rate_of(Bucket const& bucket, double reach) const
{
    auto const part = bucket.settled_at && !bucket.share ? parameters_.settling_share : 1.0;
    return static_cast<double>(bucket.limit.rate_per_s) * share_of(bucket, reach) * part;
}

// Each side of a cut may come to a full bucket: together they hold one.
double OwnedBuckets::depth_of(Bucket const& bucket) const
{
    return share_of(bucket, reach_share()) * depth_of(bucket.limit);
}

// A request larger than the bucket could never be served but from a full one, into debt. Only one side of a cut may do
// that: a smaller one waits for what it would need of the whole bucket.
double OwnedBuckets::enough_of(Bucket const& bucket) const
{
    constexpr double majority = 0.5;
    return share_of(bucket, reach_share()) > majority ? depth_of(bucket) : depth_of(bucket.limit);
}

void OwnedBuckets::apply(Time now, Bucket& bucket)
{
    bucket.tokens.set_limit(now, rate_of(bucket, reach_share()), depth_of(bucket));
}

void OwnedBuckets::refresh(Time now, Bucket& bucket)
{
    if (!bucket.settled_at || now < *bucket.settled_at)
        return;
    bucket.settled_at.reset();
    apply(now, bucket);
}

void OwnedBuckets::set_reachable_nodes(Time now, Reach const& reach)
{
    auto const share_before = reach_share();
    reach_ = reach;
    largest_reach_.Note(reach.nodes, now);
    if (reach_share() == share_before)
        return;
    for (auto& [tenant, bucket] : buckets_) {
        // The other side of a cut has filled its own part since the cut, and this one still filled the whole.
        auto const too_much = rate_of(bucket, share_before) - rate_of(bucket, reach_share());
        if (too_much > 0)
            bucket.tokens.take_back(now, too_much, reach.liveness_timeout);
        refresh(now, bucket);
        apply(now, bucket);
    }
}

void OwnedBuckets::open(Time now, std::uint64_t tenant, TenantLimit const& limit, std::optional<double> share)
{
    Bucket bucket { limit, TokenBucket(now, 0, 0, 0), now + parameters_.settling, share, 0 };
    apply(now, bucket);
    bucket.unearned = parameters_.first_level * depth_of(bucket);
    bucket.tokens.credit(now, bucket.unearned);
    buckets_.insert_or_assign(tenant, bucket);
}

void OwnedBuckets::distrust(Time now)
{
    for (auto& [tenant, bucket] : buckets_) {
        bucket.tokens.skip_to(now, parameters_.first_level * depth_of(bucket));
        bucket.unearned = std::max(0.0, bucket.tokens.level(now));
        bucket.settled_at = now + parameters_.settling;
        bucket.share.reset();
        apply(now, bucket);
    }
}

void OwnedBuckets::receive(Time now, BucketHandoff const& message, TenantLimit const& limit)
{
    std::erase_if(received_, [&](auto const& entry) { return now - entry.second > parameters_.answers_kept; });
    if (!received_.emplace(message.key, now).second)
        return;
    auto const held = buckets_.find(message.tenant);
    if (held != buckets_.end()) {
        auto& bucket = held->second;
        if (message.established)
            bucket.settled_at.reset();
        apply(now, bucket);
        bucket.tokens.credit(now, message.level - std::exchange(bucket.unearned, 0));
        return;
    }
    Bucket bucket { limit, TokenBucket(now, 0, depth_of(limit), message.level), std::nullopt };
    if (!message.established)
        bucket.settled_at = now + parameters_.settling;
    apply(now, bucket);
    buckets_.insert_or_assign(message.tenant, bucket);
}

BucketHandoff OwnedBuckets::give_up(Time now, std::uint64_t tenant)
{
    BucketHandoff message;
    message.tenant = tenant;
    auto const bucket = buckets_.find(tenant);
    if (bucket == buckets_.end())
        return message;
    refresh(now, bucket->second);
    message.level = bucket->second.tokens.level(now);
    message.established = !bucket->second.settled_at;
    message.fleet = largest_reach();
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
    apply(now, bucket->second);
}

void OwnedBuckets::remember(Time now, Decided const& decided)
{
    while (!decided_order_.empty() && now - decided_order_.front().first > parameters_.answers_kept) {
        decided_.erase(decided_order_.front().second);
        decided_order_.pop_front();
    }
    decided_.insert_or_assign(decided.answer.charge, decided);
    decided_order_.emplace_back(now, decided.answer.charge);
}

std::optional<ChargeResponse> OwnedBuckets::find_answer(ChargeId const& charge) const
{
    auto const known = decided_.find(charge);
    return known == decided_.end() ? std::nullopt : std::optional(known->second.answer);
}

ChargeResponse OwnedBuckets::decide(Time now, ChargeRequest const& ask)
{
    if (auto const known = find_answer(ask.charge))
        return *known;
    auto& bucket = buckets_.at(ask.tenant);
    refresh(now, bucket);
    auto const cost = static_cast<double>(ask.cost);
    ChargeResponse answer;
    answer.charge = ask.charge;
    auto const enough = enough_of(bucket);
    answer.admitted = bucket.tokens.take(now, cost, enough);
    if (!answer.admitted)
        answer.retry_after = bucket.tokens.time_until(now, cost, enough, parameters_.longest_retry_after);
    remember(now, { answer, ask.tenant, ask.cost });
    return answer;
}

void OwnedBuckets::refund(Time now, ChargeId const& charge)
{
    auto const decided = decided_.find(charge);
    if (decided == decided_.end() || !decided->second.answer.admitted || decided->second.cost == 0)
        return;
    auto const bucket = buckets_.find(decided->second.tenant);
    if (bucket != buckets_.end())
        bucket->second.tokens.credit(now, static_cast<double>(decided->second.cost));
    decided->second.cost = 0; // A refund that comes twice finds nothing.
}

double OwnedBuckets::level(Time now, std::uint64_t tenant) const
{
    auto const bucket = buckets_.find(tenant);
    return bucket == buckets_.end() ? 0 : bucket->second.tokens.level(now);
}

}
