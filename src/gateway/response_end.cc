#include "src/gateway/response_end.h"

#include <string_view>

namespace saltquay::gateway {
namespace {

constexpr std::string_view kEventStream = "text/event-stream";

}  // namespace

serving::ResponseFraming FramingOf(const http::ResponseHead& head) {
  if (head.until_close) return serving::ResponseFraming::kConnectionEnd;
  const bool chunked = head.fields.HasToken("Transfer-Encoding", "chunked");
  return chunked ? serving::ResponseFraming::kChunked : serving::ResponseFraming::kLength;
}

bool IsEventStream(const http::ResponseHead& head) {
  if (head.fields.Has("Content-Encoding")) return false;
  const std::string_view type = head.fields.Find("Content-Type").value_or(kEventStream);
  return http::SameName(type.substr(0, kEventStream.size()), kEventStream);
}

std::optional<serving::AttemptFailure> FindTruncation(const EventStreamParser& events) {
  if (events.inside_event()) return serving::AttemptFailure::kInsideEvent;
  if (events.event_count() == 0) return serving::AttemptFailure::kNoEvents;
  return std::nullopt;
}

serving::AttemptFailure ToAttemptFailure(http::CallFailure failure) {
  if (failure == http::CallFailure::kNotSent) return serving::AttemptFailure::kNotSent;
  if (failure == http::CallFailure::kUnidentified) return serving::AttemptFailure::kUnidentified;
  if (failure == http::CallFailure::kMalformed) return serving::AttemptFailure::kMalformed;
  return serving::AttemptFailure::kBroken;
}

}  // namespace saltquay::gateway
