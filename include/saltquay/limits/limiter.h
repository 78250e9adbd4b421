// Decides whether a request is within its tenant's rate limit.
//
// A limit applies to all nodes together, so a decision may need a response from another node; it is then returned
// later. The limiter is deterministic: it takes times and messages and returns decisions and messages, and the caller
// owns the sockets. Times come from a monotonic clock that keeps running while a machine is suspended.
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

// A node as known to the limiter. Its name and link determine which tenants it owns.
struct LimiterNode {
    std::string name;
    std::string address;
    std::string zone;
    int link_mbps = 0; // 0: unknown.
};

enum class Verdict : std::uint8_t { Admitted, Refused, Pending };

struct Decision {
    Verdict verdict = Verdict::Admitted;
    Duration retry_after = 0s; // If refused: the expected time until the request would be admitted.
    bool over_limit = false;   // Refused because of the limit; false: refused because no owner could be reached.
    std::string decided_by;    // Name of the owner, or of this node if it decided locally; logged.
};

// The decision on a pending request. `request` is the number that the caller passed to `admit`.
struct DeferredDecision {
    std::uint64_t request = 0;
    Decision decision;
};

// A change of a tenant's owner or of a node's reachability; logged.
struct OwnershipChange {
    enum class Kind : std::uint8_t { TookOver, HandedOff, Received, Unresponsive, Responsive };
    Kind kind = Kind::TookOver;
    std::string tenant; // Empty: all tenants of the node.
    std::string node;   // The other node; empty: none.
    double level = 0;   // Bucket level in units.
};

// Results for the caller to act on.
struct LimiterOutput {
    std::vector<DeferredDecision> decisions;
    std::vector<AddressedLimitMessage> messages;
    std::vector<OwnershipChange> changes;
};

// One tenant's state as known to this node; exported as metrics.
struct LimitStatus {
    std::string tenant;
    std::string owner; // Name of the owner; empty: no decision yet.
    double level = 0;  // Units; only set on the owner.
    bool is_owner = false;
    std::int64_t admitted = 0; // Units admitted through this node since it started.
    std::int64_t refused = 0;
};

// The number of nodes that a node can currently reach, itself included.
struct Reach {
    int nodes = 1;
    Duration liveness_timeout {}; // An unresponsive node is still counted for this long.
};

class Limiter {
public:
    virtual ~Limiter() = default;

    // Sets the limits of the active configuration; tenants without a limit are omitted. A bucket whose limit changed
    // keeps its level, capped at the new depth.
    virtual void set_limits(Time, std::map<std::string, TenantLimit> const&) = 0;
    // Sets the known nodes, without this node and without nodes that are stopping.
    virtual void set_nodes(Time, std::vector<LimiterNode> const&) = 0;
    // An owner admits less while it can reach only a part of the fleet.
    virtual void set_reachable_nodes(Time, Reach const&) = 0;
    // Returns Pending if a DeferredDecision will follow, unless the request is refunded first. The charge is remembered
    // until `settle` or `refund`.
    virtual Decision admit(Time, std::uint64_t request, std::string_view tenant, std::int64_t cost) = 0;
    // The request has run or may have run: its charge becomes final.
    virtual void settle(std::uint64_t request) = 0;
    // The request ended and certainly did not run. Also cancels a pending request.
    virtual void refund(Time, std::uint64_t request) = 0;
    virtual void on_message(Time, LimitMessage const&) = 0;
    // Handles expired timers. Must be called at `next_deadline` or earlier.
    virtual void step(Time) = 0;
    virtual std::optional<Time> next_deadline() const = 0;
    // This node is stopping: hands its buckets to the next owners and owns no tenants from then on.
    virtual void begin_stop(Time) = 0;
    // Returns and clears the output of all calls since the previous `take_output`.
    virtual LimiterOutput take_output() = 0;
    virtual std::vector<LimitStatus> status(Time) const = 0;
};

// Creates a limiter with one owner node for each tenant; see src/limits/distributed_limiter.h. `incarnation`
// distinguishes starts of this node. `single_node`: there are no other nodes.
std::unique_ptr<Limiter> make_distributed_limiter(
    LimiterNode const& self, std::uint64_t incarnation, bool single_node, LimitTolerance const&, Time now);

}
