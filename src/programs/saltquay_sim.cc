// The simulator's command line.
//
// Exit codes: 0 no violation; 1 a violation, or not alive at the end; 2 wrong use.
#include <iostream>

#include <cxxopts.hpp>

#include "src/runtime/program.h"
#include "src/simulation/commands.h"

namespace saltquay {
namespace {

constexpr char kCommands[] =
    "Commands:\n"
    "  list                list scenarios and settings\n"
    "  run SCENARIO        run it over the seeds\n"
    "  experiment NAME     compare policies on one workload over the seeds\n"
    "  capacity            what control costs a node, by hollow nodes\n"
    "  fleet               what reports and digests cost a gateway, by hollow gateways\n";

cxxopts::Options MakeOptions() {
  cxxopts::Options options("saltquay-sim", "Deterministic simulation of a saltquay fleet.");
  options.add_options()("seed", "One seed", cxxopts::value<std::uint64_t>())("seeds", "A range, A..B",
                                                                             cxxopts::value<std::string>())(
      "set", "key=value, as often as wanted", cxxopts::value<std::vector<std::string>>()->default_value(""))(
      "jobs", "Runs at a time", cxxopts::value<unsigned>()->default_value("0"))("trace", "Print every event")(
      "json", "Print one JSON object")("report", "Folder for an experiment's page",
                                       cxxopts::value<std::string>()->default_value(""))(
      "words", "", cxxopts::value<std::vector<std::string>>()->default_value(""));
  options.parse_positional({"words"});
  options.positional_help("COMMAND");
  return options;
}

int Run(const cxxopts::ParseResult& arguments) {
  const std::vector<std::string> words = arguments["words"].as<std::vector<std::string>>();
  CommandArguments command;
  command.words = words;
  command.settings = arguments["set"].as<std::vector<std::string>>();
  command.jobs = arguments["jobs"].as<unsigned>();
  command.trace = arguments.count("trace") > 0;
  command.json = arguments.count("json") > 0;
  command.report_folder = arguments["report"].as<std::string>();
  if (arguments.count("seed") > 0) {
    command.first_seed = arguments["seed"].as<std::uint64_t>();
    command.last_seed = command.first_seed;
  }
  if (arguments.count("seeds") > 0 && !ParseSeedRange(arguments["seeds"].as<std::string>(), &command)) {
    std::cerr << "--seeds is not A..B with A at most B; correct it\n";
    return kExitUsage;
  }
  if (words[0] == "list") return ListCommand();
  if (words[0] == "run" && words.size() == 2) return RunCommand(command);
  if (words[0] == "experiment" && words.size() == 2) return ExperimentCommand(command);
  if (words[0] == "capacity" && words.size() == 1) return CapacityCommand(command);
  if (words[0] == "fleet" && words.size() == 1) return FleetCommand(command);
  std::cerr << kCommands;
  return kExitUsage;
}

}  // namespace
}  // namespace saltquay

int main(int argc, char** argv) {
  return saltquay::RunProgram(saltquay::MakeOptions(), argc, argv, saltquay::kCommands, &saltquay::Run);
}
