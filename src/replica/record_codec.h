// Wire format of relayed store objects (FlatBuffers, records.fbs).
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "saltquay/replica/record_replica.h"

namespace saltquay::replica {

std::string encode(RelayedList const&);
std::string encode(RelayedEvents const&);

// Errors: kUnavailable if the bytes fail verification.
absl::StatusOr<RelayedList> decode_list(std::string_view bytes);
absl::StatusOr<RelayedEvents> decode_events(std::string_view bytes);

}
