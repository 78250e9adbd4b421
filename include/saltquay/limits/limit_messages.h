// What nodes tell each other of tenants' limits.
//
// One message is one datagram to one node. Any of them may be lost, doubled or come late and in any order; nothing is
// charged or given back twice for that.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "src/base/time.h"

namespace saltquay::limits {

// Names one charge: of which life of which node, and which one of that life.
struct ChargeId {
    std::uint64_t node = 0; // Hash of the node's name and of its life's start.
    std::uint64_t number = 0;

    auto operator<=>(ChargeId const&) const = default;
};

// May a request of the tenant be served? Sent again, unchanged, until it is answered.
struct ChargeRequest {
    ChargeId charge;
    std::uint64_t tenant = 0;             // Hash of its name.
    std::int64_t cost = 0;                // Units.
    std::string reply_to;                 // Address of the node that asked.
    std::uint8_t forwards = 0;            // How many nodes passed it on.
    std::uint64_t unresponsive_owner = 0; // Hash of the name of a owner that did not answer the asker; 0: none.
    bool declined = false;                // The owner itself passes it on: it has just started and knows too few nodes.
};

// The owner's answer, straight to the asker.
struct ChargeResponse {
    ChargeId charge;
    bool admitted = false;
    Duration retry_after = 0s; // Where it is not admitted: from when on the bucket would hold the request.
    std::string owner;         // Name of the node that decided.
};

// The request of that charge never ran at an engine: its cost goes back into the bucket.
struct ChargeRefund {
    ChargeId charge;
    std::uint64_t tenant = 0;
};

// Is a node there? Answered at once.
//
// A node that may have to stand in for a silent owner surveys other nodes: each answers at once, so that the sender
// learns what part of the fleet it is in touch with, and relays the question to the owner, which may be silent only
// towards the sender.
struct OwnerProbe {
    enum class Kind : std::uint8_t { Probe, Reply, Survey, SurveyReply, Relay, RelayReply };
    Kind kind = Kind::Probe;
    std::uint64_t from = 0;  // Hash of the name of the node that asks or answers; 0: it is no owner yet.
    std::uint64_t about = 0; // Survey, its reply and the relay: the silent owner. Relayed reply: who asked. Probe: the
                             // receiver, if the sender has ceased to take it for a owner.
    std::string reply_to;    // Of a relayed reply: the node that relayed it.
    int fleet = 0;           // The most nodes that the sender was in touch with lately.
};

// The sender ceases to be the tenant's owner; the receiver goes on from this level.
struct BucketHandoff {
    std::uint64_t tenant = 0;
    std::uint64_t from = 0;  // Hash of the sender's name.
    ChargeId key;            // Names this message; each is taken once.
    double level = 0;        // Units, when it was sent.
    bool established = true; // The sender had been the owner for long enough to know of rivals.
    int fleet = 0;           // The most nodes that the sender was in touch with lately.
    bool declined = false;   // The sender was handed it, and is no owner: it has just started and knows too few nodes.
};

using LimitMessage = std::variant<ChargeRequest, ChargeResponse, ChargeRefund, OwnerProbe, BucketHandoff>;

struct AddressedLimitMessage {
    std::string address;
    LimitMessage message;
};

}
