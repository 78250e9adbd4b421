// The platform's object service as the users describe theirs: versioned
// objects with compare-and-swap, and a machine list. For the simulator and the
// stand-in platform alike. Faults are the driver's. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "src/core/events.h"
#include "src/core/types.h"

namespace saltquay {

class StoreModel {
 public:
  // Version 0 when absent.
  StoredObject Read(const std::string& key) const;

  // Compare-and-swap; on kConflict the object is the present one.
  StoreAnswered Write(StoreOperationId operation, const std::string& key, std::uint64_t expected_version,
                      const std::string& value);

  // Adds or replaces a machine; removes one.
  void PutMachine(const Machine& machine);
  void RemoveMachine(MachineKind kind, std::uint32_t id);
  const MachineList& machines() const { return machines_; }

  std::uint64_t operation_count() const { return operation_count_; }

 private:
  std::map<std::string, StoredObject> objects_;
  MachineList machines_{1, {}};
  mutable std::uint64_t operation_count_ = 0;
};

}  // namespace saltquay
