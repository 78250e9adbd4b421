#include "src/runtime/program.h"

#include <pthread.h>

#include <cstdlib>
#include <iostream>

namespace saltquay {

int RunProgram(cxxopts::Options options, int argc, char** argv, const std::string& more_help,
               const std::function<int(const cxxopts::ParseResult&)>& run) {
  options.add_options()("help", "Show this text");
  try {
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") == 0) return run(arguments);
    std::cout << options.help() << more_help;
    return EXIT_SUCCESS;
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << error.what() << "; see --help\n";
    return kExitUsage;
  }
}

StopSignals::StopSignals() {
  sigemptyset(&signals_);
  sigaddset(&signals_, SIGTERM);
  sigaddset(&signals_, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void StopSignals::Wait() const {
  int received = 0;
  sigwait(&signals_, &received);
}

}  // namespace saltquay
