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
      forwarding_peers_(parameters.forwarding),
      stream_origins_(parameters.stream_origins),
      crashes_(parameters.crashes),
      recent_runs_(parameters.crash_delay) {
  set_engine_permits(std::make_unique<limits::EnginePermits>(limits::LimiterNode{}, seed, true, Time{}));
}

void ServingCore::OnEvent(Time now, const Event& event, std::vector<Action>& actions) {
  now_ = now;
  actions_ = &actions;
  std::visit([this](const auto& typed) { On(typed); }, event);
  if (!crash_detector_.empty()) HandleCrashedEngines();
  if (limiter_ != nullptr) StepLimiter();
  StepStreamOrigins();
  if (dispatch_pending_ || (next_dispatch_ && now_ >= *next_dispatch_)) DispatchAllPrefills();
  StepPermits();
  StepPaths();
  actions_ = nullptr;
}

std::optional<Time> ServingCore::next_deadline() const {
  std::optional<Time> next = limiter_ == nullptr ? std::nullopt : limiter_->next_deadline();
  const auto consider = [&next](Time at) { next = next ? std::min(*next, at) : at; };
  if (const std::optional<Time> at = permits_->next_deadline()) consider(*at);
  if (const std::optional<Time> at = paths_.next_deadline()) consider(*at);
  if (const std::optional<Time> at = stream_origins_.next_deadline()) consider(*at);
  if (!wake_up_queue_.empty()) consider(wake_up_queue_.begin()->first);
  if (next_dispatch_) consider(*next_dispatch_);
  return next;
}

void ServingCore::On(const ConfigurationChanged& event) {
  if (config_ && event.config.version <= config_->version) return;
  config_ = event.config;
  tenants_ = TenantDirectory(config_->tenants);
  SetLimits();
  SetStreamLifetime();
  Log(EventId::kConfigInForce, nullptr,
      fmt::format(R"("version":{},"routes":{},"services":{},"tenants":{},"keys":{})", config_->version,
                  config_->routes.size(), config_->services.size(), config_->tenants.size(), tenants_.key_count()));
}

void ServingCore::On(const StoreConnectivityChanged& event) {
  if (store_connected_ == event.connected) return;
  store_connected_ = event.connected;
  if (!store_connected_) crash_detector_.RecordStoreLost();
  store_connected_ ? version_history_.Begin(now_) : version_history_.End();
  UpdateAllStreamAnnouncing();
  Log(EventId::kStoreContact, nullptr, fmt::format(R"("in_contact":{})", store_connected_));
}

void ServingCore::On(const RecordsConfirmed& event) {
  version_history_.Confirm(event.as_of);
  const std::map<FlowId, StreamAnswer> waiting = std::exchange(awaiting_records_, {});
  for (const auto& [id, answer] : waiting) {
    Flow* flow = FindFlow(id);
    if (flow != nullptr) OnStreamAnswer(*flow, answer);
  }
}

void ServingCore::On(const PeersChanged& event) {
  retry_budget_share_.set_nodes(event.nodes, now_);
  peer_report_age_ = event.age;
  nodes_ = std::max(1, event.nodes);
  selector_.set_has_peer_reports(event.nodes > 1);
  engines_.SetPeerWork(event.work);
  RecordEnginesAlive(event);
  for (const HealthChange& change : engines_.EjectByFleetOutcomes(event.work, random_.Unit(), now_))
    LogEngineHealth(change);
  for (const KeptPart& kept : event.kept) selector_.RecordCachedPart(kept, now_);
  for (const EngineHold& hold : event.holds) {
    if (EngineState* engine = engines_.Find(hold.engine_id)) engine->held_until = now_ + hold.left;
  }
  for (const ServiceDemand& demand : event.demand) {
    PrefillState& state = PrefillStateOf(demand.service);
    state.peer_demand = demand.prefill_engines;
    if (demand.prefill_depth > 0) state.prefill_window.blend_depth(demand.prefill_depth);
  }
  dispatch_pending_ = true;
}

std::vector<ServiceDemand> ServingCore::LocalDemand(Time now) {
  std::vector<ServiceDemand> demand;
  for (auto& [service, meter] : demand_) {
    const auto state = prefill_states_.find(service);
    const double depth = state == prefill_states_.end() ? 0 : state->second.prefill_window.depth();
    demand.push_back(
        {service, meter.prefill.Get(now), meter.decode.Get(now), depth, 1, {}, meter.unloaded_prefill.Get(now)});
  }
  return demand;
}

// Each request demands one prefill, whether or not an engine has capacity for it. Repeated prefills are caused by
// engine failures and are not demand.
void ServingCore::MeterPrefillDemand(Flow& flow, std::int64_t tokens, bool separate) {
  constexpr double kSecond = 1000;
  constexpr double kDecodePrefillSlowdown = 2;
  if (!flow.language || flow.prefill_metered) return;
  flow.prefill_metered = true;
  const double seconds = static_cast<double>(tokens) / selector_.median_prefill_rate() / kSecond;
  DemandMeter& meter = demand_.try_emplace(flow.service, parameters_.demand_averaging_time).first->second;
  if (separate) {
    meter.prefill.Add(seconds, now_);
    const double prefill_rate = std::max(selector_.prefill_time_model().rate(), selector_.median_prefill_rate());
    meter.unloaded_prefill.Add(static_cast<double>(tokens) / prefill_rate / kSecond, now_);
  } else {
    meter.decode.Add(kDecodePrefillSlowdown * seconds, now_);
  }
}

// Decode demand is the share of an engine that the attempt occupied, times its duration.
void ServingCore::MeterDecodeDemand(const Flow& flow, const Attempt& attempt) {
  if (!flow.language || attempt.mode == AttemptMode::kPrefill || attempt.mode == AttemptMode::kForward) return;
  const Service* service = config_ ? config_->FindService(flow.service) : nullptr;
  if (service == nullptr || !service->language) return;
  const LanguageEngineTraits& traits = *service->language;
  const double slots = std::max(1.0, parameters_.target_utilization * traits.slots);
  const double kv_capacity =
      std::max(1.0, parameters_.target_utilization * static_cast<double>(traits.kv_capacity_tokens));
  const double share = std::max(1.0 / slots, flow.metadata.prompt->tokens / kv_capacity);
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
  auto new_flow = std::make_unique<Flow>();
  Flow& flow = *new_flow;
  flow.id = event.flow;
  flow.metadata = event.metadata;
  flow.arrived = now_;
  flow.last_event_id = event.metadata.last_event_id;
  flows_[flow.id] = std::move(new_flow);
  if (!ready()) {
    return flow.metadata.forwarded ? RefuseElsewhere(flow, "no configuration received yet")
                                   : Refuse(flow, "no configuration received yet");
  }
  const Route* route = config_->FindRoute(event.metadata.host, event.metadata.path);
  if (route == nullptr) {
    // Only a node that is connected to the store can determine that a route does not exist.
    return store_connected_ ? Fail(flow, kNotFound, "no route")
                            : Refuse(flow, "no matching route, store not connected");
  }
  flow.route = *route;
  if (!Authenticate(flow)) return;
  if (flow.metadata.forwarded && !AdoptForwarded(flow)) return;
  if (flow.metadata.fingerprint != 0) flow.fingerprint = HashPair(flow.metadata.fingerprint, HashText(flow.tenant));
  if (StopIfQuarantined(flow)) return;
  flow.service = ChooseService(*route);
  const Service* service = config_->FindService(flow.service);
  flow.language = service != nullptr && service->language && flow.metadata.prompt;
  const Duration time_limit = std::min(route->timeout, event.metadata.deadline.value_or(route->timeout));
  flow.expires_at =
      now_ +
      std::max(1ms, std::chrono::duration_cast<std::chrono::milliseconds>(time_limit - parameters_.response_margin));
  if (route->kind == RouteKind::kRepeatable) {
    flow.hedge_at = now_ + FromSeconds(ToSeconds(route->objective) * parameters_.hedge_delay_share);
  }
  AdmitByLimit(flow);
}

bool ServingCore::Authenticate(Flow& flow) {
  constexpr int kUnauthorized = 401;
  const std::string key = std::exchange(flow.metadata.api_key, "");
  if (!config_->requires_keys) return true;
  if (key.empty() && flow.route.allows_anonymous) return true;
  const Tenant* tenant = tenants_.FindByKey(key);
  if (tenant != nullptr) {
    flow.tenant = tenant->name;
    flow.route.priority = tenant->priority.value_or(flow.route.priority);
    if (tenant->limit && tenant->limit->rate_per_s > 0) flow.limit_cost = CostOf(*tenant->limit, flow.metadata);
    return true;
  }
  // An unknown key may have been issued since this node last received a configuration; a missing key is always an
  // error.
  if (key.empty()) {
    Fail(flow, kUnauthorized, "missing API key");
  } else if (store_connected_) {
    Fail(flow, kUnauthorized, "unknown API key");
  } else {
    Refuse(flow, "unknown API key, store not connected");
  }
  return false;
}

// A language engine starts executing with the first token, when it also sends its response head. Other engines start
// when the request arrives and send their response when they are done.
void ServingCore::CountTenantUsage(Flow& flow, const Attempt& attempt) {
  if (flow.usage_counted || flow.tenant.empty() || attempt.mode == AttemptMode::kPrefill) return;
  if (attempt.mode == AttemptMode::kForward) return;  // The peer counts it.
  flow.usage_counted = true;
  actions_->push_back(ExecutionStarted{flow.tenant, flow.language ? now_ : attempt.sent_at});
}

void ServingCore::CountUsageWithoutResponse(Flow& flow) {
  if (flow.language) return;
  for (const auto& [id, attempt] : flow.attempts) CountTenantUsage(flow, attempt);
}

void ServingCore::On(const ClientDisconnected& event) {
  Flow* flow = FindFlow(event.flow);
  if (flow == nullptr) return;
  CountUsageWithoutResponse(*flow);
  // The client may come back until its stream is older than what the nodes remember.
  if (flow->origin_pending && !OnlySoftwareVersion(flow->service)) RenewStream(*flow, kUnknownOrigin);
  Log(EventId::kClientLeft, flow, fmt::format(R"("attempts":{})", flow->attempts.size()));
  CancelForwards(*flow);  // The peer decides the same.
  const bool keeps_running = flow->route.kind == RouteKind::kAtMostOnce;
  if (keeps_running) {
    TrackDetachedAttempts(*flow);
  } else {
    CancelAttempts(*flow, 0);
  }
  Erase(flow->id);
}

void ServingCore::On(const AttemptHeadReceived& event) {
  constexpr int kFirstError = 500;
  constexpr int kFirstRedirect = 300;
  constexpr int kNoContent = 204;
  constexpr int kGatewayTimeout = 504;
  constexpr Duration kEndTolerance = 50ms;
  Flow* flow = FindFlow(event.flow);
  if (flow == nullptr || !flow->attempts.contains(event.attempt)) return;
  Attempt& attempt = flow->attempts[event.attempt];
  attempt.head_seen = true;
  attempt.head_received_at = now_;
  attempt.response_head = event.response_head;
  RecordEngineHeard(attempt);
  RecordEngineAlive(attempt.engine_key, now_);
  crash_detector_.RecordActivity(attempt.engine_id, attempt.sent_at, now_);
  if (event.response_head.load) engines_.RecordLoad(attempt.engine_id, *event.response_head.load, now_);
  if (!event.response_head.not_executed) {
    // An engine that times out at the request's deadline was slow; that is no failure.
    const bool time_ran_out = event.response_head.status == kGatewayTimeout && now_ + kEndTolerance >= flow->expires_at;
    const bool failed = event.response_head.status >= kFirstError && !time_ran_out;
    LogEngineHealth(engines_.RecordResponse(attempt.engine_id, failed, now_));
    CountTenantUsage(*flow, attempt);
    RecordResponseBegun(*flow, attempt);
  }
  const bool may_stream = flow->route.kind == RouteKind::kStreaming && attempt.mode != AttemptMode::kPrefill &&
                          event.response_head.status != kNoContent;
  const bool starts_stream =
      may_stream && event.response_head.status < kFirstRedirect && event.response_head.signed_by_engine;
  if (!starts_stream) return;
  RecordDecodeStart(*flow);
  if (attempt.window != nullptr) RecordPrefillDone(attempt);
  flow->relaying = true;
  flow->relayed_attempt = attempt.id;
  CancelAttempts(*flow, attempt.id);
  RecordStreamOrigin(*flow, attempt);
  actions_->push_back(BeginRelay{flow->id, attempt.id});
  ScheduleWakeUp(*flow);
}

void ServingCore::On(const AttemptEventsReceived& event) {
  Flow* flow = FindFlow(event.flow);
  if (flow == nullptr || flow->relayed_attempt != event.attempt) return;
  if (!event.last_event_id.empty()) flow->last_event_id = event.last_event_id;
  flow->position_known = event.last_event_has_id;
  BindSoftwareVersion(*flow, flow->attempts.at(event.attempt));
  RecordEngineAlive(flow->attempts.at(event.attempt).engine_key, now_);
  crash_detector_.RecordActivity(flow->attempts.at(event.attempt).engine_id, Time{}, now_);
}

void ServingCore::On(const AttemptCompleted& event) {
  detached_attempts_.erase(event.attempt);
  Flow* flow = FindFlow(event.flow);
  if (flow == nullptr || !flow->attempts.contains(event.attempt)) return;
  flow->attempts[event.attempt].progress = event.progress;
  const Attempt attempt = flow->attempts[event.attempt];
  EndAttempt(*flow, event.attempt);
  crash_detector_.RecordActivity(attempt.engine_id, attempt.sent_at, now_);
  if (attempt.mode == AttemptMode::kForward) return FinishForward(*flow, attempt);
  if (attempt.response_head.not_executed) return OnRefusal(*flow, attempt);
  if (attempt.mode == AttemptMode::kPrefill) return FinishPrefill(*flow, attempt, event.handle);
  FinishExecution(*flow, attempt);
}

void ServingCore::On(const TimerFired& /*event*/) {
  while (!wake_up_queue_.empty() && wake_up_queue_.begin()->first <= now_) {
    const FlowId id = wake_up_queue_.begin()->second;
    wake_up_queue_.erase(wake_up_queue_.begin());
    wake_ups_.erase(id);
    Flow* flow = FindFlow(id);
    if (flow == nullptr) continue;
    if (flow->records_wait_ends && now_ >= *flow->records_wait_ends) {
      OnRecordsLate(*flow);
      continue;
    }
    if (now_ >= flow->expires_at) {
      OnDeadline(*flow);
      continue;
    }
    if (flow->limit_pending || flow->origin_pending) {
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

// Schedules the flow's next wake-up: its deadline, its hedge, the end of its wait, or an attempt's timeout.
void ServingCore::ScheduleWakeUp(Flow& flow) {
  constexpr Duration kWaitStep = 20ms;
  Time at = flow.expires_at;
  if (flow.hedge_at && *flow.hedge_at > now_) at = std::min(at, *flow.hedge_at);
  if (flow.records_wait_ends) at = std::min(at, *flow.records_wait_ends);
  if (flow.engine_wait_ends) at = std::min({at, *flow.engine_wait_ends, now_ + kWaitStep});
  for (const auto& [id, attempt] : flow.attempts) {
    if (attempt.head_seen) continue;
    if (!attempt.silence_checked) at = std::min(at, attempt.sent_at + parameters_.silence_check_delay);
    if (!attempt.timeout_handled) at = std::min(at, attempt.times_out_at);
  }
  const auto armed = wake_ups_.find(flow.id);
  if (armed != wake_ups_.end()) wake_up_queue_.erase({armed->second, flow.id});
  wake_ups_[flow.id] = at;
  wake_up_queue_.insert({at, flow.id});
}

void ServingCore::Erase(FlowId id) {
  const auto armed = wake_ups_.find(id);
  if (armed != wake_ups_.end()) wake_up_queue_.erase({armed->second, id});
  wake_ups_.erase(id);
  Flow* flow = FindFlow(id);
  if (flow == nullptr) return;
  Dequeue(*flow);
  while (!flow->attempts.empty()) EndAttempt(*flow, flow->attempts.begin()->first);
  if (flow->kv_cache) Release(*flow->kv_cache);
  SettleCharge(*flow);
  flows_.erase(id);
}

void ServingCore::Log(EventId event, const Flow* flow, std::string details) {
  if (flow != nullptr && flow->fingerprint != 0) {
    details += fmt::format(R"(,"fingerprint":"{:016x}")", flow->fingerprint);
  }
  actions_->push_back(LogDecision{event, flow == nullptr ? "" : flow->metadata.request_id, std::move(details)});
}

}  // namespace saltquay::serving
