#include "src/gateway/event_splitter.h"

#include <algorithm>
#include <utility>

namespace saltquay::gateway {
namespace {

// Returns the offset behind the empty line that terminates the last complete event.
std::size_t EndOfLastEvent(std::string_view text) {
  const std::size_t plain = text.rfind("\n\n");
  const std::size_t with_return = text.rfind("\r\n\r\n");
  const std::size_t plain_end = plain == std::string_view::npos ? 0 : plain + 2;
  const std::size_t return_end = with_return == std::string_view::npos ? 0 : with_return + 4;
  return std::max(plain_end, return_end);
}

}  // namespace

std::string EventSplitter::Feed(std::string_view bytes) {
  rest_ += bytes;
  const std::size_t end = EndOfLastEvent(rest_);
  std::string complete = rest_.substr(0, end);
  rest_.erase(0, end);
  RecordEventIds(complete);
  return complete;
}

std::string EventSplitter::TakeIncompleteEvent() { return std::exchange(rest_, {}); }

void EventSplitter::RecordEventIds(std::string_view events) {
  constexpr std::string_view kName = "id:";
  while (!events.empty()) {
    const std::size_t end = events.find('\n');
    std::string_view line = events.substr(0, end);
    if (line.starts_with(kName)) {
      line.remove_prefix(kName.size());
      if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
      if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
      last_event_id_ = std::string(line);
    }
    if (end == std::string_view::npos) return;
    events.remove_prefix(end + 1);
  }
}

}  // namespace saltquay::gateway
