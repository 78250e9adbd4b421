// Messages that nodes exchange to enforce tenants' rate limits.
//
// Each tenant has one owner: the node that holds the tenant's token bucket and decides on its requests. A message is
// one datagram to one node. It may be dropped, duplicated, delayed or reordered; no such fault charges or refunds a
// request twice.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "src/base/time.h"

namespace saltquay::limits {

// Identifies a charge by the node's incarnation that made it and a sequence number within that incarnation.
struct ChargeId {
    std::uint64_t node = 0; // Hash of the node's name and incarnation.
    std::uint64_t number = 0;

    auto operator<=>(ChargeId const&) const = default;
};

// Asks the owner to admit a request and charge its cost. Resent unchanged until a response arrives.
struct ChargeRequest {
    ChargeId charge;
    std::uint64_t tenant = 0;             // Hash of the tenant's name.
    std::int64_t cost = 0;                // Units.
    std::string reply_to;                 // Address of the requesting node.
    std::uint8_t forwards = 0;            // How many nodes have forwarded it.
    std::uint64_t unresponsive_owner = 0; // Hash of the name of an owner that did not respond to the requester, or of
                                          // the node that declined ownership; 0: none.
    bool declined = false; // Forwarded by a node that declines ownership because it is starting, stopping or has
                           // stepped down.
};

// The owner's decision, sent directly to the requester.
struct ChargeResponse {
    ChargeId charge;
    bool admitted = false;
    Duration retry_after = 0s; // If refused: the time until the bucket would hold the cost.
    std::string owner;         // Name of the node that decided.
};

// Returns the cost of a charge to the bucket because the request never ran on an engine.
struct ChargeRefund {
    ChargeId charge;
    std::uint64_t tenant = 0;
};

// Checks whether a node is alive; the response is immediate.
//
// A node that may have to take over from an unresponsive owner surveys other nodes. Each of them responds immediately,
// which shows the sender how much of the fleet it can reach, and relays the probe to the owner, which may be
// unreachable only from the sender.
struct OwnerProbe {
    enum class Kind : std::uint8_t { Probe, Reply, Survey, SurveyReply, Relay, RelayReply };
    Kind kind = Kind::Probe;
    std::uint64_t from = 0;  // Hash of the sender's name; 0: the sender is not ready to own tenants.
    std::uint64_t about = 0; // Survey, SurveyReply, Relay: the unresponsive owner. RelayReply: the node that sent the
                             // survey. Probe: the receiver, if the sender considers it failed.
    std::string reply_to;    // Address of the sender; RelayReply: of the node that relayed it.
    int fleet = 0;           // Largest recent number of nodes that the sender could reach.
};

// Transfers the tenant's bucket: the sender is no longer the owner and the receiver continues from this level.
struct BucketHandoff {
    std::uint64_t tenant = 0;
    std::uint64_t from = 0;  // Hash of the sender's name.
    ChargeId key;            // Identifies this message; each is applied once.
    double level = 0;        // Units at the time of sending.
    bool established = true; // The sender was past its probation, so it would have known of another owner.
    int fleet = 0;           // Largest recent number of nodes that the sender could reach.
    bool declined = false;   // Returned by a node that declines ownership because it has just started or stops.
};

using LimitMessage = std::variant<ChargeRequest, ChargeResponse, ChargeRefund, OwnerProbe, BucketHandoff>;

struct AddressedLimitMessage {
    std::string address;
    LimitMessage message;
};

}
