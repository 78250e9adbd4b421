// The form in which nodes pass the store's objects on (FlatBuffers, records.fbs).
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "saltquay/replica/record_replica.h"

namespace saltquay::replica {

std::string encode(PassedList const&);
std::string encode(PassedEvents const&);

// Errors: kUnavailable for bytes that do not verify.
absl::StatusOr<PassedList> decode_list(std::string_view bytes);
absl::StatusOr<PassedEvents> decode_events(std::string_view bytes);

}
