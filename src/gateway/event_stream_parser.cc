#include "src/gateway/event_stream_parser.h"

#include <utility>

namespace saltquay::gateway {
namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

}  // namespace

std::string EventStreamParser::Feed(std::string_view bytes) {
  std::string complete;
  for (const char byte : bytes) {
    if (std::exchange(after_return_, byte == '\r') && byte == '\n') {
      (block_.empty() ? complete : block_) += byte;
      continue;
    }
    block_ += byte;
    if (byte != '\n' && byte != '\r') {
      line_ += byte;
    } else if (EndLine()) {
      complete += std::exchange(block_, {});
    }
  }
  return complete;
}

std::string EventStreamParser::TakeRest() {
  line_.clear();
  block_has_field_ = false;
  block_id_.reset();
  return std::exchange(block_, {});
}

bool EventStreamParser::EndLine() {
  const std::string line = std::exchange(line_, {});
  std::string_view text = line;
  if (std::exchange(at_start_, false) && text.starts_with(kByteOrderMark)) text.remove_prefix(kByteOrderMark.size());
  if (!text.empty()) {
    ReadField(text);
    return false;
  }
  if (std::exchange(block_has_field_, false)) {
    ++event_count_;
    last_event_has_id_ = block_id_.has_value() && !block_id_->empty();
    if (block_id_) last_event_id_ = *std::exchange(block_id_, std::nullopt);
  }
  return true;
}

void EventStreamParser::ReadField(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == 0) return;  // A comment.
  block_has_field_ = true;
  if (line.substr(0, colon) != "id") return;
  std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
  if (value.starts_with(' ')) value.remove_prefix(1);
  if (value.find('\0') == std::string_view::npos) block_id_ = std::string(value);
}

}  // namespace saltquay::gateway
