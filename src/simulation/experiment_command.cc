// The experiment command: runs, table, JSON, page.
#include <algorithm>
#include <iostream>
#include <mutex>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "src/simulation/commands.h"
#include "src/simulation/experiment.h"
#include "src/simulation/experiment_report.h"

namespace saltquay {
namespace {

using Json = nlohmann::json;

double Median(std::vector<double> values) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

// The median over seeds of one field of one policy.
template <typename Field>
double MedianOf(const std::vector<std::vector<PolicyResult>>& runs, std::size_t policy, const Field& field) {
  std::vector<double> values;
  values.reserve(runs.size());
  for (const std::vector<PolicyResult>& run : runs) values.push_back(field(run[policy]));
  return Median(values);
}

Json PolicyJson(const std::vector<std::vector<PolicyResult>>& runs, std::size_t policy) {
  const auto median = [&](auto member) {
    return MedianOf(runs, policy, [member](const PolicyResult& result) { return result.*member; });
  };
  // Ratios are taken within each run, then their median.
  std::vector<double> against_static;
  against_static.reserve(runs.size());
  for (const std::vector<PolicyResult>& run : runs) {
    against_static.push_back(run[policy].weighted_goodput / std::max(1e-9, run[kBestStaticIndex].weighted_goodput));
  }
  return {{"policy", runs.front()[policy].policy},
          {"goodput_per_second", median(&PolicyResult::goodput)},
          {"weighted_goodput_per_second", median(&PolicyResult::weighted_goodput)},
          {"service_per_answer", median(&PolicyResult::service_per_answer)},
          {"refused", median(&PolicyResult::refused)},
          {"late", median(&PolicyResult::late)},
          {"failed", median(&PolicyResult::failed)},
          {"first_token_p50_s", median(&PolicyResult::first_token_p50)},
          {"first_token_p95_s", median(&PolicyResult::first_token_p95)},
          {"first_token_p99_s", median(&PolicyResult::first_token_p99)},
          {"between_tokens_p50_s", median(&PolicyResult::between_p50)},
          {"between_tokens_p95_s", median(&PolicyResult::between_p95)},
          {"between_tokens_p99_s", median(&PolicyResult::between_p99)},
          {"prefix_hit_share", median(&PolicyResult::prefix_hit_share)},
          {"role_changes", median(&PolicyResult::role_changes)},
          {"share_of_fluid_bound", median(&PolicyResult::share_of_fluid_bound)},
          {"goodput_against_best_static", Median(against_static)}};
}

void PrintTable(const Json& policies) {
  std::cout << fmt::format("{:26}{:>9}{:>9}{:>8}{:>8}{:>7}{:>9}{:>9}{:>9}{:>7}{:>9}{:>9}{:>10}\n", "policy",
                           "goodput/s", "weighted", "refused", "late", "failed", "ttft p50", "ttft p95", "itl p95",
                           "hits", "changes", "of bound", "of static");
  for (const Json& row : policies) {
    const auto number = [&](const char* key) { return row[key].get<double>(); };
    std::cout << fmt::format(
        "{:26}{:9.2f}{:9.2f}{:8.0f}{:8.0f}{:7.0f}{:9.3f}{:9.3f}{:9.4f}{:7.2f}{:9.0f}{:9.3f}{:10.3f}\n",
        row["policy"].get<std::string>(), number("goodput_per_second"), number("weighted_goodput_per_second"),
        number("refused"), number("late"), number("failed"), number("first_token_p50_s"), number("first_token_p95_s"),
        number("between_tokens_p95_s"), number("prefix_hit_share"), number("role_changes"),
        number("share_of_fluid_bound"), number("goodput_against_best_static"));
  }
}

}  // namespace

int ExperimentCommand(const CommandArguments& arguments) {
  const Experiment* found = FindExperiment(arguments.words[1]);
  if (found == nullptr) {
    std::cerr << "no experiment '" << arguments.words[1] << "'; see 'saltquay-sim list'\n";
    return kExitWrongUse;
  }
  Experiment experiment = *found;
  const absl::Status settings = ApplySettings(arguments.settings, &experiment.options);
  if (!settings.ok()) {
    std::cerr << MessageOf(settings) << "\n";
    return kExitWrongUse;
  }
  const std::uint64_t count = arguments.last_seed - arguments.first_seed + 1;
  std::vector<std::vector<PolicyResult>> runs(count);
  std::mutex mutex;
  std::uint64_t done = 0;
  RunInParallel(count, arguments.jobs, [&](std::uint64_t index) {
    runs[index] = RunExperiment(experiment, arguments.first_seed + index);
    const std::lock_guard<std::mutex> lock(mutex);
    std::cerr << fmt::format("{}: {} of {} seeds\n", experiment.name, ++done, count);
  });
  Json policies = Json::array();
  for (std::size_t policy = 0; policy < runs.front().size(); ++policy) policies.push_back(PolicyJson(runs, policy));
  const Json answer = {
      {"experiment", experiment.name}, {"seeds", {arguments.first_seed, arguments.last_seed}}, {"policies", policies}};
  if (arguments.json) {
    std::cout << answer.dump() << "\n";
  } else {
    PrintTable(policies);
  }
  if (!arguments.report_folder.empty()) {
    const absl::Status written = WriteExperimentReport(arguments.report_folder, experiment, runs.front());
    if (!written.ok()) {
      std::cerr << MessageOf(written) << "\n";
      return kExitWrongUse;
    }
  }
  return EXIT_SUCCESS;
}

}  // namespace saltquay
