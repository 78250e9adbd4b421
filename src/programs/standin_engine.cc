// The stand-in engine: arguments and wiring only.
#include <iostream>

#include <cxxopts.hpp>

#include "src/runtime/program.h"
#include "src/runtime/socket_address.h"
#include "src/standin/engine_server.h"

namespace saltquay {
namespace {

EngineServerOptions ReadOptions(const cxxopts::ParseResult& arguments, const SocketAddress& address) {
  EngineServerOptions options;
  options.id = EngineId{arguments["id"].as<std::uint32_t>()};
  options.http.address = address.host;
  options.http.port = address.port;
  EngineModelOptions& model = options.model;
  model.profile.prefill_tokens_per_second = arguments["prefill-rate"].as<double>();
  model.profile.decode_step = FromSeconds(arguments["decode-step-ms"].as<double>() / 1000);
  model.profile.decode_per_stream = FromSeconds(arguments["decode-ms-per-stream"].as<double>() / 1000);
  model.profile.max_streams = arguments["max-streams"].as<std::uint32_t>();
  model.profile.decode_chunk_tokens = 128;
  model.profile.kv_bytes_per_token = 131'072;
  model.profile.kv_bytes_per_second = 2.5e10;
  model.load_time = std::chrono::milliseconds(arguments["load-ms"].as<int>());
  model.role_change_time = std::chrono::milliseconds(arguments["role-change-ms"].as<int>());
  return options;
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options("saltquay-standin-engine", "Stands in for a model engine in tests and demonstrations.");
  options.add_options()("id", "Number in the machine list", cxxopts::value<std::uint32_t>())(
      "listen", "ip:port", cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
      "prefill-rate", "Prompt tokens a second", cxxopts::value<double>()->default_value("12000"))(
      "decode-step-ms", "One decode step", cxxopts::value<double>()->default_value("18"))(
      "decode-ms-per-stream", "Added by each stream", cxxopts::value<double>()->default_value("0.4"))(
      "max-streams", "Streams at a time", cxxopts::value<std::uint32_t>()->default_value("48"))(
      "load-ms", "To load a model", cxxopts::value<int>()->default_value("2000"))(
      "role-change-ms", "To change role", cxxopts::value<int>()->default_value("3000"));
  return options;
}

int Run(const cxxopts::ParseResult& arguments) {
  const absl::StatusOr<SocketAddress> address = ParseSocketAddress(arguments["listen"].as<std::string>());
  if (arguments.count("id") == 0 || !address.ok()) {
    std::cerr << "--id is missing or --listen is not ip:port; see --help\n";
    return kExitUsage;
  }
  const StopSignals stop_signals;
  const absl::StatusOr<std::unique_ptr<EngineServer>> server = EngineServer::Start(ReadOptions(arguments, *address));
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
