#include "src/models/store_model.h"

#include <algorithm>

namespace saltquay {

StoredObject StoreModel::Read(const std::string& key) const {
  ++operation_count_;
  const auto entry = objects_.find(key);
  return entry == objects_.end() ? StoredObject{} : entry->second;
}

StoreAnswered StoreModel::Write(StoreOperationId operation, const std::string& key, std::uint64_t expected_version,
                                const std::string& value) {
  ++operation_count_;
  StoredObject& object = objects_[key];
  if (object.version != expected_version) return {operation, StoreResult::kConflict, object};
  object.version += 1;
  object.value = value;
  return {operation, StoreResult::kDone, object};
}

void StoreModel::PutMachine(const Machine& machine) {
  for (Machine& present : machines_.machines) {
    if (present.kind != machine.kind || present.id != machine.id) continue;
    if (present == machine) return;
    present = machine;
    machines_.revision += 1;
    return;
  }
  machines_.machines.push_back(machine);
  machines_.revision += 1;
}

void StoreModel::RemoveMachine(MachineKind kind, std::uint32_t id) {
  const std::size_t removed = std::erase_if(
      machines_.machines, [&](const Machine& machine) { return machine.kind == kind && machine.id == id; });
  if (removed > 0) machines_.revision += 1;
}

}  // namespace saltquay
