// The experiments: both deployments through a shift, without one, and at
// random; a surge and an outage that must leave no lasting damage.
#include "src/simulation/experiment.h"

namespace saltquay {
namespace {

// Shares of a mix that swings from output-heavy to prompt-heavy.
std::vector<RequestKind> FederationShift() {
  std::vector<RequestKind> kinds = RequestKindsOf(Deployment::kFederation);
  kinds[0].share_quiet = 0.12;
  kinds[0].share_surge = 0.56;
  kinds[1].share_quiet = 0.54;
  kinds[1].share_surge = 0.06;
  kinds[2].share_quiet = 0.15;
  kinds[2].share_surge = 0.18;
  kinds[3].share_quiet = 0.19;
  kinds[3].share_surge = 0.20;
  return kinds;
}

// From roster checks before the shift to visit lists as it starts.
std::vector<RequestKind> RavinalaShift() {
  std::vector<RequestKind> kinds = RequestKindsOf(Deployment::kRavinala);
  kinds[0].share_quiet = 0.14;
  kinds[0].share_surge = 0.20;
  kinds[1].share_quiet = 0.08;
  kinds[1].share_surge = 0.14;
  kinds[2].share_quiet = 0.60;
  kinds[2].share_surge = 0.10;
  kinds[3].share_quiet = 0.18;
  kinds[3].share_surge = 0.56;
  return kinds;
}

Experiment Make(const std::string& name, const std::string& description, Deployment deployment,
                std::vector<WorkloadPoint> points) {
  Experiment experiment;
  experiment.name = name;
  experiment.description = description;
  experiment.options.deployment = deployment;
  if (deployment == Deployment::kRavinala) experiment.options.zone_delay = 1500us;
  experiment.kinds = deployment == Deployment::kFederation ? FederationShift() : RavinalaShift();
  experiment.points = std::move(points);
  return experiment;
}

std::vector<Experiment> MakeExperiments() {
  std::vector<Experiment> all;
  all.push_back(Make("federation_opening", "Season opening: rulings rise from few to most.", Deployment::kFederation,
                     {{0, 40, 0}, {70, 40, 0}, {100, 46, 1}, {200, 46, 1}, {230, 40, 0}, {300, 40, 0}}));
  all.push_back(Make("ravinala_morning", "Morning shift start: visit lists follow roster checks.",
                     Deployment::kRavinala,
                     {{0, 40, 0}, {70, 40, 0}, {100, 40, 1}, {200, 40, 1}, {230, 40, 0}, {300, 40, 0}}));
  Experiment thin = Make("ravinala_thin_fleet", "The same with six engines and less load.", Deployment::kRavinala,
                         {{0, 26, 0}, {70, 26, 0}, {100, 26, 1}, {200, 26, 1}, {230, 26, 0}, {300, 26, 0}});
  thin.options.main_engines = 6;
  all.push_back(thin);
  all.push_back(
      Make("federation_steady", "No shift: an even mix.", Deployment::kFederation, {{0, 34, 0.4}, {300, 34, 0.4}}));
  Experiment random =
      Make("random_shifts", "Shifts whose times and depths come from the seed.", Deployment::kFederation, {});
  random.options.requests_per_second = 42;
  all.push_back(random);
  Experiment surge = Make("surge", "Three times the load for 60 s; clients try again.", Deployment::kFederation,
                          {{0, 24, 0.4}, {60, 24, 0.4}, {61, 72, 0.4}, {121, 72, 0.4}, {122, 24, 0.4}, {240, 24, 0.4}});
  surge.duration_seconds = 240;
  all.push_back(surge);
  return all;
}

}  // namespace

const std::vector<Experiment>& Experiments() {
  static const std::vector<Experiment> experiments = MakeExperiments();
  return experiments;
}

const Experiment* FindExperiment(const std::string& name) {
  for (const Experiment& experiment : Experiments()) {
    if (experiment.name == name) return &experiment;
  }
  return nullptr;
}

}  // namespace saltquay
