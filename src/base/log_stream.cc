#include "src/base/log_stream.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <iterator>

#include <fmt/format.h>
#include <utf8.h>

namespace saltquay {
namespace {

constexpr std::int64_t kMillisecondsPerSecond = 1000;
constexpr std::size_t kFlushBytes = 32 * 1024;
constexpr std::size_t kMaxUtf8Bytes = 4;

std::string_view LevelName(LogLevel level) {
  if (level == LogLevel::kInfo) return "info";
  return level == LogLevel::kWarning ? "warning" : "error";
}

// Returns whether the character stands for itself in a JSON string.
bool IsPlain(char c) {
  constexpr char kFirstPrintable = 0x20;
  constexpr char kLastPrintable = 0x7e;
  return c >= kFirstPrintable && c <= kLastPrintable && c != '"' && c != '\\';
}

void AppendEscaped(std::uint32_t code_point, std::string& escaped) {
  constexpr std::uint32_t kFirstOfPairs = 0x10000;
  constexpr std::uint32_t kPairMask = 0x3ff;
  constexpr int kPairBits = 10;
  if (code_point == '"' || code_point == '\\') {
    escaped += '\\';
    escaped += static_cast<char>(code_point);
  } else if (code_point < kFirstOfPairs) {
    escaped += fmt::format("\\u{:04x}", code_point);
  } else {
    const std::uint32_t pair = code_point - kFirstOfPairs;
    escaped += fmt::format("\\u{:04x}\\u{:04x}", 0xd800 + (pair >> kPairBits), 0xdc00 + (pair & kPairMask));
  }
}

}  // namespace

std::string EscapeJson(std::string_view text) {
  if (std::all_of(text.begin(), text.end(), IsPlain)) return std::string(text);
  std::string valid;
  utf8::replace_invalid(text.begin(), text.end(), std::back_inserter(valid));
  std::string escaped;
  for (auto at = valid.begin(); at != valid.end();) {
    if (IsPlain(*at)) {
      escaped += *at++;
    } else {
      AppendEscaped(utf8::unchecked::next(at), escaped);
    }
  }
  return escaped;
}

std::string EscapeJsonPrefix(std::string_view text, std::size_t max_bytes) {
  if (text.size() <= max_bytes) return EscapeJson(text);
  std::size_t end = max_bytes;
  while (end > 0 && max_bytes - end < kMaxUtf8Bytes && utf8::internal::is_trail(text[end])) --end;
  return EscapeJson(text.substr(0, end)) + "...";
}

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
