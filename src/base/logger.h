// Writes numbered events to standard error, as text or JSON lines.
#pragma once

#include <string>

#include "src/base/event_catalogue.h"

namespace saltquay {

enum class LogFormat { kText, kJson };

// Sets the format and the name under which this process logs. Call once,
// before other threads start.
void ConfigureLogger(LogFormat format, const std::string& process_name);

// Writes one event with its details. Thread-safe.
void LogEvent(EventId id, const std::string& details);

// Returns the line that LogEvent writes at `unix_milliseconds`.
std::string FormatLogLine(LogFormat format, const std::string& process_name, EventId id, const std::string& details,
                          long long unix_milliseconds);

}  // namespace saltquay
