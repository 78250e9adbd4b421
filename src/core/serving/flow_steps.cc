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

bool SplitsPrompt(const Flow& flow, const ServingKnobs& knobs) {
  return flow.language && flow.facts.prompt->tokens > knobs.whole_prompt_tokens;
}

}  // namespace

// Starts the next attempt that the flow needs, or waits for an engine.
void ServingCore::Advance(Flow& flow) {
  const bool wants_prefill = SplitsPrompt(flow, knobs_) && !flow.memory;
  if (wants_prefill && QueueReading(flow)) return;
  if (StartRun(flow)) return;
  WaitOrRefuse(flow);
}

bool ServingCore::StartRun(Flow& flow) {
  const AttemptMode mode = flow.memory ? AttemptMode::kContinue : AttemptMode::kWhole;
  EngineState* engine = ChooseRunEngine(flow, mode);
  if (engine == nullptr) return false;
  // What first readings may still cost is not spent twice.
  const int at_risk = flow.language ? LineOf(flow.service).at_risk : 0;
  if (flow.arrivals > 0 && !allowance_.MayTake(flow.service, now_, at_risk)) return false;
  if (flow.arrivals > 0) ChargeExtra(flow, ExtraArrival::kRunRepeated);
  ++flow.arrivals;
  Start(flow, *engine, mode);
  flow.memory.reset();  // A handle serves once.
  return true;
}

// Between two reports of the others a good engine stays the best in all nodes' eyes: each of them would send
// there. What they probably have started since is added to each engine at random.
void ServingCore::GuessUnseen(const std::string& service) {
  const auto meter = starts_.find(service);
  if (!knobs_.guesses_unseen || meter == starts_.end() || nodes_ <= 1) return selector_.set_unseen({});
  const double others = ToSeconds(peers_told_age_) * (nodes_ - 1);
  selector_.set_unseen({others * meter->second.prompt_tokens.Get(now_), others * meter->second.runs.Get(now_)});
}

EngineState* ServingCore::ChooseRunEngine(Flow& flow, AttemptMode mode) {
  GuessUnseen(flow.service);
  if (flow.language) {
    const std::string& zone = mode == AttemptMode::kContinue ? flow.memory_zone : std::string();
    EngineState* decode = selector_.ChooseDecode(engines_, flow.service, zone, flow.tried, now_);
    if (decode != nullptr || mode == AttemptMode::kContinue) return decode;
    // Engines without stages read and answer alike.
    return selector_.ChooseReader(engines_, flow.service, EngineStage::kUniform, *flow.facts.prompt, flow.tried, now_);
  }
  return selector_.ChooseUniform(engines_, flow.service, flow.tried, now_);
}

void ServingCore::Start(Flow& flow, EngineState& engine, AttemptMode mode) {
  flow.waiting_until.reset();
  ++flow.tries;
  if (mode != AttemptMode::kPrefill) ++flow.runs;
  Attempt attempt;
  attempt.id = ++last_attempt_;
  attempt.engine_id = engine.record.id;
  attempt.engine_key = engine.key;
  attempt.mode = mode;
  attempt.sent_at = now_;
  attempt.alone_at_start = engine.outstanding + engine.peers_outstanding == 0;
  StartAttempt start;
  if (mode != AttemptMode::kContinue && flow.language) PlanReading(flow, engine, attempt, start);
  ++engine.outstanding;
  engine.outstanding_prompt_tokens += attempt.prompt_tokens;
  const double connect_seconds = ToSeconds(flow.route.objective) * knobs_.connect_share;
  start.flow = flow.id;
  start.attempt = attempt.id;
  start.engine_id = engine.record.id;
  start.address = engine.record.address;
  start.mode = mode;
  if (mode == AttemptMode::kContinue) start.memory = attempt.memory = flow.memory;
  start.last_event_id = flow.last_event_id;
  start.time_left = flow.ends + knobs_.answer_margin - now_;
  start.connect_timeout = std::clamp(FromSeconds(connect_seconds), knobs_.shortest_connect, knobs_.longest_connect);
  start.priority = flow.route.priority;
  start.tenant = flow.tenant;
  start.streams = flow.route.kind == RouteKind::kStreaming;
  start.on_new_connection = flow.unanswered;
  LogRouted(flow, engine, start, attempt.prompt_tokens);
  attempt.patience_ends = now_ + PatienceFor(attempt, engine);
  MeterStart(flow, attempt);
  flow.attempts[attempt.id] = attempt;
  actions_->push_back(std::move(start));
  Arm(flow);
}

void ServingCore::MeterStart(Flow& flow, const Attempt& attempt) {
  // A prompt that overflows to an engine that answers still asks for one that reads.
  const bool apart = attempt.mode == AttemptMode::kPrefill || SplitsPrompt(flow, knobs_);
  if (attempt.mode != AttemptMode::kContinue) MeterReading(flow, attempt.prompt_tokens, apart);
  StartMeter& meter = starts_.try_emplace(flow.service, knobs_.demand_memory).first->second;
  if (attempt.mode == AttemptMode::kPrefill) {
    meter.prompt_tokens.Add(static_cast<double>(attempt.prompt_tokens), now_);
  } else {
    meter.runs.Add(1, now_);
  }
}

// Engines of the service can copy memory from each other.
bool ServingCore::CopiesParts(const Flow& flow) const {
  const Service* service = config_ ? config_->FindService(flow.service) : nullptr;
  return knobs_.copies_parts && service != nullptr && service->language && service->language->link_mbps > 0;
}

void ServingCore::PlanReading(const Flow& flow, EngineState& engine, Attempt& attempt, StartAttempt& start) {
  const PromptFacts& prompt = *flow.facts.prompt;
  attempt.prompt_tokens = selector_.TokensToRead(engine.key, prompt, now_);
  if (CopiesParts(flow)) {
    const EngineState* source = selector_.FindCopySource(engines_, engine, prompt, now_);
    if (source != nullptr) {
      start.copy_from = source->record.address;
      attempt.prompt_tokens =
          std::min<std::int64_t>(attempt.prompt_tokens, selector_.TokensToRead(source->key, prompt, now_));
    }
  }
  // From now on others may count on it; a reading that is lost costs them one more.
  selector_.NotePrompt(engine.key, prompt, now_);
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
          flow.route.name, flow.service, flow.tenant, flow.limit_home, flow.limited_cost, version(), engine.record.id,
          ModeName(start.mode), flow.tries, selector_.EstimatedLoad(engine, now_),
          engine.ever_told ? (now_ - engine.told_at).count() / 1000 : -1, engine.outstanding_prompt_tokens,
          engine.peers_prompt_tokens, tokens_to_read, selector_.read_rate(),
          lines_.contains(flow.service) ? lines_.at(flow.service).readers.limit() : 0,
          lines_.contains(flow.service) ? lines_.at(flow.service).readers.under_way() : 0,
          lines_.contains(flow.service) ? lines_.at(flow.service).order->size() : 0, start.copy_from,
          start.time_left.count() / 1000));
}

void ServingCore::WaitOrRefuse(Flow& flow) {
  if (!flow.attempts.empty()) return Arm(flow);  // Another attempt is still under way.
  if (flow.relaying) return BreakOffFlow(flow, "no engine to go on with");
  const Duration share = FromSeconds(ToSeconds(flow.route.objective) * knobs_.wait_share);
  if (!flow.waiting_until) flow.waiting_until = now_ + std::min(share, knobs_.longest_wait);
  if (now_ >= *flow.waiting_until) return Refuse(flow, "no engine can take it");
  Arm(flow);
}

void ServingCore::FinishPrefill(Flow& flow, const Attempt& attempt, const std::string& handle) {
  EngineState* engine = engines_.Find(attempt.engine_id);
  const bool read = attempt.answer.status < kFirstRedirect && !handle.empty() && engine != nullptr;
  if (!read) {
    flow.tried.insert(attempt.engine_id);
    return Retry(flow, "prompt not read");
  }
  NoteRead(attempt);
  SettleFirstReading(flow, true);
  if (attempt.alone_at_start) selector_.NotePrefillTime(attempt.prompt_tokens, now_ - attempt.sent_at);
  if (flow.memory) {  // A second prefill also came to its end.
    actions_->push_back(ReleaseMemory{{attempt.engine_id, engine->record.address, handle}});
    return;
  }
  flow.memory = MemorySource{attempt.engine_id, engine->record.address, handle};
  flow.memory_refused_by.clear();
  flow.memory_zone = engine->record.zone;
  flow.read_at = now_;
  Advance(flow);
}

void ServingCore::FinishRun(Flow& flow, const Attempt& attempt) {
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
  if (failed && MayRunAgain(flow) && allowance_.Left(flow.service, now_) >= 1) {
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
  actions_->push_back(RelayAnswer{flow.id, attempt.id});
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
    LogStanding(engines_.NoteMisdirected(attempt.engine_id, now_));
  } else if (attempt.mode != AttemptMode::kContinue) {
    NoteRefusal(attempt, full);
  } else {
    // It may be the fault of the engine that keeps the memory, so it says nothing of health.
    engines_.NoteFull(attempt.engine_id, now_);
  }
  if (attempt.mode == AttemptMode::kPrefill) {
    SettleFirstReading(flow, false);
  } else {
    --flow.runs;
  }
  if (attempt.memory) OnHandOverRefused(flow, attempt, elsewhere || full);
  Retry(flow, "refused by the engine");
}

// An engine that refuses a hand-over is full, or could not fetch the memory; its answer does not always tell which.
// To read the prompt again and to hand it over again are two arrivals of the retry budget, to hand it over elsewhere is
// one: the memory is given up only when another engine refuses it too.
void ServingCore::OnHandOverRefused(Flow& flow, const Attempt& attempt, bool surely_kept) {
  const bool first = flow.memory_refused_by.empty();
  flow.memory_refused_by.push_back(attempt.engine_id);
  if (surely_kept || first) {
    flow.memory = attempt.memory;
    return;
  }
  // The engines may be as good as any for other memory; they are left alone for a while all the same.
  for (const std::string& engine : flow.memory_refused_by) flow.tried.erase(engine);
  flow.memory_refused_by.clear();
  actions_->push_back(ReleaseMemory{*attempt.memory});
}

// An engine that refuses although it says that it has room is not well; any
// other refusal is a matter of load.
void ServingCore::NoteRefusal(const Attempt& attempt, bool full) {
  if (attempt.window != nullptr) attempt.window->note_refused(now_, attempt.target);
  const bool has_room = attempt.answer.load && !full;
  if (has_room) {
    LogStanding(engines_.NoteAnswer(attempt.engine_id, true, now_));
  } else {
    engines_.NoteFull(attempt.engine_id, now_);
  }
}

void ServingCore::OnLost(Flow& flow, const Attempt& attempt, AttemptFailure failure) {
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
    SettleFirstReading(flow, false);
    return Retry(flow, "prefill lost");
  }
  if (!MayRunAgain(flow)) {
    if (flow.relaying) return BreakOffFlow(flow, "the engine broke off");
    if (!flow.attempts.empty()) return Arm(flow);
    return Fail(flow, kBadGateway, "the engine broke off; it may have run");
  }
  Retry(flow, "the engine broke off");
}

void ServingCore::Retry(Flow& flow, std::string_view cause) {
  Log(EventId::kRequestRetried, &flow,
      fmt::format(R"("cause":"{}","tries":{},"allowance":{:.1f})", cause, flow.tries,
                  allowance_.Left(flow.service, now_)));
  if (flow.tries >= knobs_.most_tries) {
    if (!flow.attempts.empty()) return Arm(flow);
    if (flow.relaying) return BreakOffFlow(flow, "too many tries");
    return flow.runs > 0 ? Fail(flow, kBadGateway, "too many tries") : Refuse(flow, "too many tries");
  }
  Advance(flow);
}

bool ServingCore::MayRunAgain(const Flow& flow) const {
  return flow.route.repeatable() && flow.runs < flow.route.max_attempts;
}

void ServingCore::Refuse(Flow& flow, std::string_view cause) { Refuse(flow, cause, knobs_.retry_after); }

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
  actions_->push_back(AnswerOwn{flow.id, status, retry_after});
  Erase(flow.id);
}

void ServingCore::Fail(Flow& flow, int status, std::string_view cause) {
  CancelAttempts(flow, 0);
  Log(EventId::kRequestFailed, &flow,
      fmt::format(R"("status":{},"cause":"{}","held_ms":{},"tries":{},"version":{})", status, cause,
                  (now_ - flow.arrived).count() / 1000, flow.tries, version()));
  actions_->push_back(AnswerOwn{flow.id, status, std::nullopt});
  Erase(flow.id);
}

void ServingCore::BreakOffFlow(Flow& flow, std::string_view cause) {
  CancelAttempts(flow, 0);
  Log(EventId::kRequestBrokenOff, &flow,
      fmt::format(R"("cause":"{}","held_ms":{},"tries":{},"last_event":"{}")", cause,
                  (now_ - flow.arrived).count() / 1000, flow.tries, flow.last_event_id));
  actions_->push_back(BreakOff{flow.id});
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
  MeterEnd(flow, entry->second);
  if (entry->second.at_risk != nullptr) --*entry->second.at_risk;
  if (entry->second.window != nullptr) {
    entry->second.window->note_over();
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
