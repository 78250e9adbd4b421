// FlatBuffers encoding of peer reports.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "src/core/serving/peer_table.h"

namespace saltquay::gateway {

std::string EncodeReport(const serving::PeerReport& report);
// Errors: kUnavailable for bytes that do not verify, kFailedPrecondition for a report with another format version.
absl::StatusOr<serving::PeerReport> DecodeReport(std::string_view bytes);

}  // namespace saltquay::gateway
