// Interface to the platform's store of versioned objects.
//
// Callbacks run asynchronously on the event loop's thread, exactly once. Errors:
//   kUnavailable       The store refused the call or is unreachable; a write did not happen.
//   kDeadlineExceeded  No response; a write may have happened or may still happen.
//   kDataLoss          The response is too long or does not decode; a write may have happened. A watch from the same
//                      revision would get the same response again: list instead, which arrives in parts.
//   kAborted           Revision conflict: another write succeeded first.
//   kOutOfRange        The store no longer has the history since the watched revision: list again.
//   kNotFound          The object does not exist.
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
  std::string content;   // JSON.
  std::string defect{};  // Why the store's entry cannot be read, if so: it has no content then.
};

struct ObjectList {
  std::vector<StoredObject> items;
  std::int64_t at = 0;  // Revision of the store as of this list.
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

  // Lists all objects of a kind, as of revision `at` or later.
  virtual void List(const std::string& kind, std::function<void(absl::StatusOr<ObjectList>)> done) = 0;
  // Returns changes after `revision`; waits at most `wait` for the first one.
  virtual void Watch(const std::string& kind, std::int64_t revision, std::chrono::milliseconds wait,
                     std::function<void(absl::StatusOr<ObjectEvents>)> done) = 0;
  // Creates the object if its revision is 0; otherwise replaces it if the store still has that revision.
  virtual void Write(const std::string& kind, const StoredObject& object,
                     std::function<void(absl::StatusOr<StoredObject>)> done) = 0;
  virtual void Read(const std::string& kind, const std::string& name,
                    std::function<void(absl::StatusOr<StoredObject>)> done) = 0;
};

}  // namespace saltquay::gateway
