// JSON encoding of the stored object with the sealed usage reports.
#pragma once

#include <string>

#include "saltquay/duties/usage_reporter.h"
#include "src/gateway/object_store.h"

namespace saltquay::gateway {

std::string EncodeSealedUsage(const duties::SealedUsage& sealed);
// Returns kCorrupt if any part of the object does not decode: a window whose report were left out would be sealed
// again, with other counts than those that the platform has.
absl::StatusOr<duties::SealedUsage> DecodeSealedUsage(const StoredObject& object);

}  // namespace saltquay::gateway
