// The platform's store of versioned objects, as the product sees it.
//
// Callbacks run later on the loop's thread, exactly once. Errors:
//   kUnavailable       refused or not reached; a write did not happen.
//   kDeadlineExceeded  no answer; a write may have happened or may yet happen.
//   kAborted           the condition does not hold (another write won).
//   kOutOfRange        the history behind a watch is forgotten: list again.
//   kNotFound          no such object.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"

namespace saltquay::gateway {

struct StoredObject {
  std::string name;
  std::int64_t revision = 0;
  std::string content;  // JSON.
};

struct ObjectList {
  std::vector<StoredObject> items;
  std::int64_t at = 0;  // The store's revision.
};

struct ObjectEvent {
  bool gone = false;
  StoredObject object;
};

struct ObjectEvents {
  std::vector<ObjectEvent> events;
  std::int64_t at = 0;
};

class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  // All objects of a kind, as of one moment or later.
  virtual void List(const std::string& kind, std::function<void(absl::StatusOr<ObjectList>)> done) = 0;
  // Changes after `revision`; waits at most `wait` for the first.
  virtual void Watch(const std::string& kind, std::int64_t revision, std::chrono::milliseconds wait,
                     std::function<void(absl::StatusOr<ObjectEvents>)> done) = 0;
  // Creates the object (revision 0), or replaces it at that revision.
  virtual void Write(const std::string& kind, const StoredObject& object,
                     std::function<void(absl::StatusOr<StoredObject>)> done) = 0;
  virtual void Read(const std::string& kind, const std::string& name,
                    std::function<void(absl::StatusOr<StoredObject>)> done) = 0;
};

}  // namespace saltquay::gateway
