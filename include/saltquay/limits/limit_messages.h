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

// Identifies a charge by the incarnation of the node that made it (one run of its process) and a sequence number within
// that incarnation.
struct ChargeId {
    std::uint64_t node = 0; // Hash of the node's name and incarnation; all other hashes of nodes are of the name alone.
    std::uint64_t number = 0;

    auto operator<=>(ChargeId const&) const = default;
};

// Asks the owner to admit a request and charge its cost. Resent unchanged until it is answered.
struct ChargeRequest {
    ChargeId charge;
    std::uint64_t tenant = 0;             // Hash of the tenant's name.
    std::int64_t cost = 0;                // Units.
    std::string reply_to;                 // Address of the requesting node.
    std::uint8_t forwards = 0;            // How many nodes have forwarded it.
    std::uint64_t unresponsive_owner = 0; // Hash of the name of the owner that did not respond to the requester or, if
                                          // `declined`, of the node that declines ownership; 0: none.
    bool declined = false; // Forwarded by a node that declines ownership because it is starting, stopping or has
                           // stepped down, i.e. given up its tenants because other nodes report it as failed.
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
    // For each kind: sender -> receiver, meaning of `about`, reaction of the receiver.
    enum class Kind : std::uint8_t {
        // Node that suspects an owner -> that owner. `about`: the receiver, if the sender considers it unavailable;
        // otherwise 0. The receiver replies, and steps down if it is reported as unavailable for too long.
        Probe,
        // Probed node -> prober, or relay of a charge request -> requester. `about`: 0. The receiver takes the sender
        // for responsive.
        Reply,
        // Node that may have to take over -> other nodes. `about`: the unresponsive owner. Each sends SurveyReply and
        // Relay.
        Survey,
        // Surveyed node -> surveying node. `about`: the unresponsive owner. The receiver counts the sender as
        // reachable.
        SurveyReply,
        // Surveyed node -> unresponsive owner. `about`: that owner. It sends RelayReply.
        Relay,
        // Unresponsive owner -> relaying node -> surveying node. `about`: the surveying node, to which the relaying
        // node forwards it. The owner is then known to be reachable through the relaying node.
        RelayReply
    };
    Kind kind = Kind::Probe;
    std::uint64_t from = 0;  // Hash of the sender's name; Relay: of the surveying node's; RelayReply: of the owner's.
                             // 0: that node is not ready to own tenants.
    std::uint64_t about = 0; // Hash of a node's name, see Kind.
    std::string reply_to;    // Address of the sender; RelayReply: of the node that relayed it.
    int fleet = 0;           // Largest recent number of nodes that the sender could reach. In Reply and SurveyReply, a
                             // receiver that started recently adopts it as the size of the fleet.
};

// Transfers the tenant's bucket: the sender is no longer the owner and the receiver continues from this level.
struct BucketHandoff {
    std::uint64_t tenant = 0;
    std::uint64_t from = 0;  // Hash of the sender's name.
    ChargeId key;            // Identifies this handoff, numbered like a charge of the sender; each is applied once.
    double level = 0;        // Units at the time of sending.
    bool established = true; // The sender was past its probation: the time after a takeover or a pause of its process
                             // in which another owner may exist unnoticed, see LimiterParameters::probation. If so, a
                             // probation of the receiver ends; if not, a receiver without the bucket starts one.
    int fleet = 0;           // Largest recent number of nodes that the sender could reach. A receiver that started
                             // recently adopts it as the size of the fleet.
    bool declined = false; // The bucket was sent to a node that is starting or stopping, which forwards it to the node
                           // that it considers the owner. A node that has stepped down does not decline a bucket.
};

using LimitMessage = std::variant<ChargeRequest, ChargeResponse, ChargeRefund, OwnerProbe, BucketHandoff>;

struct AddressedLimitMessage {
    std::string address;
    LimitMessage message;
};

}
