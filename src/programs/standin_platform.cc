// The stand-in platform: arguments and wiring only.
#include <fstream>
#include <iostream>
#include <sstream>

#include <cxxopts.hpp>

#include "src/core/machine_list.h"
#include "src/runtime/program.h"
#include "src/runtime/socket_address.h"
#include "src/standin/platform_server.h"

namespace saltquay {
namespace {

absl::StatusOr<MachineList> ReadMachines(const std::string& path) {
  if (path.empty()) return MachineList{};
  std::ifstream file(path);
  if (!file) return MakeError(ErrorKind::kInvalidSetting, "cannot read '" + path + "'; check its path");
  std::ostringstream text;
  text << file.rdbuf();
  return ParseMachineList(text.str());
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options("saltquay-standin-platform", "Stands in for the platform in tests and demonstrations.");
  options.add_options()("listen", "ip:port", cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
      "machines", "Machine list (JSON file)", cxxopts::value<std::string>()->default_value(""));
  return options;
}

int Run(const cxxopts::ParseResult& arguments) {
  const absl::StatusOr<SocketAddress> address = ParseSocketAddress(arguments["listen"].as<std::string>());
  const absl::StatusOr<MachineList> machines = ReadMachines(arguments["machines"].as<std::string>());
  for (const absl::Status& status : {address.status(), machines.status()}) {
    if (status.ok()) continue;
    std::cerr << MessageOf(status) << "\n";
    return kExitUsage;
  }
  const StopSignals stop_signals;
  HttpServerOptions http;
  http.address = address->host;
  http.port = address->port;
  const absl::StatusOr<std::unique_ptr<PlatformServer>> server = PlatformServer::Start(http, machines->machines);
  if (!server.ok()) {
    std::cerr << MessageOf(server.status()) << "\n";
    return kExitUsage;
  }
  std::cout << "port " << (*server)->port() << std::endl;
  stop_signals.Wait();
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace saltquay

int main(int argc, char** argv) {
  return saltquay::RunProgram(saltquay::MakeOptions(), argc, argv, "", &saltquay::Run);
}
