// libFuzzer target: what is read from engines: heads of responses, state reports, handles of prefills.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "src/gateway/engine_protocol.h"
#include "src/gateway/retry_after.h"

namespace saltquay::gateway {
namespace {

void ReadBody(const EngineProtocol& protocol, const std::string& body) {
  saltquay::http::ResponseHead head;
  head.status = 200;
  (void)protocol.DecodeEngineState(body);
  if (protocol.DecodeStartTime(head, body) < 0) std::abort();
  const std::string handle = protocol.DecodeKvHandle(body);
  if (handle.find_first_of(std::string_view(" \r\n\0", 4)) != std::string::npos) std::abort();
}

void ReadHead(const EngineProtocol& protocol, const std::string& value) {
  const EngineProtocolFields names;
  saltquay::http::ResponseHead head;
  head.status = 503;
  for (const std::string& name : {names.load, names.request_limit, names.leaving, names.request_id}) {
    head.fields.Add(name, value);
  }
  head.fields.Add("Retry-After", value);
  (void)protocol.DecodeResponse(head);
  (void)protocol.DecodeNotice(head);
  (void)ParseRetryAfter(head);
  saltquay::http::RequestHead request;
  for (const std::string& name : {names.deadline_ms, names.token_counts, names.prompt_parts, names.last_event_id}) {
    request.fields.Add(name, value);
  }
  (void)protocol.DecodeRequest(request);
}

void Decode(const std::uint8_t* data, std::size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  const EngineProtocol protocol{EngineProtocolFields{}};
  ReadBody(protocol, text);
  ReadHead(protocol, text);
}

}  // namespace
}  // namespace saltquay::gateway

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  saltquay::gateway::Decode(data, size);
  return 0;
}
