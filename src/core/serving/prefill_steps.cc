// Prefill queues: which prompt is dispatched next, and to which engine.
#include <algorithm>

#include <fmt/format.h>

#include "src/core/serving/serving_core.h"

namespace saltquay::serving {
namespace {

constexpr double kMillisecond = 0.001;
constexpr double kInMilliseconds = 1000;

double ObjectiveMs(const Flow& flow) { return ToSeconds(flow.route.objective) * kInMilliseconds; }

}  // namespace

PrefillState& ServingCore::PrefillStateOf(const std::string& service) {
  return prefill_states_.try_emplace(service, parameters_).first->second;
}

// The value of a request relative to others of its route; grows with its size.
double ServingCore::ValueOf(const Flow& flow) {
  constexpr double kBase = 0.3;
  constexpr double kMax = 4;
  constexpr double kOutputWeight = 10;
  constexpr double kStep = 0.02;
  const double size = flow.metadata.prompt->tokens + kOutputWeight * flow.metadata.prompt->output_tokens;
  RouteStatistics& sizes = route_statistics_[flow.route.name];
  sizes.mean_size += sizes.mean_size == 0 ? size : kStep * (size - sizes.mean_size);
  return std::min(kMax, kBase + (1 - kBase) * size / std::max(1.0, sizes.mean_size));
}

admission::QueuedPrompt ServingCore::DescribePrompt(const Flow& flow, const PrefillState& state) {
  admission::QueuedPrompt prompt;
  prompt.id = flow.id;
  prompt.arrived = flow.arrived;
  prompt.ends = flow.expires_at;
  prompt.route_priority = flow.route.priority;
  prompt.prompt_value = flow.value;
  prompt.prefill_cost_ms = std::max(1.0, selector_.MinPrefillMs(engines_, flow.service, *flow.metadata.prompt, now_));
  const double decode_start =
      state.decode_start_ms > 0 ? state.decode_start_ms : parameters_.initial_decode_start_share * ObjectiveMs(flow);
  const double mean_ms = ToSeconds(state.prefill_window.mean_latency()) * kInMilliseconds;
  // Until prefill times are measured, the estimate of this prompt's cost must not make it count as late.
  const double prefill_time_ms =
      selector_.prefill_time_model().learned() ? std::max(prompt.prefill_cost_ms, mean_ms) : mean_ms;
  const double ahead = prefill_time_ms + decode_start;
  prompt.prefill_deadline = flow.arrived + flow.route.objective - FromSeconds(ahead * kMillisecond);
  return prompt;
}

Duration ServingCore::QueueWait(const Flow& flow) const {
  return FromSeconds(ToSeconds(flow.route.objective) * parameters_.wait_deadline_share);
}

bool ServingCore::PrefillOpensInTime(const Flow& flow) {
  const std::optional<Time> opens_at =
      selector_.OpensAt(engines_, flow.service, EngineStage::kPrefill, flow.tried_engines, now_);
  if (!opens_at || *opens_at > now_ + QueueWait(flow)) return false;
  // Without an engine to decode at, the prefill would be in vain.
  const std::optional<Time> decode_opens_at = ExecutionOpensAt(flow);
  return !decode_opens_at || *decode_opens_at <= now_ + QueueWait(flow);
}

// Returns false if the prompt cannot be prefilled separately.
bool ServingCore::EnqueuePrefill(Flow& flow) {
  if (parameters_.prefill_order == admission::QueuePolicy::None) return StartPrefill(flow);
  if (flow.prefills > 0 && retry_budget_share_.Remaining(flow.service, now_) < 1) return false;
  if (!PrefillOpensInTime(flow)) return false;
  PrefillState& state = PrefillStateOf(flow.service);
  if (flow.value == 0) flow.value = ValueOf(flow);
  state.queue->add(DescribePrompt(flow, state));
  state.wait_deadlines.emplace(now_ + QueueWait(flow), flow.id);
  flow.queued = true;
  flow.engine_wait_ends.reset();
  dispatch_pending_ = true;
  ScheduleWakeUp(flow);
  return true;
}

void ServingCore::Dequeue(Flow& flow) {
  if (!flow.queued) return;
  flow.queued = flow.committed = false;
  PrefillStateOf(flow.service).queue->remove(flow.id);
}

void ServingCore::DispatchAllPrefills() {
  dispatch_pending_ = false;
  next_dispatch_.reset();
  for (auto& [service, state] : prefill_states_) {
    if (state.queue->size() == 0) {
      state.wait_deadlines.clear();
      continue;
    }
    SizeWindows(service, state);
    DispatchPrefills(state);
    if (state.queue->size() == 0) continue;
    Time next = now_ + parameters_.dispatch_interval;
    if (!state.wait_deadlines.empty()) next = std::min(next, state.wait_deadlines.begin()->first);
    next_dispatch_ = next_dispatch_ ? std::min(*next_dispatch_, next) : next;
  }
  dispatch_pending_ = false;
}

void ServingCore::DispatchPrefills(PrefillState& state) {
  bool started = true;
  while (started) {
    started = false;
    for (const admission::PrefillCandidate& next : state.queue->next(now_, parameters_.dispatch_depth)) {
      Flow* flow = FindFlow(next.id);
      if (flow == nullptr) {
        state.queue->remove(next.id);
        continue;
      }
      if (!DispatchPrefill(*flow, next.lane)) continue;
      Dequeue(*flow);
      started = true;
      break;
    }
  }
  ResolveExpiredWaits(state);
}

// This node's share of the engines is its share of the fleet's prefill demand.
void ServingCore::SizeWindows(const std::string& service, PrefillState& state) {
  const auto meter = demand_.find(service);
  const double local = meter == demand_.end() ? 0 : meter->second.prefill.Get(now_);
  const double all = local + state.peer_demand;
  const double share = all > 0 ? local / all : 1.0 / nodes_;
  const EngineCount prefill_engines = selector_.CountEngines(engines_, service, EngineStage::kPrefill, now_);
  state.prefill_window.set_capacity(prefill_engines.engines, share, prefill_engines.peers_outstanding);
  const EngineCount decode_engines = selector_.CountEngines(engines_, service, EngineStage::kDecode, now_);
  state.decode_window.set_capacity(decode_engines.engines, share, decode_engines.peers_outstanding);
}

bool ServingCore::DispatchPrefill(Flow& flow, admission::Lane lane) {
  const double share = lane == admission::Lane::Late ? parameters_.late_window_share : 1.0;
  PrefillState& state = PrefillStateOf(flow.service);
  if (state.prefill_window.has_room(share) && StartPrefill(flow)) {
    OccupyWindow(flow, state.prefill_window);
  } else if (parameters_.allows_overflow && state.decode_window.has_room(share) && StartOverflowPrefill(flow)) {
    OccupyWindow(flow, state.decode_window);
  } else {
    return false;
  }
  return true;
}

bool ServingCore::StartPrefill(Flow& flow) {
  const bool extra = flow.prefills > 0;
  int& unsettled_calls = PrefillStateOf(flow.service).unsettled_calls;
  // A first prefill is charged to the retry budget only if it is refused.
  const bool allowed = extra ? retry_budget_share_.Remaining(flow.service, now_) >= 1
                             : retry_budget_share_.MayStartUnsettled(flow.service, now_, unsettled_calls);
  if (!allowed) return false;
  EstimateUnreportedWork(flow.service);
  EngineState* engine = selector_.ChoosePrefillEngine(engines_, flow.service, EngineStage::kPrefill,
                                                      *flow.metadata.prompt, flow.tried_engines, now_);
  if (engine == nullptr || engine->HasDoubtfulPath(now_)) return false;
  std::optional<EngineAdmission> admission = gate_->Admit(*engine, now_);
  if (!admission) return false;
  if (extra) ChargeRetryBudget(flow, ExtraArrival::kPrefillRetried);
  ++flow.prefills;
  Start(flow, std::move(*admission), AttemptMode::kPrefill);
  flow.attempts.rbegin()->second.charged = extra;
  if (!extra) {
    flow.attempts.rbegin()->second.unsettled_calls = &unsettled_calls;
    ++unsettled_calls;
  }
  return true;
}

// The flow's newest attempt occupies a slot of the window.
void ServingCore::OccupyWindow(Flow& flow, admission::ConcurrencyWindow& window) {
  Attempt& attempt = flow.attempts.rbegin()->second;
  attempt.window = &window;
  attempt.target = PrefillTarget(flow, attempt);
  window.record_dispatch();
}

Duration ServingCore::PrefillTarget(const Flow& flow, const Attempt& attempt) const {
  const double share_ms = parameters_.prefill_target_share * ObjectiveMs(flow);
  const double factor = parameters_.prefill_target_factor * (attempt.mode == AttemptMode::kPrefill ? 1 : 2);
  return FromSeconds(kMillisecond *
                     std::max(share_ms, factor * selector_.prefill_time_model().predict_ms(attempt.prompt_tokens)));
}

void ServingCore::RecordPrefillDone(const Attempt& attempt) {
  if (attempt.window != nullptr) attempt.window->record_latency(now_, now_ - attempt.sent_at, attempt.target);
}

// Prefills the prompt at a decode engine, which takes twice as long.
bool ServingCore::StartOverflowPrefill(Flow& flow) {
  if (flow.arrivals > 0 && retry_budget_share_.Remaining(flow.service, now_) < 1) return false;
  const EngineFilter filter(flow.tried_engines, flow.software_version, MayBeResumed(flow, AttemptMode::kWhole));
  EngineState* engine =
      selector_.ChoosePrefillEngine(engines_, flow.service, EngineStage::kDecode, *flow.metadata.prompt, filter, now_);
  if (engine == nullptr || engine->IsOutOfService(now_)) return false;
  if (selector_.EstimatedLoad(*engine, now_) > parameters_.overflow_max_utilization * engine->record.slots)
    return false;
  constexpr double kDecodePrefillSlowdown = 2;
  const int tokens = UnsharedTokens(*flow.metadata.prompt);  // The shared parts are cached there or copied.
  const double prefill_ms = kDecodePrefillSlowdown * selector_.prefill_time_model().predict_ms(tokens);
  if (prefill_ms > parameters_.overflow_prefill_share * ObjectiveMs(flow)) return false;
  std::optional<EngineAdmission> admission = gate_->Admit(*engine, now_);
  if (!admission) return false;
  const bool extra = flow.arrivals > 0;
  if (extra) ChargeRetryBudget(flow, ExtraArrival::kExecutionRetried);
  ++flow.arrivals;
  Start(flow, std::move(*admission), AttemptMode::kWhole);
  flow.attempts.rbegin()->second.charged = extra;
  return true;
}

// A prompt whose wait has expired is committed if it can still be prefilled in time after all prompts committed before
// it. Otherwise it is refused while its client still has time for a retry.
void ServingCore::ResolveExpiredWaits(PrefillState& state) {
  while (!state.wait_deadlines.empty() && state.wait_deadlines.begin()->first <= now_) {
    Flow* flow = FindFlow(state.wait_deadlines.begin()->second);
    state.wait_deadlines.erase(state.wait_deadlines.begin());
    if (flow == nullptr || !flow->queued || !parameters_.sheds_load) continue;
    if (flow->executions > 0 || flow->relaying) continue;  // A refusal would wrongly promise that it was not executed.
    if (!PrefillOpensInTime(*flow)) {
      Dequeue(*flow);
      if (!StartExecution(*flow)) WaitOrRefuse(*flow);
      continue;
    }
    // A committed prompt is only checked again because the engines may close to it.
    if (flow->committed) {
      state.wait_deadlines.emplace(now_ + QueueWait(*flow), flow->id);
      continue;
    }
    const Duration wait = state.prefill_window.mean_slot_interval() * static_cast<int>(state.queue->committed() + 1);
    // Without measurements there is no estimate to base a commitment on.
    const bool measured = state.prefill_window.mean_latency() > 0s;
    if (measured && now_ + wait <= DescribePrompt(*flow, state).prefill_deadline) {
      state.queue->commit(flow->id);
      flow->committed = true;
      // Engines may turn out to be closed to it.
      if (AnyEngineMayBeClosed()) state.wait_deadlines.emplace(now_ + QueueWait(*flow), flow->id);
      continue;
    }
    if (measured && DispatchOverLimit(*flow, state)) continue;
    MeterPrefillDemand(*flow, UnsharedTokens(*flow->metadata.prompt), true);
    Refuse(*flow, "no prefill capacity", JitteredRetryAfter(*flow));
  }
}

// While prefills complete well within their targets, a full window only means that its size lags behind a change of
// load, which is no reason to refuse.
bool ServingCore::DispatchOverLimit(Flow& flow, PrefillState& state) {
  if (state.prefill_window.ratio() >= parameters_.shedding_ratio) return false;
  if (!state.prefill_window.has_room(parameters_.over_limit_factor) || !StartPrefill(flow)) return false;
  OccupyWindow(flow, state.prefill_window);
  Dequeue(flow);
  return true;
}

// As long as clients are willing to wait, with jitter so that they do not retry at the same time. A retry that arrives
// during the same surge would be refused again.
Duration ServingCore::JitteredRetryAfter(const Flow& flow) {
  constexpr double kMaxWaitShare = 0.33;  // Clients follow a Retry-After of up to this share of their remaining time.
  constexpr double kSpread = 0.5;
  return FromSeconds(kMaxWaitShare * ToSeconds(flow.expires_at - now_) * (1 - kSpread * random_.Unit()));
}

void ServingCore::RecordDecodeStart(const Flow& flow) {
  constexpr double kStep = 0.1;
  if (!flow.prefilled_at) return;
  const double decode_start = ToSeconds(now_ - *flow.prefilled_at) * kInMilliseconds;
  double& known = PrefillStateOf(flow.service).decode_start_ms;
  known += known == 0 ? decode_start : kStep * (decode_start - known);
}

}  // namespace saltquay::serving
