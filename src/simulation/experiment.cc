#include "src/simulation/experiment.h"

#include <algorithm>
#include <map>

#include "src/core/bundle/bundle.h"
#include "src/core/routing/router.h"
#include "src/simulation/faults.h"
#include "src/simulation/fluid_bound.h"
#include "src/simulation/operators.h"

namespace saltquay {
namespace {

constexpr Duration kRollAt = 2500ms;
constexpr Duration kSettleTime = 20s;  // Engines load, caches fill, before anything is measured.
constexpr Duration kDrain = 60s;
constexpr int kLeastPrefill = 3;
constexpr int kMostPrefill = 6;

struct Policy {
  std::string name;
  int prefill_engines = 4;
  RoutingPolicy routing = RoutingPolicy::kPredicted;
  bool role_control = false;
  bool hysteresis = true;
};

SimulationOptions OptionsFor(const Experiment& experiment, const Policy& policy) {
  SimulationOptions options = experiment.options;
  Parameters& parameters = options.parameters;
  parameters.routing_policy = policy.routing;
  parameters.role_control = policy.role_control;
  if (!policy.hysteresis) {
    parameters.role_gain_threshold = 0;
    parameters.role_reversal_factor = 1;
    parameters.role_change_cost = Duration{0};
    parameters.role_engine_cooldown = Duration{0};
    parameters.role_pool_cooldown = Duration{0};
  }
  return options;
}

double Quantile(std::vector<double>& values, double quantile) {
  if (values.empty()) return 0;
  const auto index = static_cast<std::ptrdiff_t>(quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + index, values.end());
  return values[static_cast<std::size_t>(index)];
}

// Collects what callers got during the measured time.
class Measurement {
 public:
  Measurement(World& world, const Bundle& bundle, Time begin, Time end)
      : world_(world), bundle_(bundle), begin_(begin), end_(end) {
    const auto seconds = static_cast<std::size_t>(ToSeconds(end - begin)) + 1;
    timeline_.resize(seconds);
    for (std::size_t i = 0; i < seconds; ++i) timeline_[i].at_seconds = static_cast<double>(i);
  }

  void OnEnd(const CallerWork& work) {
    if (work.submitted_at < begin_ || work.submitted_at >= end_) return;
    SampleAt(work.submitted_at).offered += 1;
    result_.offered += 1;
    if (work.outcome == CallerOutcome::kNotRun) {
      result_.refused += 1;
    } else if (work.outcome != CallerOutcome::kCompleted) {
      result_.failed += 1;
    } else {
      OnAnswer(work);
    }
  }

  // Notes the roles now, once a second.
  void SampleRoles() {
    if (world_.queue().now() < begin_ || world_.queue().now() >= end_) return;
    TimelineSample& sample = SampleAt(world_.queue().now());
    for (auto& [id, engine] : world_.engines()) {
      if (!engine->alive() || engine->model().order_in_progress()) continue;
      if (engine->model().role() == EngineRole::kPrefill) ++sample.prefill_engines;
      if (engine->model().role() == EngineRole::kDecode) ++sample.decode_engines;
    }
  }

  PolicyResult Finish() {
    const double seconds = ToSeconds(end_ - begin_);
    if (answers_ > 0) result_.service_per_answer = result_.weighted_goodput / answers_;
    result_.goodput /= seconds;
    result_.weighted_goodput /= seconds;
    result_.first_token_p50 = Quantile(first_token_, 0.50);
    result_.first_token_p95 = Quantile(first_token_, 0.95);
    result_.first_token_p99 = Quantile(first_token_, 0.99);
    result_.between_p50 = Quantile(between_, 0.50);
    result_.between_p95 = Quantile(between_, 0.95);
    result_.between_p99 = Quantile(between_, 0.99);
    double cached = 0;
    double prompts = 0;
    for (auto& [id, node] : world_.nodes()) {
      if (!node->alive()) continue;
      const DispatchCounters counters = node->node().Status().counters;
      cached += static_cast<double>(counters.cached_prompt_tokens);
      prompts += static_cast<double>(counters.prompt_tokens);
    }
    if (prompts > 0) result_.prefix_hit_share = cached / prompts;
    result_.timeline = timeline_;
    return result_;
  }

 private:
  TimelineSample& SampleAt(Time at) {
    const auto index = static_cast<std::size_t>(ToSeconds(at - begin_));
    return timeline_[std::min(index, timeline_.size() - 1)];
  }

  void OnAnswer(const CallerWork& work) {
    const ClassDeclaration* row = bundle_.FindClass(work.kind->request_class);
    const Duration first = work.first_token_at - work.sent_at;
    const Duration whole = work.ended_at + world_.options().client_delay - work.sent_at;
    const double tokens = std::max<double>(1, work.kind->output_tokens - 1.0);
    const double between = ToSeconds(work.last_token_at - work.first_token_at) / tokens;
    first_token_.push_back(ToSeconds(first));
    between_.push_back(between);
    answers_ += 1;
    const bool in_time =
        first <= row->first_token && whole <= row->deadline && between <= ToSeconds(row->between_tokens);
    if (!in_time) {
      result_.late += 1;
      return;
    }
    result_.goodput += 1;
    result_.weighted_goodput += work.kind->weight;
    SampleAt(work.ended_at).goodput += 1;
  }

  World& world_;
  const Bundle& bundle_;
  Time begin_;
  Time end_;
  PolicyResult result_;
  double answers_ = 0;
  std::vector<double> first_token_;
  std::vector<double> between_;
  std::vector<TimelineSample> timeline_;
};

void SampleEachSecond(EventQueue& queue, Measurement& measurement, Time end) {
  measurement.SampleRoles();
  if (queue.now() >= end) return;
  queue.After(1s, [&queue, &measurement, end] { SampleEachSecond(queue, measurement, end); });
}

PolicyResult RunPolicy(const Experiment& experiment, const std::vector<WorkloadPoint>& points, const Policy& policy,
                       std::uint64_t seed) {
  const SimulationOptions options = OptionsFor(experiment, policy);
  World world(options, seed);
  EventQueue& queue = world.queue();
  const Time begin = queue.now() + kSettleTime;
  const Time end = begin + FromSeconds(experiment.duration_seconds);
  const PhasedWorkload workload(begin, points);
  Callers callers(world, workload);
  callers.SetKinds(experiment.kinds);
  Operators operators(world, callers);
  FaultInjector faults(world, callers, operators);
  world.SetClientSide(&callers);
  BundlePlan plan;
  plan.main_engines = options.main_engines;
  plan.quick_engines = options.quick_engines;
  plan.prefill_engines = policy.prefill_engines;
  const Bundle bundle = *ParseBundle(MakeBundleText(options.deployment, plan), plan.name);
  Measurement measurement(world, bundle, begin, end);
  callers.SetEndListener([&](const CallerWork& work) { measurement.OnEnd(work); });
  world.Start();
  queue.After(kRollAt, [&] { operators.RollOut(plan); });
  queue.At(begin - 8s, [&] { callers.Run(end); });
  queue.At(begin, [&] { SampleEachSecond(queue, measurement, end); });
  faults.Schedule(begin, end);
  queue.RunUntil(begin);
  const std::uint64_t changes_before = world.role_changes();
  queue.RunUntil(end);
  const std::uint64_t changes = world.role_changes() - changes_before;
  faults.HealAll();
  queue.RunUntil(end + kDrain);
  PolicyResult result = measurement.Finish();
  result.policy = policy.name;
  result.role_changes = static_cast<double>(changes);
  return result;
}

// A shift whose times and depths come from the seed.
std::vector<WorkloadPoint> DrawPoints(const Experiment& experiment, std::uint64_t seed) {
  Random random(seed);
  std::vector<WorkloadPoint> points;
  double at = 0;
  double surge = random.Unit();
  while (at < experiment.duration_seconds) {
    const double rate = experiment.options.requests_per_second * (0.6 + 0.5 * random.Unit());
    points.push_back({at, rate, surge});
    at += 30 + 60 * random.Unit();
    points.push_back({at, rate, surge});
    at += 10 + 50 * random.Unit();
    surge = random.Unit();
  }
  return points;
}

}  // namespace

WorkloadPoint PhasedWorkload::At(Time at) const {
  const double seconds = ToSeconds(at - begin_);
  if (seconds <= points_.front().at_seconds) return points_.front();
  for (std::size_t i = 1; i < points_.size(); ++i) {
    const WorkloadPoint& left = points_[i - 1];
    const WorkloadPoint& right = points_[i];
    if (seconds > right.at_seconds) continue;
    const double part = (seconds - left.at_seconds) / std::max(1e-9, right.at_seconds - left.at_seconds);
    return {seconds, left.requests_per_second + (right.requests_per_second - left.requests_per_second) * part,
            left.surge + (right.surge - left.surge) * part};
  }
  return points_.back();
}

std::vector<std::string> PolicyNames() {
  return {"saltquay",          "no_hysteresis", "round_robin_static", "least_outstanding_static",
          "best_static_split", "fluid_bound"};
}

std::vector<PolicyResult> RunExperiment(const Experiment& experiment, std::uint64_t seed) {
  const std::vector<WorkloadPoint> points =
      experiment.points.empty() ? DrawPoints(experiment, seed) : experiment.points;
  const int start = std::clamp(experiment.options.main_engines * 4 / 9, 1, experiment.options.main_engines - 1);
  std::vector<PolicyResult> results;
  results.push_back(RunPolicy(experiment, points, {"saltquay", start, RoutingPolicy::kPredicted, true, true}, seed));
  results.push_back(
      RunPolicy(experiment, points, {"no_hysteresis", start, RoutingPolicy::kPredicted, true, false}, seed));
  results.push_back(
      RunPolicy(experiment, points, {"round_robin_static", start, RoutingPolicy::kRoundRobin, false, true}, seed));
  results.push_back(RunPolicy(
      experiment, points, {"least_outstanding_static", start, RoutingPolicy::kLeastOutstanding, false, true}, seed));
  PolicyResult best;
  const int least = std::min(kLeastPrefill, experiment.options.main_engines / 3);
  const int most = std::min(kMostPrefill, experiment.options.main_engines - least);
  for (int prefill = std::max(1, least); prefill <= most; ++prefill) {
    PolicyResult split =
        RunPolicy(experiment, points, {"best_static_split", prefill, RoutingPolicy::kPredicted, false, true}, seed);
    if (split.weighted_goodput > best.weighted_goodput || best.policy.empty()) best = split;
  }
  results.push_back(best);
  results.push_back(FluidBound(experiment, points));
  const double bound = std::max(1e-9, results.back().weighted_goodput);
  for (PolicyResult& result : results) result.share_of_fluid_bound = result.weighted_goodput / bound;
  return results;
}

}  // namespace saltquay
