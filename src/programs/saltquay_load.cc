// The load tool: arguments, table and JSON only.
#include <iostream>
#include <sstream>

#include <fmt/format.h>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "src/load/load_runner.h"
#include "src/runtime/program.h"

namespace saltquay {
namespace {

using Json = nlohmann::json;

constexpr int kExitWrong = 1;
constexpr double kMostRequestsPerSecond = 20'000;
constexpr double kLongestSeconds = 3'600;

Json TimesJson(const std::vector<double>& values) {
  return {{"p50_ms", Quantile(values, 0.50)}, {"p95_ms", Quantile(values, 0.95)}, {"p99_ms", Quantile(values, 0.99)}};
}

Json ReportJson(const LoadReport& report) {
  const LoadCounts& counts = report.counts;
  return {{"sent", counts.sent},
          {"answered", counts.answered},
          {"not_run", counts.not_run},
          {"unknown", counts.unknown},
          {"wrong", counts.wrong},
          {"cut_off", counts.cut_off},
          {"unreachable", counts.unreachable},
          {"first_token", TimesJson(report.times.first_token)},
          {"between_tokens", TimesJson(report.times.between_tokens)},
          {"whole", TimesJson(report.times.whole)},
          {"not_run_keys", report.not_run_keys},
          {"completed_keys", report.completed_keys}};
}

void PrintTable(const LoadReport& report) {
  const LoadCounts& counts = report.counts;
  std::cout << fmt::format("sent {}  answered {}  not run {}  unknown {}  wrong {}  cut off {}  unreachable {}\n",
                           counts.sent, counts.answered, counts.not_run, counts.unknown, counts.wrong, counts.cut_off,
                           counts.unreachable);
  std::cout << fmt::format("{:16} {:>10} {:>10} {:>10}\n", "ms", "p50", "p95", "p99");
  const auto row = [](const char* name, const std::vector<double>& values) {
    std::cout << fmt::format("{:16} {:10.2f} {:10.2f} {:10.2f}\n", name, Quantile(values, 0.50), Quantile(values, 0.95),
                             Quantile(values, 0.99));
  };
  row("first token", report.times.first_token);
  row("between tokens", report.times.between_tokens);
  row("whole", report.times.whole);
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options("saltquay-load", "Open-loop load against running nodes; checks every answer.");
  options.add_options()("nodes", "Nodes' URLs, by commas", cxxopts::value<std::vector<std::string>>())(
      "workload", "federation or ravinala", cxxopts::value<std::string>()->default_value("federation"))(
      "rate", "Requests a second", cxxopts::value<double>()->default_value("50"))(
      "duration", "Seconds", cxxopts::value<double>()->default_value("10"))(
      "stream-share", "Part of requests that stream", cxxopts::value<double>()->default_value("0.5"))(
      "seed", "Of the requests drawn", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "max-requests", "At most so many", cxxopts::value<std::uint32_t>()->default_value("1000000"))(
      "tenant", "Tenant", cxxopts::value<std::string>()->default_value("default"))("json", "Report as JSON");
  return options;
}

absl::StatusOr<LoadPlan> ReadPlan(const cxxopts::ParseResult& arguments) {
  absl::StatusOr<LoadPlan> plan = NamedLoadPlan(arguments["workload"].as<std::string>());
  if (!plan.ok()) return plan;
  plan->requests_per_second = std::clamp(arguments["rate"].as<double>(), 0.01, kMostRequestsPerSecond);
  plan->duration_seconds = std::clamp(arguments["duration"].as<double>(), 0.1, kLongestSeconds);
  plan->stream_share = std::clamp(arguments["stream-share"].as<double>(), 0.0, 1.0);
  plan->seed = arguments["seed"].as<std::uint64_t>();
  plan->max_requests = arguments["max-requests"].as<std::uint32_t>();
  return plan;
}

int Run(const cxxopts::ParseResult& arguments) {
  if (arguments.count("nodes") == 0) {
    std::cerr << "--nodes is missing; see --help\n";
    return kExitUsage;
  }
  const absl::StatusOr<LoadPlan> plan = ReadPlan(arguments);
  if (!plan.ok()) {
    std::cerr << MessageOf(plan.status()) << "\n";
    return kExitUsage;
  }
  LoadRunOptions run;
  run.nodes = arguments["nodes"].as<std::vector<std::string>>();
  run.tenant = arguments["tenant"].as<std::string>();
  const LoadReport report = RunLoad(*plan, run);
  if (arguments.count("json") > 0) {
    std::cout << ReportJson(report).dump() << "\n";
  } else {
    PrintTable(report);
  }
  return report.counts.wrong == 0 ? EXIT_SUCCESS : kExitWrong;
}

}  // namespace
}  // namespace saltquay

int main(int argc, char** argv) {
  return saltquay::RunProgram(saltquay::MakeOptions(), argc, argv, "", &saltquay::Run);
}
