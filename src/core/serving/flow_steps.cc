// The steps of a flow; see serving_core.h for the protocol.
#include <algorithm>

#include <fmt/format.h>

#include "src/base/log_stream.h"
#include "src/core/serving/serving_core.h"

namespace saltquay::serving {
namespace {

constexpr int kNoContent = 204;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kMisdirected = 421;
constexpr int kFirstError = 500;
constexpr int kFirstRedirect = 300;
constexpr int kTooManyRequests = 429;
constexpr int kRequestTimeout = 408;
// Other nodes are ready.
constexpr Duration kRetryAfterStop = 50ms;

std::string_view ModeName(AttemptMode mode) {
  if (mode == AttemptMode::kPrefill) return "prefill";
  if (mode == AttemptMode::kForward) return "forward";
  return mode == AttemptMode::kContinue ? "continue" : "whole";
}

bool SplitsPrompt(const Flow& flow, const ServingParameters& parameters) {
  return flow.language && flow.metadata.prompt->tokens > parameters.max_unsplit_prompt_tokens;
}

}  // namespace

// Starts the next attempt that the flow needs, or waits for an engine.
void ServingCore::Advance(Flow& flow) {
  constexpr std::string_view kStopping = "this node is stopping";
  if (MustRefuseElsewhere(flow)) return RefuseElsewhere(flow, dispatch_ended_ ? kStopping : "engines not reachable");
  if (dispatch_ended_ && !flow.relaying) {
    return flow.attempts.empty() ? Refuse(flow, kStopping, kRetryAfterStop) : ScheduleWakeUp(flow);
  }
  if (LacksSoftwareVersion(flow)) return OnSoftwareVersionGone(flow);
  if (CannotReachEngines(flow) && StartForward(flow)) return;
  const bool wants_prefill = SplitsPrompt(flow, parameters_) && !flow.kv_cache;
  if (wants_prefill && EnqueuePrefill(flow)) return;
  if (StartExecution(flow)) return;
  WaitOrRefuse(flow);
}

bool ServingCore::StartExecution(Flow& flow) {
  const AttemptMode mode = flow.kv_cache ? AttemptMode::kContinue : AttemptMode::kWhole;
  EngineState* engine = ChooseExecutionEngine(flow, mode);
  if (PrefersPeer(flow, engine) && StartForward(flow)) return true;
  if (engine == nullptr || engine->HasDoubtfulPath(now_)) return false;
  // Leave enough budget for the unsettled first prefills.
  const int unsettled_calls = flow.language ? PrefillStateOf(flow.service).unsettled_calls : 0;
  if (flow.arrivals > 0 && !retry_budget_share_.MayTake(flow.service, now_, unsettled_calls)) return false;
  std::optional<EngineAdmission> admission = gate_->Admit(*engine, now_);
  if (!admission) return false;
  const bool extra = flow.arrivals > 0;
  if (extra) ChargeRetryBudget(flow, ExtraArrival::kExecutionRetried);
  ++flow.arrivals;
  Start(flow, std::move(*admission), mode);
  flow.attempts.rbegin()->second.charged = extra;
  flow.kv_cache.reset();  // A handle can be used once.
  return true;
}

// Between two rounds of reports, all nodes see the same engine as the best one and would all send to it. To avoid that,
// the estimated work that they have started since is distributed over the engines at random.
void ServingCore::EstimateUnreportedWork(const std::string& service) {
  const auto meter = dispatch_rates_.find(service);
  if (!parameters_.estimates_unreported_work || meter == dispatch_rates_.end() || nodes_ <= 1)
    return selector_.set_unreported_work({});
  const double others = ToSeconds(peer_report_age_) * (nodes_ - 1);
  selector_.set_unreported_work(
      {others * meter->second.prompt_tokens.Get(now_), others * meter->second.executions.Get(now_)});
}

EngineState* ServingCore::ChooseExecutionEngine(Flow& flow, AttemptMode mode) {
  EstimateUnreportedWork(flow.service);
  const EngineFilter filter(flow.tried_engines, flow.software_version, MayBeResumed(flow, mode));
  if (flow.language) {
    const std::string& zone = mode == AttemptMode::kContinue ? flow.kv_cache_zone : std::string();
    EngineState* decode = selector_.ChooseDecodeEngine(engines_, flow.service, zone, filter, now_);
    if (decode != nullptr || mode == AttemptMode::kContinue) return decode;
    // Engines without stages do both prefill and decode.
    return selector_.ChoosePrefillEngine(engines_, flow.service, EngineStage::kUniform, *flow.metadata.prompt, filter,
                                         now_);
  }
  return selector_.ChooseUniformEngine(engines_, flow.service, filter, now_);
}

void ServingCore::Start(Flow& flow, EngineAdmission admission, AttemptMode mode) {
  EngineState& engine = admission.engine();
  flow.engine_wait_ends.reset();
  ++flow.attempt_count;
  if (mode != AttemptMode::kPrefill) ++flow.executions;
  Attempt attempt;
  attempt.id = ++last_attempt_;
  attempt.engine_id = engine.record.id;
  attempt.engine_key = engine.key;
  attempt.mode = mode;
  attempt.sent_at = now_;
  attempt.engine_was_idle = engine.outstanding + engine.peers_outstanding == 0;
  StartAttempt start;
  if (mode != AttemptMode::kContinue && flow.language) PlanPrefillWork(flow, engine, attempt, start);
  engines_.BeginWork(engine, attempt.prompt_tokens);
  start.flow = flow.id;
  start.attempt = attempt.id;
  start.engine_id = engine.record.id;
  start.address = engine.record.address;
  start.mode = mode;
  if (mode == AttemptMode::kContinue) start.kv_cache_source = attempt.kv_cache = flow.kv_cache;
  start.last_event_id = flow.last_event_id;
  start.time_left = flow.expires_at + parameters_.response_margin - now_;
  start.connect_timeout = ConnectTimeout(engine.record.zone);
  start.priority = flow.route.priority;
  start.tenant = flow.tenant;
  start.streams = flow.route.kind == RouteKind::kStreaming;
  start.on_new_connection = flow.response_missing;
  if (MayBeResumed(flow, mode)) start.process_started_ms = engine.ExpectedProcess(now_);
  attempt.origin = OriginAt(engine, now_);
  LogRouted(flow, engine, start, attempt.prompt_tokens);
  attempt.times_out_at = now_ + AttemptTimeout(attempt, engine);
  MeterDispatch(flow, attempt);
  flow.attempts[attempt.id] = attempt;
  actions_->push_back(std::move(start));
  ScheduleWakeUp(flow);
}

// A few times the usual time: a connection that is not accepted by then has carried nothing.
Duration ServingCore::ConnectTimeout(const std::string& zone) const {
  return parameters_.connect_timeout + parameters_.connect_round_trips * 2 * selector_.topology().LatencyTo(zone);
}

void ServingCore::MeterDispatch(Flow& flow, const Attempt& attempt) {
  // A prompt that overflows to a decode engine is still demand for prefill engines.
  const bool separate = attempt.mode == AttemptMode::kPrefill || SplitsPrompt(flow, parameters_);
  if (attempt.mode != AttemptMode::kContinue) MeterPrefillDemand(flow, attempt.prompt_tokens, separate);
  DispatchRates& meter = dispatch_rates_.try_emplace(flow.service, parameters_.demand_averaging_time).first->second;
  if (attempt.mode == AttemptMode::kPrefill) {
    meter.prompt_tokens.Add(static_cast<double>(attempt.prompt_tokens), now_);
  } else {
    meter.executions.Add(1, now_);
  }
}

// Whether engines of the service can copy KV cache from each other.
bool ServingCore::SupportsPrefixCopy(const Flow& flow) const {
  const Service* service = config_ ? config_->FindService(flow.service) : nullptr;
  return parameters_.copies_prefix_parts && service != nullptr && service->language && service->language->link_mbps > 0;
}

void ServingCore::PlanPrefillWork(const Flow& flow, EngineState& engine, Attempt& attempt, StartAttempt& start) {
  const PromptMetadata& prompt = *flow.metadata.prompt;
  attempt.prompt_tokens = selector_.TokensToPrefill(engine.key, prompt, now_);
  if (SupportsPrefixCopy(flow)) {
    const EngineState* source = selector_.FindCopySource(engines_, engine, prompt, now_);
    if (source != nullptr) {
      start.copy_from = source->record.address;
      attempt.prompt_tokens =
          std::min<std::int64_t>(attempt.prompt_tokens, selector_.TokensToPrefill(source->key, prompt, now_));
    }
  }
  // From now on other prompts are routed as if the parts were cached here; if this prefill is lost, they need another.
  selector_.RecordPrefill(engine.key, prompt, now_);
}

void ServingCore::LogRouted(const Flow& flow, const EngineState& engine, const StartAttempt& start,
                            std::int64_t tokens_to_prefill) {
  Log(EventId::kRequestRouted, &flow,
      fmt::format(
          R"("route":"{}","service":"{}","tenant":"{}","limit_home":"{}","cost":{},"version":{},"engine":"{}","software":"{}","resumes":"{}",)"
          R"("mode":"{}","try":{},"load":{:.1f},)"
          R"("load_age_ms":{},"backlog_tokens":{},"peers_tokens":{},"tokens_to_read":{},"read_rate":{:.0f},)"
          R"("window":{:.1f},"under_way":{},"waiting":{},)"
          R"("copy_from":"{}","engine_limit":{},"rest_ms":{},"left_ms":{},"started_ms":{},"record_age_ms":{})",
          flow.route.name, flow.service, flow.tenant, flow.limit_owner, flow.limit_cost, version(), engine.record.id,
          EscapeJson(engine.record.software_version), EscapeJson(flow.metadata.resumes), ModeName(start.mode),
          flow.attempt_count, selector_.EstimatedLoad(engine, now_),
          engine.has_reported_load ? (now_ - engine.load_reported_at).count() / 1000 : -1,
          engine.outstanding_prompt_tokens, engine.peers_prompt_tokens, tokens_to_prefill,
          selector_.median_prefill_rate(),
          prefill_states_.contains(flow.service) ? prefill_states_.at(flow.service).prefill_window.limit() : 0,
          prefill_states_.contains(flow.service) ? prefill_states_.at(flow.service).prefill_window.in_flight() : 0,
          prefill_states_.contains(flow.service) ? prefill_states_.at(flow.service).queue->size() : 0, start.copy_from,
          engine.rate_limit ? engine.rate_limit->requests_per_s : -1,
          std::max(Duration(0), engine.rests_until - now_).count() / 1000, start.time_left.count() / 1000,
          start.process_started_ms.value_or(0), (now_ - engine.record_changed_at).count() / 1000));
}

void ServingCore::FinishPrefill(Flow& flow, const Attempt& attempt, const std::string& handle) {
  EngineState* engine = engines_.Find(attempt.engine_id);
  const bool prefilled = attempt.response_head.status < kFirstRedirect && !handle.empty() && engine != nullptr;
  if (!prefilled) {
    flow.tried_engines.insert(attempt.engine_id);
    return Retry(flow, "prefill failed");
  }
  RecordPrefillDone(attempt);
  SettleFirstPrefill(flow, true);
  if (attempt.engine_was_idle) selector_.RecordPrefillTime(attempt.prompt_tokens, now_ - attempt.sent_at);
  if (flow.kv_cache) {  // A second prefill has completed as well.
    Release({attempt.engine_id, engine->record.address, handle});
    return;
  }
  flow.kv_cache = KvCacheSource{attempt.engine_id, engine->record.address, handle};
  flow.kv_cache_refused_by.clear();
  flow.kv_cache_zone = engine->record.zone;
  flow.prefilled_at = now_;
  Advance(flow);
}

void ServingCore::FinishExecution(Flow& flow, const Attempt& attempt) {
  const int status = attempt.response_head.status;
  if (status < kFirstError && attempt.response_head.signed_by_engine) RecordCompletion(flow, attempt);
  // By the HTML standard, 204 is the status of a stream that has nothing more to send.
  const bool ends_stream = flow.relaying && status == kNoContent && attempt.response_head.signed_by_engine;
  if (flow.relayed_attempt == attempt.id || ends_stream) {
    LogAnswered(flow, attempt);
    actions_->push_back(EndRelay{flow.id});
    return Erase(flow.id);
  }
  if (flow.relaying) return Retry(flow, "stream was not resumed");
  const bool failed = status >= kFirstError || (status < kFirstRedirect && !attempt.response_head.signed_by_engine);
  if (failed && MayExecuteAgain(flow) && retry_budget_share_.Remaining(flow.service, now_) >= 1) {
    const int executions = flow.executions;
    const FlowId id = flow.id;
    flow.tried_engines.insert(attempt.engine_id);
    Retry(flow, "engine returned an error");
    if (FindFlow(id) == nullptr || flow.executions > executions) return;
  }
  // These statuses promise the client that the request was not executed, which is not known here.
  const bool promises_not_executed =
      status == kUnavailable || status == kTooManyRequests || status == kRequestTimeout || status == kMisdirected;
  if (promises_not_executed || (status < kFirstRedirect && !attempt.response_head.signed_by_engine)) {
    return Fail(flow, kBadGateway, "engine response is not trustworthy");
  }
  CancelAttempts(flow, 0);
  LogAnswered(flow, attempt);
  actions_->push_back(RelayResponse{flow.id, attempt.id});
  Erase(flow.id);
}

void ServingCore::LogAnswered(const Flow& flow, const Attempt& attempt) {
  Log(EventId::kRequestAnswered, &flow,
      fmt::format(R"("status":{},"engine":"{}","took_ms":{},"tries":{}{}{})", attempt.response_head.status,
                  attempt.engine_id, (now_ - flow.arrived).count() / 1000, flow.attempt_count,
                  flow.relayed_attempt == attempt.id ? R"(,"stream":true)" : "", ProgressMembers(attempt)));
}

// The engine states that it did not execute the request.
void ServingCore::OnRefusal(Flow& flow, const Attempt& attempt) {
  flow.tried_engines.insert(attempt.engine_id);
  const bool misdirected = attempt.response_head.status == kMisdirected;
  if (!misdirected) flow.rejected_by.insert(attempt.engine_id);
  const std::optional<EngineLoad>& load = attempt.response_head.load;
  const EngineState* engine = engines_.Find(attempt.engine_id);
  const bool changing = engine != nullptr && now_ < std::max(engine->held_until, engine->changing_until);
  const bool full = changing || (load && load->running + load->waiting >= load->slots);
  if (misdirected) {
    LogEngineHealth(engines_.RecordWrongEngine(attempt.engine_id, now_));
  } else if (attempt.mode != AttemptMode::kContinue) {
    RecordRefusal(attempt, full);
  } else {
    // The engine that holds the KV cache may be the cause, so the refusal says nothing about this engine's health.
    engines_.RecordRejection(attempt.engine_id, now_);
  }
  if (attempt.mode == AttemptMode::kPrefill) {
    SettleFirstPrefill(flow, false);
  } else {
    --flow.executions;
  }
  if (attempt.kv_cache) OnKvHandoffRefused(flow, attempt, misdirected || full);
  Retry(flow, "refused by engine");
}

// An engine that rests gets no call at all; it drops the KV cache by itself after a while.
void ServingCore::Release(const KvCacheSource& source) {
  const EngineState* engine = engines_.Find(source.engine_id);
  if (engine == nullptr || now_ >= engine->rests_until) actions_->push_back(ReleaseKvCache{source});
}

// An engine that refuses a KV handoff is full or could not fetch the KV cache; its response does not always say which.
// Repeating prefill and handoff is charged to the retry budget as two arrivals, a handoff to another engine as one. The
// KV cache is therefore discarded only when a second engine refuses it as well.
void ServingCore::OnKvHandoffRefused(Flow& flow, const Attempt& attempt, bool still_held) {
  const bool first = flow.kv_cache_refused_by.empty();
  flow.kv_cache_refused_by.push_back(attempt.engine_id);
  if (still_held || first) {
    flow.kv_cache = attempt.kv_cache;
    return;
  }
  // The engines may accept another KV cache, so they may be tried again; they stay backed off for a while.
  for (const std::string& engine : flow.kv_cache_refused_by) flow.tried_engines.erase(engine);
  flow.kv_cache_refused_by.clear();
  Release(*attempt.kv_cache);
}

// An engine that refuses although it reports free slots counts as failing, unless it asks for rest; any other refusal
// is caused by load.
void ServingCore::RecordRefusal(const Attempt& attempt, bool full) {
  if (attempt.window != nullptr) attempt.window->record_rejection(now_, attempt.target);
  const EngineState* engine = engines_.Find(attempt.engine_id);
  const bool asks_for_rest = engine != nullptr && now_ < engine->rests_until;
  const bool has_free_slots = attempt.response_head.load && !full && !asks_for_rest;
  if (has_free_slots) {
    LogEngineHealth(engines_.RecordResponse(attempt.engine_id, true, now_));
  } else {
    engines_.RecordRejection(attempt.engine_id, now_);
  }
}

void ServingCore::UncountAttempt(Flow& flow, const Attempt& attempt) {
  if (attempt.charged) retry_budget_share_.RefundExtraArrival(flow.service, now_);
  if (attempt.kv_cache) flow.kv_cache = attempt.kv_cache;
  if (attempt.mode == AttemptMode::kPrefill) {
    --flow.prefills;
  } else {
    --flow.executions;
    --flow.arrivals;
  }
}

void ServingCore::OnAttemptLost(Flow& flow, const Attempt& attempt, AttemptFailure failure) {
  flow.tried_engines.insert(attempt.engine_id);
  flow.response_missing = true;
  if (!WasSent(failure)) {
    if (failure == AttemptFailure::kNotSent) ++flow.connect_failures;
    UncountAttempt(flow, attempt);
    return Retry(flow, "connection failed");
  }
  if (attempt.mode == AttemptMode::kPrefill) {
    // It cannot be known whether the engine accepted the prefill before the connection was lost.
    SettleFirstPrefill(flow, false);
    return Retry(flow, "connection lost during prefill");
  }
  if (!MayExecuteAgain(flow)) {
    if (flow.relaying) return AbortFlow(flow, "engine connection lost");
    if (!flow.attempts.empty()) return ScheduleWakeUp(flow);
    return Fail(flow, kBadGateway, "engine connection lost; request may have run");
  }
  Retry(flow, "engine connection lost");
}

void ServingCore::Retry(Flow& flow, std::string_view cause) {
  Log(EventId::kRequestRetried, &flow,
      fmt::format(R"("cause":"{}","tries":{},"allowance":{:.1f})", cause, flow.attempt_count,
                  retry_budget_share_.Remaining(flow.service, now_)));
  if (StopIfQuarantined(flow)) return;
  if (flow.attempt_count >= parameters_.max_attempts_per_flow) {
    if (!flow.attempts.empty()) return ScheduleWakeUp(flow);
    if (flow.relaying) return AbortFlow(flow, "too many attempts");
    return flow.executions > 0 ? Fail(flow, kBadGateway, "too many attempts") : Refuse(flow, "too many attempts");
  }
  Advance(flow);
}

bool ServingCore::MayExecuteAgain(const Flow& flow) const {
  return flow.route.repeatable() && flow.position_known && flow.executions < flow.route.max_attempts;
}

void ServingCore::CancelAttempts(Flow& flow, AttemptId except) {
  std::vector<AttemptId> others;
  for (const auto& [id, attempt] : flow.attempts) {
    if (id != except) others.push_back(id);
  }
  for (const AttemptId id : others) {
    actions_->push_back(CancelAttempt{id});
    EndAttempt(flow, id);
  }
}

void ServingCore::EndAttempt(Flow& flow, AttemptId id) {
  const auto entry = flow.attempts.find(id);
  if (entry == flow.attempts.end()) return;
  if (entry->second.mode == AttemptMode::kForward) forwarding_peers_.RecordEnd(entry->second.peer);
  MeterDecodeDemand(flow, entry->second);
  if (entry->second.unsettled_calls != nullptr) --*entry->second.unsettled_calls;
  if (entry->second.window != nullptr) {
    entry->second.window->record_completion();
    dispatch_pending_ = true;
  }
  EngineState* engine = engines_.Find(entry->second.engine_id);
  if (engine != nullptr && engine->key == entry->second.engine_key) {
    engines_.EndWork(*engine, entry->second.prompt_tokens);
  }
  flow.attempts.erase(entry);
}

}  // namespace saltquay::serving
