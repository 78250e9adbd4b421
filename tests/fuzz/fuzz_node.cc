// libFuzzer target: what saltquayd reads from engines, the platform and its store.
#include <cstddef>
#include <cstdint>
#include <string>

#include "src/core/authority/view.h"
#include "src/core/bundle/bundle_records.h"
#include "src/core/machine_list.h"
#include "src/core/orders/order_executor.h"
#include "src/runtime/engine_protocol.h"
#include "src/runtime/platform_protocol.h"

namespace saltquay {
namespace {

void Decode(const std::uint8_t* data, std::size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  (void)DecodeAttempt(text);
  (void)DecodeFrame(text);
  (void)DecodeState(text);
  (void)DecodeOrder(text);
  (void)DecodeVerdict(text);
  (void)DecodeResume(text);
  (void)DecodeAttemptId(text);
  (void)DecodeStateRequest(text);
  (void)DecodeFailure(text);
  (void)DecodeStoredObject(text);
  (void)DecodeObjectWrite(text);
  (void)ParseMachineList(text);
  (void)ParseBundleRecord(text);
  (void)ParseRolledRecord(text);
  (void)ParseDrainList(text);
  (void)ParseView(text);
}

}  // namespace
}  // namespace saltquay

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  saltquay::Decode(data, size);
  return 0;
}
