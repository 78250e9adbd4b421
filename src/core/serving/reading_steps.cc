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

ReadingLine& ServingCore::LineOf(const std::string& service) {
  return lines_.try_emplace(service, knobs_).first->second;
}

// What a request is worth against the others of its route grows with its size.
double ServingCore::WorthOf(const Flow& flow) {
  constexpr double kBase = 0.3;
  constexpr double kMost = 4;
  constexpr double kOutputWeight = 10;
  constexpr double kStep = 0.02;
  const double size = flow.facts.prompt->tokens + kOutputWeight * flow.facts.prompt->output_tokens;
  RouteSizes& sizes = sizes_[flow.route.name];
  sizes.mean_size += sizes.mean_size == 0 ? size : kStep * (size - sizes.mean_size);
  return std::min(kMost, kBase + (1 - kBase) * size / std::max(1.0, sizes.mean_size));
}

admission::WaitingPrompt ServingCore::DescribePrompt(const Flow& flow, const ReadingLine& line) {
  admission::WaitingPrompt prompt;
  prompt.id = flow.id;
  prompt.arrived = flow.arrived;
  prompt.ends = flow.ends;
  prompt.urgency = flow.route.priority;
  prompt.worth = flow.worth;
  prompt.cost_ms = std::max(1.0, selector_.LeastReadingMs(engines_, flow.service, *flow.facts.prompt, now_));
  const double tail = line.tail_ms > 0 ? line.tail_ms : knobs_.first_tail_share * ObjectiveMs(flow);
  const double mean_ms = ToSeconds(line.readers.mean_time()) * kInMilliseconds;
  // A first guess is no reason to give an objective up.
  const double reading = selector_.reading().learned() ? std::max(prompt.cost_ms, mean_ms) : mean_ms;
  const double ahead = reading + tail;
  prompt.full_worth_until = flow.arrived + flow.route.objective - FromSeconds(ahead * kMillisecond);
  return prompt;
}

// Returns false where the prompt cannot be read apart.
bool ServingCore::QueueReading(Flow& flow) {
  if (knobs_.reading_order == admission::OrderPolicy::None) return StartPrefill(flow);
  if (flow.prefills > 0 && allowance_.Left(flow.service, now_) < 1) return false;
  if (!selector_.HasReader(engines_, flow.service, flow.tried)) return false;
  ReadingLine& line = LineOf(flow.service);
  if (flow.worth == 0) flow.worth = WorthOf(flow);
  line.order->add(DescribePrompt(flow, line));
  line.judged_at.emplace(now_ + FromSeconds(ToSeconds(flow.route.objective) * knobs_.judge_share), flow.id);
  flow.queued = true;
  flow.waiting_until.reset();
  dispatch_wanted_ = true;
  Arm(flow);
  return true;
}

void ServingCore::Unqueue(Flow& flow) {
  if (!flow.queued) return;
  flow.queued = false;
  LineOf(flow.service).order->remove(flow.id);
}

void ServingCore::DispatchAll() {
  dispatch_wanted_ = false;
  next_dispatch_.reset();
  for (auto& [service, line] : lines_) {
    SizeWindows(service, line);
    DispatchReadings(line);
    if (line.order->size() == 0) continue;
    Time next = now_ + knobs_.order_interval;
    if (!line.judged_at.empty()) next = std::min(next, line.judged_at.begin()->first);
    next_dispatch_ = next_dispatch_ ? std::min(*next_dispatch_, next) : next;
  }
  dispatch_wanted_ = false;
}

void ServingCore::DispatchReadings(ReadingLine& line) {
  bool started = true;
  while (started) {
    started = false;
    for (const admission::OrderedPrompt& next : line.order->next(now_, knobs_.order_depth)) {
      Flow* flow = FindFlow(next.id);
      if (flow == nullptr) {
        line.order->remove(next.id);
        continue;
      }
      if (!DispatchReading(*flow, next.lane)) continue;
      Unqueue(*flow);
      started = true;
      break;
    }
  }
  JudgeWaiting(line);
}

// The node's part of the engines: by what is asked of it against the others.
void ServingCore::SizeWindows(const std::string& service, ReadingLine& line) {
  const auto meter = demand_.find(service);
  const double own = meter == demand_.end() ? 0 : meter->second.prefill.Get(now_);
  const double all = own + line.peers_demand;
  const double share = all > 0 ? own / all : 1.0 / nodes_;
  const EngineCount readers = selector_.CountEngines(engines_, service, EngineStage::kPrefill, now_);
  line.readers.set_fleet(readers.engines, share, readers.peers_outstanding);
  const EngineCount answering = selector_.CountEngines(engines_, service, EngineStage::kDecode, now_);
  line.overflow.set_fleet(answering.engines, share, answering.peers_outstanding);
}

bool ServingCore::DispatchReading(Flow& flow, admission::Lane lane) {
  const double share = lane == admission::Lane::Late ? knobs_.late_share : 1.0;
  ReadingLine& line = LineOf(flow.service);
  if (line.readers.has_room(share) && StartPrefill(flow)) {
    TakePlace(flow, line.readers);
  } else if (knobs_.overflows && line.overflow.has_room(share) && StartOverflow(flow)) {
    TakePlace(flow, line.overflow);
  } else {
    return false;
  }
  return true;
}

bool ServingCore::StartPrefill(Flow& flow) {
  const bool extra = flow.prefills > 0;
  int& at_risk = LineOf(flow.service).at_risk;
  // A first reading costs an extra arrival only where it is refused, but then it does.
  const bool may = extra ? allowance_.Left(flow.service, now_) >= 1 : allowance_.MayRisk(flow.service, now_, at_risk);
  if (!may) return false;
  GuessUnseen(flow.service);
  EngineState* engine =
      selector_.ChooseReader(engines_, flow.service, EngineStage::kPrefill, *flow.facts.prompt, flow.tried, now_);
  if (engine == nullptr) return false;
  if (extra) ChargeExtra(flow, ExtraArrival::kReadingRepeated);
  ++flow.prefills;
  Start(flow, *engine, AttemptMode::kPrefill);
  if (!extra) {
    flow.attempts.rbegin()->second.at_risk = &at_risk;
    ++at_risk;
  }
  return true;
}

// The newest attempt of the flow takes a place of the window.
void ServingCore::TakePlace(Flow& flow, admission::AdaptiveWindow& window) {
  Attempt& attempt = flow.attempts.rbegin()->second;
  attempt.window = &window;
  attempt.target = ReadingTarget(flow, attempt);
  window.note_sent();
}

Duration ServingCore::ReadingTarget(const Flow& flow, const Attempt& attempt) const {
  const double share_ms = knobs_.reading_share * ObjectiveMs(flow);
  const double stretch = knobs_.reading_stretch * (attempt.mode == AttemptMode::kPrefill ? 1 : 2);
  return FromSeconds(kMillisecond *
                     std::max(share_ms, stretch * selector_.reading().predict_ms(attempt.prompt_tokens)));
}

void ServingCore::NoteRead(const Attempt& attempt) {
  if (attempt.window != nullptr) attempt.window->note_time(now_, now_ - attempt.sent_at, attempt.target);
}

// Engines that answer can read as well, at half the pace.
bool ServingCore::StartOverflow(Flow& flow) {
  if (flow.arrivals > 0 && allowance_.Left(flow.service, now_) < 1) return false;
  EngineState* engine =
      selector_.ChooseReader(engines_, flow.service, EngineStage::kDecode, *flow.facts.prompt, flow.tried, now_);
  if (engine == nullptr || engine->IsOut(now_)) return false;
  if (selector_.EstimatedLoad(*engine, now_) > knobs_.overflow_fill * engine->record.slots) return false;
  constexpr double kReadsSlower = 2;
  const int tokens = OwnTokens(*flow.facts.prompt);  // The rest is copied, or kept there.
  const double reading_ms = kReadsSlower * selector_.reading().predict_ms(tokens);
  if (reading_ms > knobs_.overflow_reading_share * ObjectiveMs(flow)) return false;
  if (flow.arrivals > 0) ChargeExtra(flow, ExtraArrival::kRunRepeated);
  ++flow.arrivals;
  Start(flow, *engine, AttemptMode::kWhole);
  return true;
}

// What no engine had room for by then is committed, where it will still be read in
// time after all that were committed before it; else it is refused while its
// caller can still come back in time.
void ServingCore::JudgeWaiting(ReadingLine& line) {
  while (!line.judged_at.empty() && line.judged_at.begin()->first <= now_) {
    Flow* flow = FindFlow(line.judged_at.begin()->second);
    line.judged_at.erase(line.judged_at.begin());
    if (flow == nullptr || !flow->queued || !knobs_.refuses_excess) continue;
    if (flow->runs > 0 || flow->relaying) continue;  // A refusal would be a false promise.
    const Duration wait = line.readers.mean_gap() * static_cast<int>(line.order->committed() + 1);
    // Engines that have not answered yet promise nothing.
    const bool measured = line.readers.mean_time() > 0s;
    if (measured && now_ + wait <= DescribePrompt(*flow, line).full_worth_until) {
      line.order->commit(flow->id);
      continue;
    }
    if (measured && DispatchBeyond(*flow, line)) continue;
    MeterReading(*flow, OwnTokens(*flow->facts.prompt), true);
    Refuse(*flow, "no engine had room to read it", ComeBackIn(*flow));
  }
}

// While readings come back well within their targets, a full window only lags
// behind a swing: it is no reason to refuse.
bool ServingCore::DispatchBeyond(Flow& flow, ReadingLine& line) {
  if (line.readers.ratio() >= knobs_.refusing_ratio) return false;
  if (!line.readers.has_room(knobs_.beyond_share) || !StartPrefill(flow)) return false;
  TakePlace(flow, line.readers);
  Unqueue(flow);
  return true;
}

// As late as callers follow, spread so that they do not come back together:
// what comes back into the same surge is refused once more.
Duration ServingCore::ComeBackIn(const Flow& flow) {
  constexpr double kFollowedShare = 0.33;  // Of the time left; callers wait no longer.
  constexpr double kSpread = 0.5;
  return FromSeconds(kFollowedShare * ToSeconds(flow.ends - now_) * (1 - kSpread * random_.Unit()));
}

void ServingCore::NoteTail(const Flow& flow) {
  constexpr double kStep = 0.1;
  if (!flow.read_at) return;
  const double tail = ToSeconds(now_ - *flow.read_at) * kInMilliseconds;
  double& known = LineOf(flow.service).tail_ms;
  known += known == 0 ? tail : kStep * (tail - known);
}

}  // namespace saltquay::serving
