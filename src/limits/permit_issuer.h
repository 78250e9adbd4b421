// Issues permits for the requests to engines that name a limit.
//
// While nodes learn of a new or lost node, two of them may issue permits for the same engine. The rate and the burst
// are chosen so that two issuers together stay within one and a half times the limit over a few seconds. A new issuer
// begins with an empty bucket, since it does not know what its predecessor issued.
#pragma once

#include <cstdint>
#include <map>

#include "saltquay/limits/permit_messages.h"
#include "src/limits/token_bucket.h"

namespace saltquay::limits {

struct PermitIssuerParameters {
    double rate_share = 0.75;        // Share of the engine's limit that is issued.
    double burst = 1;                // Permits that may be issued at once,
    double burst_s = 0.05;           // and this many seconds of the limit more,
    double max_burst = 2;            // up to this number.
    double min_requests_per_s = 0.1; // Lower limits allow a request now and then, which shows whether they still hold.
    double requests_per_permit = 6;  // How many requests the waiting nodes should send for each permit.
    Duration requester_memory = 30s; // Nodes that asked within this time are taken to be waiting.
    Duration max_retry_after = 20s;
    Duration response_retention = 2s; // For this long a resent request gets the same response.
    Duration idle_timeout = 60s;      // Engines without requests are forgotten.
};

class PermitIssuer {
public:
    explicit PermitIssuer(PermitIssuerParameters const& parameters)
        : parameters_(parameters)
    {
    }

    // The share of the fleet's nodes that this node can reach; issues only this share of the permits.
    void set_reachable_share(Time, double share);
    // Decides on a request, or returns the earlier response to it.
    PermitResponse decide(Time, PermitRequest const&);
    void take_back(Time, PermitReturn const&);

private:
    struct Decision {
        PermitResponse response;
        Time at {};
    };
    struct Engine {
        EngineLimit limit;
        TokenBucket bucket;
        Time asked_at {};
        std::map<ChargeId, Decision> decisions;
        std::map<std::uint64_t, Time> requesters; // Last request by node.
    };

    Engine& engine_for(Time, PermitRequest const&);
    void apply_limit(Time, Engine&);
    double burst_of(Engine const&) const;
    double rate_of(Engine const&) const;
    Duration retry_after(Time, Engine&) const;
    void forget_old(Time, Engine&);

    PermitIssuerParameters parameters_;
    double reachable_share_ = 1;
    std::map<std::uint64_t, Engine> engines_; // By hash.
};

}
