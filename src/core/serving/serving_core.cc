#include "src/core/serving/serving_core.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace saltquay::serving {

ServingCore::ServingCore(const ServingParameters& parameters, const std::string& zone, std::uint64_t seed)
    : parameters_(parameters),
      engines_(parameters.ejection),
      selector_(parameters, zone, seed),
      retry_budget_share_(parameters.retry_budget),
      random_(seed + 1),
      crashes_(parameters.crashes) {}

void ServingCore::OnEvent(Time now, const Event& event, std::vector<Action>& actions) {
  now_ = now;
  actions_ = &actions;
  std::visit([this](const auto& typed) { On(typed); }, event);
  if (!crash_detector_.empty()) HandleCrashedEngines();
  if (limiter_ != nullptr) StepLimiter();
  if (dispatch_wanted_ || (next_dispatch_ && now_ >= *next_dispatch_)) DispatchAllPrefills();
  actions_ = nullptr;
}

std::optional<Time> ServingCore::next_deadline() const {
  std::optional<Time> next = limiter_ == nullptr ? std::nullopt : limiter_->next_deadline();
  const auto consider = [&next](Time at) { next = next ? std::min(*next, at) : at; };
  if (!deadlines_.empty()) consider(deadlines_.begin()->first);
  if (next_dispatch_) consider(*next_dispatch_);
  return next;
}

void ServingCore::On(const ConfigurationChanged& event) {
  if (config_ && event.config.version <= config_->version) return;
  config_ = event.config;
  tenants_ = TenantDirectory(config_->tenants);
  SetLimits();
  Log(EventId::kConfigInForce, nullptr,
      fmt::format(R"("version":{},"routes":{},"services":{},"tenants":{},"keys":{})", config_->version,
                  config_->routes.size(), config_->services.size(), config_->tenants.size(), tenants_.key_count()));
}

void ServingCore::On(const EnginesReplaced& event) {
  engines_.Replace(event.records);
  for (const EngineRecord& record : event.records) RecordLeaving(record.id);
  engines_listed_ = true;
  Log(EventId::kEngineRecord, nullptr, fmt::format(R"("engines":{},"cause":"listed")", event.records.size()));
}

void ServingCore::On(const EngineChanged& event) {
  if (!engines_.Update(event.record)) return;
  RecordLeaving(event.record.id);
  Log(EventId::kEngineRecord, nullptr,
      fmt::format(R"("engine":"{}","started_ms":{},"service":"{}","zone":"{}","leaving":{},"stage":{})",
                  event.record.id, event.record.started_ms, event.record.service, event.record.zone,
                  event.record.leaving, static_cast<int>(event.record.stage)));
}

void ServingCore::RecordLeaving(const std::string& engine_id) {
  EngineState* engine = engines_.Find(engine_id);
  if (engine == nullptr) return;
  if (!engine->record.leaving) engine->leaving_since.reset();
  if (engine->record.leaving && !engine->leaving_since) engine->leaving_since = now_;
}

void ServingCore::On(const EngineRemoved& event) {
  engines_.Remove(event.id);
  Log(EventId::kEngineRecord, nullptr, fmt::format(R"("engine":"{}","cause":"gone")", event.id));
}

void ServingCore::On(const StoreConnectivityChanged& event) {
  if (store_connected_ == event.in_contact) return;
  store_connected_ = event.in_contact;
  Log(EventId::kStoreContact, nullptr, fmt::format(R"("in_contact":{})", store_connected_));
}

void ServingCore::On(const PeersChanged& event) {
  retry_budget_share_.set_nodes(event.nodes, now_);
  peer_report_age_ = event.age;
  nodes_ = std::max(1, event.nodes);
  selector_.set_has_peer_reports(event.nodes > 1);
  for (const auto& [id, known] : engines_.all()) {
    EngineState& engine = *engines_.Find(id);
    const auto work = event.work.find(engine.key);
    engine.peers_outstanding = work == event.work.end() ? 0 : work->second.outstanding;
    engine.peers_prompt_tokens = work == event.work.end() ? 0 : work->second.prompt_tokens;
  }
  for (const HealthChange& change : engines_.EjectByFleetOutcomes(event.work, random_.Unit(), now_))
    LogEngineStanding(change);
  for (const KeptPart& kept : event.kept) selector_.RecordCachedPart(kept, now_);
  for (const EngineHold& hold : event.holds) {
    if (EngineState* engine = engines_.Find(hold.engine_id)) engine->held_until = now_ + hold.left;
  }
  for (const ServiceDemand& demand : event.demand) {
    PrefillState& line = PrefillStateOf(demand.service);
    line.peer_demand = demand.prefill_engines;
    if (demand.reading_depth > 0) line.readers.blend_depth(demand.reading_depth);
  }
  dispatch_wanted_ = true;
}

std::vector<EngineWork> ServingCore::OwnWork(Time now) {
  std::vector<EngineWork> all;
  for (const auto& [id, known] : engines_.all()) {
    EngineState& engine = *engines_.Find(id);
    EngineWork work = engine.outcomes.Counts(now);
    work.engine = engine.key;
    work.outstanding = engine.outstanding;
    work.prompt_tokens = engine.outstanding_prompt_tokens;
    if (work.outstanding + work.answers + work.failures > 0) all.push_back(work);
  }
  return all;
}

std::vector<ServiceDemand> ServingCore::OwnDemand(Time now) {
  std::vector<ServiceDemand> demand;
  for (auto& [service, meter] : demand_) {
    const auto line = lines_.find(service);
    const double depth = line == lines_.end() ? 0 : line->second.readers.depth();
    demand.push_back({service, meter.prefill.Get(now), meter.decode.Get(now), depth, 1, {}, meter.reading.Get(now)});
  }
  return demand;
}

// Reading is asked for once by each request, whether an engine had room or not;
// reading once more is the engines' failure, not the callers' demand.
void ServingCore::MeterPrefillDemand(Flow& flow, std::int64_t tokens, bool apart) {
  constexpr double kSecond = 1000;
  constexpr double kDecodeReadsSlower = 2;
  if (!flow.language || flow.prefill_metered) return;
  flow.prefill_metered = true;
  const double seconds = static_cast<double>(tokens) / selector_.read_rate() / kSecond;
  DemandMeter& meter = demand_.try_emplace(flow.service, parameters_.demand_averaging_time).first->second;
  if (apart) {
    meter.prefill.Add(seconds, now_);
    const double pace = std::max(selector_.reading().rate(), selector_.read_rate());
    meter.reading.Add(static_cast<double>(tokens) / pace / kSecond, now_);
  } else {
    meter.decode.Add(kDecodeReadsSlower * seconds, now_);
  }
}

// Answering is asked for by the share of an engine that it kept, and how long.
void ServingCore::MeterDecodeDemand(const Flow& flow, const Attempt& attempt) {
  if (!flow.language || attempt.mode == AttemptMode::kPrefill) return;
  const Service* service = config_ ? config_->FindService(flow.service) : nullptr;
  if (service == nullptr || !service->language) return;
  const LanguageEngineTraits& traits = *service->language;
  const double slots = std::max(1.0, parameters_.target_utilization * traits.slots);
  const double memory = std::max(1.0, parameters_.target_utilization * static_cast<double>(traits.kv_capacity_tokens));
  const double share = std::max(1.0 / slots, flow.facts.prompt->tokens / memory);
  DemandMeter& meter = demand_.try_emplace(flow.service, parameters_.demand_averaging_time).first->second;
  meter.decode.Add(share * ToSeconds(now_ - attempt.sent_at), now_);
}

std::string ServingCore::ChooseService(const Route& route) {
  double sum = 0;
  for (const WeightedService& part : route.services) sum += part.weight;
  double draw = random_.Unit() * sum;
  for (const WeightedService& part : route.services) {
    draw -= part.weight;
    if (draw < 0) return part.service;
  }
  return route.services.empty() ? "" : route.services.back().service;
}

void ServingCore::On(const RequestArrived& event) {
  constexpr int kNotFound = 404;
  auto owned = std::make_unique<Flow>();
  Flow& flow = *owned;
  flow.id = event.flow;
  flow.facts = event.facts;
  flow.arrived = now_;
  flow.last_event_id = event.facts.last_event_id;
  flows_[flow.id] = std::move(owned);
  if (!ready()) return Refuse(flow, "no configuration yet");
  const Route* route = config_->FindRoute(event.facts.host, event.facts.path);
  if (route == nullptr) {
    // An unknown route is certain only while the store is heard.
    return store_connected_ ? Fail(flow, kNotFound, "no route") : Refuse(flow, "no route known, store not heard");
  }
  flow.route = *route;
  if (!Authenticate(flow)) return;
  if (flow.facts.fingerprint != 0) flow.fingerprint = HashPair(flow.facts.fingerprint, HashText(flow.tenant));
  if (RefuseIfQuarantined(flow)) return;
  flow.service = ChooseService(*route);
  const Service* service = config_->FindService(flow.service);
  flow.language = service != nullptr && service->language && flow.facts.prompt;
  const Duration patience = std::min(route->timeout, event.facts.deadline.value_or(route->timeout));
  flow.ends =
      now_ +
      std::max(1ms, std::chrono::duration_cast<std::chrono::milliseconds>(patience - parameters_.response_margin));
  if (route->kind == RouteKind::kRepeatable) {
    flow.hedge_at = now_ + FromSeconds(ToSeconds(route->objective) * parameters_.hedge_delay_share);
  }
  AdmitByLimit(flow);
}

bool ServingCore::Authenticate(Flow& flow) {
  constexpr int kUnauthorized = 401;
  const std::string key = std::exchange(flow.facts.api_key, "");
  if (!config_->requires_keys) return true;
  if (key.empty() && flow.route.allows_anonymous) return true;
  const Tenant* tenant = tenants_.FindByKey(key);
  if (tenant != nullptr) {
    flow.tenant = tenant->name;
    flow.route.priority = tenant->priority.value_or(flow.route.priority);
    if (tenant->limit && tenant->limit->rate_per_s > 0) flow.limit_cost = CostOf(*tenant->limit, flow.facts);
    return true;
  }
  // A key may have been handed out since this node last heard of the configuration; a missing one never helps.
  if (key.empty()) {
    Fail(flow, kUnauthorized, "no key");
  } else if (store_connected_) {
    Fail(flow, kUnauthorized, "unknown key");
  } else {
    Refuse(flow, "unknown key, store not heard");
  }
  return false;
}

// A language engine begins with the first token, which is in its answer's head; others begin when a request reaches
// them, and answer when they are done.
void ServingCore::CountTenantUsage(Flow& flow, const Attempt& attempt) {
  if (flow.counted || flow.tenant.empty() || attempt.mode == AttemptMode::kPrefill) return;
  flow.counted = true;
  actions_->push_back(ExecutionStarted{flow.tenant, flow.language ? now_ : attempt.sent_at});
}

void ServingCore::CountUnansweredUsage(Flow& flow) {
  if (flow.language) return;
  for (const auto& [id, attempt] : flow.attempts) CountTenantUsage(flow, attempt);
}

void ServingCore::On(const ClientDisconnected& event) {
  Flow* flow = FindFlow(event.flow);
  if (flow == nullptr) return;
  CountUnansweredUsage(*flow);
  Log(EventId::kClientLeft, flow, fmt::format(R"("attempts":{})", flow->attempts.size()));
  const bool lets_run = flow->route.kind == RouteKind::kAtMostOnce;
  if (lets_run) {
    TrackDetachedAttempts(*flow);
  } else {
    CancelAttempts(*flow, 0);
  }
  Erase(flow->id);
}

void ServingCore::On(const AttemptHeadReceived& event) {
  constexpr int kFirstError = 500;
  constexpr int kFirstRedirect = 300;
  constexpr int kGatewayTimeout = 504;
  constexpr Duration kEndTolerance = 50ms;
  Flow* flow = FindFlow(event.flow);
  if (flow == nullptr || !flow->attempts.contains(event.attempt)) return;
  Attempt& attempt = flow->attempts[event.attempt];
  attempt.head_seen = true;
  attempt.answer = event.answer;
  crash_detector_.NoteHeard(attempt.engine_id, attempt.sent_at, now_);
  if (event.answer.load) engines_.RecordLoad(attempt.engine_id, *event.answer.load, now_);
  if (!event.answer.not_executed) {
    // An engine that stops at the request's end was late, not sick.
    const bool time_ran_out = event.answer.status == kGatewayTimeout && now_ + kEndTolerance >= flow->ends;
    const bool failed = event.answer.status >= kFirstError && !time_ran_out;
    LogEngineStanding(engines_.RecordResponse(attempt.engine_id, failed, now_));
    CountTenantUsage(*flow, attempt);
  }
  const bool begins = flow->route.kind == RouteKind::kStreaming && attempt.mode != AttemptMode::kPrefill &&
                      event.answer.status < kFirstRedirect && event.answer.signed_by_engine;
  if (!begins) return;
  RecordDecodeStart(*flow);
  if (attempt.window != nullptr) RecordPrefillDone(attempt);
  flow->relaying = true;
  flow->relayed_attempt = attempt.id;
  CancelAttempts(*flow, attempt.id);
  actions_->push_back(BeginRelay{flow->id, attempt.id});
  ScheduleWakeUp(*flow);
}

void ServingCore::On(const AttemptEventsReceived& event) {
  Flow* flow = FindFlow(event.flow);
  if (flow == nullptr || flow->relayed_attempt != event.attempt) return;
  flow->last_event_id = event.last_event_id;
  crash_detector_.NoteHeard(flow->attempts.at(event.attempt).engine_id, Time{}, now_);
}

void ServingCore::On(const AttemptCompleted& event) {
  detached_attempts_.erase(event.attempt);
  Flow* flow = FindFlow(event.flow);
  if (flow == nullptr || !flow->attempts.contains(event.attempt)) return;
  const Attempt attempt = flow->attempts[event.attempt];
  EndAttempt(*flow, event.attempt);
  crash_detector_.NoteHeard(attempt.engine_id, attempt.sent_at, now_);
  if (attempt.answer.not_executed) return OnRefusal(*flow, attempt);
  if (attempt.mode == AttemptMode::kPrefill) return FinishPrefill(*flow, attempt, event.handle);
  FinishExecution(*flow, attempt);
}

void ServingCore::On(const AttemptFailed& event) {
  if (const auto unattended = detached_attempts_.extract(event.attempt)) {
    if (event.failure == AttemptFailure::kBroken) {
      RecordBrokenResponse(unattended.mapped().engine_id, unattended.mapped().fingerprint);
    }
    return;
  }
  Flow* flow = FindFlow(event.flow);
  if (flow == nullptr || !flow->attempts.contains(event.attempt)) return;
  const Attempt attempt = flow->attempts[event.attempt];
  // An answer that was lost had mostly been made; a prompt that is lost had mostly not come to its first token.
  if (event.failure != AttemptFailure::kNotSent && !flow->language) CountTenantUsage(*flow, attempt);
  EndAttempt(*flow, event.attempt);
  if (event.failure == AttemptFailure::kBroken) RecordBrokenResponse(attempt.engine_id, flow->fingerprint);
  const EngineState* engine = engines_.Find(attempt.engine_id);
  const bool unreached = event.failure == AttemptFailure::kNotSent;
  // One that has answered others since only turns connections away.
  const bool alive = unreached && engine != nullptr && engine->last_heard > attempt.sent_at;
  if (alive) {
    engines_.RecordRejection(attempt.engine_id, now_);
  } else {
    LogEngineStanding(engines_.RecordFailure(attempt.engine_id, unreached ? "no connection" : "answer broken", now_));
  }
  OnAttemptLost(*flow, attempt, event.failure);
}

void ServingCore::On(const TimerFired& /*event*/) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now_) {
    const FlowId id = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    wake_ups_.erase(id);
    Flow* flow = FindFlow(id);
    if (flow == nullptr) continue;
    if (now_ >= flow->ends) {
      OnDeadline(*flow);
      continue;
    }
    if (flow->limit_pending) {
      ScheduleWakeUp(*flow);
      continue;
    }
    CheckAttemptTimeouts(*flow);
    flow = FindFlow(id);
    if (flow != nullptr && flow->hedge_at && now_ >= *flow->hedge_at) Hedge(*flow);
    flow = FindFlow(id);
    if (flow != nullptr && flow->engine_wait_ends) Advance(*flow);
    flow = FindFlow(id);
    if (flow != nullptr) ScheduleWakeUp(*flow);
  }
}

Flow* ServingCore::FindFlow(FlowId id) {
  const auto entry = flows_.find(id);
  return entry == flows_.end() ? nullptr : entry->second.get();
}

// Sets the flow's next wake-up: its end, its hedge, its wait, or a silent engine.
void ServingCore::ScheduleWakeUp(Flow& flow) {
  constexpr Duration kWaitStep = 20ms;
  Time at = flow.ends;
  if (flow.hedge_at && *flow.hedge_at > now_) at = std::min(at, *flow.hedge_at);
  if (flow.engine_wait_ends) at = std::min({at, *flow.engine_wait_ends, now_ + kWaitStep});
  for (const auto& [id, attempt] : flow.attempts) {
    if (!attempt.timeout_handled && !attempt.head_seen) at = std::min(at, attempt.times_out_at);
  }
  const auto armed = wake_ups_.find(flow.id);
  if (armed != wake_ups_.end()) deadlines_.erase({armed->second, flow.id});
  wake_ups_[flow.id] = at;
  deadlines_.insert({at, flow.id});
}

void ServingCore::Erase(FlowId id) {
  const auto armed = wake_ups_.find(id);
  if (armed != wake_ups_.end()) deadlines_.erase({armed->second, id});
  wake_ups_.erase(id);
  Flow* flow = FindFlow(id);
  if (flow == nullptr) return;
  Dequeue(*flow);
  while (!flow->attempts.empty()) EndAttempt(*flow, flow->attempts.begin()->first);
  if (flow->memory) actions_->push_back(ReleaseKvCache{*flow->memory});
  SettleCharge(*flow);
  flows_.erase(id);
}

void ServingCore::Log(EventId event, const Flow* flow, std::string details) {
  if (flow != nullptr && flow->fingerprint != 0) {
    details += fmt::format(R"(,"fingerprint":"{:016x}")", flow->fingerprint);
  }
  actions_->push_back(LogDecision{event, flow == nullptr ? "" : flow->facts.request_id, std::move(details)});
}

}  // namespace saltquay::serving
