#include "src/simulation/fluid_bound.h"

#include <algorithm>

#include "src/core/routing/router.h"

namespace saltquay {
namespace {

// Engine-seconds that one request of `kind` takes at the least: its prompt with
// the shared prefix cached, its output in full batches.
double LeastEngineSeconds(const RequestKind& kind, const EngineProfile& profile) {
  const double uncached = kind.prompt_tokens - kind.shared_tokens;
  const double streams = profile.max_streams;
  const double tokens_per_second = streams / DecodeStepSeconds(profile, streams - 1);
  return uncached / profile.prefill_tokens_per_second + kind.output_tokens / tokens_per_second;
}

// Weight served a second of `kinds` at these rates by `engines`, the kinds that
// give most for their time first.
double ServeBest(std::vector<std::pair<double, const RequestKind*>> rates, double engines, const EngineProfile& profile,
                 double* requests) {
  std::sort(rates.begin(), rates.end(), [&](const auto& left, const auto& right) {
    return left.second->weight / LeastEngineSeconds(*left.second, profile) >
           right.second->weight / LeastEngineSeconds(*right.second, profile);
  });
  double weight = 0;
  for (const auto& [rate, kind] : rates) {
    const double needed = rate * LeastEngineSeconds(*kind, profile);
    const double share = needed <= 0 ? 1.0 : std::min(1.0, engines / needed);
    engines = std::max(0.0, engines - needed);
    weight += rate * share * kind->weight;
    *requests += rate * share;
  }
  return weight;
}

}  // namespace

PolicyResult FluidBound(const Experiment& experiment, const std::vector<WorkloadPoint>& points) {
  PolicyResult result;
  result.policy = "fluid_bound";
  const EngineProfile profile = DefaultEngineProfile();
  const PhasedWorkload workload(Time{}, points);
  const auto seconds = static_cast<int>(experiment.duration_seconds);
  for (int second = 0; second < seconds; ++second) {
    const WorkloadPoint point = workload.At(Time{} + FromSeconds(second + 0.5));
    double total = 0;
    for (const RequestKind& kind : experiment.kinds) {
      total += kind.share_quiet + (kind.share_surge - kind.share_quiet) * point.surge;
    }
    std::vector<std::pair<double, const RequestKind*>> main_rates;
    std::vector<std::pair<double, const RequestKind*>> quick_rates;
    const std::string main_model = MainModelOf(experiment.options.deployment);
    for (const RequestKind& kind : experiment.kinds) {
      const double share = (kind.share_quiet + (kind.share_surge - kind.share_quiet) * point.surge) / total;
      const double rate = point.requests_per_second * share;
      (kind.model == main_model ? main_rates : quick_rates).emplace_back(rate, &kind);
    }
    double requests = 0;
    double weight = ServeBest(main_rates, experiment.options.main_engines, profile, &requests);
    weight += ServeBest(quick_rates, experiment.options.quick_engines, profile, &requests);
    result.offered += point.requests_per_second;
    result.goodput += requests;
    result.weighted_goodput += weight;
    result.timeline.push_back({static_cast<double>(second), point.requests_per_second, requests, 0, 0});
  }
  result.goodput /= seconds;
  result.weighted_goodput /= seconds;
  return result;
}

}  // namespace saltquay
