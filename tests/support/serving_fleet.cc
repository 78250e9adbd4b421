#include "tests/support/serving_fleet.h"

#include <algorithm>

namespace saltquay::serving {
namespace {

constexpr Duration kLinkDelay = 1ms;
constexpr Duration kReportInterval = 400ms;
constexpr double kGreyErrors = 0.6;
constexpr double kResetShare = 0.8;
constexpr int kSlowFactor = 6;
// From the first token of a run to the end of its engine, where the run ends it.
constexpr Duration kFatalWork = 50ms;
// An engine that ended stands in the platform's records until it has been silent for three heartbeats.
constexpr Duration kRecordKept = 3600ms;
constexpr std::uint64_t kFatalFingerprint = 4711;

}  // namespace

ServingFleet::ServingFleet(int nodes, const ServingConfig& config, const ServingParameters& parameters,
                           std::uint64_t seed)
    : config_(config), parameters_(parameters), random_(seed) {
  for (int i = 0; i < nodes; ++i) nodes_.push_back(std::make_unique<ServingCore>(parameters, "a", seed + i));
}

void ServingFleet::Begin() {
  std::vector<EngineRecord> records;
  for (const auto& [id, world] : engines_) records.push_back(world.engine.record);
  for (int node = 0; node < static_cast<int>(nodes_.size()); ++node) {
    Send(node, ConfigurationChanged{config_});
    Send(node, EnginesReplaced{records});
    Send(node, StoreConnectivityChanged{true});
  }
  Report();
}

void ServingFleet::Restart(int node) {
  nodes_[node] = std::make_unique<ServingCore>(parameters_, "a", random_.Below(1000));
  nodes_[node]->BeginAfterRestart(now_);
  const auto is_of_node = [node](const auto& key) { return key.first == node; };
  std::erase_if(cancelled_, is_of_node);
  for (auto& [id, world] : engines_) {
    std::erase_if(world.waiting, [node](const Call& call) { return call.node == node; });
    std::erase_if(world.under_way, [&](const auto& entry) { return is_of_node(entry.first); });
  }
  std::vector<EngineRecord> records;
  for (const auto& [id, world] : engines_) {
    if (!world.ended) records.push_back(world.engine.record);
  }
  Send(node, ConfigurationChanged{config_});
  Send(node, EnginesReplaced{records});
  Send(node, StoreConnectivityChanged{true});
}

void ServingFleet::Offer(const std::string& route, double per_second, Time end,
                         const std::function<PromptMetadata(int)>& prompt) {
  const Duration gap = FromSeconds(1 / per_second);
  int count = 0;
  for (Time at = now_; at < end; at += gap, ++count) {
    const PromptMetadata facts = prompt(count);
    At(at, [this, route, facts] {
      const int node = static_cast<int>(random_.Below(nodes_.size()));
      RequestArrived arrived;
      arrived.flow = ++last_flow_;
      arrived.facts.request_id = "r" + std::to_string(last_flow_);
      arrived.facts.host = "h.example";
      arrived.facts.path = "/" + route + "/x";
      arrived.facts.prompt = facts;
      arrived.facts.fingerprint = kFatalFingerprint + arrived.flow;
      requests_.push_back(now_);
      began_[{node, arrived.flow}] = now_;
      Send(node, arrived);
    });
  }
}

void ServingFleet::SendPoisonRequests(const std::string& route, const PromptMetadata& prompt, Duration gap, Time end) {
  for (Time at = now_; at < end; at += gap) {
    At(at, [this, route, prompt] {
      const int node = static_cast<int>(random_.Below(nodes_.size()));
      RequestArrived arrived;
      arrived.flow = ++last_flow_;
      arrived.facts.request_id = "fatal" + std::to_string(last_flow_);
      arrived.facts.host = "h.example";
      arrived.facts.path = "/" + route + "/x";
      arrived.facts.prompt = prompt;
      arrived.facts.fingerprint = kFatalFingerprint;
      fatal_.insert({node, arrived.flow});
      Send(node, arrived);
    });
  }
}

void ServingFleet::RunUntil(Time end) {
  while (!agenda_.empty() && agenda_.begin()->first <= end) {
    now_ = std::max(now_, agenda_.begin()->first);
    const std::function<void()> step = std::move(agenda_.begin()->second);
    agenda_.erase(agenda_.begin());
    step();
  }
  now_ = end;
}

void ServingFleet::Send(int node, const Event& event) {
  std::vector<Action> actions;
  nodes_[node]->OnEvent(now_, event, actions);
  Carry(node, actions);
  Wake(node);
}

void ServingFleet::Wake(int node) {
  const std::optional<Time> deadline = nodes_[node]->next_deadline();
  if (!deadline) return;
  At(std::max(now_ + 1us, *deadline), [this, node] {
    const std::optional<Time> due = nodes_[node]->next_deadline();
    if (due && *due <= now_) Send(node, TimerFired{});
  });
}

void ServingFleet::End(int node, FlowId flow, int* count) {
  ++*count;
  began_.erase({node, flow});
}

void ServingFleet::Carry(int node, const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    if (const auto* start = std::get_if<StartAttempt>(&action)) {
      At(now_ + kLinkDelay, [this, node, start = *start] { Arrive(node, start); });
    } else if (std::holds_alternative<saltquay::serving::ReportCrashes>(action)) {
      At(now_ + 1us, [this, node] { ReportCrashes(node); });
    } else if (const auto* check = std::get_if<ProbeEngine>(&action)) {
      At(now_ + 2 * kLinkDelay, [this, node, id = check->engine_id] {
        const bool ended = engines_.at(id).ended;
        Send(node, EngineProbed{id, ended ? EngineProbeOutcome::kRefused : EngineProbeOutcome::kAccepted});
      });
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      cancelled_.insert({node, cancel->attempt});
    } else if (const auto* own = std::get_if<SendLocalReply>(&action)) {
      End(node, own->flow, own->status == 503 ? &refused_ : &failed_);
    } else if (const auto* relay = std::get_if<BeginRelay>(&action)) {
      const Duration took = now_ - began_[{node, relay->flow}];
      if (took <= config_.FindRoute("h.example", "/chat/x")->objective) ++in_time_;
    } else if (const auto* ended = std::get_if<EndRelay>(&action)) {
      End(node, ended->flow, &answered_);
    } else if (const auto* whole = std::get_if<RelayResponse>(&action)) {
      End(node, whole->flow, &answered_);
    } else if (const auto* broken = std::get_if<AbortResponse>(&action)) {
      End(node, broken->flow, &failed_);
    } else if (const auto* log = std::get_if<LogDecision>(&action)) {
      if (log->event == EventId::kEngineEjected) {
        const std::size_t from = log->details.find(":\"") + 2;
        ejected_.insert(log->details.substr(from, log->details.find('"', from) - from));
      } else if (log->event == EventId::kRequestQuarantined) {
        const std::size_t from = log->details.find(":\"") + 2;
        quarantined_.insert(log->details.substr(from, log->details.find('"', from) - from));
      }
    }
  }
}

void ServingFleet::Arrive(int node, const StartAttempt& start) {
  SimulatedEngine& world = engines_.at(start.engine_id);
  const Call call{node, start, now_ + start.time_left};
  if (world.ended) return Send(node, AttemptFailed{start.flow, start.attempt, AttemptFailure::kNotSent});
  ++world.calls;
  if (fatal_.contains({node, start.flow}) && start.mode != AttemptMode::kPrefill) fatal_runs_.push_back({now_, node});
  if (world.engine.health == EngineHealth::kUnresponsive) return Count(call, true);
  if (world.engine.health == EngineHealth::kResetsConnections && random_.Unit() < kResetShare) return Reset(call);
  if (world.running < world.engine.slots) return Begin(world, call);
  if (static_cast<int>(world.waiting.size()) < world.engine.queue) {
    world.waiting.push_back(call);
    return;
  }
  Refuse(world, call);
}

void ServingFleet::Begin(SimulatedEngine& world, const Call& call) {
  Count(call, true);
  ++world.running;
  world.under_way[{call.node, call.start.attempt}] = call;
  const bool fatal = fatal_.contains({call.node, call.start.flow}) && call.start.mode != AttemptMode::kPrefill;
  if (fatal) return At(now_ + kFatalWork, [this, &world] { EndEngine(world); });
  const int factor = world.engine.health == EngineHealth::kSlow ? kSlowFactor : 1;
  At(now_ + world.engine.work * factor, [this, &world, call] { Finish(world, call); });
}

EngineLoad ServingFleet::LoadOf(const SimulatedEngine& world) const {
  return {world.running, static_cast<int>(world.waiting.size()), world.engine.slots};
}

void ServingFleet::Refuse(SimulatedEngine& world, const Call& call) {
  Count(call, false);
  if (cancelled_.contains({call.node, call.start.attempt})) return;
  Send(call.node,
       AttemptHeadReceived{call.start.flow, call.start.attempt, EngineResponseHead{503, true, false, LoadOf(world)}});
  Send(call.node, AttemptCompleted{call.start.flow, call.start.attempt, ""});
}

void ServingFleet::Reset(const Call& call) {
  Count(call, false);
  if (cancelled_.contains({call.node, call.start.attempt})) return;
  Send(call.node, AttemptFailed{call.start.flow, call.start.attempt, AttemptFailure::kBroken});
}

void ServingFleet::Finish(SimulatedEngine& world, const Call& call) {
  if (world.ended) return;
  --world.running;
  const bool is_wanted = world.under_way.erase({call.node, call.start.attempt}) > 0;
  while (!world.waiting.empty() && world.running < world.engine.slots) {
    const Call next = world.waiting.front();
    world.waiting.pop_front();
    if (cancelled_.contains({next.node, next.start.attempt})) continue;
    if (now_ >= next.ends) {
      Refuse(world, next);
    } else {
      Begin(world, next);
    }
  }
  if (!is_wanted || cancelled_.contains({call.node, call.start.attempt})) return;
  const bool fails = world.engine.health == EngineHealth::kFailsOften && random_.Unit() < kGreyErrors;
  Send(call.node, AttemptHeadReceived{call.start.flow, call.start.attempt,
                                      EngineResponseHead{fails ? 500 : 200, false, true, LoadOf(world)}});
  const bool reads = call.start.mode == AttemptMode::kPrefill && !fails;
  Send(call.node, AttemptCompleted{call.start.flow, call.start.attempt, reads ? "h" : ""});
}

void ServingFleet::EndEngine(SimulatedEngine& world) {
  if (world.ended) return;
  world.ended = true;
  engine_ends_.push_back(now_);
  std::vector<Call> lost(world.waiting.begin(), world.waiting.end());
  for (const auto& [key, call] : world.under_way) lost.push_back(call);
  for (const Call& call : lost) {
    if (cancelled_.contains({call.node, call.start.attempt})) continue;
    Send(call.node, AttemptFailed{call.start.flow, call.start.attempt, AttemptFailure::kBroken});
  }
  At(now_ + kRecordKept, [this, id = world.engine.record.id] { SendAll(EngineRemoved{id}); });
  FleetEngine next = world.engine;
  if (same_ids_) {
    next.record.started_ms = (now_ + EngineRestart()).time_since_epoch().count() / 1000;
  } else {
    next.record.id += "+";
  }
  At(now_ + EngineRestart(), [this, next] { Replace(next); });
}

void ServingFleet::Replace(const FleetEngine& engine) {
  engines_[engine.record.id] = SimulatedEngine{};
  AddEngine(engine);
  SendAll(EngineChanged{engine.record});
}

void ServingFleet::SendAll(const Event& event) {
  for (int node = 0; node < static_cast<int>(nodes_.size()); ++node) Send(node, event);
}

// The platform's count: the first run and the first prefill that was taken up
// are free; every further arrival counts, and every prefill that was refused.
void ServingFleet::Count(const Call& call, bool taken) {
  RequestSeen& seen = seen_[{call.node, call.start.flow}];
  if (call.start.mode == AttemptMode::kPrefill) {
    if (!taken) {
      counted_.push_back({now_, "prefill refused"});
    } else if (++seen.prefills > 1) {
      counted_.push_back({now_, "prefill again"});
    }
  } else if (++seen.runs > 1) {
    counted_.push_back({now_, "run again"});
  }
}

void ServingFleet::Report() {
  for (int to = 0; to < static_cast<int>(nodes_.size()); ++to) ReportTo(to);
  for (int from = 0; from < static_cast<int>(nodes_.size()); ++from) ReportCrashes(from);
  At(now_ + kReportInterval, [this] { Report(); });
}

void ServingFleet::ReportTo(int node) {
  PeersChanged changed;
  ServiceDemand demand;
  for (int from = 0; from < static_cast<int>(nodes_.size()); ++from) {
    if (!Hears(node, from)) continue;
    ++changed.nodes;
    for (const ServiceDemand& told : nodes_[from]->OwnDemand(now_)) {
      demand.service = told.service;
      demand.prefill_engines += told.prefill_engines;
      demand.reading_depth += told.reading_depth / static_cast<double>(nodes_.size() - 1);
    }
    for (const EngineWork& work : nodes_[from]->OwnWork(now_)) {
      changed.work[work.engine].Add(work);
    }
  }
  if (!demand.service.empty()) changed.demand.push_back(demand);
  Send(node, changed);
}

void ServingFleet::ReportCrashes(int from) {
  const std::vector<CrashMark> marks = nodes_[from]->crashes().MarksToReport(now_);
  for (int to = 0; to < static_cast<int>(nodes_.size()); ++to) {
    if (!Hears(to, from) || marks.empty() || random_.Unit() < loss_) continue;
    At(now_ + kLinkDelay, [this, to, marks] { Send(to, PeerCrashesReported{marks}); });
  }
}

double ServingFleet::MaxBudgetExcess(double ratio, double slack, Duration window) const {
  const auto asked = [&](Time from) {
    return std::count_if(requests_.begin(), requests_.end(), [&](Time at) { return at >= from && at < from + window; });
  };
  double worst = -slack;
  for (const BudgetedArrival& first : counted_) {
    const auto extras = std::count_if(counted_.begin(), counted_.end(), [&](const BudgetedArrival& other) {
      return other.at >= first.at && other.at < first.at + window;
    });
    const auto requests = std::max({asked(first.at), asked(first.at - window), asked(first.at - window / 2)});
    worst = std::max(worst, static_cast<double>(extras) - ratio * static_cast<double>(requests) - slack);
  }
  return worst;
}

void ServingFleet::ResetCounts() { answered_ = in_time_ = refused_ = failed_ = 0; }

}  // namespace saltquay::serving
