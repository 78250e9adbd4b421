// The token buckets of the tenants that this node owns, and recent decisions on charges.
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
        , largest_fleet_size_(parameters.fleet_size_memory)
    {
    }

    // Sets the number of reachable nodes. While the fleet is partitioned, each side fills its buckets in proportion to
    // its share of the fleet.
    void set_reachable_nodes(Time, Reach const&);
    int reachable_nodes() const { return reachable_.nodes; }
    // The largest recent number of reachable nodes, including what other nodes reported; 0: not known yet.
    int largest_fleet_size() const { return largest_fleet_size_.Get(); }

    bool holds(std::uint64_t tenant) const { return buckets_.contains(tenant); }
    // Creates a partly filled bucket, since it is unknown what the previous owner admitted. `share`: the share of the
    // fleet that this node could reach when it declared the previous owner failed; nullopt: another owner may exist
    // that this node does not know of yet.
    void create(Time, std::uint64_t tenant, TenantLimit const&, std::optional<double> share);
    // Takes over another owner's level, in addition to a bucket that already exists here.
    void receive_handoff(Time, BucketHandoff const&, TenantLimit const&);
    // Removes the bucket and returns its level for the next owner.
    BucketHandoff release(Time, std::uint64_t tenant);
    // Resets all buckets to those of a new owner: the process was paused and another node may have been the owner.
    void restart_probation(Time);
    // Records the largest number of nodes that another node could reach.
    void record_fleet_size(Time now, int nodes) { largest_fleet_size_.RecordValue(nodes, now); }
    // Applies a changed limit; nullopt: the tenant has no limit any more.
    void change_limit(Time, std::uint64_t tenant, std::optional<TenantLimit> const&);

    // Returns a recent response to a charge, also for buckets that were released since.
    std::optional<ChargeResponse> find_response(ChargeId const&) const;
    // Decides on a request, or returns the earlier response to it. The tenant's bucket must be held.
    ChargeResponse decide(Time, ChargeRequest const&);
    // Refunds a charge; at most once for each charge.
    void refund(Time, ChargeId const&);

    double level(Time, std::uint64_t tenant) const;
    // Bucket depth for a limit: its burst and a share of the slack.
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
        std::optional<Time> probation_ends_at; // Another owner may exist until then; nullopt: probation is over.
        std::optional<double> share {};        // Surveyed share of the fleet; upper bound during probation.
        double provisional = 0;                // Initial units that were not handed off by a previous owner.
    };
    struct RecordedResponse {
        ChargeResponse response;
        std::uint64_t tenant = 0;
        std::int64_t cost = 0;
    };

    // `fleet_share`: the reachable share of the fleet.
    double rate_of(Bucket const&, double fleet_share) const;
    double share_of(Bucket const&, double fleet_share) const;
    double depth_of(Bucket const&) const;
    // The level at which a request of any cost is admitted.
    double admission_level_of(Bucket const&) const;
    void apply_limit(Time, Bucket&);
    double reachable_share() const;
    void end_probation_if_due(Time, Bucket&);
    void record_response(Time, RecordedResponse const&);

    LimiterParameters parameters_;
    LimitTolerance tolerance_;
    SlidingMaximum largest_fleet_size_;
    Reach reachable_;
    std::map<std::uint64_t, Bucket> buckets_; // By tenant.
    std::map<ChargeId, RecordedResponse> responses_;
    std::deque<std::pair<Time, ChargeId>> response_order_;
    std::map<ChargeId, Time> received_handoffs_; // Handoffs that were applied.
};

}
