// What every program's main does alike: arguments, help, stop signals.
#pragma once

#include <csignal>
#include <functional>
#include <string>

#include <cxxopts.hpp>

namespace saltquay {

// Exit code of wrong arguments.
inline constexpr int kExitUsage = 2;

// Parses the arguments and calls `run`. Prints help for --help, and what is
// wrong with the arguments; `more_help` follows the options.
int RunProgram(cxxopts::Options options, int argc, char** argv, const std::string& more_help,
               const std::function<int(const cxxopts::ParseResult&)>& run);

// SIGTERM and SIGINT, blocked in this thread and those it starts later, so that
// one thread can wait for them. SIGPIPE is ignored.
class StopSignals {
 public:
  StopSignals();
  void Wait() const;

 private:
  sigset_t signals_;
};

}  // namespace saltquay
