// Persists quarantined requests and prompt parts in the platform's store, so that they survive the loss of all nodes
// that know of them.
//
// One object holds the crash marks of all quarantined subjects. A node that itself observed an engine crash
// while running such a subject adds its marks by an optimistic read-modify-write: it reads the object, merges the marks
// and writes at the revision read, and starts over after a revision conflict or a missing response. Each writer drops
// expired marks. A starting node reads the object immediately: if it waited for its peers first, it could run such a
// request after a loss of all nodes. Ages are stored as wall clock times, so a clock error of some seconds shifts the
// end of a quarantine by as much. Serving requests never waits for this store.
#pragma once

#include <set>
#include <string>

#include "src/base/random.h"
#include "src/core/serving/crash_ledger.h"
#include "src/gateway/gateway.h"
#include "src/gateway/object_store.h"

namespace saltquay::gateway {

class QuarantineStore {
 public:
  // `read_at_start`: whether the object has to be read at the start, since an earlier process may have written it.
  QuarantineStore(Gateway& gateway, ObjectStore& store, bool read_at_start, std::uint64_t seed);

  // Starts the next store call if one is due; to be called several times a second.
  void Step();

 private:
  void Read();
  void OnRead(const absl::StatusOr<StoredObject>& object);
  void Write(std::int64_t revision);
  void OnWritten(const std::set<serving::CrashSubject>& subjects, const absl::Status& status);
  bool HasUnsavedSubjects() const;
  void RetryAfter(Duration delay);
  void LogCall(std::string_view call, std::size_t subjects, const absl::Status& status);

  Gateway& gateway_;
  ObjectStore& store_;
  Random random_;
  bool read_pending_;
  bool in_flight_ = false;
  Time next_{};
  Duration backoff_;
  std::set<serving::CrashSubject> saved_;  // In the stored object, as of the last read or write.
};

// Content of the stored object. Marks that do not decode are skipped.
std::string EncodeQuarantine(const std::vector<serving::CrashMark>& marks, std::int64_t unix_ms);
std::vector<serving::CrashMark> DecodeQuarantine(const std::string& content, std::int64_t unix_ms);

}  // namespace saltquay::gateway
