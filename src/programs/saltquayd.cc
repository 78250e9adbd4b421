// The node daemon: settings, signals and wiring only.
#include <cstdlib>
#include <iostream>
#include <thread>

#include <fmt/format.h>
#include <cxxopts.hpp>

#include "src/base/logger.h"
#include "src/runtime/node_server.h"
#include "src/runtime/program.h"
#include "src/runtime/settings.h"

namespace saltquay {
namespace {

constexpr int kExitListen = 3;

cxxopts::Options MakeOptions() {
  cxxopts::Options options("saltquayd", "Serves language models on a fixed fleet.");
  options.add_options()("config", "Settings file (TOML)", cxxopts::value<std::string>()->default_value(""))(
      "check-config", "Check the settings and exit")("node-id", "This node's number in the machine list",
                                                     cxxopts::value<std::string>())(
      "zone", "This node's zone", cxxopts::value<std::string>())("peer-listen", "ip:port for other nodes",
                                                                 cxxopts::value<std::string>())(
      "http-listen", "ip:port for callers and operators", cxxopts::value<std::string>())(
      "platform-url", "http://ip:port of the platform", cxxopts::value<std::string>())(
      "seeds", "id@ip:port of some nodes, by commas", cxxopts::value<std::string>())(
      "log-format", "text or json", cxxopts::value<std::string>())("max-body-bytes", "Largest request body",
                                                                   cxxopts::value<std::string>())(
      "idle-timeout-seconds", "Patience with a client that sends nothing", cxxopts::value<std::string>());
  return options;
}

std::vector<SettingOverride> Overrides(const cxxopts::ParseResult& arguments) {
  std::vector<SettingOverride> overrides;
  for (const auto& [flag, key] : {std::pair{"node-id", "node_id"},
                                  {"zone", "zone"},
                                  {"peer-listen", "peer_listen"},
                                  {"http-listen", "http_listen"},
                                  {"platform-url", "platform_url"},
                                  {"seeds", "seeds"},
                                  {"log-format", "log_format"},
                                  {"max-body-bytes", "max_body_bytes"},
                                  {"idle-timeout-seconds", "idle_timeout_seconds"}}) {
    if (arguments.count(flag) > 0) overrides.push_back({key, arguments[flag].as<std::string>()});
  }
  return overrides;
}

int Serve(const Settings& settings) {
  const StopSignals stop_signals;
  ConfigureLogger(settings.log_format, fmt::format("node-{}", settings.node_id));
  absl::StatusOr<std::unique_ptr<NodeServer>> server = NodeServer::Start(settings, Parameters{});
  if (!server.ok()) {
    LogEvent(EventId::kListenFailed, MessageOf(server.status()));
    return kExitListen;
  }
  LogEvent(EventId::kNodeStarted, fmt::format("callers on port {}, peers on port {}", (*server)->http_port(),
                                              (*server)->driver().peer_port()));
  std::thread stopper([&] {
    stop_signals.Wait();
    (*server)->driver().Post(StopRequested{});
  });
  (*server)->driver().WaitForExit();
  stopper.join();
  return EXIT_SUCCESS;
}

int Run(const cxxopts::ParseResult& arguments) {
  const absl::StatusOr<Settings> settings = LoadSettings(arguments["config"].as<std::string>(), Overrides(arguments));
  if (!settings.ok()) {
    LogEvent(EventId::kSettingsRefused, MessageOf(settings.status()));
    return kExitUsage;
  }
  if (arguments.count("check-config") > 0) {
    std::cout << "settings are valid\n";
    return EXIT_SUCCESS;
  }
  return Serve(*settings);
}

}  // namespace
}  // namespace saltquay

int main(int argc, char** argv) {
  return saltquay::RunProgram(saltquay::MakeOptions(), argc, argv, "", &saltquay::Run);
}
