// Messages that nodes exchange to keep together to the request limits that engines name.
//
// A node needs a permit for each request to such an engine. Each engine has one issuer of permits among the nodes; see
// engine_permits.h. A message is one datagram to one node. It may be dropped, duplicated, delayed or reordered; no such
// fault adds permits.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "saltquay/limits/limit_messages.h"
#include "src/base/time.h"

namespace saltquay::limits {

// The limit that an engine names for the requests of all nodes together.
struct EngineLimit {
    double requests_per_s = 0;
    Time stated_at {}; // When the engine last stated it, to any node.

    bool operator==(EngineLimit const&) const = default;
};

// Asks the issuer for one permit. Resent unchanged until it is answered.
struct PermitRequest {
    ChargeId permit;
    std::uint64_t engine = 0; // Hash of the engine's incarnation.
    double requests_per_s = 0;
    Duration limit_age = 0s; // Time since the engine stated the limit.
    std::string reply_to;    // Address of the requesting node.
    // The receiver decides even if it considers another node the issuer: it was forwarded, or the requester has skipped
    // a node that does not respond.
    bool is_final = false;
};

// The issuer's decision, sent directly to the requester.
struct PermitResponse {
    ChargeId permit;
    bool granted = false;
    Duration retry_after = 0s; // If refused: when to ask again.
};

// Gives back a permit that was not used.
struct PermitReturn {
    ChargeId permit;
    std::uint64_t engine = 0;
};

using PermitMessage = std::variant<PermitRequest, PermitResponse, PermitReturn>;

struct AddressedPermitMessage {
    std::string address;
    PermitMessage message;
};

}
