// The serving core: routing, attempts, retries, limits and final answers for
// opaque requests. Deterministic: no clock, thread or socket; the same object
// runs in the daemon and in simulation.
//
// Protocol of a flow. A request is answered once. An attempt goes to one engine
// named by its identity. What can have run is never sent again unless the route
// says it may; a refusal (429, 503) is answered only for what has not run and
// never will. A stream is broken off rather than ended early; where its route
// allows, it goes on at another engine after the last whole event. When the
// route's time or the caller's is up, the final answer is sent at once.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "saltquay/admission/concurrency_window.h"
#include "saltquay/admission/prefill_queue.h"
#include "saltquay/limits/limiter.h"
#include "src/core/serving/crash_ledger.h"
#include "src/core/serving/demand_meter.h"
#include "src/core/serving/engine_crash_detector.h"
#include "src/core/serving/engine_selector.h"
#include "src/core/serving/events.h"
#include "src/core/serving/retry_budget_share.h"
#include "src/core/serving/serving_parameters.h"

namespace saltquay::serving {

struct Attempt {
  AttemptId id = 0;
  std::string engine_id;
  EngineKey engine_key;  // Of the life that it was sent to.
  AttemptMode mode = AttemptMode::kWhole;
  Time sent_at{};
  std::int64_t prompt_tokens = 0;  // That it reads, by our reckoning.
  bool head_seen = false;          // Of an answer that the engine made itself.
  EngineResponseHead answer;
  Time times_out_at{};  // Without an answer by then, it is looked into once.
  bool timeout_handled = false;
  std::optional<KvCacheSource> memory;             // That it was to take.
  bool engine_was_idle = false;                    // Nothing else was under way there, as far as is known.
  admission::ConcurrencyWindow* window = nullptr;  // That it takes a place of.
  int* unsettled_calls = nullptr;                  // Count of its line that it is part of until its end.
  Duration target = 0s;                            // What its reading should take at most.
};

struct Flow {
  FlowId id = 0;
  RequestMetadata facts;
  Route route;  // As it was when the request came.
  std::string service;
  std::string tenant;  // Empty: an anonymous caller's.
  // Of the request and whose it is: two tenants that ask the same are two. 0: not known.
  std::uint64_t fingerprint = 0;
  bool language = false;
  Time arrived{};
  Time ends{};
  std::map<AttemptId, Attempt> attempts;
  EngineIds tried;
  std::optional<KvCacheSource> memory;
  std::string kv_cache_zone;
  std::vector<std::string> kv_cache_refused_by;  // Engines that did not take the memory, whatever the cause.
  int arrivals = 0;                              // Attempts sent, prefills aside.
  int prefills = 0;
  int runs = 0;             // Attempts that may have run.
  int tries = 0;            // All attempts.
  bool unanswered = false;  // An attempt brought no answer: its connection may have been dead.
  bool relaying = false;    // The client has the head of a stream.
  std::string last_event_id;
  std::optional<Time> engine_wait_ends;  // For any engine to come.
  std::optional<Time> hedge_at;
  AttemptId relayed_attempt = 0;
  bool queued = false;           // Its prompt waits in the service's reading order.
  double worth = 0;              // Against the mean of its route; 0: not known yet.
  bool prefill_metered = false;  // Its reading is in the measured demand.
  std::optional<Time> read_at;   // When its prompt had been read apart.
  bool counted = false;          // For its tenant's usage.
  std::int64_t limit_cost = 0;   // Units that it takes of its tenant's limit; 0: there is none.
  bool limit_pending = false;    // Whether it is inside the limit is being found out.
  std::string limit_home;        // Name of the node that admitted it.
};

// What a service's prompts wait for, and what was learned of them.
struct PrefillState {
  explicit PrefillState(const ServingParameters& parameters)
      : order(admission::make_prefill_queue(parameters.prefill_order)),
        readers(parameters.window),
        overflow(parameters.overflow_window) {}

  std::unique_ptr<admission::PrefillQueue> order;
  admission::ConcurrencyWindow readers;   // Of prompts at engines that read.
  admission::ConcurrencyWindow overflow;  // Of those at engines that answer.
  int unsettled_calls = 0;                // First readings under way: each costs an extra arrival if it is refused.
  double peer_demand = 0;                 // Engines that the prompts of other nodes' callers would keep reading.
  double decode_start_ms = 0;  // From a prompt's reading to its first event; moving average; 0: not measured.
  std::set<std::pair<Time, FlowId>> wait_deadlines;  // Waiting prompts, by when they are judged.
};

// What this node starts, a second; the others are taken to start as much each.
struct DispatchRates {
  explicit DispatchRates(Duration memory) : prompt_tokens(memory), runs(memory) {}

  DecayingRate prompt_tokens;  // Read apart.
  DecayingRate runs;
};

// Learned of a route's prompts.
struct RouteStatistics {
  double mean_size = 0;
};

class ServingCore {
 public:
  ServingCore(const ServingParameters& parameters, const std::string& zone, std::uint64_t seed);

  void OnEvent(Time now, const Event& event, std::vector<Action>& actions);

  // Without one, tenants have no limits.
  // An earlier process of this node may have served until now.
  void BeginAfterRestart(Time now) { retry_budget_share_.BeginAfterRestart(now); }
  void set_limiter(std::unique_ptr<limits::Limiter> limiter) { limiter_ = std::move(limiter); }
  // Whether any tenant of the configuration in force has a limit.
  bool has_limits() const { return has_limits_; }
  // What is known of tenants' limits, for metrics.
  std::vector<limits::LimitStatus> LimitStatus(Time now) const;

  // When the core next wants TimerFired; nothing while it has no work.
  std::optional<Time> next_deadline() const;

  bool ready() const { return config_.has_value() && engines_listed_; }
  std::size_t flows() const { return flows_.size(); }
  std::uint64_t version() const { return config_ ? config_->version : 0; }
  const std::optional<ServingConfig>& config() const { return config_; }
  EngineDirectory& engines() { return engines_; }
  const EngineDirectory& engines() const { return engines_; }
  EngineSelector& selector() { return selector_; }
  CrashLedger& crashes() { return crashes_; }
  // This node's work and demand, for its report to the peers.
  std::vector<EngineWork> OwnWork(Time now);
  std::vector<ServiceDemand> OwnDemand(Time now);

 private:
  void On(const ConfigurationChanged& event);
  void On(const EnginesReplaced& event);
  void On(const EngineChanged& event);
  void On(const EngineRemoved& event);
  void On(const StoreConnectivityChanged& event);
  void On(const PeersChanged& event);
  void On(const RequestArrived& event);
  void On(const ClientDisconnected& event);
  void On(const AttemptHeadReceived& event);
  void On(const AttemptEventsReceived& event);
  void On(const AttemptCompleted& event);
  void On(const AttemptFailed& event);
  void On(const EngineProbed& event);
  void On(const PeerCrashesReported& event);
  void On(const NodesChanged& event);
  void On(const LimitMessageArrived& event);
  void On(const NodeStopping& event);
  void On(const TimerFired& event);

  // Flow steps (flow_steps.cc).
  void Advance(Flow& flow);
  bool StartPrefill(Flow& flow);
  // Reading orders (prefill_steps.cc).
  bool EnqueuePrefill(Flow& flow);
  void DispatchPrefills(PrefillState& line);
  void DispatchAllPrefills();
  bool DispatchPrefill(Flow& flow, admission::Lane lane);
  bool StartOverflowPrefill(Flow& flow);
  Duration PrefillTarget(const Flow& flow, const Attempt& attempt) const;
  void OccupyWindow(Flow& flow, admission::ConcurrencyWindow& window);
  void RecordPrefillDone(const Attempt& attempt);
  void ResolveExpiredWaits(PrefillState& line);
  bool DispatchOverLimit(Flow& flow, PrefillState& line);
  Duration JitteredRetryAfter(const Flow& flow);
  void SizeWindows(const std::string& service, PrefillState& line);
  void MeterPrefillDemand(Flow& flow, std::int64_t tokens, bool apart);
  void Dequeue(Flow& flow);
  PrefillState& PrefillStateOf(const std::string& service);
  admission::QueuedPrompt DescribePrompt(const Flow& flow, const PrefillState& line);
  double WorthOf(const Flow& flow);
  void RecordDecodeStart(const Flow& flow);
  bool StartExecution(Flow& flow);
  EngineState* ChooseExecutionEngine(Flow& flow, AttemptMode mode);
  void Start(Flow& flow, EngineState& engine, AttemptMode mode);
  void WaitOrRefuse(Flow& flow);
  void FinishPrefill(Flow& flow, const Attempt& attempt, const std::string& handle);
  void FinishExecution(Flow& flow, const Attempt& attempt);
  void OnRefusal(Flow& flow, const Attempt& attempt);
  void OnKvHandoffRefused(Flow& flow, const Attempt& attempt, bool still_held);
  void NoteRefusal(const Attempt& attempt, bool full);
  void OnAttemptLost(Flow& flow, const Attempt& attempt, AttemptFailure failure);
  void Retry(Flow& flow, std::string_view cause);
  // Takes a call to an engine out of the retry budget.
  void ChargeRetryBudget(const Flow& flow, ExtraArrival cause);
  // The first reading of the prompt is free if the engine took it up, and counts if it did not.
  void SettleFirstPrefill(const Flow& flow, bool taken_up);
  bool MayExecuteAgain(const Flow& flow) const;
  // What is waited for, and for how long (timeout_steps.cc).
  void OnDeadline(Flow& flow);
  void Hedge(Flow& flow);
  void CheckAttemptTimeouts(Flow& flow);
  bool ShouldAbandon(const Flow& flow, const Attempt& attempt, bool silent);
  Duration AttemptTimeout(const Attempt& attempt, const EngineState& engine) const;
  // Whether the engine has told nobody here anything since the attempt was sent.
  bool EngineSilentSince(const Attempt& attempt);
  // The engine has been silent since the attempt: what else rests on the way to it may be dead as well.
  void DropIdleConnectionsTo(const Attempt& attempt);
  void ExpireAttemptsAt(const std::string& engine_id);

  // Limits of tenants (limit_steps.cc).
  void SetLimits();
  void LogLimits(const std::map<std::string, limits::TenantLimit>& limits);
  // Begins to serve the request, at once or when it is found to be inside its tenant's limit.
  void AdmitByLimit(Flow& flow);
  void OnLimitDecided(Flow& flow, const limits::Decision& decision);
  void BeginServing(Flow& flow);
  // The flow is over: what it was charged stands, or goes back if nothing of it can have run.
  void SettleCharge(const Flow& flow);
  // Carries out what the limiter wants done.
  void StepLimiter();
  void LogOwnershipChange(const limits::OwnershipChange& change);

  // Engines that ended under requests (crash_steps.cc).
  void RecordBrokenResponse(const std::string& engine_id, std::uint64_t fingerprint);
  // What may run once runs on after its caller has left: its engine's end is still held against it.
  void TrackDetachedAttempts(const Flow& flow);
  void HandleCrashedEngines();
  // Refuses the request if it is in quarantine.
  bool RefuseIfQuarantined(Flow& flow);
  // Engines ended under it anew: tells, and ends its flows if it is in quarantine now.
  void OnCrashCountIncreased(std::uint64_t fingerprint, std::string_view source);
  void TerminateQuarantined(Flow& flow, Duration left);
  void NoteServed(const Flow& flow);

  // Ends of a flow.
  void Refuse(Flow& flow, std::string_view cause);
  void Refuse(Flow& flow, std::string_view cause, Duration retry_after);
  // `members`: JSON for the log line, beside what all refusals have.
  void Refuse(Flow& flow, int status, std::string_view cause, Duration retry_after, std::string_view members);
  void Fail(Flow& flow, int status, std::string_view cause);
  void AbortFlow(Flow& flow, std::string_view cause);
  void Erase(FlowId id);
  void CancelAttempts(Flow& flow, AttemptId except);
  void EndAttempt(Flow& flow, AttemptId id);

  Flow* FindFlow(FlowId id);
  // Remembers since when the engine is known to leave.
  void RecordLeaving(const std::string& engine_id);
  void ScheduleWakeUp(Flow& flow);
  void Log(EventId event, const Flow* flow, std::string details);
  bool SupportsPrefixCopy(const Flow& flow) const;
  // Tells the attempt what it reads and from where it copies.
  void PlanPrefillWork(const Flow& flow, EngineState& engine, Attempt& attempt, StartAttempt& start);
  void LogRouted(const Flow& flow, const EngineState& engine, const StartAttempt& start, std::int64_t tokens_to_read);
  void LogEngineStanding(const std::optional<HealthChange>& change);
  // Tells the selector what other nodes have started meanwhile, as far as it may be guessed.
  void EstimateUnreportedWork(const std::string& service);
  std::string ChooseService(const Route& route);
  // Finds out whose request it is; false: it was answered, for its key opens nothing.
  bool Authenticate(Flow& flow);
  // The attempt has run, or may have: the request counts as its tenant's usage, once.
  void CountTenantUsage(Flow& flow, const Attempt& attempt);
  // Nobody waits for the flow's attempts any more: plain engines have begun with them.
  void CountUnansweredUsage(Flow& flow);
  void MeterDispatch(Flow& flow, const Attempt& attempt);
  void MeterDecodeDemand(const Flow& flow, const Attempt& attempt);

  ServingParameters parameters_;
  EngineDirectory engines_;
  EngineSelector selector_;
  RetryBudgetShare retry_budget_share_;
  Random random_;
  std::optional<ServingConfig> config_;
  // A run that goes on although its caller has left.
  struct DetachedAttempt {
    std::string engine_id;
    std::uint64_t fingerprint = 0;
  };
  std::map<AttemptId, DetachedAttempt> detached_attempts_;
  EngineCrashDetector crash_detector_;
  CrashLedger crashes_;
  TenantDirectory tenants_;  // Of config_.
  std::unique_ptr<limits::Limiter> limiter_;
  bool has_limits_ = false;
  std::map<std::string, limits::TenantLimit> limits_;  // Of config_, by tenant.
  std::map<std::string, DemandMeter> demand_;          // By service.
  bool engines_listed_ = false;
  bool store_connected_ = false;
  std::map<FlowId, std::unique_ptr<Flow>> flows_;
  std::set<std::pair<Time, FlowId>> deadlines_;
  std::map<FlowId, Time> wake_ups_;
  AttemptId last_attempt_ = 0;
  std::map<std::string, PrefillState> lines_;                // By service.
  std::map<std::string, RouteStatistics> route_statistics_;  // By route.
  std::optional<Time> next_dispatch_;
  bool dispatch_wanted_ = false;
  int nodes_ = 1;
  Duration peer_report_age_ = 0s;
  std::map<std::string, DispatchRates> starts_;  // By service.
  Time now_{};
  std::vector<Action>* actions_ = nullptr;
};

}  // namespace saltquay::serving
