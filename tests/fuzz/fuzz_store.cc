// libFuzzer target: responses of the platform's store, whose objects anyone can write.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "platform/records.h"
#include "platform/store_response.h"

namespace saltquay {
namespace {

void Decode(const std::uint8_t* data, std::size_t size) {
  const std::string_view body(reinterpret_cast<const char*>(data), size);
  const auto page = platform::DecodeListPage(body);
  if (page.ok()) {
    for (const gateway::StoredObject& object : page->items) (void)platform::ParseEngine(object);
  }
  (void)platform::DecodeEvents(body);
  (void)platform::DecodeObject(body);
}

}  // namespace
}  // namespace saltquay

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  saltquay::Decode(data, size);
  return 0;
}
