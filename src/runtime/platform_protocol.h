// The platform's HTTP protocol: versioned objects and the machine list.
// Shared by the node and the stand-in platform. docs/API.md describes it.
#pragma once

#include <string>

#include "src/base/status.h"
#include "src/core/events.h"

namespace saltquay {

inline constexpr char kPlatformObjectsPath[] = "/objects/";  // GET and PUT /objects/KEY
inline constexpr char kPlatformMachinesPath[] = "/machines";

// A compare-and-swap.
struct ObjectWrite {
  std::uint64_t expected_version = 0;
  std::string value;
};

std::string EncodeStoredObject(const StoredObject& object);
std::string EncodeObjectWrite(const ObjectWrite& write);
// Errors are kCorrupt.
absl::StatusOr<StoredObject> DecodeStoredObject(const std::string& text);
absl::StatusOr<ObjectWrite> DecodeObjectWrite(const std::string& text);

}  // namespace saltquay
