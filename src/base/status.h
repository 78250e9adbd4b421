// Typed errors on absl::Status. Each message names the remedy.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace saltquay {

// What went wrong, as callers and operators see it in "error.type".
enum class ErrorKind {
  kInvalidRequest,    // The request itself is malformed; change it.
  kUnknownModel,      // The bundle in force serves no such model.
  kInvalidSetting,    // A settings file or flag is wrong.
  kInvalidBundle,     // A bundle does not validate.
  kOverloaded,        // Shed by admission; come back after retry_after.
  kTenantLimit,       // The tenant's own limit is used up.
  kNotReady,          // The node starts, stops, or lacks the bundle in force.
  kNoEngine,          // No engine can take the request now.
  kDeadlineExceeded,  // The deadline passed.
  kOutcomeUnknown,    // Sent, and nothing proves whether it ran.
  kConflict,          // Another operator's write won.
  kNotPermitted,      // For example, an approver who is the publisher.
  kStoreUnavailable,  // The platform's store gave no answer; nothing changed.
  kNotFound,          // No object of that name.
  kCorrupt,           // Bytes that do not decode or verify.
  kInternal,          // A defect; report it.
};

// Returns the stable name of `kind`, such as "overloaded".
std::string_view ErrorKindName(ErrorKind kind);

// Returns a status of `kind` whose message says what happened and the remedy.
absl::Status MakeError(ErrorKind kind, const std::string& message);

// Returns the kind that MakeError put into `status`; kInternal for others.
ErrorKind KindOf(const absl::Status& status);

// Returns the message as std::string (Debian's absl has its own string_view).
std::string MessageOf(const absl::Status& status);

}  // namespace saltquay
