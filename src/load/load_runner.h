// Sends a load plan to running nodes, open loop, and checks every answer.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "src/load/load_plan.h"
#include "src/runtime/http_client.h"

namespace saltquay {

// How requests ended.
struct LoadCounts {
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;  // Whole, and its own.
  std::uint64_t wrong = 0;     // Whole by its own account, but not the right text.
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t cut_off = 0;      // The connection broke before the answer was whole.
  std::uint64_t unreachable = 0;  // No node took it.
};

// Times of answered requests, milliseconds.
struct LoadTimes {
  std::vector<double> first_token;
  std::vector<double> between_tokens;
  std::vector<double> whole;
};

struct LoadReport {
  LoadCounts counts;
  LoadTimes times;
  // Non-repeatable keys by how their last submission ended, for checks against
  // what engines truly ran.
  std::vector<std::string> not_run_keys;
  std::vector<std::string> completed_keys;
};

struct LoadRunOptions {
  std::vector<std::string> nodes;  // URLs.
  std::string tenant = "default";
  bool progress = true;
  int resubmissions = 2;  // Of non-repeatable work with outcome unknown or cut off, elsewhere.
};

// Runs the plan to its end and waits for the last answer.
LoadReport RunLoad(const LoadPlan& plan, const LoadRunOptions& options);

// The value at `quantile` (0 to 1) of `values`; 0 when empty.
double Quantile(std::vector<double> values, double quantile);

}  // namespace saltquay
