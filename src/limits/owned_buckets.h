// The buckets of the tenants whose owner this node is, and what was decided on them.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "saltquay/limits/limit_messages.h"
#include "saltquay/limits/limiter.h"
#include "saltquay/limits/tenant_limit.h"
#include "src/base/sliding_maximum.h"
#include "src/limits/limiter_parameters.h"
#include "src/limits/token_bucket.h"

namespace saltquay::limits {

class OwnedBuckets {
public:
    OwnedBuckets(LimiterParameters const& parameters, LimitTolerance const& tolerance)
        : parameters_(parameters)
        , tolerance_(tolerance)
        , largest_reach_(parameters.reach_memory)
    {
    }

    // How many nodes this one is in touch with. Of a fleet that is cut in two, each side fills its buckets at its
    // share.
    void set_reachable_nodes(Time, Reach const&);
    int reach() const { return reach_.nodes; }
    // The most nodes that it was in touch with lately; 0: not told yet.
    int largest_reach() const { return largest_reach_.Get(); }

    bool holds(std::uint64_t tenant) const { return buckets_.contains(tenant); }
    // Begins with a part of the bucket: what the owner before has admitted is not known. `share`: the part of the fleet
    // that this node was in touch with when it found the owner before to be silent; nothing: there may be another owner
    // of which it has not heard yet.
    void open(Time, std::uint64_t tenant, TenantLimit const&, std::optional<double> share);
    // Goes on from what another owner held, besides what is held here already.
    void receive(Time, BucketHandoff const&, TenantLimit const&);
    // Ends the bucket; its level goes to another owner.
    BucketHandoff give_up(Time, std::uint64_t tenant);
    // This node stood still and another may have been the owner meanwhile: goes on like a new owner.
    void distrust(Time);
    // The most nodes that another node was in touch with.
    void note_fleet(Time now, int nodes) { largest_reach_.Note(nodes, now); }
    // A version of the configuration changed the limit; nothing: the tenant has none any more.
    void change_limit(Time, std::uint64_t tenant, std::optional<TenantLimit> const&);

    // What was decided on a charge lately, also of buckets that were given up since.
    std::optional<ChargeResponse> find_answer(ChargeId const&) const;
    // Decides on an ask, or repeats what was decided on it. The tenant's bucket is held.
    ChargeResponse decide(Time, ChargeRequest const&);
    // Gives back what was charged; once for each charge.
    void refund(Time, ChargeId const&);

    double level(Time, std::uint64_t tenant) const;
    // The bucket's depth for a limit: its burst and a part of the slack.
    double depth_of(TenantLimit const&) const;
    template<typename Visit> void for_each(Visit visit) const
    {
        for (auto const& [tenant, bucket] : buckets_)
            visit(tenant);
    }

private:
    struct Bucket {
        TenantLimit limit;
        TokenBucket tokens;
        std::optional<Time> settled_at; // Until then a rival may be there.
        std::optional<double> share {}; // Of the fleet, meanwhile; the smaller of this and the reach counts.
        double unearned = 0;            // Units that it began with, and that no owner before handed over.
    };
    struct Decided {
        ChargeResponse answer;
        std::uint64_t tenant = 0;
        std::int64_t cost = 0;
    };

    // At a share of the fleet that this node is in touch with.
    double rate_of(Bucket const&, double reach) const;
    double share_of(Bucket const&, double reach) const;
    double depth_of(Bucket const&) const;
    // The level at which any request is admitted, however large.
    double enough_of(Bucket const&) const;
    void apply(Time, Bucket&);
    double reach_share() const;
    void refresh(Time, Bucket&);
    void remember(Time, Decided const&);

    LimiterParameters parameters_;
    LimitTolerance tolerance_;
    SlidingMaximum largest_reach_;
    Reach reach_;
    std::map<std::uint64_t, Bucket> buckets_; // By tenant.
    std::map<ChargeId, Decided> decided_;
    std::deque<std::pair<Time, ChargeId>> decided_order_;
    std::map<ChargeId, Time> received_; // Hand-overs that were taken.
};

}
