#include "src/simulation/commands.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <iostream>
#include <mutex>
#include <thread>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "src/simulation/experiment.h"
#include "src/simulation/scenarios.h"

namespace saltquay {
namespace {

using Json = nlohmann::json;

constexpr std::uint64_t kMostSeeds = 10'000'000;
constexpr std::size_t kEventsBeforeViolation = 40;
constexpr std::size_t kFailuresShown = 3;

// Sums over the runs of one command.
struct Totals {
  CallerCounts counts;
  std::vector<std::uint64_t> violations = std::vector<std::uint64_t>(kInvariantCount, 0);
  std::uint64_t failed = 0;
  std::uint64_t not_alive = 0;
  std::uint64_t below_floor = 0;
  std::uint64_t role_changes = 0;
  std::uint64_t digest = 0;
  double virtual_seconds = 0;
  double wall_seconds = 0;
  double worst_in_force = 0;
  double least_goodput = 1;
  std::vector<double> leader_gaps;
  std::vector<std::uint64_t> failed_seeds;
};

void Add(const RunResult& run, Totals* totals) {
  totals->counts.submitted += run.counts.submitted;
  totals->counts.completed += run.counts.completed;
  totals->counts.not_run += run.counts.not_run;
  totals->counts.unknown += run.counts.unknown;
  totals->counts.lost += run.counts.lost;
  for (std::size_t i = 0; i < run.violations_by_point.size(); ++i) totals->violations[i] += run.violations_by_point[i];
  if (!run.passed()) totals->failed += 1;
  if (!run.liveness.holds) totals->not_alive += 1;
  if (!run.above_goodput_floor) totals->below_floor += 1;
  totals->role_changes += run.role_changes;
  // A sum does not depend on the order in which parallel runs end.
  totals->digest += run.digest;
  totals->virtual_seconds += run.virtual_seconds;
  totals->wall_seconds += run.wall_seconds;
  totals->worst_in_force = std::max(totals->worst_in_force, run.worst_in_force);
  if (run.faulty_counts.submitted > 0) {
    const double goodput =
        static_cast<double>(run.faulty_counts.completed) / static_cast<double>(run.faulty_counts.submitted);
    totals->least_goodput = std::min(totals->least_goodput, goodput);
  }
  totals->leader_gaps.insert(totals->leader_gaps.end(), run.leader_gaps.begin(), run.leader_gaps.end());
  if (!run.passed()) totals->failed_seeds.push_back(run.seed);
}

void PrintFailure(const RunResult& run) {
  std::cerr << fmt::format("seed {} failed\n", run.seed);
  const Liveness& alive = run.liveness;
  if (!alive.holds) {
    std::cerr << fmt::format(
        "  not alive at the end: {} of {} completed, {} unknown, leader {}, newest generation {}, ready {}\n",
        alive.completed, alive.submitted, alive.unknown, alive.leader, alive.newest_generation, alive.all_ready);
  }
  if (!run.above_goodput_floor) {
    std::cerr << fmt::format("  goodput under the floor: {} of {}\n", run.faulty_counts.completed,
                             run.faulty_counts.submitted);
  }
  for (const Violation& violation : run.violations) {
    std::cerr << fmt::format("  {:.3f} {}: {}\n", ToSeconds(violation.at.time_since_epoch()),
                             InvariantName(violation.invariant), violation.details);
  }
  const std::size_t count = std::min(kEventsBeforeViolation, run.trace.size());
  for (std::size_t i = run.trace.size() - count; i < run.trace.size(); ++i) std::cerr << "    " << run.trace[i] << "\n";
}

double GapQuantile(std::vector<double> gaps, double quantile) {
  if (gaps.empty()) return 0;
  std::sort(gaps.begin(), gaps.end());
  return gaps[static_cast<std::size_t>(quantile * static_cast<double>(gaps.size() - 1))];
}

Json TotalsJson(const std::string& scenario, const CommandArguments& arguments, const Totals& totals) {
  Json violations = Json::object();
  for (int i = 0; i < kInvariantCount; ++i) {
    violations[InvariantName(static_cast<Invariant>(i))] = totals.violations[static_cast<std::size_t>(i)];
  }
  const CallerCounts& counts = totals.counts;
  return {{"scenario", scenario},
          {"seeds", {arguments.first_seed, arguments.last_seed}},
          {"requests",
           {{"submitted", counts.submitted},
            {"completed", counts.completed},
            {"not_run", counts.not_run},
            {"unknown", counts.unknown},
            {"lost", counts.lost}}},
          {"violations", violations},
          {"failed_seeds", totals.failed_seeds},
          {"not_alive", totals.not_alive},
          {"below_goodput_floor", totals.below_floor},
          {"least_goodput_share", totals.least_goodput},
          {"role_changes", totals.role_changes},
          {"leader_gap_seconds",
           {{"count", totals.leader_gaps.size()},
            {"median", GapQuantile(totals.leader_gaps, 0.5)},
            {"worst", GapQuantile(totals.leader_gaps, 1.0)}}},
          {"worst_in_force_seconds", totals.worst_in_force},
          {"virtual_seconds", totals.virtual_seconds},
          {"wall_seconds", totals.wall_seconds},
          {"state_digest", fmt::format("{:016x}", totals.digest)}};
}

}  // namespace

bool ParseSeedRange(const std::string& text, CommandArguments* arguments) {
  const std::size_t dots = text.find("..");
  if (dots == std::string::npos) return false;
  const char* begin = text.data();
  const char* end = begin + text.size();
  const std::from_chars_result first = std::from_chars(begin, begin + dots, arguments->first_seed);
  const std::from_chars_result last = std::from_chars(begin + dots + 2, end, arguments->last_seed);
  const bool whole = first.ec == std::errc() && first.ptr == begin + dots && last.ec == std::errc() && last.ptr == end;
  return whole && arguments->first_seed <= arguments->last_seed &&
         arguments->last_seed - arguments->first_seed < kMostSeeds;
}

absl::Status ApplySettings(const std::vector<std::string>& settings, SimulationOptions* options) {
  for (const std::string& setting : settings) {
    if (setting.empty()) continue;
    const std::size_t equals = setting.find('=');
    if (equals == std::string::npos) {
      return MakeError(ErrorKind::kInvalidSetting, "'" + setting + "' is not key=value; correct it");
    }
    absl::Status status = SetOption(options, setting.substr(0, equals), setting.substr(equals + 1));
    if (!status.ok()) return status;
  }
  return absl::OkStatus();
}

void RunInParallel(std::uint64_t count, unsigned jobs, const std::function<void(std::uint64_t)>& work) {
  if (jobs == 0) jobs = std::max(1U, std::thread::hardware_concurrency());
  std::atomic<std::uint64_t> next{0};
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < std::min<std::uint64_t>(jobs, count); ++i) {
    threads.emplace_back([&] {
      for (std::uint64_t index = next++; index < count; index = next++) work(index);
    });
  }
  for (std::thread& thread : threads) thread.join();
}

int ListCommand() {
  std::cout << "scenarios:\n";
  for (const Scenario& scenario : Scenarios()) {
    std::cout << fmt::format("  {:32} {}\n", scenario.name, scenario.description);
  }
  std::cout << "experiments:\n";
  for (const Experiment& experiment : Experiments()) {
    std::cout << fmt::format("  {:32} {}\n", experiment.name, experiment.description);
  }
  std::cout << "settings for --set:\n";
  for (const std::string& name : OptionNames()) std::cout << "  " << name << "\n";
  return EXIT_SUCCESS;
}

int RunCommand(const CommandArguments& arguments) {
  const Scenario* scenario = FindScenario(arguments.words[1]);
  if (scenario == nullptr) {
    std::cerr << "no scenario '" << arguments.words[1] << "'; see 'saltquay-sim list'\n";
    return kExitWrongUse;
  }
  SimulationOptions options = scenario->options;
  options.trace = arguments.trace;
  const absl::Status settings = ApplySettings(arguments.settings, &options);
  if (!settings.ok()) {
    std::cerr << MessageOf(settings) << "\n";
    return kExitWrongUse;
  }
  Totals totals;
  std::mutex mutex;
  std::uint64_t done = 0;
  const std::uint64_t count = arguments.last_seed - arguments.first_seed + 1;
  const std::uint64_t progress_step = std::max<std::uint64_t>(1, count / 20);
  RunInParallel(count, arguments.jobs, [&](std::uint64_t index) {
    const RunResult run = RunSimulation(options, arguments.first_seed + index);
    const std::lock_guard<std::mutex> lock(mutex);
    Add(run, &totals);
    if (arguments.trace) {
      for (const std::string& line : run.trace) std::cout << line << "\n";
    }
    if (!run.passed() && totals.failed <= kFailuresShown) PrintFailure(run);
    if (++done % progress_step == 0 && count > 1) {
      std::cerr << fmt::format("{}: {} of {} seeds, {} failed\n", scenario->name, done, count, totals.failed);
    }
  });
  std::sort(totals.failed_seeds.begin(), totals.failed_seeds.end());
  const Json json = TotalsJson(scenario->name, arguments, totals);
  std::cout << (arguments.json ? json.dump() : json.dump(2)) << "\n";
  return totals.failed == 0 ? EXIT_SUCCESS : kExitViolation;
}

}  // namespace saltquay
