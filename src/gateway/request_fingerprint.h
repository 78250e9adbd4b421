// Identifies a request independently of the attempt, node or connection.
#pragma once

#include <cstdint>
#include <string_view>

#include "src/http/message.h"

namespace saltquay::gateway {

// Returns a cryptographic hash of method, host, target and body: nobody can craft a request with the fingerprint
// of another one. `key`: a secret shared by all nodes, so that logged fingerprints do not confirm a guessed body; may
// be empty. The result is never 0.
std::uint64_t FingerprintRequest(const http::RequestHead& head, std::string_view body, std::string_view key);

}  // namespace saltquay::gateway
