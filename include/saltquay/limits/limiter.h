// Decides whether a request is inside its tenant's limit.
//
// The limit holds for all nodes together, so a decision may need another node's word: it is given at once or later.
// Deterministic: times and messages in, decisions and messages out; the driver has the sockets. Times are of the clock
// that goes on while a machine is suspended; the time of day plays no part.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "saltquay/limits/limit_messages.h"
#include "saltquay/limits/tenant_limit.h"

namespace saltquay::limits {

// A node as the limiter knows it; its name decides of which tenants it is the owner.
struct LimiterNode {
    std::string name;
    std::string address;
    std::string zone;
    int link_mbps = 0; // 0: not known.
};

enum class Verdict : std::uint8_t { Admitted, Refused, Pending };

struct Decision {
    Verdict verdict = Verdict::Admitted;
    Duration retry_after = 0s; // Where it is refused: from when on the request would be admitted, as far as is known.
    bool over_limit = false;   // Refused for the limit; else because nobody could tell.
    std::string decided_by;    // The owner's name, or this node's where it decided alone; for the log.
};

// A decision on a request that was pending. `request` is the caller's own number for it.
struct DeferredDecision {
    std::uint64_t request = 0;
    Decision decision;
};

// What changed in who decides; for the log.
struct OwnershipChange {
    enum class Kind : std::uint8_t { TookOver, HandedOver, Received, Unresponsive, Responsive };
    Kind kind = Kind::TookOver;
    std::string tenant; // Empty where it concerns all tenants of a node.
    std::string node;   // The other node; empty: none is concerned.
    double level = 0;   // Of the bucket, in units.
};

// What the limiter wants done.
struct LimiterOutput {
    std::vector<DeferredDecision> decisions;
    std::vector<AddressedLimitMessage> messages;
    std::vector<OwnershipChange> changes;
};

// Of one tenant, for metrics: as this node knows it.
struct LimitStatus {
    std::string tenant;
    std::string owner; // Name; empty: not asked yet.
    double level = 0;  // Units; where this node is the owner.
    bool is_owner = false;
    std::int64_t admitted = 0; // Units, through this node, since its start.
    std::int64_t refused = 0;
};

// How many nodes a node is in touch with by its newest knowledge, itself included.
struct Reach {
    int nodes = 1;
    Duration liveness_timeout {}; // A node that falls silent still counts for so long.
};

class Limiter {
public:
    virtual ~Limiter() = default;

    // The limits of the configuration in force; tenants without one are left out. A bucket whose limit changed goes on
    // from its level, or from the new burst where that is less.
    virtual void set_limits(Time, std::map<std::string, TenantLimit> const&) = 0;
    // All nodes that are known, those that stop left out, without this one.
    virtual void set_nodes(Time, std::vector<LimiterNode> const&) = 0;
    // What a owner lets pass depends on it.
    virtual void set_reachable_nodes(Time, Reach const&) = 0;
    // Pending: a DeferredDecision follows, unless the request is abandoned before. A request's charge is kept until
    // `settle` or `refund`.
    virtual Decision admit(Time, std::uint64_t request, std::string_view tenant, std::int64_t cost) = 0;
    // The request began to run, or may have: its charge stands.
    virtual void settle(std::uint64_t request) = 0;
    // The request is over and has surely not run; also for one that is still pending.
    virtual void refund(Time, std::uint64_t request) = 0;
    virtual void on_message(Time, LimitMessage const&) = 0;
    // Whatever is due. Call it at `next_deadline`, or more often.
    virtual void step(Time) = 0;
    virtual std::optional<Time> next_deadline() const = 0;
    // This node stops: what it knows goes to the next homes, and it is no owner any more.
    virtual void begin_stop(Time) = 0;
    // What came of the calls since the last one.
    virtual LimiterOutput take_output() = 0;
    virtual std::vector<LimitStatus> status(Time) const = 0;
};

// Limits that are kept by one owner for each tenant: see src/limits/home_limiter.h. `boot` tells this node's lives
// apart; `alone`: there are no other nodes.
std::unique_ptr<Limiter> make_distributed_limiter(
    LimiterNode const& self, std::uint64_t boot, bool alone, LimitTolerance const&, Time now);

}
