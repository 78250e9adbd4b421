#include "src/base/hash.h"

#include <array>
#include <string>

#include <xxhash.h>

namespace saltquay {

std::uint64_t HashText(std::string_view text, std::uint64_t seed) { return XXH64(text.data(), text.size(), seed); }

std::uint64_t HashPair(std::uint64_t first, std::uint64_t second) {
  const std::array<std::uint64_t, 2> both = {first, second};
  return XXH64(both.data(), sizeof(both), 0);
}

ZoneId MakeZoneId(std::string_view name) { return ZoneId{static_cast<std::uint32_t>(HashText(name))}; }

ModelVersionId MakeModelVersionId(std::string_view model, std::string_view version,
                                  const std::vector<std::string>& adapters) {
  std::string name(model);
  name += '@';
  name += version;
  for (const std::string& adapter : adapters) {
    name += '+';
    name += adapter;
  }
  return ModelVersionId{static_cast<std::uint32_t>(HashText(name))};
}

}  // namespace saltquay
