// Responses of engines and peers to attempts, from their heads to their ends.
#include <fmt/format.h>

#include "src/base/crash_reporter.h"
#include "src/gateway/gateway.h"
#include "src/gateway/response_end.h"

namespace saltquay::gateway {
namespace {

std::string ModeName(serving::AttemptMode mode) {
  if (mode == serving::AttemptMode::kPrefill) return "prefill";
  if (mode == serving::AttemptMode::kForward) return "forward";
  return mode == serving::AttemptMode::kContinue ? "continue" : "whole";
}

// What is kept of a response, by its kind.
constexpr std::size_t kMaxEventBytes = 1024 * 1024;         // One event of a stream that is relayed.
constexpr std::size_t kMaxResponseBytes = 4 * 1024 * 1024;  // A response that is relayed when it is complete.
constexpr std::size_t kMaxErrorBytes = 256 * 1024;
constexpr std::size_t kMaxPrefillBytes = 64 * 1024;
constexpr int kFirstError = 400;

// The outcome as a label of the metrics.
std::string LabelOf(serving::AttemptFailure failure) {
  switch (failure) {
    case serving::AttemptFailure::kNotSent:
      return "not_sent";
    case serving::AttemptFailure::kUnidentified:
      return "unidentified";
    case serving::AttemptFailure::kMalformed:
      return "malformed";
    case serving::AttemptFailure::kInsideEvent:
      return "inside_event";
    case serving::AttemptFailure::kNoEvents:
      return "no_events";
    default:
      return "broken";
  }
}

}  // namespace

http::CallHandlers Gateway::MakeHandlers(serving::AttemptId id) {
  http::CallHandlers handlers;
  handlers.owner_of = [this, id](const http::ResponseHead& head) { return OwnerOf(id, head); };
  handlers.on_head = [this, id](const http::ResponseHead& head) { OnHead(id, head); };
  handlers.on_body = [this, id](std::string_view bytes) { OnBody(id, bytes); };
  handlers.on_complete = [this, id] { OnComplete(id); };
  handlers.on_failure = [this, id](http::CallFailure failure) { OnFailure(id, failure); };
  handlers.on_malformed = [this, id](std::string_view cause) { LogMalformedResponse(id, cause); };
  handlers.on_other_server = [this, id](http::ServerIdentity started_ms) { OnOtherProcess(id, started_ms); };
  return handlers;
}

http::ResponseOwner Gateway::OwnerOf(serving::AttemptId id, const http::ResponseHead& head) {
  const auto entry = attempts_.find(id);
  if (entry == attempts_.end()) return http::ResponseOwner::kAnotherCall;
  const ActiveAttempt& attempt = entry->second;
  const http::ResponseOwner owner = protocol_.OwnerOf(head, attempt.request_id);
  if (owner != http::ResponseOwner::kAnotherCall) return owner;
  metrics_.CountSkippedResponse();
  Log(EventId::kResponseSkipped, attempt.request_id,
      fmt::format(R"("engine":"{}","connection":{},"status":{},"names":"{}")", attempt.engine_id, attempt.connection,
                  head.status, EscapeJson(protocol_.RequestIdOf(head))));
  return owner;
}

void Gateway::DispatchNotice(const std::string& engine_id, const serving::EngineKey& engine,
                             const http::ResponseHead& head, std::optional<Time> sent_at) {
  if (const auto notice = protocol_.DecodeNotice(head))
    Dispatch(serving::EngineNoticeReceived{engine_id, engine, *notice, sent_at});
}

void Gateway::OnHead(serving::AttemptId id, const http::ResponseHead& head) {
  const auto entry = attempts_.find(id);
  if (entry == attempts_.end()) return;
  entry->second.head = head;
  entry->second.head_seen = true;
  entry->second.framing = FramingOf(head);
  http::RemoveConnectionFields(entry->second.head.fields);
  const serving::FlowId flow = entry->second.flow;
  const serving::EngineResponseHead decoded = DecodeResponse(entry->second, head);
  const bool from_engine = entry->second.mode != serving::AttemptMode::kForward;
  // May end the attempt.
  if (from_engine) DispatchNotice(entry->second.engine_id, entry->second.engine, head, entry->second.sent_at);
  Dispatch(serving::AttemptHeadReceived{flow, id, decoded});
}

void Gateway::OnBody(serving::AttemptId id, std::string_view bytes) {
  const auto entry = attempts_.find(id);
  if (entry == attempts_.end()) return;
  const ScopedActivity activity("handle response", entry->second.engine_id, entry->second.request_id, 0, bytes.size());
  traffic_.Count(TrafficKind::kResponse, entry->second.locality, bytes.size());
  if (entry->second.relays_events) {
    RelayEvents(id, entry->second, bytes);
  } else {
    entry->second.body += bytes;
  }
  // Relaying an event may have ended the attempt.
  const auto current = attempts_.find(id);
  if (current == attempts_.end() || !ExceedsLimit(current->second)) return;
  LogMalformedResponse(id, "body limit exceeded");
  FailAttempt(id, serving::AttemptFailure::kMalformed);
}

bool Gateway::ExceedsLimit(const ActiveAttempt& attempt) {
  if (attempt.relays_events) return attempt.events.rest_bytes() > kMaxEventBytes;
  if (attempt.mode == serving::AttemptMode::kPrefill) return attempt.body.size() > kMaxPrefillBytes;
  return attempt.body.size() > (attempt.head.status >= kFirstError ? kMaxErrorBytes : kMaxResponseBytes);
}

void Gateway::RelayEvents(serving::AttemptId id, ActiveAttempt& attempt, std::string_view bytes) {
  const std::string complete = attempt.events.Feed(bytes);
  const auto flow = flows_.find(attempt.flow);
  if (complete.empty() || flow == flows_.end()) return;
  flow->second.exchange->Write(complete);
  if (attempt.events.event_count() == 0) return;
  if (!flow->second.first_event_sent) {
    flow->second.first_event_sent = true;
    metrics_.ObserveFirstEvent(ToSeconds(Now() - flow->second.arrived));
  }
  Dispatch(serving::AttemptEventsReceived{attempt.flow, id, attempt.events.last_event_id(),
                                          attempt.events.last_event_has_id()});
}

void Gateway::OnComplete(serving::AttemptId id) {
  const auto entry = attempts_.find(id);
  if (entry == attempts_.end()) return;
  ActiveAttempt& attempt = entry->second;
  const ScopedActivity activity("end response", attempt.engine_id, attempt.request_id);
  if (attempt.relays_events) {
    if (const auto failure = FindTruncation(attempt.events)) return FailAttempt(id, *failure);
  }
  const auto flow = flows_.find(attempt.flow);
  const serving::ResponseProgress progress = ProgressOf(attempt);
  if (attempt.relaying && flow != flows_.end())
    flow->second.exchange->Write(attempt.relays_events ? attempt.events.TakeRest() : attempt.body);
  metrics_.CountAttempt(ModeName(attempt.mode), std::to_string(attempt.head.status));
  if (!attempt.peer.empty()) metrics_.CountForward(attempt.peer, std::to_string(attempt.head.status));
  serving::AttemptCompleted completed{attempt.flow, id, "", progress};
  if (attempt.mode == serving::AttemptMode::kPrefill) completed.handle = protocol_.DecodeKvHandle(attempt.body);
  Dispatch(completed);
  attempts_.erase(id);
}

void Gateway::LogMalformedResponse(serving::AttemptId id, std::string_view cause) {
  const auto entry = attempts_.find(id);
  if (entry == attempts_.end()) return;
  const ActiveAttempt& attempt = entry->second;
  Log(EventId::kResponseMalformed, attempt.request_id,
      fmt::format(R"("engine":"{}","peer":"{}","connection":{},"cause":"{}")", EscapeJson(attempt.engine_id),
                  EscapeJson(attempt.peer), attempt.connection, EscapeJson(cause)));
}

void Gateway::OnFailure(serving::AttemptId id, http::CallFailure failure) {
  FailAttempt(id, ToAttemptFailure(failure));
}

void Gateway::FailAttempt(serving::AttemptId id, serving::AttemptFailure failure) {
  const auto entry = attempts_.find(id);
  if (entry == attempts_.end()) return;
  const serving::FlowId flow = entry->second.flow;
  if (failure == serving::AttemptFailure::kUnidentified) metrics_.CountIdentification("failed");
  metrics_.CountAttempt(ModeName(entry->second.mode), LabelOf(failure));
  if (!entry->second.peer.empty()) metrics_.CountForward(entry->second.peer, LabelOf(failure));
  std::optional<serving::ResponseProgress> progress;
  if (entry->second.head_seen) progress = ProgressOf(entry->second);
  attempts_.erase(entry);
  Dispatch(serving::AttemptFailed{flow, id, failure, progress});
}

serving::ResponseProgress Gateway::ProgressOf(const ActiveAttempt& attempt) {
  return {attempt.framing, attempt.events.rest_bytes()};
}

}  // namespace saltquay::gateway
