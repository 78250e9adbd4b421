// Admission, routing, sending and ending of requests.
#include "src/core/dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace saltquay {
namespace {

// Share of a short prompt that counts as work for decode engines when no
// engine could be chosen: prompts up to this many tokens.
constexpr std::uint32_t kShortPromptTokens = 512;

std::uint64_t TokensOf(const RequestSpec& spec) {
  return static_cast<std::uint64_t>(spec.prompt_tokens) + spec.max_output_tokens;
}

}  // namespace

Dispatcher::Dispatcher(const Parameters& parameters, LoadTable& table, PrefixIndex& prefixes)
    : table_(table),
      prefixes_(prefixes),
      retry_budget_(parameters.retry_budget_ratio, parameters.retry_budget_minimum) {}

ActiveRequest* Dispatcher::Find(RequestHandle handle) {
  const auto entry = requests_.find(handle);
  return entry == requests_.end() ? nullptr : &entry->second;
}

std::optional<Dispatcher::Refusal> Dispatcher::Check(const NodeContext& context, const ServingState& state,
                                                     const RequestSpec& spec) const {
  const Duration retry_after = context.parameters().shed_retry_after;
  if (state.stopping || !state.ready || state.bundle == nullptr) {
    return Refusal{MakeError(ErrorKind::kNotReady, "this node does not serve now; use another node"), retry_after};
  }
  const Bundle& bundle = *state.bundle->bundle;
  const ModelDeclaration* model = bundle.FindModel(spec.model);
  if (model == nullptr) {
    return Refusal{MakeError(ErrorKind::kUnknownModel,
                             fmt::format("the bundle '{}' has no model '{}'; GET /v1/models lists those served",
                                         bundle.name, spec.model)),
                   std::nullopt};
  }
  if (!spec.request_class.empty() && bundle.FindClass(spec.request_class) == nullptr) {
    return Refusal{
        MakeError(ErrorKind::kInvalidRequest, fmt::format("the bundle '{}' has no class '{}'; use one that it declares",
                                                          bundle.name, spec.request_class)),
        std::nullopt};
  }
  if (spec.prompt_tokens > model->max_prompt_tokens || spec.max_output_tokens > model->max_output_tokens) {
    return Refusal{MakeError(ErrorKind::kInvalidRequest,
                             fmt::format("prompt of {} and output of {} tokens exceed the model's {} and {}; shorten",
                                         spec.prompt_tokens, spec.max_output_tokens, model->max_prompt_tokens,
                                         model->max_output_tokens)),
                   std::nullopt};
  }
  if (!spec.repeatable && spec.idempotency_key.empty()) {
    return Refusal{
        MakeError(ErrorKind::kInvalidRequest, "a request that is not repeatable needs an idempotency key; send one"),
        std::nullopt};
  }
  return std::nullopt;
}

std::optional<Dispatcher::Refusal> Dispatcher::AdmitTenant(const NodeContext& context, const ServingState& state,
                                                           const RequestSpec& spec) {
  const TenantLimit& limit = state.bundle->bundle->LimitOf(spec.tenant);
  const std::optional<Duration> wait = tenants_.Admit(context, limit, spec.tenant, TokensOf(spec), state.nodes_alive);
  if (!wait.has_value()) return std::nullopt;
  return Refusal{MakeError(ErrorKind::kTenantLimit, "the tenant's limit is used up; come back after retry_after"),
                 wait};
}

ActiveRequest Dispatcher::MakeRequest(NodeContext& context, const ServingState& state, const CallerRequest& event) {
  ActiveRequest request;
  request.handle = event.handle;
  request.spec = event.spec;
  request.bundle = state.bundle;
  const Bundle& bundle = *state.bundle->bundle;
  request.model = bundle.FindModel(event.spec.model);
  request.pool = bundle.FindPool(request.model->pool);
  request.request_class =
      event.spec.request_class.empty() ? &bundle.classes.front() : bundle.FindClass(event.spec.request_class);
  request.spec.priority = std::max(request.spec.priority, request.request_class->priority);
  request.arrived_at = context.now();
  const Duration allowed = event.spec.deadline.value_or(request.request_class->deadline);
  request.deadline_at = context.now() + allowed;
  const std::string minted = fmt::format("{:x}.{}", context.self().incarnation.boot.value, ++last_minted_key_);
  request.key = event.spec.repeatable ? minted : event.spec.tenant + "/" + event.spec.idempotency_key;
  return request;
}

RouteRequest Dispatcher::MakeRouteRequest(const ActiveRequest& request) const {
  RouteRequest route;
  route.pool = request.pool;
  if (request.pinned_version.has_value()) {
    route.versions = {*request.pinned_version};
  } else {
    route.versions = request.bundle->ServingVersions(*request.model);
  }
  route.prompt_tokens = request.spec.prompt_tokens + request.delivered;
  route.prompt_blocks = &request.spec.prompt_blocks;
  route.output_tokens = request.spec.max_output_tokens - request.delivered;
  route.allow_split = request.spec.repeatable;
  route.avoid = request.avoid;
  return route;
}

std::optional<Dispatcher::Refusal> Dispatcher::ShedReason(const NodeContext& context, const ActiveRequest& request,
                                                          const std::optional<Route>& route) const {
  if (!route.has_value()) {
    return Refusal{
        MakeError(ErrorKind::kNoEngine,
                  fmt::format("no engine serves model '{}' now; come back after retry_after", request.spec.model)),
        context.parameters().shed_retry_after};
  }
  const Duration limit = std::min(request.request_class->first_token, request.deadline_at - context.now());
  // Lower priorities are shed at a lower prediction, so that they give way.
  const bool urgent = request.spec.priority > 0;
  const double share = urgent ? 1.0 : context.parameters().shed_deadline_share;
  const Duration allowed = FromSeconds(ToSeconds(limit) * share);
  const Duration whole = route->first_token + route->between_tokens * request.spec.max_output_tokens;
  const bool too_late = route->first_token > allowed || whole > request.deadline_at - context.now();
  if (!too_late) return std::nullopt;
  const Duration retry_after = std::max(context.parameters().shed_retry_after, route->first_token - allowed);
  return Refusal{MakeError(ErrorKind::kOverloaded, "the engines are full; come back after retry_after"), retry_after};
}

void Dispatcher::NoteDemand(const ActiveRequest& request, const std::optional<Route>& route) {
  const std::uint32_t cached = route.has_value() ? route->cached_tokens : 0;
  const double uncached = request.spec.prompt_tokens - std::min(cached, request.spec.prompt_tokens);
  const bool short_prompt = request.spec.prompt_tokens <= kShortPromptTokens || !request.spec.repeatable;
  OfferedWork work;
  work.output_tokens = request.spec.max_output_tokens;
  (short_prompt ? work.whole_prefill_tokens : work.prefill_tokens) = uncached;
  demand_.Note(request.spec.model, work);
}

void Dispatcher::Refuse(NodeContext& context, const CallerRequest& request, const Refusal& refusal) {
  // An earlier submission of the same key may have run, and this node has not
  // asked the recorders: "not run" would not be proved.
  const bool provable =
      request.spec.repeatable || request.spec.first_submission || KindOf(refusal.status) != ErrorKind::kNotReady;
  const Outcome outcome = provable ? Outcome::kNotRun : Outcome::kUnknown;
  (provable ? counters_.not_run : counters_.unknown) += 1;
  context.Emit(FinishRequest{request.handle, outcome, refusal.status, refusal.retry_after, 0, 0});
}

void Dispatcher::OnRequest(NodeContext& context, const ServingState& state, const CallerRequest& event) {
  std::optional<Refusal> refusal = Check(context, state, event.spec);
  if (refusal.has_value()) return Refuse(context, event, *refusal);
  const bool once = !event.spec.repeatable && context.parameters().protections.at_most_once_records;
  refusal = AdmitTenant(context, state, event.spec);
  const bool tenant_admitted = !refusal.has_value();
  if (refusal.has_value() && !once) return Refuse(context, event, *refusal);
  ActiveRequest& request = requests_[event.handle];
  request = MakeRequest(context, state, event);
  request.tenant_admitted = tenant_admitted;
  const std::optional<Route> route = router_.Choose(context, table_, prefixes_, MakeRouteRequest(request));
  NoteDemand(request, route);
  if (!refusal.has_value()) refusal = ShedReason(context, request, route);
  if (once) {
    // The key is looked up even when it will be refused: it may run already.
    if (refusal.has_value()) {
      request.deferred_refusal = refusal->status;
      request.deferred_retry_after = refusal->retry_after;
    }
    request.route = route.value_or(Route{});
    return BeginClaim(context, state, request);
  }
  if (refusal.has_value()) return Finish(context, state, event.handle, Outcome::kNotRun, *refusal);
  Send(context, request, *route);
}

void Dispatcher::Send(NodeContext& context, ActiveRequest& request, const Route& route) {
  request.phase = RequestPhase::kRunning;
  request.route = route;
  if (route.mode != AttemptMode::kDecode) request.attempts += 1;
  const bool claimed = request.claim.number != 0;
  if (claimed) {
    request.attempt =
        AttemptOfClaim(RecordClaim{request.key, request.claim, {}, {}, request.attempt_number, false, {}});
  } else {
    request.attempt = AttemptId{request.key, ++request.attempt_number};
  }
  request.sent_at = context.now();
  request.progress_at = context.now();
  request.first_frame_seen = false;
  request.earlier_maybe_ran = request.maybe_ran;
  request.maybe_ran = true;
  attempts_[request.attempt] = request.handle;
  Attempt attempt;
  attempt.id = request.attempt;
  attempt.boot = route.boot;
  attempt.mode = route.mode;
  attempt.model_version = route.version;
  attempt.prompt = request.spec.prompt;
  attempt.prompt_tokens = request.spec.prompt_tokens;
  attempt.prompt_blocks = request.spec.prompt_blocks;
  attempt.prompt_hash = request.spec.prompt_hash;
  attempt.start_offset = request.delivered;
  attempt.max_output_tokens = request.spec.max_output_tokens;
  attempt.priority = request.spec.priority;
  if (request.kv.has_value()) {
    attempt.import_from = request.kv->engine;
    attempt.import_address = request.kv->address;
    attempt.import_attempt = request.kv->attempt;
  }
  const bool imports = route.mode == AttemptMode::kDecode;
  const std::uint32_t uncached = request.spec.prompt_tokens - std::min(route.cached_tokens, request.spec.prompt_tokens);
  table_.OnSent(context, route.engine, request.attempt, imports ? 0 : uncached, route.mode != AttemptMode::kPrefill);
  context.Emit(StartAttempt{route.engine, std::move(attempt)});
}

void Dispatcher::EndAttempt(NodeContext& context, ActiveRequest& request, bool cancel) {
  const auto entry = attempts_.find(request.attempt);
  if (entry == attempts_.end() || entry->second != request.handle) return;
  attempts_.erase(entry);
  table_.OnEnded(request.route.engine, request.attempt);
  if (cancel) context.Emit(CancelAttempt{request.route.engine, request.attempt});
}

void Dispatcher::Finish(NodeContext& context, const ServingState& state, RequestHandle handle, Outcome outcome,
                        const Refusal& refusal) {
  ActiveRequest* request = Find(handle);
  if (request == nullptr) return;
  EndAttempt(context, *request, request->spec.repeatable && outcome != Outcome::kCompleted);
  if (request->phase == RequestPhase::kClaiming) {
    claims_.Abandon(context, *state.view, request->claim);
    claiming_.erase(request->claim);
  }
  if (request->tenant_admitted) tenants_.Release(request->spec.tenant, TokensOf(request->spec));
  if (outcome == Outcome::kCompleted) counters_.completed += 1;
  if (outcome == Outcome::kNotRun) counters_.not_run += 1;
  if (outcome == Outcome::kUnknown) counters_.unknown += 1;
  if (outcome == Outcome::kUnknown) {
    context.Log(EventId::kRequestUnknown, fmt::format("key {}: {}", request->key, MessageOf(refusal.status)));
  }
  if (!request->caller_gone) {
    context.Emit(FinishRequest{handle, outcome, refusal.status, refusal.retry_after, request->delivered,
                               request->spec.prompt_tokens});
  }
  requests_.erase(handle);
}

void Dispatcher::Complete(NodeContext& context, const ServingState& state, ActiveRequest& request) {
  retry_budget_.NoteSuccess();
  if (request.claim.number != 0 || request.existing.id.number != 0) {
    KeepAnswer(context, request, Outcome::kCompleted);
    ReportClaim(context, state, request, Outcome::kCompleted);
  }
  Finish(context, state, request.handle, Outcome::kCompleted, Refusal{absl::OkStatus(), std::nullopt});
}

void Dispatcher::OnCallerGone(NodeContext& context, const ServingState& state, RequestHandle handle) {
  ActiveRequest* request = Find(handle);
  if (request == nullptr) return;
  request->caller_gone = true;
  // Work that must not run twice goes on: its caller may ask for the answer again.
  const bool sent_once = !request->spec.repeatable && request->phase != RequestPhase::kClaiming;
  if (sent_once) return;
  Finish(context, state, handle, request->maybe_ran ? Outcome::kUnknown : Outcome::kNotRun,
         Refusal{MakeError(ErrorKind::kDeadlineExceeded, "the caller went away"), std::nullopt});
}

void Dispatcher::AbandonAll(NodeContext& context, const ServingState& state) {
  while (!requests_.empty()) {
    Finish(context, state, requests_.begin()->first, Outcome::kUnknown,
           Refusal{MakeError(ErrorKind::kNotReady, "the node stops; use another node"), std::nullopt});
  }
}

}  // namespace saltquay
