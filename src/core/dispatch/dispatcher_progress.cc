// Frames, failures and time of requests in flight.
#include <algorithm>

#include <fmt/format.h>

#include "src/core/dispatch/dispatcher.h"

namespace saltquay {
namespace {

// How long a broken stream of non-repeatable work is sought at its engine.
constexpr Duration kResumeLimit = 4s;
// A first frame may take this many times its prediction before it is late.
constexpr int kFirstFrameSlack = 3;

}  // namespace

ActiveRequest* Dispatcher::MatchFrame(NodeContext& context, const EngineFrameReceived& event) {
  const EngineFrame& frame = event.frame;
  if (!context.parameters().protections.frame_matching) {
    for (auto& [handle, request] : requests_) {
      if (request.phase == RequestPhase::kRunning && request.route.engine == event.engine) return &request;
    }
    return nullptr;
  }
  const auto entry = attempts_.find(frame.attempt);
  ActiveRequest* request = entry == attempts_.end() ? nullptr : Find(entry->second);
  const bool matches = request != nullptr && request->route.engine == event.engine &&
                       request->route.boot == frame.boot && frame.offset == request->delivered;
  if (matches) return request;
  counters_.frames_dropped += 1;
  // A gap means that a frame was lost; the engine still has the tokens.
  const bool gap = request != nullptr && request->route.boot == frame.boot && frame.offset > request->delivered &&
                   request->phase == RequestPhase::kRunning;
  if (gap) BeginResume(context, *request);
  return nullptr;
}

void Dispatcher::NoteFirstFrame(const EngineFrame& frame, ActiveRequest& request) {
  if (request.first_frame_seen) return;
  request.first_frame_seen = true;
  table_.OnFirstToken(request.route.engine, request.attempt);
  if (request.route.mode == AttemptMode::kDecode) return;
  counters_.prompt_tokens += request.spec.prompt_tokens;
  counters_.cached_prompt_tokens += frame.cached_tokens;
  prefixes_.Correct(request.route.engine, request.spec.prompt_blocks, frame.cached_tokens);
  prefixes_.NoteServed(request.route.engine, request.spec.prompt_blocks);
}

void Dispatcher::OnFrame(NodeContext& context, const ServingState& state, const EngineFrameReceived& event) {
  ActiveRequest* request = MatchFrame(context, event);
  if (request != nullptr) TakeFrame(context, state, *request, event.frame);
}

void Dispatcher::TakeFrame(NodeContext& context, const ServingState& state, ActiveRequest& request,
                           const EngineFrame& frame) {
  request.phase = RequestPhase::kRunning;
  request.progress_at = context.now();
  NoteFirstFrame(frame, request);
  if (frame.token_count > 0) {
    request.delivered += frame.token_count;
    request.pinned_version = request.route.version;
    if (!request.spec.repeatable) request.answer += frame.text;
    if (!request.caller_gone) context.Emit(DeliverTokens{request.handle, frame.token_count, frame.text});
  }
  if (frame.finish == FinishReason::kNone) return;
  table_.NoteSuccess(context, request.route.engine);
  if (frame.finish == FinishReason::kPrefillDone) return ContinueWithDecode(context, state, request);
  const bool whole = frame.finish == FinishReason::kLength &&
                     (frame.total_tokens == request.delivered || !context.parameters().protections.frame_matching);
  if (whole) return Complete(context, state, request);
  OnBroken(context, state, request);
}

void Dispatcher::ContinueWithDecode(NodeContext& context, const ServingState& state, ActiveRequest& request) {
  const EngineEntry* source = table_.Find(request.route.engine);
  if (source == nullptr) return Retry(context, state, request, "its prefill engine is gone");
  request.kv = KvLocation{request.route.engine, source->machine.address, source->machine.zone, request.attempt};
  RouteRequest wanted = MakeRouteRequest(request);
  wanted.decode_in_zone = source->machine.zone;
  const std::optional<Route> route = router_.Choose(context, table_, prefixes_, wanted);
  EndAttempt(context, request, false);
  if (!route.has_value()) return Retry(context, state, request, "no decode engine in the prefill engine's zone");
  Send(context, request, *route);
}

void Dispatcher::Retry(NodeContext& context, const ServingState& state, ActiveRequest& request, const char* cause) {
  EndAttempt(context, request, true);
  request.kv.reset();
  const Outcome given_up = request.maybe_ran ? Outcome::kUnknown : Outcome::kNotRun;
  const Duration retry_after = context.parameters().shed_retry_after;
  const bool spent = request.attempts >= static_cast<std::uint32_t>(context.parameters().max_attempts);
  if (spent || !retry_budget_.TryTake()) {
    return Finish(context, state, request.handle, given_up,
                  Refusal{MakeError(ErrorKind::kNoEngine, fmt::format("{}, and no retry is left; come back after "
                                                                      "retry_after",
                                                                      cause)),
                          retry_after});
  }
  std::optional<Route> route = router_.Choose(context, table_, prefixes_, MakeRouteRequest(request));
  if (!route.has_value() && !request.avoid.empty()) {
    request.avoid.clear();
    route = router_.Choose(context, table_, prefixes_, MakeRouteRequest(request));
  }
  if (!route.has_value()) {
    return Finish(
        context, state, request.handle, given_up,
        Refusal{MakeError(ErrorKind::kNoEngine, "no other engine is left; come back after retry_after"), retry_after});
  }
  counters_.retries += 1;
  context.Log(EventId::kRequestRetried, fmt::format("key {} from engine {} to {}: {}", request.key,
                                                    request.route.engine.value, route->engine.value, cause));
  Send(context, request, *route);
}

void Dispatcher::BeginResume(NodeContext& context, ActiveRequest& request) {
  if (request.phase != RequestPhase::kResuming) request.resume_started_at = context.now();
  request.phase = RequestPhase::kResuming;
  request.next_step_at = context.now() + context.parameters().resume_interval;
  context.Emit(ResumeAttempt{request.route.engine, request.route.boot, request.attempt, request.delivered});
}

void Dispatcher::OnBroken(NodeContext& context, const ServingState& state, ActiveRequest& request) {
  if (!request.spec.repeatable) {
    if (!context.parameters().protections.outcome_proof) {
      return Finish(context, state, request.handle, Outcome::kNotRun,
                    Refusal{MakeError(ErrorKind::kNoEngine, "the stream broke; try again"), std::nullopt});
    }
    if (request.phase != RequestPhase::kResuming) BeginResume(context, request);
    return;
  }
  table_.RecordFailure(context, request.route.engine);
  request.avoid.insert(request.route.engine);
  Retry(context, state, request, "its engine broke off");
}

void Dispatcher::OnAttemptFailed(NodeContext& context, const ServingState& state, const AttemptFailed& event) {
  const auto entry = attempts_.find(event.attempt);
  ActiveRequest* request = entry == attempts_.end() ? nullptr : Find(entry->second);
  if (request == nullptr || request->route.engine != event.engine) return;
  if (event.failure == AttemptFailure::kBroken) return OnBroken(context, state, *request);
  if (event.failure == AttemptFailure::kNotSent) table_.RecordFailure(context, event.engine);
  request->avoid.insert(event.engine);
  const bool once = !request->spec.repeatable && context.parameters().protections.at_most_once_records;
  if (once) return OnOnceFailed(context, state, *request, event.failure);
  const bool proved = event.failure != AttemptFailure::kOtherBoot;
  if (proved) request->maybe_ran = request->earlier_maybe_ran;
  Retry(context, state, *request, "its engine did not take it");
}

bool Dispatcher::IsStalled(const NodeContext& context, const ActiveRequest& request) const {
  const Duration waited = context.now() - request.progress_at;
  const Duration expected = request.first_frame_seen ? request.route.between_tokens : request.route.first_token;
  return waited > std::max(context.parameters().stall_timeout, expected * kFirstFrameSlack);
}

void Dispatcher::CheckTime(NodeContext& context, const ServingState& state, ActiveRequest& request) {
  if (context.now() >= request.deadline_at) {
    // Without the recorders' word an earlier submission of the key may have run.
    const bool alone = request.spec.repeatable || (request.spec.first_submission && request.replaces.number == 0);
    const bool proved = !request.maybe_ran && request.phase != RequestPhase::kJoining && alone;
    const bool honest = context.parameters().protections.outcome_proof;
    return Finish(context, state, request.handle, proved || !honest ? Outcome::kNotRun : Outcome::kUnknown,
                  Refusal{MakeError(ErrorKind::kDeadlineExceeded, "the deadline passed; allow more time"),
                          context.parameters().shed_retry_after});
  }
  switch (request.phase) {
    case RequestPhase::kClaiming:
      return;
    case RequestPhase::kJoining:
      if (context.now() >= request.next_step_at) ContinueJoin(context, state, request);
      return;
    case RequestPhase::kRunning:
      if (IsStalled(context, request)) OnBroken(context, state, request);
      return;
    case RequestPhase::kResuming:
      if (context.now() - request.resume_started_at >= kResumeLimit) {
        if (request.spec.repeatable) return OnBroken(context, state, request);
        return OnOnceFailed(context, state, request, AttemptFailure::kOtherBoot);
      }
      if (context.now() >= request.next_step_at) BeginResume(context, request);
      return;
  }
}

void Dispatcher::OnTick(NodeContext& context, const ServingState& state) {
  tenants_.OnTick(context);
  demand_.OnTick(context);
  for (const ClaimResult& result : claims_.OnTick(context, *state.view)) OnClaimResult(context, state, result);
  std::vector<RequestHandle> handles;
  handles.reserve(requests_.size());
  for (const auto& [handle, request] : requests_) handles.push_back(handle);
  for (const RequestHandle handle : handles) {
    ActiveRequest* request = Find(handle);
    if (request != nullptr) CheckTime(context, state, *request);
  }
  std::erase_if(answers_, [&](const auto& entry) {
    return context.now() - entry.second.finished_at >= context.parameters().record_window;
  });
}

}  // namespace saltquay
