// Requests that nodes hand to each other over HTTP: the client's request with the header field `Saltquay-Forwarded`,
// which holds its state as a JSON object. Every response to one names its outcome in `Saltquay-Forward-Outcome`; a
// response without it comes from a node that does not know this protocol, and executed nothing.
#pragma once

#include <string_view>

#include "absl/status/statusor.h"
#include "src/core/serving/events.h"
#include "src/http/message.h"

namespace saltquay::gateway {

inline constexpr std::string_view kForwardedField = "Saltquay-Forwarded";
inline constexpr std::string_view kForwardOutcomeField = "Saltquay-Forward-Outcome";

// Adds the state to a request to a peer. `sender`: name of this node.
void AddForwardedState(http::RequestHead& head, const serving::ForwardedRequest& state, std::string_view sender);
// Errors: kInvalidArgument, if the field does not decode; the message names the member.
absl::StatusOr<serving::ForwardedRequest> DecodeForwardedState(const http::RequestHead& head);

// Marks a response to a peer; replaces a mark that it carries.
void MarkForwardOutcome(http::ResponseHead& head, serving::PeerReply reply);
// Sets the outcome and, for a peer's own response, its Retry-After.
void DecodeForwardOutcome(const http::ResponseHead& head, serving::EngineResponseHead& decoded);

}  // namespace saltquay::gateway
