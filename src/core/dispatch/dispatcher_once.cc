// Non-repeatable work: claims, joins and what follows a failed attempt.
#include <algorithm>

#include <fmt/format.h>

#include "src/core/dispatch/dispatcher.h"

namespace saltquay {
namespace {

constexpr Duration kJoinInterval = 200ms;
// A claim's owner that is silent this long is passed by; its engine is asked.
constexpr Duration kJoinOwnerTimeout = 800ms;

}  // namespace

AttemptId AttemptOfClaim(const RecordClaim& claim) {
  return AttemptId{fmt::format("{}#{:x}.{}", claim.key, claim.id.owner.boot.value, claim.id.number),
                   claim.attempt_number};
}

void Dispatcher::BeginClaim(NodeContext& context, const ServingState& state, ActiveRequest& request) {
  request.phase = RequestPhase::kClaiming;
  request.attempt_number += 1;
  RecordClaim claim;
  claim.key = request.key;
  claim.engine = request.route.engine;
  claim.engine_boot = request.route.boot;
  claim.attempt_number = request.attempt_number;
  request.claim = claims_.Start(context, *state.view, claim, request.replaces);
  claiming_[request.claim] = request.handle;
}

void Dispatcher::OnClaimReply(NodeContext& context, const ServingState& state, const NodeIncarnation& sender,
                              const ClaimReply& reply) {
  const std::optional<ClaimResult> result = claims_.OnReply(context, sender, reply);
  if (result.has_value()) OnClaimResult(context, state, *result);
}

void Dispatcher::OnClaimResult(NodeContext& context, const ServingState& state, const ClaimResult& result) {
  const auto entry = claiming_.find(result.id);
  ActiveRequest* request = entry == claiming_.end() ? nullptr : Find(entry->second);
  if (request == nullptr) return;
  claiming_.erase(entry);
  if (result.kind == ClaimResult::Kind::kGranted) {
    if (request->deferred_refusal.ok()) return Send(context, *request, request->route);
    claims_.Release(context, *state.view, request->key, request->claim);
    return Finish(context, state, request->handle, Outcome::kNotRun,
                  Refusal{request->deferred_refusal, request->deferred_retry_after});
  }
  claims_.Release(context, *state.view, request->key, request->claim);
  request->claim = ClaimId{};
  if (result.kind == ClaimResult::Kind::kExists) return BeginJoin(context, state, *request, result.existing);
  // Nothing of this submission was sent. Whether the key ran before, only the
  // recorders know, or a caller that submits it for the first time.
  const bool never_sent = request->spec.first_submission && request->replaces.number == 0;
  Finish(context, state, request->handle, never_sent ? Outcome::kNotRun : Outcome::kUnknown,
         Refusal{MakeError(ErrorKind::kNotReady,
                           "the at-most-once records do not answer; nothing was sent; send again with the same "
                           "idempotency key after retry_after"),
                 context.parameters().shed_retry_after});
}

void Dispatcher::BeginJoin(NodeContext& context, const ServingState& state, ActiveRequest& request,
                           const RecordClaim& existing) {
  request.phase = RequestPhase::kJoining;
  request.existing = existing;
  request.join_number = ++last_join_;
  request.join_started_at = context.now();
  ContinueJoin(context, state, request);
}

void Dispatcher::ContinueJoin(NodeContext& context, const ServingState& state, ActiveRequest& request) {
  request.next_step_at = context.now() + kJoinInterval;
  const bool owner_silent = context.now() - request.join_started_at >= kJoinOwnerTimeout;
  if (!owner_silent) {
    context.SendTo(request.existing.id.owner, JoinRequest{request.key, request.join_number});
    return;
  }
  // A claim that names no engine was made only to refuse the key.
  if (request.existing.engine == EngineId{}) {
    return OnOnceFailed(context, state, request, AttemptFailure::kNeverSeen);
  }
  // The engine run that the claim names is the only one that may have run it.
  request.route.engine = request.existing.engine;
  request.route.boot = request.existing.engine_boot;
  request.route.mode = AttemptMode::kWhole;
  request.attempt = AttemptOfClaim(request.existing);
  request.maybe_ran = true;
  attempts_[request.attempt] = request.handle;
  BeginResume(context, request);
}

void Dispatcher::OnJoinRequest(NodeContext& context, const NodeIncarnation& sender, const JoinRequest& request) {
  JoinReply reply;
  reply.join_number = request.join_number;
  const auto answer = answers_.find(request.key);
  if (answer != answers_.end()) {
    reply.known = true;
    reply.finished = true;
    reply.outcome = answer->second.outcome;
    reply.text = answer->second.text;
    reply.token_count = answer->second.token_count;
  } else {
    reply.known = std::any_of(requests_.begin(), requests_.end(), [&](const auto& entry) {
      return entry.second.key == request.key && entry.second.claim.number != 0;
    });
  }
  context.SendTo(sender, reply);
}

void Dispatcher::OnJoinReply(NodeContext& context, const ServingState& state, const JoinReply& reply) {
  ActiveRequest* request = nullptr;
  for (auto& [handle, candidate] : requests_) {
    const bool waits = candidate.phase == RequestPhase::kJoining && candidate.join_number == reply.join_number;
    if (waits) request = &candidate;
  }
  if (request == nullptr) return;
  if (!reply.known) {
    // Not proof that nothing was sent: the owner may have forgotten. Its engine knows.
    request->join_started_at = context.now() - kJoinOwnerTimeout;
    return;
  }
  request->join_started_at = context.now();
  if (!reply.finished) return;
  if (reply.outcome == Outcome::kCompleted) {
    request->delivered = reply.token_count;
    if (!request->caller_gone) context.Emit(DeliverTokens{request->handle, reply.token_count, reply.text});
    return Finish(context, state, request->handle, Outcome::kCompleted, Refusal{absl::OkStatus(), std::nullopt});
  }
  Finish(context, state, request->handle, Outcome::kUnknown,
         Refusal{MakeError(ErrorKind::kOutcomeUnknown, "an earlier submission of this key ended with outcome unknown"),
                 std::nullopt});
}

void Dispatcher::OnOnceFailed(NodeContext& context, const ServingState& state, ActiveRequest& request,
                              AttemptFailure failure) {
  EndAttempt(context, request, false);
  if (failure == AttemptFailure::kOtherBoot) {
    KeepAnswer(context, request, Outcome::kUnknown);
    ReportClaim(context, state, request, Outcome::kUnknown);
    return Finish(context, state, request.handle, Outcome::kUnknown,
                  Refusal{MakeError(ErrorKind::kOutcomeUnknown,
                                    "the engine that had it is gone; settle it by your own records before you issue "
                                    "it again"),
                          std::nullopt});
  }
  // The attempt was not started and never will be; that claim is spent.
  request.maybe_ran = false;
  const bool joined = request.existing.id.number != 0;
  request.replaces = joined ? request.existing.id : request.claim;
  request.attempt_number = std::max(request.attempt_number, request.existing.attempt_number);
  ReportClaim(context, state, request, Outcome::kNotRun);
  request.existing = RecordClaim{};
  request.claim = ClaimId{};
  const std::optional<Route> route = router_.Choose(context, table_, prefixes_, MakeRouteRequest(request));
  std::optional<Refusal> refusal = ShedReason(context, request, route);
  const bool spent = request.attempt_number >= static_cast<std::uint32_t>(context.parameters().max_attempts);
  if (!refusal.has_value() && (spent || !retry_budget_.TryTake())) {
    refusal = Refusal{MakeError(ErrorKind::kNoEngine, "no engine took it; come back after retry_after"),
                      context.parameters().shed_retry_after};
  }
  // Even to refuse it the key is claimed again: only that proves that no other
  // submission has run it in the meantime.
  if (refusal.has_value()) {
    request.deferred_refusal = refusal->status;
    request.deferred_retry_after = refusal->retry_after;
  } else {
    counters_.retries += 1;
  }
  request.route = route.value_or(Route{});
  BeginClaim(context, state, request);
}

void Dispatcher::ReportClaim(NodeContext& context, const ServingState& state, const ActiveRequest& request,
                             Outcome outcome) {
  RecordClaim claim;
  claim.key = request.key;
  claim.id = request.existing.id.number != 0 ? request.existing.id : request.claim;
  claim.engine = request.route.engine;
  claim.engine_boot = request.route.boot;
  claim.attempt_number = request.attempt.number;
  claim.finished = true;
  claim.outcome = outcome;
  claims_.ReportOutcome(context, *state.view, claim);
}

void Dispatcher::KeepAnswer(const NodeContext& context, const ActiveRequest& request, Outcome outcome) {
  FinishedAnswer& answer = answers_[request.key];
  answer = FinishedAnswer{outcome, request.answer, request.delivered, context.now()};
}

}  // namespace saltquay
