#include "src/gateway/compacting_store.h"

#include <utility>

#include "src/gateway/engine_record_codec.h"

namespace saltquay::gateway {

void CompactingStore::List(const std::string& kind, std::function<void(absl::StatusOr<ObjectList>)> done) {
  if (kind != engine_kind_) return store_.List(kind, std::move(done));
  store_.List(kind, [this, done = std::move(done)](absl::StatusOr<ObjectList> list) {
    if (list.ok()) {
      for (StoredObject& object : list->items) Compact(object);
    }
    done(std::move(list));
  });
}

void CompactingStore::Watch(const std::string& kind, std::int64_t revision, std::chrono::milliseconds wait,
                            std::function<void(absl::StatusOr<ObjectEvents>)> done) {
  if (kind != engine_kind_) return store_.Watch(kind, revision, wait, std::move(done));
  store_.Watch(kind, revision, wait, [this, done = std::move(done)](absl::StatusOr<ObjectEvents> events) {
    if (events.ok()) {
      for (ObjectEvent& event : events->events) Compact(event.object);
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
  if (IsCompactEngineRecord(object.content)) return DecodeEngineRecord(object.name, object.content);
  return parse_engine_(object);
}

void CompactingStore::Compact(StoredObject& object) const {
  const absl::StatusOr<serving::EngineRecord> record = parse_engine_(object);
  if (record.ok()) object.content = EncodeEngineRecord(*record);
}

}  // namespace saltquay::gateway
