// The steps of one request's flow; see serving_core.h for the protocol.
#include <algorithm>

#include <fmt/format.h>

#include "src/core/serving/serving_core.h"

namespace saltquay::serving {
namespace {

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kMisdirected = 421;
constexpr int kFirstError = 500;
constexpr int kFirstRedirect = 300;
constexpr int kTooManyRequests = 429;
constexpr int kRequestTimeout = 408;

std::string_view ModeName(AttemptMode mode) {
  if (mode == AttemptMode::kPrefill) return "prefill";
  return mode == AttemptMode::kContinue ? "continue" : "whole";
}

bool SplitsPrompt(const Flow& flow, const ServingParameters& parameters) {
  return flow.language && flow.facts.prompt->tokens > parameters.max_unsplit_prompt_tokens;
}

}  // namespace

// Starts the next attempt that the flow needs, or waits for an engine.
void ServingCore::Advance(Flow& flow) {
  const bool wants_prefill = SplitsPrompt(flow, parameters_) && !flow.memory;
  if (wants_prefill && EnqueuePrefill(flow)) return;
  if (StartExecution(flow)) return;
  WaitOrRefuse(flow);
}

bool ServingCore::StartExecution(Flow& flow) {
  const AttemptMode mode = flow.memory ? AttemptMode::kContinue : AttemptMode::kWhole;
  EngineState* engine = ChooseExecutionEngine(flow, mode);
  if (engine == nullptr) return false;
  // What first readings may still cost is not spent twice.
  const int unsettled_calls = flow.language ? PrefillStateOf(flow.service).unsettled_calls : 0;
  if (flow.arrivals > 0 && !retry_budget_share_.MayTake(flow.service, now_, unsettled_calls)) return false;
  if (flow.arrivals > 0) ChargeRetryBudget(flow, ExtraArrival::kExecutionRetried);
  ++flow.arrivals;
  Start(flow, *engine, mode);
  flow.memory.reset();  // A handle serves once.
  return true;
}

// Between two reports of the others a good engine stays the best in all nodes' eyes: each of them would send
// there. What they probably have started since is added to each engine at random.
void ServingCore::EstimateUnreportedWork(const std::string& service) {
  const auto meter = starts_.find(service);
  if (!parameters_.estimates_unreported_work || meter == starts_.end() || nodes_ <= 1)
    return selector_.set_unreported_work({});
  const double others = ToSeconds(peer_report_age_) * (nodes_ - 1);
  selector_.set_unreported_work(
      {others * meter->second.prompt_tokens.Get(now_), others * meter->second.runs.Get(now_)});
}

EngineState* ServingCore::ChooseExecutionEngine(Flow& flow, AttemptMode mode) {
  EstimateUnreportedWork(flow.service);
  if (flow.language) {
    const std::string& zone = mode == AttemptMode::kContinue ? flow.kv_cache_zone : std::string();
    EngineState* decode = selector_.ChooseDecodeEngine(engines_, flow.service, zone, flow.tried, now_);
    if (decode != nullptr || mode == AttemptMode::kContinue) return decode;
    // Engines without stages read and answer alike.
    return selector_.ChoosePrefillEngine(engines_, flow.service, EngineStage::kUniform, *flow.facts.prompt, flow.tried,
                                         now_);
  }
  return selector_.ChooseUniformEngine(engines_, flow.service, flow.tried, now_);
}

void ServingCore::Start(Flow& flow, EngineState& engine, AttemptMode mode) {
  flow.engine_wait_ends.reset();
  ++flow.tries;
  if (mode != AttemptMode::kPrefill) ++flow.runs;
  Attempt attempt;
  attempt.id = ++last_attempt_;
  attempt.engine_id = engine.record.id;
  attempt.engine_key = engine.key;
  attempt.mode = mode;
  attempt.sent_at = now_;
  attempt.engine_was_idle = engine.outstanding + engine.peers_outstanding == 0;
  StartAttempt start;
  if (mode != AttemptMode::kContinue && flow.language) PlanPrefillWork(flow, engine, attempt, start);
  ++engine.outstanding;
  engine.outstanding_prompt_tokens += attempt.prompt_tokens;
  const double connect_seconds = ToSeconds(flow.route.objective) * parameters_.connect_share;
  start.flow = flow.id;
  start.attempt = attempt.id;
  start.engine_id = engine.record.id;
  start.address = engine.record.address;
  start.mode = mode;
  if (mode == AttemptMode::kContinue) start.memory = attempt.memory = flow.memory;
  start.last_event_id = flow.last_event_id;
  start.time_left = flow.ends + parameters_.response_margin - now_;
  start.connect_timeout =
      std::clamp(FromSeconds(connect_seconds), parameters_.min_connect_timeout, parameters_.max_connect_timeout);
  start.priority = flow.route.priority;
  start.tenant = flow.tenant;
  start.streams = flow.route.kind == RouteKind::kStreaming;
  start.on_new_connection = flow.unanswered;
  LogRouted(flow, engine, start, attempt.prompt_tokens);
  attempt.times_out_at = now_ + AttemptTimeout(attempt, engine);
  MeterDispatch(flow, attempt);
  flow.attempts[attempt.id] = attempt;
  actions_->push_back(std::move(start));
  ScheduleWakeUp(flow);
}

void ServingCore::MeterDispatch(Flow& flow, const Attempt& attempt) {
  // A prompt that allows_overflow to an engine that answers still asks for one that reads.
  const bool apart = attempt.mode == AttemptMode::kPrefill || SplitsPrompt(flow, parameters_);
  if (attempt.mode != AttemptMode::kContinue) MeterPrefillDemand(flow, attempt.prompt_tokens, apart);
  DispatchRates& meter = starts_.try_emplace(flow.service, parameters_.demand_averaging_time).first->second;
  if (attempt.mode == AttemptMode::kPrefill) {
    meter.prompt_tokens.Add(static_cast<double>(attempt.prompt_tokens), now_);
  } else {
    meter.runs.Add(1, now_);
  }
}

// Engines of the service can copy memory from each other.
bool ServingCore::SupportsPrefixCopy(const Flow& flow) const {
  const Service* service = config_ ? config_->FindService(flow.service) : nullptr;
  return parameters_.copies_prefix_parts && service != nullptr && service->language && service->language->link_mbps > 0;
}

void ServingCore::PlanPrefillWork(const Flow& flow, EngineState& engine, Attempt& attempt, StartAttempt& start) {
  const PromptMetadata& prompt = *flow.facts.prompt;
  attempt.prompt_tokens = selector_.TokensToPrefill(engine.key, prompt, now_);
  if (SupportsPrefixCopy(flow)) {
    const EngineState* source = selector_.FindCopySource(engines_, engine, prompt, now_);
    if (source != nullptr) {
      start.copy_from = source->record.address;
      attempt.prompt_tokens =
          std::min<std::int64_t>(attempt.prompt_tokens, selector_.TokensToPrefill(source->key, prompt, now_));
    }
  }
  // From now on others may count on it; a reading that is lost costs them one more.
  selector_.RecordPrefill(engine.key, prompt, now_);
}

void ServingCore::LogRouted(const Flow& flow, const EngineState& engine, const StartAttempt& start,
                            std::int64_t tokens_to_read) {
  Log(EventId::kRequestRouted, &flow,
      fmt::format(
          R"("route":"{}","service":"{}","tenant":"{}","limit_home":"{}","cost":{},"version":{},"engine":"{}","mode":"{}",)"
          R"("try":{},"load":{:.1f},)"
          R"("load_age_ms":{},"backlog_tokens":{},"peers_tokens":{},"tokens_to_read":{},"read_rate":{:.0f},)"
          R"("window":{:.1f},"under_way":{},"waiting":{},)"
          R"("copy_from":"{}","left_ms":{})",
          flow.route.name, flow.service, flow.tenant, flow.limit_home, flow.limit_cost, version(), engine.record.id,
          ModeName(start.mode), flow.tries, selector_.EstimatedLoad(engine, now_),
          engine.has_reported_load ? (now_ - engine.load_reported_at).count() / 1000 : -1,
          engine.outstanding_prompt_tokens, engine.peers_prompt_tokens, tokens_to_read, selector_.read_rate(),
          lines_.contains(flow.service) ? lines_.at(flow.service).readers.limit() : 0,
          lines_.contains(flow.service) ? lines_.at(flow.service).readers.under_way() : 0,
          lines_.contains(flow.service) ? lines_.at(flow.service).order->size() : 0, start.copy_from,
          start.time_left.count() / 1000));
}

void ServingCore::WaitOrRefuse(Flow& flow) {
  if (!flow.attempts.empty()) return ScheduleWakeUp(flow);  // Another attempt is still under way.
  if (flow.relaying) return AbortFlow(flow, "no engine to go on with");
  const Duration share = FromSeconds(ToSeconds(flow.route.objective) * parameters_.engine_wait_share);
  if (!flow.engine_wait_ends) flow.engine_wait_ends = now_ + std::min(share, parameters_.longest_wait);
  if (now_ >= *flow.engine_wait_ends) return Refuse(flow, "no engine can take it");
  ScheduleWakeUp(flow);
}

void ServingCore::FinishPrefill(Flow& flow, const Attempt& attempt, const std::string& handle) {
  EngineState* engine = engines_.Find(attempt.engine_id);
  const bool read = attempt.answer.status < kFirstRedirect && !handle.empty() && engine != nullptr;
  if (!read) {
    flow.tried.insert(attempt.engine_id);
    return Retry(flow, "prompt not read");
  }
  RecordPrefillDone(attempt);
  SettleFirstPrefill(flow, true);
  if (attempt.engine_was_idle) selector_.RecordPrefillTime(attempt.prompt_tokens, now_ - attempt.sent_at);
  if (flow.memory) {  // A second prefill also came to its end.
    actions_->push_back(ReleaseKvCache{{attempt.engine_id, engine->record.address, handle}});
    return;
  }
  flow.memory = KvCacheSource{attempt.engine_id, engine->record.address, handle};
  flow.kv_cache_refused_by.clear();
  flow.kv_cache_zone = engine->record.zone;
  flow.read_at = now_;
  Advance(flow);
}

void ServingCore::FinishExecution(Flow& flow, const Attempt& attempt) {
  const int status = attempt.answer.status;
  if (status < kFirstError && attempt.answer.signed_by_engine) NoteServed(flow);
  if (flow.relayed_attempt == attempt.id) {
    Log(EventId::kRequestAnswered, &flow,
        fmt::format(R"("status":{},"engine":"{}","took_ms":{},"tries":{},"stream":true)", status, attempt.engine_id,
                    (now_ - flow.arrived).count() / 1000, flow.tries));
    actions_->push_back(EndRelay{flow.id});
    return Erase(flow.id);
  }
  if (flow.relaying) return Retry(flow, "the stream was not taken up");
  const bool failed = status >= kFirstError || (status < kFirstRedirect && !attempt.answer.signed_by_engine);
  if (failed && MayExecuteAgain(flow) && retry_budget_share_.Left(flow.service, now_) >= 1) {
    const int runs = flow.runs;
    const FlowId id = flow.id;
    flow.tried.insert(attempt.engine_id);
    Retry(flow, "the engine failed");
    if (FindFlow(id) == nullptr || flow.runs > runs) return;
  }
  // A promise that nothing ran is not ours to pass on once it may have.
  const bool false_promise =
      status == kUnavailable || status == kTooManyRequests || status == kRequestTimeout || status == kMisdirected;
  if (false_promise || (status < kFirstRedirect && !attempt.answer.signed_by_engine)) {
    return Fail(flow, kBadGateway, "the engine's answer proves nothing");
  }
  CancelAttempts(flow, 0);
  Log(EventId::kRequestAnswered, &flow,
      fmt::format(R"("status":{},"engine":"{}","took_ms":{},"tries":{})", status, attempt.engine_id,
                  (now_ - flow.arrived).count() / 1000, flow.tries));
  actions_->push_back(RelayResponse{flow.id, attempt.id});
  Erase(flow.id);
}

// The engine says that it did not run the request.
void ServingCore::OnRefusal(Flow& flow, const Attempt& attempt) {
  flow.tried.insert(attempt.engine_id);
  const bool elsewhere = attempt.answer.status == kMisdirected;
  const std::optional<EngineLoad>& load = attempt.answer.load;
  const EngineState* engine = engines_.Find(attempt.engine_id);
  const bool changing = engine != nullptr && now_ < std::max(engine->held_until, engine->changing_until);
  const bool full = changing || (load && load->running + load->waiting >= load->slots);
  if (elsewhere) {
    LogEngineStanding(engines_.RecordWrongEngine(attempt.engine_id, now_));
  } else if (attempt.mode != AttemptMode::kContinue) {
    NoteRefusal(attempt, full);
  } else {
    // It may be the fault of the engine that keeps the memory, so it says nothing of health.
    engines_.RecordRejection(attempt.engine_id, now_);
  }
  if (attempt.mode == AttemptMode::kPrefill) {
    SettleFirstPrefill(flow, false);
  } else {
    --flow.runs;
  }
  if (attempt.memory) OnKvHandoffRefused(flow, attempt, elsewhere || full);
  Retry(flow, "refused by the engine");
}

// An engine that refuses a hand-over is full, or could not fetch the memory; its answer does not always tell which.
// To read the prompt again and to hand it over again are two arrivals of the retry budget, to hand it over elsewhere is
// one: the memory is given up only when another engine refuses it too.
void ServingCore::OnKvHandoffRefused(Flow& flow, const Attempt& attempt, bool still_held) {
  const bool first = flow.kv_cache_refused_by.empty();
  flow.kv_cache_refused_by.push_back(attempt.engine_id);
  if (still_held || first) {
    flow.memory = attempt.memory;
    return;
  }
  // The engines may be as good as any for other memory; they are left alone for a while all the same.
  for (const std::string& engine : flow.kv_cache_refused_by) flow.tried.erase(engine);
  flow.kv_cache_refused_by.clear();
  actions_->push_back(ReleaseKvCache{*attempt.memory});
}

// An engine that refuses although it says that it has room is not well; any
// other refusal is a matter of load.
void ServingCore::NoteRefusal(const Attempt& attempt, bool full) {
  if (attempt.window != nullptr) attempt.window->record_rejection(now_, attempt.target);
  const bool has_room = attempt.answer.load && !full;
  if (has_room) {
    LogEngineStanding(engines_.RecordResponse(attempt.engine_id, true, now_));
  } else {
    engines_.RecordRejection(attempt.engine_id, now_);
  }
}

void ServingCore::OnAttemptLost(Flow& flow, const Attempt& attempt, AttemptFailure failure) {
  flow.tried.insert(attempt.engine_id);
  flow.unanswered = true;
  const bool arrived = failure != AttemptFailure::kNotSent;
  if (!arrived) {
    if (attempt.memory) flow.memory = attempt.memory;
    if (attempt.mode == AttemptMode::kPrefill) --flow.prefills;
    if (attempt.mode != AttemptMode::kPrefill) {
      --flow.runs;
      --flow.arrivals;
    }
    return Retry(flow, "no connection");
  }
  if (attempt.mode == AttemptMode::kPrefill) {
    // Whether the engine took it up before its connection broke cannot be known.
    SettleFirstPrefill(flow, false);
    return Retry(flow, "prefill lost");
  }
  if (!MayExecuteAgain(flow)) {
    if (flow.relaying) return AbortFlow(flow, "the engine broke off");
    if (!flow.attempts.empty()) return ScheduleWakeUp(flow);
    return Fail(flow, kBadGateway, "the engine broke off; it may have run");
  }
  Retry(flow, "the engine broke off");
}

void ServingCore::Retry(Flow& flow, std::string_view cause) {
  Log(EventId::kRequestRetried, &flow,
      fmt::format(R"("cause":"{}","tries":{},"allowance":{:.1f})", cause, flow.tries,
                  retry_budget_share_.Left(flow.service, now_)));
  if (flow.tries >= parameters_.max_tries) {
    if (!flow.attempts.empty()) return ScheduleWakeUp(flow);
    if (flow.relaying) return AbortFlow(flow, "too many tries");
    return flow.runs > 0 ? Fail(flow, kBadGateway, "too many tries") : Refuse(flow, "too many tries");
  }
  Advance(flow);
}

bool ServingCore::MayExecuteAgain(const Flow& flow) const {
  return flow.route.repeatable() && flow.runs < flow.route.max_attempts;
}

void ServingCore::Refuse(Flow& flow, std::string_view cause) { Refuse(flow, cause, parameters_.retry_after); }

void ServingCore::Refuse(Flow& flow, std::string_view cause, Duration retry_after) {
  Refuse(flow, kUnavailable, cause, retry_after, "");
}

void ServingCore::Refuse(Flow& flow, int status, std::string_view cause, Duration retry_after,
                         std::string_view members) {
  CancelAttempts(flow, 0);
  Log(EventId::kRequestRefused, &flow,
      fmt::format(R"("status":{},"cause":"{}","held_ms":{},"tries":{},"version":{},"retry_after_ms":{}{})", status,
                  cause, (now_ - flow.arrived).count() / 1000, flow.tries, version(), retry_after.count() / 1000,
                  members));
  actions_->push_back(SendLocalReply{flow.id, status, retry_after});
  Erase(flow.id);
}

void ServingCore::Fail(Flow& flow, int status, std::string_view cause) {
  CancelAttempts(flow, 0);
  Log(EventId::kRequestFailed, &flow,
      fmt::format(R"("status":{},"cause":"{}","held_ms":{},"tries":{},"version":{})", status, cause,
                  (now_ - flow.arrived).count() / 1000, flow.tries, version()));
  actions_->push_back(SendLocalReply{flow.id, status, std::nullopt});
  Erase(flow.id);
}

void ServingCore::AbortFlow(Flow& flow, std::string_view cause) {
  CancelAttempts(flow, 0);
  Log(EventId::kRequestBrokenOff, &flow,
      fmt::format(R"("cause":"{}","held_ms":{},"tries":{},"last_event":"{}")", cause,
                  (now_ - flow.arrived).count() / 1000, flow.tries, flow.last_event_id));
  actions_->push_back(AbortResponse{flow.id});
  Erase(flow.id);
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
  MeterDecodeDemand(flow, entry->second);
  if (entry->second.unsettled_calls != nullptr) --*entry->second.unsettled_calls;
  if (entry->second.window != nullptr) {
    entry->second.window->record_completion();
    dispatch_wanted_ = true;
  }
  EngineState* engine = engines_.Find(entry->second.engine_id);
  if (engine != nullptr && engine->key == entry->second.engine_key) {
    --engine->outstanding;
    engine->outstanding_prompt_tokens -= entry->second.prompt_tokens;
  }
  flow.attempts.erase(entry);
}

}  // namespace saltquay::serving
