// What saltquay-sim's commands do.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "src/simulation/options.h"
#include "src/simulation/run.h"

namespace saltquay {

inline constexpr int kExitViolation = 1;
inline constexpr int kExitWrongUse = 2;

struct CommandArguments {
  std::vector<std::string> words;
  std::vector<std::string> settings;  // "key=value".
  std::uint64_t first_seed = 1;
  std::uint64_t last_seed = 1;
  unsigned jobs = 0;  // 0: one for each processor.
  bool trace = false;
  bool json = false;
  std::string report_folder;
};

// Parses "A..B" into the seeds; returns false when it is not one.
bool ParseSeedRange(const std::string& text, CommandArguments* arguments);

// Applies the settings to `options`.
absl::Status ApplySettings(const std::vector<std::string>& settings, SimulationOptions* options);

// Calls `work(i)` for each i below `count`, on `jobs` threads (0: one for each
// processor). `work` must be thread-safe.
void RunInParallel(std::uint64_t count, unsigned jobs, const std::function<void(std::uint64_t)>& work);

int ListCommand();
int RunCommand(const CommandArguments& arguments);
int ExperimentCommand(const CommandArguments& arguments);
int CapacityCommand(const CommandArguments& arguments);
int FleetCommand(const CommandArguments& arguments);

}  // namespace saltquay
