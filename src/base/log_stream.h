// Structured log lines that never block: one JSON object a line.
//
// Lines gather in memory and are written when the owner flushes. When the
// reader does not read, or more lines come than the rate allows, lines are
// dropped, counted, and the count is told in a line of its own. Warnings and
// errors are kept as long as there is room. Not thread-safe.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "src/base/event_catalogue.h"
#include "src/base/json_escape.h"

namespace saltquay {

struct LogStreamOptions {
  int file_descriptor = 1;
  std::string process_name;
  std::size_t max_bytes = 1024 * 1024;  // Held for a reader that is slow.
  int lines_per_second = 2000;          // Of level info.
};

class LogStream {
 public:
  // Makes the descriptor non-blocking.
  explicit LogStream(const LogStreamOptions& options);
  ~LogStream();
  LogStream(const LogStream&) = delete;
  LogStream& operator=(const LogStream&) = delete;

  // `members`: JSON members without braces, or empty. `request_id` may be empty.
  void Write(std::int64_t unix_milliseconds, EventId event, std::string_view request_id, std::string_view members);
  // Writes what the reader takes now.
  void Flush();

  bool empty() const { return buffer_.empty(); }
  // Lines that were not written yet; the last of them may be incomplete.
  std::string_view buffered() const { return buffer_; }
  std::uint64_t dropped() const { return dropped_; }

 private:
  bool Admit(std::int64_t unix_milliseconds, LogLevel level);
  void Append(std::int64_t unix_milliseconds, EventId event, std::string_view request_id, std::string_view members);

  LogStreamOptions options_;
  std::string buffer_;
  std::int64_t second_ = 0;
  int lines_in_second_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_told_ = 0;
};

}  // namespace saltquay
