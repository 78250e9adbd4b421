// The form in which nodes pass the store's objects on (FlatBuffers, records.fbs).
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "src/gateway/object_store.h"

namespace saltquay::replica {

std::string encode(gateway::ObjectList const&);
std::string encode(gateway::ObjectEvents const&);

// Errors: kUnavailable for bytes that do not verify.
absl::StatusOr<gateway::ObjectList> decode_list(std::string_view bytes);
absl::StatusOr<gateway::ObjectEvents> decode_events(std::string_view bytes);

}
