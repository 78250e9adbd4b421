#include "src/gateway/engine_record_codec.h"

#include "src/base/status.h"
#include "src/gateway/engine_record_generated.h"

namespace saltquay::gateway {
namespace {

constexpr std::size_t kInitialBytes = 256;
// The root offset and the file identifier.
constexpr std::size_t kPrefixBytes = sizeof(flatbuffers::uoffset_t) + flatbuffers::kFileIdentifierLength;

std::string Text(const flatbuffers::String* text) { return text == nullptr ? "" : text->str(); }

}  // namespace

std::string EncodeEngineRecord(const serving::EngineRecord& record) {
  flatbuffers::FlatBufferBuilder builder(kInitialBytes);
  const auto service = builder.CreateString(record.service);
  const auto address = builder.CreateString(record.address);
  const auto zone = builder.CreateString(record.zone);
  const auto version = record.software_version.empty() ? 0 : builder.CreateString(record.software_version);
  wire::FinishEngineRecordBuffer(
      builder,
      wire::CreateEngineRecord(builder, service, address, zone, record.started_ms, record.order_sequence, record.slots,
                               static_cast<std::uint8_t>(record.stage), record.leaving, record.spot, version));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

bool IsCompactEngineRecord(std::string_view content) {
  return content.size() >= kPrefixBytes && wire::EngineRecordBufferHasIdentifier(content.data());
}

absl::StatusOr<serving::EngineRecord> DecodeEngineRecord(const std::string& id, std::string_view content) {
  flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(content.data()), content.size());
  if (!wire::VerifyEngineRecordBuffer(verifier)) {
    return MakeError(ErrorKind::kCorrupt, "the compact engine record is damaged; check that all nodes run one version");
  }
  const wire::EngineRecord& source = *wire::GetEngineRecord(content.data());
  serving::EngineRecord record;
  record.id = id;
  record.service = Text(source.service());
  record.address = Text(source.address());
  record.zone = Text(source.zone());
  record.started_ms = source.started_ms();
  record.order_sequence = source.order_sequence();
  record.slots = source.slots();
  record.leaving = source.leaving();
  record.spot = source.spot();
  record.software_version = Text(source.software_version());
  const bool is_valid = !id.empty() && !record.address.empty() && record.slots >= 1 &&
                        source.stage() <= static_cast<std::uint8_t>(serving::EngineStage::kDecode);
  if (!is_valid) return MakeError(ErrorKind::kCorrupt, "the compact engine record has a field out of range");
  record.stage = static_cast<serving::EngineStage>(source.stage());
  return record;
}

}  // namespace saltquay::gateway
