// Identifies a request, or a part of its prompt, independently of the attempt, node or connection.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include "src/core/serving/events.h"
#include "src/http/message.h"

namespace saltquay::gateway {

// Returns a cryptographic hash of method, host, target and body: nobody can craft a request with the fingerprint
// of another one. `key`: a secret shared by all nodes, so that logged fingerprints do not confirm a guessed body; may
// be empty. The result is never 0.
std::uint64_t FingerprintRequest(const http::RequestHead& head, std::string_view body, std::string_view key);

// Sets the fingerprint of each part to a hash of its id, with the same key.
void FingerprintPromptParts(std::span<serving::PromptPart> parts, std::string_view key);

}  // namespace saltquay::gateway
