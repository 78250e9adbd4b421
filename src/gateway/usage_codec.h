// The store's object of sealed usage reports as JSON.
#pragma once

#include <string>

#include "saltquay/duties/usage_reporter.h"
#include "src/gateway/object_store.h"

namespace saltquay::gateway {

std::string EncodeSealedUsage(const duties::SealedUsage& sealed);
// kCorrupt: the object does not decode.
absl::StatusOr<duties::SealedUsage> DecodeSealedUsage(const StoredObject& object);

}  // namespace saltquay::gateway
