// Keeps the requests in quarantine in the platform's store, for the day on which all nodes that know of them are lost.
//
// Protocol. One object holds the marks of all of them. A node that saw an engine end under such a request itself adds
// it: it reads, adds and writes at the revision that it read; when another's write wins, or no answer comes, it begins
// anew. Who writes leaves out what is too old. A node that starts reads the object at once: one that waited for its
// peers first would run such a request meanwhile, after the loss of all nodes. Ages are told by the time of day there:
// a clock that is off by seconds moves the end of a quarantine by as much. Serving waits for none of this.
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
  // `reads`: whether there may be anything from an earlier life of the nodes.
  QuarantineStore(Gateway& gateway, ObjectStore& store, bool reads, std::uint64_t seed);

  // Takes the next step, if there is one; call it some times a second.
  void Step();

 private:
  void Read();
  void OnRead(const absl::StatusOr<StoredObject>& object);
  void Write(std::int64_t revision);
  void OnWritten(const std::set<std::uint64_t>& requests, const absl::Status& status);
  bool HasUnsavedRequests() const;
  void RetryAfter(Duration pause);
  void LogCall(std::string_view call, std::size_t requests, const absl::Status& status);

  Gateway& gateway_;
  ObjectStore& store_;
  Random random_;
  bool reads_;
  bool under_way_ = false;
  Time next_{};
  Duration backoff_;
  std::set<std::uint64_t> saved_;  // Requests that the object holds, as far as known.
};

// The object's content. Marks that do not decode are left out.
std::string EncodeQuarantine(const std::vector<serving::CrashMark>& marks, std::int64_t unix_ms);
std::vector<serving::CrashMark> DecodeQuarantine(const std::string& content, std::int64_t unix_ms);

}  // namespace saltquay::gateway
