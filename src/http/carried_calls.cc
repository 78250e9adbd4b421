#include "src/http/carried_calls.h"

#include <algorithm>

#include "src/base/hash.h"

namespace saltquay::http {
namespace {

std::uint32_t ShortHash(std::string_view id) { return static_cast<std::uint32_t>(HashText(id)); }

}  // namespace

void CarriedCalls::Add(std::string_view id) { hashes_.push_back(ShortHash(id)); }

bool CarriedCalls::MayContain(std::string_view id) const {
  return std::find(hashes_.begin(), hashes_.end(), ShortHash(id)) != hashes_.end();
}

}  // namespace saltquay::http
