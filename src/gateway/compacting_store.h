// The platform's store as this system's nodes keep its objects: engine records are converted to their compact form
// where the store is read. An engine record that is refused goes on without its content, with the reason as its defect;
// other objects beside the configuration have no content, and long names are shortened. So what followers must take
// does not depend on the entries of other writers.
#pragma once

#include <functional>
#include <string>

#include "src/core/serving/engine_directory.h"
#include "src/gateway/object_store.h"

namespace saltquay::gateway {

// The objects that nodes keep: the engine records, and one object of the configuration's kind.
struct KeptKinds {
  std::string engine_kind;
  std::string config_kind;
  std::string config_name;
};

class CompactingStore final : public ObjectStore {
 public:
  using EngineParser = std::function<absl::StatusOr<serving::EngineRecord>(const StoredObject&)>;

  // `store` must outlive the object. `parse_engine` parses the engine records.
  CompactingStore(ObjectStore& store, KeptKinds kinds, EngineParser parse_engine)
      : store_(store), kinds_(std::move(kinds)), parse_engine_(std::move(parse_engine)) {}

  void List(const std::string& kind, std::function<void(absl::StatusOr<ObjectList>)> done) override;
  void Watch(const std::string& kind, std::int64_t revision, std::chrono::milliseconds wait,
             std::function<void(absl::StatusOr<ObjectEvents>)> done) override;
  void Write(const std::string& kind, const StoredObject& object,
             std::function<void(absl::StatusOr<StoredObject>)> done) override;
  void Read(const std::string& kind, const std::string& name,
            std::function<void(absl::StatusOr<StoredObject>)> done) override;

  // Parses an engine record in either form.
  absl::StatusOr<serving::EngineRecord> ParseEngine(const StoredObject& object) const;

 private:
  // Reduces an object of that kind to what nodes keep of it.
  void Reduce(const std::string& kind, StoredObject& object) const;
  void Compact(StoredObject& object) const;

  ObjectStore& store_;
  KeptKinds kinds_;
  EngineParser parse_engine_;
};

}  // namespace saltquay::gateway
