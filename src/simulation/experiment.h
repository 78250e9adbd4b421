// Runs one workload under several policies and compares them in one run.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/simulation/callers.h"
#include "src/simulation/options.h"

namespace saltquay {

// A moment of a workload; rate and mix move in straight lines between moments.
struct WorkloadPoint {
  double at_seconds = 0;
  double requests_per_second = 0;
  double surge = 0;
};

// A workload as a list of moments.
class PhasedWorkload : public Workload {
 public:
  PhasedWorkload(Time begin, std::vector<WorkloadPoint> points) : begin_(begin), points_(std::move(points)) {}
  double Rate(Time at) const override { return At(at).requests_per_second; }
  double Surge(Time at) const override { return At(at).surge; }
  WorkloadPoint At(Time at) const;

 private:
  Time begin_;
  std::vector<WorkloadPoint> points_;
};

struct Experiment {
  std::string name;
  std::string description;
  SimulationOptions options;
  std::vector<RequestKind> kinds;
  std::vector<WorkloadPoint> points;  // Empty: drawn from the seed.
  double duration_seconds = 300;
};

const std::vector<Experiment>& Experiments();
const Experiment* FindExperiment(const std::string& name);

// One second of a run.
struct TimelineSample {
  double at_seconds = 0;
  double offered = 0;  // Requests that arrived.
  double goodput = 0;  // Whole answers within their deadlines.
  int prefill_engines = 0;
  int decode_engines = 0;
};

// What one policy made of the workload.
struct PolicyResult {
  std::string policy;
  double offered = 0;             // Requests.
  double goodput = 0;             // Requests a second.
  double weighted_goodput = 0;    // The same, weighted by kind.
  double service_per_answer = 0;  // Weight of answers in time, for each answer.
  double refused = 0;             // Requests.
  double late = 0;
  double failed = 0;           // Unknown or lost.
  double first_token_p50 = 0;  // Seconds.
  double first_token_p95 = 0;
  double first_token_p99 = 0;
  double between_p50 = 0;
  double between_p95 = 0;
  double between_p99 = 0;
  double prefix_hit_share = 0;
  double role_changes = 0;
  double share_of_fluid_bound = 0;
  std::vector<TimelineSample> timeline;
};

// Names of the policies that RunExperiment compares, in order.
std::vector<std::string> PolicyNames();

// Runs the workload of `seed` under every policy. The static splits are folded
// into the best of them; "fluid_bound" is worked out, not run.
std::vector<PolicyResult> RunExperiment(const Experiment& experiment, std::uint64_t seed);

}  // namespace saltquay
