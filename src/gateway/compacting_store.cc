#include "src/gateway/compacting_store.h"

#include <utility>

#include <fmt/format.h>

#include "src/base/hash.h"
#include "src/base/status.h"
#include "src/gateway/engine_record_codec.h"

namespace saltquay::gateway {
namespace {

// Of an object as nodes keep it; a list of thousands must stay within what followers decode.
constexpr std::size_t kMaxNameBytes = 512;
constexpr std::size_t kMaxRecordBytes = 4096;
constexpr std::size_t kMaxDefectBytes = 512;

bool HasLongName(const StoredObject& object) { return object.name.size() > kMaxNameBytes; }

// The shortened name is longer than the limit, so no other object has it as its full name.
void ShortenName(StoredObject& object) {
  if (!HasLongName(object)) return;
  const std::uint64_t hash = HashText(object.name);
  object.name.resize(kMaxNameBytes);
  object.name += fmt::format("#{:016x}", hash);
}

void Refuse(StoredObject& object, const absl::Status& status) {
  object.content.clear();
  object.defect = MessageOf(status).substr(0, kMaxDefectBytes);
}

}  // namespace

void CompactingStore::List(const std::string& kind, std::function<void(absl::StatusOr<ObjectList>)> done) {
  store_.List(kind, [this, kind, done = std::move(done)](absl::StatusOr<ObjectList> list) {
    if (list.ok()) {
      for (StoredObject& object : list->items) Reduce(kind, object);
    }
    done(std::move(list));
  });
}

void CompactingStore::Watch(const std::string& kind, std::int64_t revision, std::chrono::milliseconds wait,
                            std::function<void(absl::StatusOr<ObjectEvents>)> done) {
  store_.Watch(kind, revision, wait, [this, kind, done = std::move(done)](absl::StatusOr<ObjectEvents> events) {
    if (events.ok()) {
      for (ObjectEvent& event : events->events) {
        if (!event.gone) Reduce(kind, event.object);
        ShortenName(event.object);
      }
    }
    done(std::move(events));
  });
}

void CompactingStore::Write(const std::string& kind, const StoredObject& object,
                            std::function<void(absl::StatusOr<StoredObject>)> done) {
  store_.Write(kind, object, std::move(done));
}

void CompactingStore::Read(const std::string& kind, const std::string& name,
                           std::function<void(absl::StatusOr<StoredObject>)> done) {
  store_.Read(kind, name, std::move(done));
}

absl::StatusOr<serving::EngineRecord> CompactingStore::ParseEngine(const StoredObject& object) const {
  if (!object.defect.empty()) return MakeError(ErrorKind::kCorrupt, object.defect);
  if (IsCompactEngineRecord(object.content)) return DecodeEngineRecord(object.name, object.content);
  return parse_engine_(object);
}

void CompactingStore::Reduce(const std::string& kind, StoredObject& object) const {
  if (kind == kinds_.engine_kind) Compact(object);
  if (kind == kinds_.config_kind && object.name != kinds_.config_name) object.content.clear();
  ShortenName(object);
}

void CompactingStore::Compact(StoredObject& object) const {
  const absl::StatusOr<serving::EngineRecord> record = parse_engine_(object);
  if (!record.ok()) return Refuse(object, record.status());
  std::string content = EncodeEngineRecord(*record);
  if (HasLongName(object) || content.size() > kMaxRecordBytes) {
    return Refuse(object, MakeError(ErrorKind::kCorrupt,
                                    fmt::format("a name of {} bytes and a record of {}; at most {} and {} are accepted",
                                                object.name.size(), content.size(), kMaxNameBytes, kMaxRecordBytes)));
  }
  object.content = std::move(content);
}

}  // namespace saltquay::gateway
