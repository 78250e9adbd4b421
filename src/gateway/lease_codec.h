// The record of the duties' lease in the store.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "src/core/serving/duty_lease.h"
#include "src/gateway/object_store.h"

namespace saltquay::gateway {

std::string EncodeLease(const serving::LeaseRecord& record);
// Error kCorrupt: a member is missing, or is of another type or out of range.
absl::StatusOr<serving::LeaseRecord> DecodeLease(const StoredObject& object);
// Stands for a record that does not decode: the lease of an unknown holder, which has to expire before it can be taken
// over, so that no two holders follow from it.
serving::LeaseRecord LeaseOfUnknownHolder(std::int64_t revision);

}  // namespace saltquay::gateway
