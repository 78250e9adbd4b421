#include "src/gateway/refused_records.h"

#include <cstddef>

#include "src/base/hash.h"
#include "src/base/status.h"

namespace saltquay::gateway {
namespace {

// Reporting a revision once more costs a line; remembering all names that a writer can think of costs memory.
constexpr std::size_t kMaxObjects = 10000;

}  // namespace

bool RefusedRecords::Add(const StoredObject& object) {
  if (object.revision == 0) return true;
  if (revisions_.size() >= kMaxObjects) revisions_.clear();
  std::int64_t& revision = revisions_[HashText(object.name)];
  if (revision == object.revision) return false;
  revision = object.revision;
  return true;
}

std::string_view RefusalCause(const StoredObject& object, const absl::Status& status) {
  if (!object.defect.empty()) return "unreadable_entry";
  return ErrorKindName(KindOf(status));
}

}  // namespace saltquay::gateway
