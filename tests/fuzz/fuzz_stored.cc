// libFuzzer target: the objects that nodes keep in the platform's store, and that others can write too.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "src/gateway/lease_codec.h"
#include "src/gateway/quarantine_store.h"
#include "src/gateway/usage_codec.h"

namespace saltquay::gateway {
namespace {

void Decode(const std::uint8_t* data, std::size_t size) {
  constexpr std::int64_t kNow = 1'796'437'374'827;
  const std::string text(reinterpret_cast<const char*>(data), size);
  const auto lease = DecodeLease({"duties", 1, text});
  if (lease.ok() && !DecodeLease({"duties", 1, EncodeLease(*lease)}).ok()) std::abort();
  const auto usage = DecodeSealedUsage({"usage", 1, text});
  if (usage.ok() && !DecodeSealedUsage({"usage", 1, EncodeSealedUsage(*usage)}).ok()) std::abort();
  for (const saltquay::serving::CrashMark& mark : DecodeQuarantine(text, kNow)) {
    if (mark.age < saltquay::Duration(0)) std::abort();
    if (DecodeQuarantine(EncodeQuarantine({mark}, kNow), kNow).size() != 1) std::abort();
  }
}

}  // namespace
}  // namespace saltquay::gateway

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  saltquay::gateway::Decode(data, size);
  return 0;
}
