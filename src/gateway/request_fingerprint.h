// What a request is, whichever attempt, node or connection it comes by.
#pragma once

#include <cstdint>
#include <string_view>

#include "src/http/message.h"

namespace saltquay::gateway {

// A hash of method, host, target and body that nobody can aim at another request's. `key`: a secret that all nodes
// share, so that logs do not confirm a guessed body; may be empty. Never 0.
std::uint64_t FingerprintRequest(const http::RequestHead& head, std::string_view body, std::string_view key);

}  // namespace saltquay::gateway
