// Limits that one owner for each tenant keeps; docs/design/tenant-limits.md has the protocol and what was weighed.
//
// A request waits for its owner's word. The owner is the first node of the tenant's order that is not absent; asks that
// come to another node are passed on. A node that reaches no owner decides by a bucket of its own, of one node's part.
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
    DistributedLimiter(LimiterNode const& self, std::uint64_t boot, bool alone, LimitTolerance const&,
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
    struct Limited {
        std::string name;
        TenantLimit limit;
        std::optional<TokenBucket> own; // By which it is decided while no owner is reached.
        Time decided_alone_at {};       // By that bucket.
        std::string owner;              // That decided last.
        std::int64_t admitted = 0;
        std::int64_t refused = 0;
        std::int64_t refused_cost = 0; // Of the last refusal, which stands for a moment.
        Time refused_at {};
        Time refused_until {};
    };
    struct Pending {
        std::uint64_t request = 0;
        ChargeRequest ask;
        std::uint64_t target = 0; // Hash of the node that was asked.
        int asks = 0;             // Of that node, without an answer.
        Time next {};
        Time ends {};
    };
    struct Charge {
        ChargeId key;
        std::uint64_t tenant = 0;
        std::int64_t cost = 0;
        std::uint64_t owner = 0; // Hash of the node that charged it; 0: this node's own bucket.
    };

    void on(Time, ChargeRequest const&);
    void on(Time, ChargeResponse const&);
    void on(Time now, ChargeRefund const& message) { home_.refund(now, message.charge); }
    void on(Time, OwnerProbe const&);
    void on(Time, BucketHandoff const&);

    // Called with each time that is handed in: finds out whether this node stood still.
    void record_latency(Time);
    // Asks other nodes whether they reach the owner.
    void survey(Time, OwnerCandidate const& owner);
    void on_survey(Time, OwnerProbe const&);
    void on_relay_reply(Time, OwnerProbe const&);
    void learn_fleet(Time, int nodes);
    OwnerProbe make_probe(Time, OwnerProbe::Kind, std::uint64_t about) const;
    // Whether this node knows the fleet, and stays.
    bool has_joined(Time) const;
    bool may_be_home(Time) const;
    void note_held_silent(Time);
    // The tenant's owner by this node's knowledge; nullptr: none.
    OwnerCandidate const* home_of(Time, std::uint64_t tenant) const;
    // Whether this node is the tenant's owner; it holds the bucket then.
    bool is_owner(Time, std::uint64_t tenant);
    // The node that a request's ask goes to next; nullptr: no owner is reached.
    OwnerCandidate const* target_of(Time, std::uint64_t tenant) const;
    // Hands over the buckets of which another node is the owner.
    void hand_over_strays(Time);
    // Opens the buckets of which this node is the owner now, and hands over those of which it is no more.
    void rebalance(Time);
    void hand_over(Time, std::uint64_t tenant, OwnerCandidate const* to);
    void pass_on(Time, ChargeRequest const&, OwnerCandidate const& owner);
    // Sends the ask to its next target, or waits where this node may have to stand in; false: no owner is reached.
    bool ask_next(Time, Pending&);
    void ask_relay(Time, Pending const&);
    void repeat_asks(Time);
    void note_heard(Time, std::uint64_t node);
    Decision decide_alone(Time, std::uint64_t request, Limited&, std::uint64_t tenant, std::int64_t cost);
    Decision decide_here(Time, std::uint64_t request, Limited&, ChargeRequest const&);
    std::optional<Decision> repeat_refusal(Time, Limited const&, std::int64_t cost) const;
    // Keeps the charge of an admitted request and counts what was decided.
    Decision conclude(Time, std::uint64_t request, Limited&, Charge const&, ChargeResponse const&);
    void finish(std::uint64_t request, Decision const&);
    void send(std::string const& address, LimitMessage const& message)
    {
        output_.messages.push_back({ address, message });
    }

    LimiterParameters parameters_;
    LimitTolerance tolerance_;
    OwnerRanking order_;
    OwnerFailureDetector watch_;
    OwnedBuckets home_;
    std::uint64_t life_ = 0; // Of this node: names its charges.
    std::uint64_t last_charge_ = 0;
    bool alone_ = false;
    bool stopping_ = false;
    Time joined_at_ {};
    bool was_joined_ = false;
    std::set<std::uint64_t> known_before_; // Nodes, by hash of the name.
    bool configured_ = false;              // Limits were told; without them, all would be admitted.
    std::optional<Time> last_time_;
    std::optional<Time> held_silent_since_; // By another node, without a long pause.
    Time held_silent_at_ {};                // Last.
    Time replaced_until_ {};
    std::map<std::uint64_t, Limited> tenants_; // By hash of the name.
    std::map<std::uint64_t, Pending> pending_; // By request.
    std::map<ChargeId, std::uint64_t> asked_;  // Pending requests by charge.
    std::map<std::uint64_t, Charge> charges_;  // Of requests that may still be given back.
    std::map<ChargeId, Time> abandoned_;       // Asks whose answer nobody waits for any more.
    struct Relayed {
        std::string reply_to;
        Time at {};
    };
    std::map<ChargeId, Relayed> relayed_; // Asks of nodes that the owner's answer may not reach.
    LimiterOutput output_;
};

}
