// Stable 64-bit hashing, the same on every machine and build.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/ids.h"

namespace saltquay {

// Returns the hash of `text` under `seed`.
std::uint64_t HashText(std::string_view text, std::uint64_t seed = 0);

// Returns a hash that depends on both values and on their order.
std::uint64_t HashPair(std::uint64_t first, std::uint64_t second);

// Returns the identity of the zone named `name`.
ZoneId MakeZoneId(std::string_view name);

// Returns the identity of a model at a version with its adapters.
ModelVersionId MakeModelVersionId(std::string_view model, std::string_view version,
                                  const std::vector<std::string>& adapters);

}  // namespace saltquay
