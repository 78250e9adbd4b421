// Keeps the requests of all nodes to an engine within the limit that the engine names.
//
// Protocol. A node sends a request to such an engine only with a permit. Permits are issued by one node: the
// highest-ranked one for the engine by rendezvous hashing. A node asks for one permit at a time, when a request would
// go to the engine, and holds it for a short time; requests do not wait for it but go to other engines meanwhile. An
// unused permit is given back. A node that disagrees about the issuer forwards the request once, so that nodes that
// know different members use the same issuer. An issuer that does not respond is skipped for a while, and the next in
// the ranking issues instead; without a response a node sends nothing. In a partition, each side issues its share.
//
// Deterministic: times and messages in, messages out. Times come from a monotonic clock that keeps running while the
// machine is suspended, so that permits expire in that time too.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "saltquay/limits/limiter.h"
#include "saltquay/limits/permit_messages.h"
#include "src/base/sliding_maximum.h"

namespace saltquay::limits {

class OwnerRanking;
class PermitIssuer;
struct OwnerCandidate;

struct EnginePermitsParameters {
    // How long a permit can be used, counted from the request for it.
    Duration permit_lifetime = 500ms;
    // A permit that was used is replaced at once if the engine was wanted within this time.
    Duration demand_memory = 1s;
    // Several round trips between regions.
    Duration resend_interval = 100ms;
    int max_unanswered_requests = 3; // Then the issuer is skipped.
    Duration avoidance_period = 2s;  // How long it is skipped.
    // A node that has just started knows few other nodes and would take itself for the issuer.
    Duration warm_up = 1s;
    Duration no_issuer_retry = 100ms;
    // The fleet size is the largest number of nodes that were reachable within this time.
    Duration fleet_size_memory = 120s;
};

class EnginePermits {
public:
    // `incarnation` distinguishes starts of this node. `single_node`: there are no other nodes.
    EnginePermits(LimiterNode const& self, std::uint64_t incarnation, bool single_node, Time now,
        EnginePermitsParameters const& = {});
    ~EnginePermits();

    // Sets the known nodes, without this node and without nodes that are stopping.
    void set_nodes(Time, std::vector<LimiterNode> const&);
    void set_reachable_nodes(Time, Reach const&);

    // Asks for a permit, unless one is held or asked for, or the issuer's retry time has not come. `engine`: hash of
    // the engine's incarnation.
    void request(Time, std::uint64_t engine, EngineLimit const&);
    bool holds(Time, std::uint64_t engine) const;
    // Whether `request` would ask now.
    bool may_request(Time, std::uint64_t engine) const;
    // Uses up the permit that is held.
    void use(Time, std::uint64_t engine);
    // The earliest time at which a permit can be had; now if none was refused.
    Time available_at(Time, std::uint64_t engine) const;
    // The engine names no limit any more, or is gone.
    void forget(std::uint64_t engine) { engines_.erase(engine); }

    void on_message(Time, PermitMessage const&);
    // Handles expired timers. Must be called at `next_deadline` or earlier.
    void step(Time);
    std::optional<Time> next_deadline() const;

    struct Output {
        std::vector<AddressedPermitMessage> messages;
        bool granted = false; // A permit has arrived.
    };
    // Returns and clears the output of all calls since the previous one.
    Output take_output() { return std::exchange(output_, {}); }

private:
    struct Permit {
        ChargeId id;
        std::uint64_t issuer = 0; // Hash of the node's name.
        Time expires_at {};
    };
    struct PendingRequest {
        PermitRequest message;
        std::uint64_t issuer = 0;
        int attempts = 0;
        Time asked_at {};
        Time resend_at {};
    };
    struct Engine {
        EngineLimit limit;
        std::optional<Permit> permit;
        std::optional<PendingRequest> pending;
        Time retry_at {};
        Time wanted_at {};
    };

    void on(Time, PermitRequest const&);
    void on(Time, PermitResponse const&);
    void on(Time, PermitReturn const&);
    OwnerCandidate const* issuer_of(Time, std::uint64_t engine) const;
    bool may_issue(Time) const;
    // Sends the pending request to the current issuer, or decides it if this node is the issuer.
    void send_request(Time, std::uint64_t hash, Engine&);
    void resend_request(Time, std::uint64_t hash, Engine&);
    void apply_response(Time, Engine&, PermitResponse const&);
    void give_back(Time, std::uint64_t hash, Permit const&);
    void send(std::string const& address, PermitMessage const& message)
    {
        output_.messages.push_back({ address, message });
    }

    EnginePermitsParameters parameters_;
    std::unique_ptr<OwnerRanking> ranking_;
    std::unique_ptr<PermitIssuer> issuer_;
    std::uint64_t incarnation_hash_ = 0; // Hash of the node's name and incarnation; part of its permits' ids.
    std::uint64_t last_permit_ = 0;
    bool single_node_ = false;
    Time ready_at_ {};
    SlidingMaximum largest_fleet_size_;
    std::map<std::uint64_t, Time> avoided_until_; // Nodes that did not respond, by hash of the name.
    std::map<std::uint64_t, Engine> engines_;     // By hash.
    Output output_;
};

}
