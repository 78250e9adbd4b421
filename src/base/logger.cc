#include "src/base/logger.h"

#include <chrono>
#include <cstdio>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace saltquay {
namespace {

struct LoggerState {
  LogFormat format = LogFormat::kText;
  std::string process_name = "saltquay";
};

LoggerState& State() {
  static LoggerState state;
  return state;
}

std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

}  // namespace

void ConfigureLogger(LogFormat format, const std::string& process_name) {
  State().format = format;
  State().process_name = process_name;
}

std::string FormatLogLine(LogFormat format, const std::string& process_name, EventId id, const std::string& details,
                          long long unix_milliseconds) {
  const EventDescription& event = DescribeEvent(id);
  if (format == LogFormat::kText) {
    return fmt::format("{} {} SQ{} {} {}: {}\n", unix_milliseconds, process_name, static_cast<int>(id),
                       LevelName(event.level), event.name, details);
  }
  nlohmann::json line = {{"time_ms", unix_milliseconds},    {"process", process_name}, {"event", static_cast<int>(id)},
                         {"level", LevelName(event.level)}, {"name", event.name},      {"details", details}};
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

void LogEvent(EventId id, const std::string& details) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const long long milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  // One call per line: stdio locks the stream, so lines of several threads do not mix.
  fmt::print(stderr, "{}", FormatLogLine(State().format, State().process_name, id, details, milliseconds));
}

}  // namespace saltquay
