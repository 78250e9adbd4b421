// Objects of the store that cannot be read, so that each revision of them is reported once.
#pragma once

#include <cstdint>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "absl/status/status.h"
#include "src/gateway/object_store.h"

namespace saltquay::gateway {

class RefusedRecords {
 public:
  // Returns whether this revision has not been added before. Objects without a readable revision are always new.
  bool Add(const StoredObject& object);

 private:
  // By a hash of the name, which may be long.
  absl::flat_hash_map<std::uint64_t, std::int64_t> revisions_;
};

// Returns one of few names for why the object cannot be read.
std::string_view RefusalCause(const StoredObject& object, const absl::Status& status);

}  // namespace saltquay::gateway
