#include "src/simulation/run.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "src/simulation/faults.h"
#include "src/simulation/operators.h"
#include "src/simulation/world.h"

namespace saltquay {
namespace {

constexpr Duration kFirstRollAt = 2500ms;
constexpr Duration kDrainTime = 45s;
constexpr double kLeastCompletedShare = 0.9;

// A steady rate; the mix swings once over the faulty part.
class ScenarioWorkload : public Workload {
 public:
  ScenarioWorkload(const SimulationOptions& options, Time begin)
      : options_(options), begin_(begin), period_(ToSeconds(options.faulty)) {}

  double Rate(Time) const override { return options_.requests_per_second; }
  double Surge(Time at) const override {
    if (!options_.mix_shift) return 0;
    const double phase = ToSeconds(at - begin_) / std::max(1.0, period_);
    if (phase <= 0 || phase >= 1) return 0;
    return 0.5 - 0.5 * std::cos(2 * 3.14159265358979 * phase);
  }

 private:
  const SimulationOptions& options_;
  Time begin_;
  double period_;
};

struct Phases {
  Time callers_begin;
  Time faults_begin;
  Time faults_end;
  Time judged_from;
  Time judged_to;
};

Phases PlanPhases(const SimulationOptions& options, Time start) {
  Phases phases;
  phases.faults_begin = start + options.warmup;
  phases.callers_begin = start + options.warmup / 2;
  phases.faults_end = phases.faults_begin + options.faulty;
  phases.judged_from = phases.faults_end + options.recovery;
  phases.judged_to = phases.judged_from + options.settled;
  return phases;
}

void Count(CallerOutcome outcome, CallerCounts* counts) {
  counts->submitted += 1;
  if (outcome == CallerOutcome::kCompleted) counts->completed += 1;
  if (outcome == CallerOutcome::kNotRun) counts->not_run += 1;
  if (outcome == CallerOutcome::kUnknown) counts->unknown += 1;
  if (outcome == CallerOutcome::kLost) counts->lost += 1;
}

void JudgeNodes(World& world, const Operators& operators, Liveness* liveness) {
  liveness->leader = world.Leader() != nullptr;
  liveness->newest_generation = true;
  liveness->all_ready = true;
  for (auto& [id, node] : world.nodes()) {
    if (!node->alive()) continue;
    const std::shared_ptr<const RolledBundle> bundle = node->node().bundle();
    const bool newest = bundle != nullptr && bundle->generation >= operators.newest_accepted();
    liveness->newest_generation = liveness->newest_generation && newest;
    liveness->all_ready = liveness->all_ready && (node->stopping() || node->node().is_ready());
  }
}

void JudgeLiveness(Liveness* liveness) {
  const double completed = static_cast<double>(liveness->completed);
  const bool answers =
      liveness->submitted == 0 || completed >= kLeastCompletedShare * static_cast<double>(liveness->submitted);
  liveness->holds =
      answers && liveness->unknown == 0 && liveness->leader && liveness->newest_generation && liveness->all_ready;
}

BundlePlan FirstPlan(const SimulationOptions& options) {
  BundlePlan plan;
  plan.main_engines = options.main_engines;
  plan.quick_engines = options.quick_engines;
  plan.prefill_engines = std::max(1, options.main_engines * 4 / 9);
  return plan;
}

// What the run showed, once it is over.
void Collect(const SimulationOptions& options, World& world, const Callers& callers, const Operators& operators,
             const FaultInjector& faults, RunResult* result) {
  result->counts = callers.counts();
  result->violations = world.truth().violations();
  result->violations_by_point = world.truth().CountsByInvariant();
  result->role_changes = world.role_changes();
  result->leader_gaps = faults.leader_gaps();
  result->worst_in_force = ToSeconds(operators.worst_in_force());
  const double floor = options.goodput_floor * static_cast<double>(result->faulty_counts.submitted);
  result->above_goodput_floor = static_cast<double>(result->faulty_counts.completed) >= floor;
  result->virtual_seconds = ToSeconds(world.queue().now().time_since_epoch());
  result->events = world.queue().executed();
  world.Fold(result->counts.completed);
  result->digest = world.digest();
  result->trace.assign(world.trace().begin(), world.trace().end());
}

}  // namespace

RunResult RunSimulation(const SimulationOptions& options, std::uint64_t seed) {
  const auto wall_begin = std::chrono::steady_clock::now();
  World world(options, seed);
  EventQueue& queue = world.queue();
  const Phases phases = PlanPhases(options, queue.now());
  const ScenarioWorkload workload(options, phases.faults_begin);
  Callers callers(world, workload);
  Operators operators(world, callers);
  FaultInjector faults(world, callers, operators);
  world.SetClientSide(&callers);
  RunResult result;
  result.seed = seed;
  callers.SetEndListener([&](const CallerWork& work) {
    const bool faulty = work.submitted_at >= phases.faults_begin && work.submitted_at < phases.faults_end;
    if (faulty) Count(work.outcome, &result.faulty_counts);
    if (work.submitted_at < phases.judged_from || work.submitted_at >= phases.judged_to) return;
    result.liveness.submitted += 1;
    if (work.outcome == CallerOutcome::kCompleted) result.liveness.completed += 1;
    if (work.outcome == CallerOutcome::kUnknown) result.liveness.unknown += 1;
  });
  world.Start();
  queue.After(kFirstRollAt, [&] { operators.RollOut(FirstPlan(options)); });
  queue.At(phases.callers_begin, [&] { callers.Run(phases.judged_to); });
  operators.WatchNodes();
  faults.Schedule(phases.faults_begin, phases.faults_end);
  queue.At(phases.faults_end, [&] { faults.HealAll(); });
  queue.RunUntil(phases.judged_to);
  JudgeNodes(world, operators, &result.liveness);
  queue.RunUntil(phases.judged_to + kDrainTime);
  JudgeLiveness(&result.liveness);
  Collect(options, world, callers, operators, faults, &result);
  result.wall_seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - wall_begin).count();
  return result;
}

}  // namespace saltquay
