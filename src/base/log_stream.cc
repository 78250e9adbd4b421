#include "src/base/log_stream.h"

#include <fcntl.h>
#include <unistd.h>

#include <fmt/format.h>

namespace saltquay {
namespace {

constexpr std::int64_t kMillisecondsPerSecond = 1000;
constexpr std::size_t kFlushBytes = 32 * 1024;

std::string_view LevelName(LogLevel level) {
  if (level == LogLevel::kInfo) return "info";
  return level == LogLevel::kWarning ? "warning" : "error";
}

}  // namespace

LogStream::LogStream(const LogStreamOptions& options) : options_(options) {
  const int flags = fcntl(options_.file_descriptor, F_GETFL, 0);
  if (flags >= 0) fcntl(options_.file_descriptor, F_SETFL, flags | O_NONBLOCK);
}

LogStream::~LogStream() { Flush(); }

void LogStream::Write(std::int64_t unix_milliseconds, EventId event, std::string_view request_id,
                      std::string_view members) {
  if (!Admit(unix_milliseconds, DescribeEvent(event).level)) {
    ++dropped_;
    return;
  }
  if (dropped_ > dropped_told_) {
    const std::string count = fmt::format(R"("lines":{})", dropped_ - dropped_told_);
    dropped_told_ = dropped_;
    Append(unix_milliseconds, EventId::kLogDropped, "", count);
  }
  Append(unix_milliseconds, event, request_id, members);
  if (buffer_.size() >= kFlushBytes) Flush();
}

bool LogStream::Admit(std::int64_t unix_milliseconds, LogLevel level) {
  if (buffer_.size() >= options_.max_bytes) return false;
  const std::int64_t second = unix_milliseconds / kMillisecondsPerSecond;
  if (second != second_) {
    second_ = second;
    lines_in_second_ = 0;
  }
  ++lines_in_second_;
  return level != LogLevel::kInfo || lines_in_second_ <= options_.lines_per_second;
}

void LogStream::Append(std::int64_t unix_milliseconds, EventId event, std::string_view request_id,
                       std::string_view members) {
  const EventDescription& description = DescribeEvent(event);
  buffer_ +=
      fmt::format(R"({{"time_ms":{},"process":"{}","event":{},"name":"{}","level":"{}")", unix_milliseconds,
                  options_.process_name, static_cast<int>(event), description.name, LevelName(description.level));
  if (!request_id.empty()) buffer_ += fmt::format(R"(,"request":"{}")", EscapeJson(request_id));
  if (!members.empty()) {
    buffer_ += ',';
    buffer_ += members;
  }
  buffer_ += "}\n";
}

void LogStream::Flush() {
  std::size_t written = 0;
  while (written < buffer_.size()) {
    const ssize_t count = write(options_.file_descriptor, buffer_.data() + written, buffer_.size() - written);
    if (count <= 0) break;  // The reader is slow: the rest waits.
    written += static_cast<std::size_t>(count);
  }
  buffer_.erase(0, written);
}

}  // namespace saltquay
