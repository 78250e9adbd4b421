// libFuzzer target: the state of a request that another node forwards; what decodes must survive a round trip.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "src/gateway/forward_protocol.h"

namespace saltquay::gateway {
namespace {

void Decode(const std::uint8_t* data, std::size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  saltquay::http::RequestHead head;
  head.fields.Add(std::string(kForwardedField), text);
  const auto state = DecodeForwardedState(head);
  saltquay::http::ResponseHead response;
  response.fields.Add(std::string(kForwardOutcomeField), text);
  saltquay::serving::EngineResponseHead outcome;
  DecodeForwardOutcome(response, outcome);
  if (!state.ok()) return;
  AddForwardedState(head, *state, state->node);
  if (!DecodeForwardedState(head).ok()) std::abort();
}

}  // namespace
}  // namespace saltquay::gateway

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  saltquay::gateway::Decode(data, size);
  return 0;
}
