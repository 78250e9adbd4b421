// Peer reports as FlatBuffers.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "src/core/serving/peer_table.h"

namespace saltquay::gateway {

std::string EncodeReport(const serving::PeerReport& report);
// Returns nothing for bytes that do not verify.
std::optional<serving::PeerReport> DecodeReport(std::string_view bytes);

}  // namespace saltquay::gateway
