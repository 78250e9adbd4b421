// Peer messages to FlatBuffers bytes and back.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "src/base/status.h"
#include "src/core/messages.h"

namespace saltquay {

// Messages longer than this are neither sent nor accepted.
inline constexpr std::size_t kMaxPeerMessageBytes = 16 * 1024 * 1024;

std::string EncodePeerMessage(const PeerMessage& message);

// Verifies `bytes` and every enumeration in them. Errors are kCorrupt.
absl::StatusOr<PeerMessage> DecodePeerMessage(std::string_view bytes);

}  // namespace saltquay
