// Limits that one home for each tenant keeps; docs/design/tenant-limits.md has the protocol and what was weighed.
//
// A request waits for its home's word. The home is the first node of the tenant's order that is not absent; asks that
// come to another node are passed on. A node that reaches no home decides by a bucket of its own, of one node's part.
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
#include "src/limits/home_order.h"
#include "src/limits/home_watch.h"
#include "src/limits/limit_home.h"

namespace saltquay::limits {

class HomeLimiter final : public Limiter {
public:
    HomeLimiter(
        LimitNode const& self, std::uint64_t boot, bool alone, LimitTolerance const&, LimitKnobs const&, Time now);

    void set_limits(Time, std::map<std::string, TenantLimit> const&) override;
    void set_nodes(Time, std::vector<LimitNode> const&) override;
    void set_reach(Time, Reach const&) override;
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
        std::optional<TokenBucket> own; // By which it is decided while no home is reached.
        Time decided_alone_at {};       // By that bucket.
        std::string home;               // That decided last.
        std::int64_t admitted = 0;
        std::int64_t refused = 0;
        std::int64_t refused_cost = 0; // Of the last refusal, which stands for a moment.
        Time refused_at {};
        Time refused_until {};
    };
    struct Pending {
        std::uint64_t request = 0;
        LimitAsk ask;
        std::uint64_t target = 0; // Hash of the node that was asked.
        int asks = 0;             // Of that node, without an answer.
        Time next {};
        Time ends {};
    };
    struct Charge {
        ChargeKey key;
        std::uint64_t tenant = 0;
        std::int64_t cost = 0;
        std::uint64_t home = 0; // Hash of the node that charged it; 0: this node's own bucket.
    };

    void on(Time, LimitAsk const&);
    void on(Time, LimitAnswer const&);
    void on(Time now, LimitRefund const& message) { home_.refund(now, message.charge); }
    void on(Time, HomeProbe const&);
    void on(Time, BucketHandOver const&);

    // Called with each time that is handed in: finds out whether this node stood still.
    void note_time(Time);
    // Asks other nodes whether they reach the home.
    void survey(Time, HomeNode const& home);
    void on_survey(Time, HomeProbe const&);
    void on_relay_reply(Time, HomeProbe const&);
    void learn_fleet(Time, int nodes);
    HomeProbe make_probe(Time, HomeProbe::Kind, std::uint64_t about) const;
    // Whether this node knows the fleet, and stays.
    bool has_joined(Time) const;
    bool may_be_home(Time) const;
    void note_held_silent(Time);
    // The tenant's home by this node's knowledge; nullptr: none.
    HomeNode const* home_of(Time, std::uint64_t tenant) const;
    // Whether this node is the tenant's home; it holds the bucket then.
    bool is_home(Time, std::uint64_t tenant);
    // The node that a request's ask goes to next; nullptr: no home is reached.
    HomeNode const* target_of(Time, std::uint64_t tenant) const;
    // Hands over the buckets of which another node is the home.
    void hand_over_strays(Time);
    // Opens the buckets of which this node is the home now, and hands over those of which it is no more.
    void rebalance(Time);
    void hand_over(Time, std::uint64_t tenant, HomeNode const* to);
    void pass_on(Time, LimitAsk const&, HomeNode const& home);
    // Sends the ask to its next target, or waits where this node may have to stand in; false: no home is reached.
    bool ask_next(Time, Pending&);
    void ask_relay(Time, Pending const&);
    void repeat_asks(Time);
    void note_heard(Time, std::uint64_t node);
    Decision decide_alone(Time, std::uint64_t request, Limited&, std::uint64_t tenant, std::int64_t cost);
    Decision decide_here(Time, std::uint64_t request, Limited&, LimitAsk const&);
    std::optional<Decision> repeat_refusal(Time, Limited const&, std::int64_t cost) const;
    // Keeps the charge of an admitted request and counts what was decided.
    Decision conclude(Time, std::uint64_t request, Limited&, Charge const&, LimitAnswer const&);
    void finish(std::uint64_t request, Decision const&);
    void send(std::string const& address, LimitMessage const& message)
    {
        output_.messages.push_back({ address, message });
    }

    LimitKnobs knobs_;
    LimitTolerance tolerance_;
    HomeOrder order_;
    HomeWatch watch_;
    LimitHome home_;
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
    std::map<ChargeKey, std::uint64_t> asked_; // Pending requests by charge.
    std::map<std::uint64_t, Charge> charges_;  // Of requests that may still be given back.
    std::map<ChargeKey, Time> abandoned_;      // Asks whose answer nobody waits for any more.
    struct Relayed {
        std::string reply_to;
        Time at {};
    };
    std::map<ChargeKey, Relayed> relayed_; // Asks of nodes that the home's answer may not reach.
    LimiterOutput output_;
};

}
