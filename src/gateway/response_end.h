// How a response ended.
//
// The end of its framing alone does not tell: an engine may end a response properly although its event stream is not
// finished, and a response without a length or chunks ends with its connection, also if the engine has crashed.
#pragma once

#include <optional>

#include "src/core/serving/events.h"
#include "src/gateway/event_stream_parser.h"
#include "src/http/client.h"

namespace saltquay::gateway {

serving::ResponseFraming FramingOf(const http::ResponseHead& head);

// Whether the body of a response to a request for an event stream is one.
bool IsEventStream(const http::ResponseHead& head);

// Returns why the event stream of a response whose framing ended properly is not complete; nullopt if it is.
std::optional<serving::AttemptFailure> FindTruncation(const EventStreamParser& events);

serving::AttemptFailure ToAttemptFailure(http::CallFailure failure);

}  // namespace saltquay::gateway
