// libFuzzer target: what gateways decode from each other: reports and digests, lists and changes of records, and the
// engine records in them.
#include <cstddef>
#include <cstdint>
#include <string>

#include "src/gateway/engine_record_codec.h"
#include "src/gateway/peer_codec.h"
#include "src/replica/record_codec.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  // Copied, as the sockets do, so that the bytes are aligned.
  const std::string bytes(reinterpret_cast<const char*>(data), size);
  const auto report = saltquay::gateway::DecodeReport(bytes);
  if (report.ok()) saltquay::gateway::EncodeReport(*report);
  const auto list = saltquay::replica::decode_list(bytes);
  if (list.ok()) saltquay::replica::encode(*list);
  const auto events = saltquay::replica::decode_events(bytes);
  if (events.ok()) saltquay::replica::encode(*events);
  const auto record = saltquay::gateway::DecodeEngineRecord("engine", bytes);
  if (record.ok()) saltquay::gateway::EncodeEngineRecord(*record);
  return 0;
}
