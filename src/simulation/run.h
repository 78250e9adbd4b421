// One simulated run: start, faults, recovery, judgement.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/simulation/callers.h"
#include "src/simulation/options.h"
#include "src/simulation/truth.h"

namespace saltquay {

// What the judged end of a run showed.
struct Liveness {
  std::uint64_t submitted = 0;
  std::uint64_t completed = 0;
  std::uint64_t unknown = 0;
  bool leader = false;
  bool newest_generation = false;
  bool all_ready = false;
  bool holds = false;
};

struct RunResult {
  std::uint64_t seed = 0;
  CallerCounts counts;
  CallerCounts faulty_counts;  // Submitted while faults were injected.
  std::vector<Violation> violations;
  std::vector<std::uint64_t> violations_by_point;
  Liveness liveness;
  bool above_goodput_floor = true;
  std::uint64_t role_changes = 0;
  std::vector<double> leader_gaps;  // Seconds.
  double worst_in_force = 0;        // Seconds from accept to in force everywhere.
  double virtual_seconds = 0;
  double wall_seconds = 0;
  std::uint64_t events = 0;
  std::uint64_t digest = 0;
  std::vector<std::string> trace;  // Last events; all of them with options.trace.

  // No violation, and alive at the end.
  bool passed() const { return violations.empty() && liveness.holds && above_goodput_floor; }
};

RunResult RunSimulation(const SimulationOptions& options, std::uint64_t seed);

}  // namespace saltquay
