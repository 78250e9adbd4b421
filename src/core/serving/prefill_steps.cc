// Prompts that wait for an engine to read them: which goes next, and where.
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
  return lines_.try_emplace(service, parameters_).first->second;
}

// What a request is worth against the others of its route grows with its size.
double ServingCore::WorthOf(const Flow& flow) {
  constexpr double kBase = 0.3;
  constexpr double kMost = 4;
  constexpr double kOutputWeight = 10;
  constexpr double kStep = 0.02;
  const double size = flow.facts.prompt->tokens + kOutputWeight * flow.facts.prompt->output_tokens;
  RouteStatistics& sizes = route_statistics_[flow.route.name];
  sizes.mean_size += sizes.mean_size == 0 ? size : kStep * (size - sizes.mean_size);
  return std::min(kMost, kBase + (1 - kBase) * size / std::max(1.0, sizes.mean_size));
}

admission::QueuedPrompt ServingCore::DescribePrompt(const Flow& flow, const PrefillState& line) {
  admission::QueuedPrompt prompt;
  prompt.id = flow.id;
  prompt.arrived = flow.arrived;
  prompt.ends = flow.ends;
  prompt.route_priority = flow.route.priority;
  prompt.worth = flow.worth;
  prompt.prefill_cost_ms = std::max(1.0, selector_.MinPrefillMs(engines_, flow.service, *flow.facts.prompt, now_));
  const double tail =
      line.decode_start_ms > 0 ? line.decode_start_ms : parameters_.initial_decode_start_share * ObjectiveMs(flow);
  const double mean_ms = ToSeconds(line.readers.mean_latency()) * kInMilliseconds;
  // A first guess is no reason to give an objective up.
  const double reading = selector_.reading().learned() ? std::max(prompt.prefill_cost_ms, mean_ms) : mean_ms;
  const double ahead = reading + tail;
  prompt.prefill_deadline = flow.arrived + flow.route.objective - FromSeconds(ahead * kMillisecond);
  return prompt;
}

// Returns false where the prompt cannot be read apart.
bool ServingCore::EnqueuePrefill(Flow& flow) {
  if (parameters_.prefill_order == admission::QueuePolicy::None) return StartPrefill(flow);
  if (flow.prefills > 0 && retry_budget_share_.Left(flow.service, now_) < 1) return false;
  if (!selector_.HasPrefillEngine(engines_, flow.service, flow.tried)) return false;
  PrefillState& line = PrefillStateOf(flow.service);
  if (flow.worth == 0) flow.worth = WorthOf(flow);
  line.order->add(DescribePrompt(flow, line));
  line.wait_deadlines.emplace(now_ + FromSeconds(ToSeconds(flow.route.objective) * parameters_.wait_deadline_share),
                              flow.id);
  flow.queued = true;
  flow.engine_wait_ends.reset();
  dispatch_wanted_ = true;
  ScheduleWakeUp(flow);
  return true;
}

void ServingCore::Dequeue(Flow& flow) {
  if (!flow.queued) return;
  flow.queued = false;
  PrefillStateOf(flow.service).order->remove(flow.id);
}

void ServingCore::DispatchAllPrefills() {
  dispatch_wanted_ = false;
  next_dispatch_.reset();
  for (auto& [service, line] : lines_) {
    SizeWindows(service, line);
    DispatchPrefills(line);
    if (line.order->size() == 0) continue;
    Time next = now_ + parameters_.dispatch_interval;
    if (!line.wait_deadlines.empty()) next = std::min(next, line.wait_deadlines.begin()->first);
    next_dispatch_ = next_dispatch_ ? std::min(*next_dispatch_, next) : next;
  }
  dispatch_wanted_ = false;
}

void ServingCore::DispatchPrefills(PrefillState& line) {
  bool started = true;
  while (started) {
    started = false;
    for (const admission::PrefillCandidate& next : line.order->next(now_, parameters_.dispatch_depth)) {
      Flow* flow = FindFlow(next.id);
      if (flow == nullptr) {
        line.order->remove(next.id);
        continue;
      }
      if (!DispatchPrefill(*flow, next.lane)) continue;
      Dequeue(*flow);
      started = true;
      break;
    }
  }
  ResolveExpiredWaits(line);
}

// The node's part of the engines: by what is asked of it against the others.
void ServingCore::SizeWindows(const std::string& service, PrefillState& line) {
  const auto meter = demand_.find(service);
  const double own = meter == demand_.end() ? 0 : meter->second.prefill.Get(now_);
  const double all = own + line.peer_demand;
  const double share = all > 0 ? own / all : 1.0 / nodes_;
  const EngineCount readers = selector_.CountEngines(engines_, service, EngineStage::kPrefill, now_);
  line.readers.set_capacity(readers.engines, share, readers.peers_outstanding);
  const EngineCount answering = selector_.CountEngines(engines_, service, EngineStage::kDecode, now_);
  line.overflow.set_capacity(answering.engines, share, answering.peers_outstanding);
}

bool ServingCore::DispatchPrefill(Flow& flow, admission::Lane lane) {
  const double share = lane == admission::Lane::Late ? parameters_.late_window_share : 1.0;
  PrefillState& line = PrefillStateOf(flow.service);
  if (line.readers.has_room(share) && StartPrefill(flow)) {
    OccupyWindow(flow, line.readers);
  } else if (parameters_.allows_overflow && line.overflow.has_room(share) && StartOverflowPrefill(flow)) {
    OccupyWindow(flow, line.overflow);
  } else {
    return false;
  }
  return true;
}

bool ServingCore::StartPrefill(Flow& flow) {
  const bool extra = flow.prefills > 0;
  int& unsettled_calls = PrefillStateOf(flow.service).unsettled_calls;
  // A first reading costs an extra arrival only where it is refused, but then it does.
  const bool may = extra ? retry_budget_share_.Left(flow.service, now_) >= 1
                         : retry_budget_share_.MayStartUnsettled(flow.service, now_, unsettled_calls);
  if (!may) return false;
  EstimateUnreportedWork(flow.service);
  EngineState* engine = selector_.ChoosePrefillEngine(engines_, flow.service, EngineStage::kPrefill, *flow.facts.prompt,
                                                      flow.tried, now_);
  if (engine == nullptr) return false;
  if (extra) ChargeRetryBudget(flow, ExtraArrival::kPrefillRetried);
  ++flow.prefills;
  Start(flow, *engine, AttemptMode::kPrefill);
  if (!extra) {
    flow.attempts.rbegin()->second.unsettled_calls = &unsettled_calls;
    ++unsettled_calls;
  }
  return true;
}

// The newest attempt of the flow takes a place of the window.
void ServingCore::OccupyWindow(Flow& flow, admission::ConcurrencyWindow& window) {
  Attempt& attempt = flow.attempts.rbegin()->second;
  attempt.window = &window;
  attempt.target = PrefillTarget(flow, attempt);
  window.record_dispatch();
}

Duration ServingCore::PrefillTarget(const Flow& flow, const Attempt& attempt) const {
  const double share_ms = parameters_.prefill_target_share * ObjectiveMs(flow);
  const double stretch = parameters_.prefill_target_factor * (attempt.mode == AttemptMode::kPrefill ? 1 : 2);
  return FromSeconds(kMillisecond *
                     std::max(share_ms, stretch * selector_.reading().predict_ms(attempt.prompt_tokens)));
}

void ServingCore::RecordPrefillDone(const Attempt& attempt) {
  if (attempt.window != nullptr) attempt.window->record_latency(now_, now_ - attempt.sent_at, attempt.target);
}

// Engines that answer can read as well, at half the pace.
bool ServingCore::StartOverflowPrefill(Flow& flow) {
  if (flow.arrivals > 0 && retry_budget_share_.Left(flow.service, now_) < 1) return false;
  EngineState* engine =
      selector_.ChoosePrefillEngine(engines_, flow.service, EngineStage::kDecode, *flow.facts.prompt, flow.tried, now_);
  if (engine == nullptr || engine->IsOutOfService(now_)) return false;
  if (selector_.EstimatedLoad(*engine, now_) > parameters_.overflow_max_utilization * engine->record.slots)
    return false;
  constexpr double kReadsSlower = 2;
  const int tokens = UnsharedTokens(*flow.facts.prompt);  // The rest is copied, or kept there.
  const double reading_ms = kReadsSlower * selector_.reading().predict_ms(tokens);
  if (reading_ms > parameters_.overflow_prefill_share * ObjectiveMs(flow)) return false;
  if (flow.arrivals > 0) ChargeRetryBudget(flow, ExtraArrival::kExecutionRetried);
  ++flow.arrivals;
  Start(flow, *engine, AttemptMode::kWhole);
  return true;
}

// What no engine had room for by then is committed, where it will still be read in
// time after all that were committed before it; else it is refused while its
// caller can still come back in time.
void ServingCore::ResolveExpiredWaits(PrefillState& line) {
  while (!line.wait_deadlines.empty() && line.wait_deadlines.begin()->first <= now_) {
    Flow* flow = FindFlow(line.wait_deadlines.begin()->second);
    line.wait_deadlines.erase(line.wait_deadlines.begin());
    if (flow == nullptr || !flow->queued || !parameters_.sheds_load) continue;
    if (flow->runs > 0 || flow->relaying) continue;  // A refusal would be a false promise.
    const Duration wait = line.readers.mean_slot_interval() * static_cast<int>(line.order->committed() + 1);
    // Engines that have not answered yet promise nothing.
    const bool measured = line.readers.mean_latency() > 0s;
    if (measured && now_ + wait <= DescribePrompt(*flow, line).prefill_deadline) {
      line.order->commit(flow->id);
      continue;
    }
    if (measured && DispatchOverLimit(*flow, line)) continue;
    MeterPrefillDemand(*flow, UnsharedTokens(*flow->facts.prompt), true);
    Refuse(*flow, "no engine had room to read it", JitteredRetryAfter(*flow));
  }
}

// While readings come back well within their targets, a full window only lags
// behind a swing: it is no reason to refuse.
bool ServingCore::DispatchOverLimit(Flow& flow, PrefillState& line) {
  if (line.readers.ratio() >= parameters_.shedding_ratio) return false;
  if (!line.readers.has_room(parameters_.over_limit_factor) || !StartPrefill(flow)) return false;
  OccupyWindow(flow, line.readers);
  Dequeue(flow);
  return true;
}

// As late as callers follow, spread so that they do not come back together:
// what comes back into the same surge is refused once more.
Duration ServingCore::JitteredRetryAfter(const Flow& flow) {
  constexpr double kFollowedShare = 0.33;  // Of the time left; callers wait no longer.
  constexpr double kSpread = 0.5;
  return FromSeconds(kFollowedShare * ToSeconds(flow.ends - now_) * (1 - kSpread * random_.Unit()));
}

void ServingCore::RecordDecodeStart(const Flow& flow) {
  constexpr double kStep = 0.1;
  if (!flow.read_at) return;
  const double tail = ToSeconds(now_ - *flow.read_at) * kInMilliseconds;
  double& known = PrefillStateOf(flow.service).decode_start_ms;
  known += known == 0 ? tail : kStep * (tail - known);
}

}  // namespace saltquay::serving
