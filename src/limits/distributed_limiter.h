// A limiter in which one owner node for each tenant holds the token bucket; docs/design/tenant-limits.md describes the
// protocol and the alternatives considered.
//
// A request waits for its owner's response. The owner is the highest-ranked node for the tenant that is available;
// charge requests that arrive at another node are forwarded. A node that is isolated from all others decides by a local
// bucket that holds one node's share of the limit.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "saltquay/limits/limiter.h"
#include "src/limits/owned_buckets.h"
#include "src/limits/owner_failure_detector.h"
#include "src/limits/owner_ranking.h"

namespace saltquay::limits {

class DistributedLimiter final : public Limiter {
public:
    DistributedLimiter(LimiterNode const& self, std::uint64_t incarnation, bool single_node, LimitTolerance const&,
        LimiterParameters const&, Time now);

    void set_limits(Time, std::map<std::string, TenantLimit> const&) override;
    void set_nodes(Time, std::vector<LimiterNode> const&) override;
    void set_reachable_nodes(Time, Reach const&) override;
    Decision admit(Time, std::uint64_t request, std::string_view tenant, std::int64_t cost) override;
    void settle(std::uint64_t request) override { charges_.erase(request); }
    void refund(Time, std::uint64_t request) override;
    void on_message(Time, LimitMessage const&) override;
    void step(Time) override;
    std::optional<Time> next_deadline() const override;
    void begin_stop(Time) override;
    LimiterOutput take_output() override { return std::exchange(output_, {}); }
    std::vector<LimitStatus> status(Time) const override;

private:
    struct TenantState {
        std::string name;
        TenantLimit limit;
        std::optional<TokenBucket> local_bucket; // Used while the node is isolated from all others.
        Time local_decision_at {};               // Last decision by the local bucket.
        std::string owner;                       // Name of the node that decided last.
        std::int64_t admitted = 0;
        std::int64_t refused = 0;
        std::int64_t refused_cost = 0; // Of the last refusal, which is cached.
        Time refused_at {};
        Time refused_until {};
    };
    struct PendingRequest {
        std::uint64_t request = 0;
        ChargeRequest sent;
        std::uint64_t target = 0; // Hash of the node that the request was sent to.
        int attempts = 0;         // Requests sent to that node without a response.
        Time resend_at {};
        Time expires_at {};
    };
    struct Charge {
        ChargeId key;
        std::uint64_t tenant = 0;
        std::int64_t cost = 0;
        std::uint64_t owner = 0; // Hash of the node that charged it; 0: the local bucket.
    };

    void on(Time, ChargeRequest const&);
    void on(Time, ChargeResponse const&);
    void on(Time now, ChargeRefund const& message) { buckets_.refund(now, message.charge); }
    void on(Time, OwnerProbe const&);
    void on(Time, BucketHandoff const&);

    // Called at each entry point: detects that this process was paused. A pause is harmless in a fleet of one node,
    // which has no other owner.
    void check_for_pause(Time);
    // Asks other nodes whether they can reach the owner.
    void survey(Time, OwnerCandidate const& owner);
    void on_survey(Time, OwnerProbe const&);
    void on_relay_reply(Time, OwnerProbe const&);
    void learn_fleet_size(Time, int nodes);
    OwnerProbe make_probe(Time, OwnerProbe::Kind, std::uint64_t about) const;
    // Whether this node knows the fleet and is not stopping.
    bool is_ready(Time) const;
    bool can_be_owner(Time) const;
    void on_reported_unresponsive(Time);
    // The tenant's owner as far as this node knows; nullptr: none.
    OwnerCandidate const* owner_of(Time, std::uint64_t tenant) const;
    // Returns whether this node is the tenant's owner; if so, ensures that it holds the bucket.
    bool is_owner(Time, std::uint64_t tenant);
    // The node that the next charge request is sent to; nullptr: no owner can be reached.
    OwnerCandidate const* next_target(Time, std::uint64_t tenant) const;
    // Hands off the buckets whose owner is another node.
    void hand_off_foreign_buckets(Time);
    // Creates the buckets of newly owned tenants and hands off those that this node no longer owns.
    void update_ownership(Time);
    void hand_off(Time, std::uint64_t tenant, OwnerCandidate const* to);
    void forward(Time, ChargeRequest const&, OwnerCandidate const& owner);
    // Sends the request to its next target, or waits if this node itself is the next candidate and may have to take
    // over. Returns false if no owner can be reached.
    bool send_to_next_target(Time, PendingRequest&);
    // This node is next in the ranking after an owner that does not respond to it. Sends the request through a relay,
    // since other nodes may still reach that owner.
    void send_via_relay(Time, PendingRequest const&);
    void resend_requests(Time);
    void mark_responsive(Time, std::uint64_t node);
    // Admits only on a node that is isolated from all others. While others are reachable, their owners admit for the
    // whole fleet, and if an owner is merely slow, local decisions would admit on every node in addition. As long as
    // the size of the fleet is unknown, this node's share is zero.
    Decision decide_locally(Time, std::uint64_t request, TenantState&, std::uint64_t tenant, std::int64_t cost);
    Decision decide_as_owner(Time, std::uint64_t request, TenantState&, ChargeRequest const&);
    std::optional<Decision> cached_refusal(Time, TenantState const&, std::int64_t cost) const;
    // Records the charge of an admitted request and updates the counters.
    Decision apply_response(Time, std::uint64_t request, TenantState&, Charge const&, ChargeResponse const&);
    void complete(std::uint64_t request, Decision const&);
    void send(std::string const& address, LimitMessage const& message)
    {
        output_.messages.push_back({ address, message });
    }

    LimiterParameters parameters_;
    LimitTolerance tolerance_;
    OwnerRanking ranking_;
    OwnerFailureDetector detector_;
    OwnedBuckets buckets_;
    std::uint64_t incarnation_hash_ = 0; // Hash of the node's name and incarnation; part of its charge IDs.
    std::uint64_t last_charge_ = 0;
    bool single_node_ = false;
    bool stopping_ = false;
    Time ready_at_ {};
    bool was_ready_ = false;
    std::set<std::uint64_t> seen_nodes_; // Hashes of the names of all nodes seen so far.
    bool configured_ = false;            // Limits were set. Before that, no tenant would be limited.
    std::optional<Time> last_time_;
    std::optional<Time> reported_unresponsive_since_; // Start of an uninterrupted series of reports.
    Time reported_unresponsive_at_ {};                // Last report.
    Time stepped_down_until_ {};
    std::map<std::uint64_t, TenantState> tenants_;        // By hash of the name.
    std::map<std::uint64_t, PendingRequest> pending_;     // By request number.
    std::map<ChargeId, std::uint64_t> pending_by_charge_; // Request numbers of pending requests.
    std::map<std::uint64_t, Charge> charges_;             // Of admitted requests that may still be refunded.
    std::map<ChargeId, Time> abandoned_;                  // Charges whose request no longer waits for a response.
    struct Relayed {
        std::string reply_to;
        Time at {};
    };
    std::map<ChargeId, Relayed> relayed_; // Requests relayed for nodes that the owner's response may not reach.
    LimiterOutput output_;
};

}
