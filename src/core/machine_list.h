// The machine list as an object that peers spread.
#pragma once

#include <string>

#include "src/base/status.h"
#include "src/core/types.h"

namespace saltquay {

std::string SerializeMachineList(const MachineList& list);
// Errors are kCorrupt.
absl::StatusOr<MachineList> ParseMachineList(const std::string& text);

}  // namespace saltquay
