// Wire format of relayed store objects (FlatBuffers, records.fbs). The objects are compressed, since their contents
// repeat themselves: a list of 10,000 engines takes some 30 bytes for each.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "saltquay/replica/record_replica.h"

namespace saltquay::replica {

PackedList pack(gateway::ObjectList const&);

std::string encode(PackedList const&, std::int64_t at, Provenance const&);
std::string encode(RelayedList const&);
std::string encode(RelayedEvents const&);

// Errors: kUnavailable if the bytes fail verification or do not inflate.
absl::StatusOr<RelayedList> decode_list(std::string_view bytes);
absl::StatusOr<RelayedEvents> decode_events(std::string_view bytes);

}
