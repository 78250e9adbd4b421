// The serving core: routing, attempts, retries, limits and final responses for opaque requests. Deterministic: no
// clock, thread or socket; the same object runs in the daemon and in simulation.
//
// Protocol of a flow. Each request gets exactly one response. An attempt is sent to one engine, identified by its id. A
// request that may have been executed is not sent again unless its route permits it; a refusal (429, 503) is sent only
// if the request has not been executed and never will be. A stream that cannot be completed is aborted, never ended as
// if it were complete; if its route permits, it is resumed at another engine of the same software version after the
// last complete event. When the route's timeout or the client's deadline expires, the final response is sent at once.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "saltquay/limits/limiter.h"
#include "src/core/serving/crash_ledger.h"
#include "src/core/serving/demand_meter.h"
#include "src/core/serving/engine_crash_detector.h"
#include "src/core/serving/engine_gate.h"
#include "src/core/serving/engine_path_monitor.h"
#include "src/core/serving/engine_selector.h"
#include "src/core/serving/events.h"
#include "src/core/serving/flow.h"
#include "src/core/serving/forwarding_peers.h"
#include "src/core/serving/prefill_state.h"
#include "src/core/serving/recent_runs.h"
#include "src/core/serving/retry_budget_share.h"
#include "src/core/serving/serving_parameters.h"
#include "src/core/serving/software_version_history.h"
#include "src/core/serving/stream_origins.h"

namespace saltquay::serving {

class ServingCore {
 public:
  ServingCore(const ServingParameters& parameters, const std::string& zone, std::uint64_t seed);

  void OnEvent(Time now, const Event& event, std::vector<Action>& actions);

  void BeginFirstStart() { version_history_.BeginFirstStart(); }  // Of the whole system.
  // Call if an earlier process of this node may have served until now.
  void BeginAfterRestart(Time now) { retry_budget_share_.BeginAfterRestart(now); }
  // Without a limiter, tenant limits are not enforced.
  void set_limiter(std::unique_ptr<limits::Limiter> limiter) { limiter_ = std::move(limiter); }
  // Without this call, the node issues all permits for engines itself.
  void set_engine_permits(std::unique_ptr<limits::EnginePermits> permits);
  // Whether any tenant of the configuration in force has a limit.
  bool has_limits() const { return has_limits_; }
  // Whether NodesChanged events are needed: a tenant of the configuration in force, or an engine, has a limit.
  bool needs_nodes() const { return has_limits_ || !engine_limits_.empty(); }
  // Where this node receives messages of its peers; empty if it has none.
  void set_peer_address(std::string address) { stream_origins_.set_address(std::move(address)); }
  // The state of the tenants' limits, for metrics.
  std::vector<limits::LimitStatus> LimitStatus(Time now) const;

  // When the core next needs a TimerFired event; nothing while it has no work.
  std::optional<Time> next_deadline() const;

  bool ready() const { return config_.has_value() && engines_listed_; }
  std::size_t flows() const { return flows_.size(); }
  std::uint64_t version() const { return config_ ? config_->version : 0; }
  const std::optional<ServingConfig>& config() const { return config_; }
  EngineDirectory& engines() { return engines_; }
  const EngineDirectory& engines() const { return engines_; }
  EngineSelector& selector() { return selector_; }
  CrashLedger& crashes() { return crashes_; }
  // Engines that this node cannot connect to.
  std::size_t unreachable_engines() const { return paths_.unreachable_count(); }
  // Whether this node can connect to at least half of the engines that it knows.
  bool ReachesMostEngines() const { return 2 * paths_.unreachable_count() <= engines_.all().size(); }
  // Another engine, to find out whether this node can connect to any; nullptr if there is none.
  const EngineState* ControlEngine(const std::string& engine_id) const;
  // This node's work and demand, for its report to the peers.
  std::vector<EngineWork> LocalWork(Time now) { return engines_.LocalWork(now); }
  std::vector<ServiceDemand> LocalDemand(Time now);
  // The engines' limits that this node knows, for its report to the peers.
  std::vector<EngineLimitMark> EngineLimitMarks(Time now) const;
  // Engines that stated that they are leaving, for the same report.
  std::vector<EngineKey> LeavingEngines() const;

 private:
  void On(const ConfigurationChanged& event);
  void On(const EnginesReplaced& event);
  void On(const EngineChanged& event);
  void On(const EngineRemoved& event);
  void On(const EngineChangesApplied& event);
  void On(const StoreConnectivityChanged& event);
  void On(const RecordsConfirmed& event);
  void On(const PeersChanged& event);
  void On(const RequestArrived& event);
  void On(const ClientDisconnected& event);
  void On(const EngineNoticeReceived& event);
  void On(const AttemptHeadReceived& event);
  void On(const AttemptEventsReceived& event);
  void On(const AttemptCompleted& event);
  void On(const AttemptFailed& event);
  void On(const AttemptAtOtherProcess& event);
  void On(const EngineProbed& event);
  void On(const PeerProbedEngine& event);
  void On(const PeerCrashesReported& event);
  void On(const PeerEngineLimitsReported& event);
  void On(const PeerLeavingEnginesReported& event);
  void On(const NodesChanged& event);
  void On(const PeersListed& event);
  void On(const LimitMessageArrived& event);
  void On(const PermitMessageArrived& event);
  void On(const StreamMessageArrived& event);
  void On(const NodeStopping& event);
  void On(const TimerFired& event);

  // Flow steps (flow_steps.cc).
  void Advance(Flow& flow);
  bool StartPrefill(Flow& flow);
  // Prefill queues (prefill_steps.cc).
  bool EnqueuePrefill(Flow& flow);
  void DispatchPrefills(PrefillState& state);
  void DispatchAllPrefills();
  bool DispatchPrefill(Flow& flow, admission::Lane lane);
  // How long a prompt is queued until it is committed or refused.
  Duration QueueWait(const Flow& flow) const;
  // Whether engines may prefill and decode the prompt within that time.
  bool PrefillOpensInTime(const Flow& flow);
  bool StartOverflowPrefill(Flow& flow);
  Duration PrefillTarget(const Flow& flow, const Attempt& attempt) const;
  void OccupyWindow(Flow& flow, admission::ConcurrencyWindow& window);
  void RecordPrefillDone(const Attempt& attempt);
  void ResolveExpiredWaits(PrefillState& state);
  bool DispatchOverLimit(Flow& flow, PrefillState& state);
  Duration JitteredRetryAfter(const Flow& flow);
  void SizeWindows(const std::string& service, PrefillState& state);
  void MeterPrefillDemand(Flow& flow, std::int64_t tokens, bool separate);
  void Dequeue(Flow& flow);
  PrefillState& PrefillStateOf(const std::string& service);
  admission::QueuedPrompt DescribePrompt(const Flow& flow, const PrefillState& state);
  double ValueOf(const Flow& flow);
  void RecordDecodeStart(const Flow& flow);
  bool StartExecution(Flow& flow);
  EngineState* ChooseExecutionEngine(Flow& flow, AttemptMode mode);
  void Start(Flow& flow, EngineAdmission admission, AttemptMode mode);
  Duration ConnectTimeout(const std::string& zone) const;
  void WaitOrRefuse(Flow& flow);
  // How long the flow waits for an engine. `all_closed`: those that it may go to have asked for fewer requests.
  Duration EngineWait(const Flow& flow, bool all_closed) const;
  // Sends the request again to an engine that rejected it, if its backoff is over.
  bool RetryRejectingEngine(Flow& flow);
  void FinishPrefill(Flow& flow, const Attempt& attempt, const std::string& handle);
  void FinishExecution(Flow& flow, const Attempt& attempt);
  void LogAnswered(const Flow& flow, const Attempt& attempt);
  void OnRefusal(Flow& flow, const Attempt& attempt);
  void Release(const KvCacheSource& source);
  void OnKvHandoffRefused(Flow& flow, const Attempt& attempt, bool still_held);
  void RecordRefusal(const Attempt& attempt, bool full);
  void OnAttemptLost(Flow& flow, const Attempt& attempt, AttemptFailure failure);
  // The attempt was not sent.
  void UncountAttempt(Flow& flow, const Attempt& attempt);
  void Retry(Flow& flow, std::string_view cause);
  // Charges a call to an engine to the retry budget.
  void ChargeRetryBudget(const Flow& flow, ExtraArrival cause);
  // The first prefill of a prompt is charged to the retry budget only if the engine did not accept it.
  void SettleFirstPrefill(const Flow& flow, bool accepted);
  bool MayExecuteAgain(const Flow& flow) const;
  // Timeouts of attempts and flows (timeout_steps.cc).
  void OnDeadline(Flow& flow);
  void Hedge(Flow& flow);
  void CheckAttemptTimeouts(Flow& flow);
  bool ShouldAbandon(const Flow& flow, const Attempt& attempt, bool unresponsive);
  Duration AttemptTimeout(const Attempt& attempt, const EngineState& engine) const;
  // Whether this node has received nothing from the engine since the attempt was sent.
  bool EngineUnresponsiveSince(const Attempt& attempt);
  // The engine has been unresponsive since the attempt was sent, so other idle connections to it may be dead as well.
  void DropIdleConnectionsTo(const Attempt& attempt);
  void ExpireAttemptsAt(const std::string& engine_id);

  // What engines state about themselves (engine_notice_steps.cc).
  // The engine stated that it is leaving. `source`: who passed that on, for the log.
  void RecordLeavingStatement(EngineState& engine, std::string_view source);
  void ReportStatementsSoon();
  // The engine asked this node to send nothing for a time.
  void RecordRest(EngineState& engine, Duration rest);
  // `source`: who passed on the engine's statement, for the log.
  void SetEngineLimit(EngineState& engine, std::optional<double> requests_per_s, Time stated_at,
                      std::string_view source);
  // Whether the gates of some engines may be closed.
  bool AnyEngineMayBeClosed() const { return !engine_limits_.empty() || now_ < last_rest_ends_; }
  // Asks for the permits that were missed, runs due work and acts on the output.
  void StepPermits();
  // The earliest time at which an engine may take the flow's next execution; nullopt: none can.
  std::optional<Time> ExecutionOpensAt(const Flow& flow);

  // Limits of tenants (limit_steps.cc).
  void SetLimits();
  void LogLimits(const std::map<std::string, limits::TenantLimit>& limits);
  // Starts serving the request as soon as the tenant's limit admits it.
  void AdmitByLimit(Flow& flow);
  void OnLimitDecided(Flow& flow, const limits::Decision& decision);
  void BeginServing(Flow& flow);
  // At the end of a flow: confirms the charge, or refunds it if the request cannot have been executed.
  void SettleCharge(const Flow& flow);
  // Runs the limiter's due work and acts on its output.
  void StepLimiter();
  void LogOwnershipChange(const limits::OwnershipChange& change);

  // Paths to engines (path_steps.cc).
  // Decides whether the failure says something about the engine or only about the path to it.
  void AttributeFailure(const Flow& flow, const Attempt& attempt, AttemptFailure failure);
  void SuspectEngine(EngineState& engine, AttemptFailure failure);
  // Probes the engine, at most once during an event.
  void RequestProbe(const EngineState& engine);
  void OnProbeFailed(EngineState& engine, EngineProbeOutcome outcome);
  void CheckRelatedEngines();
  void CheckSilentEngine(const Attempt& attempt);
  void RecordSilence(const Attempt& attempt);
  void MarkUnreachable(EngineState& engine, std::string_view cause);
  void MarkReachable(EngineState& engine, std::string_view cause);
  // The engine responded to the attempt.
  void RecordEngineHeard(const Attempt& attempt);
  // Starts the probes that are due.
  void StepPaths();
  void LogPath(const EngineState& engine, std::string_view cause);
  void LogAttemptFailure(const Flow& flow, const Attempt& attempt, AttemptFailure failure);
  // JSON members that describe the end of the attempt's response, with a leading comma; empty if there was none.
  static std::string ProgressMembers(const Attempt& attempt);

  // Requests handed to peers (forward_steps.cc).
  // Hands the request to a peer; returns false if there is none to ask now.
  bool StartForward(Flow& flow);
  ForwardRequest MakeForward(const Flow& flow, const PeerNode& peer) const;
  // Whether this node cannot reach any engine of a stage that the request needs.
  bool LacksPath(const Flow& flow);
  // The same, or connections to several engines have failed.
  bool CannotReachEngines(const Flow& flow);
  // Whether to hand the request to a peer rather than to send it to the engine, which may be nullptr.
  bool PrefersPeer(const Flow& flow, const EngineState* engine);
  void FinishForward(Flow& flow, const Attempt& attempt);
  void OnForwardLost(Flow& flow, const Attempt& attempt, AttemptFailure failure);
  // Takes over the state of a request that a peer has handed to this node. Returns false if the request was refused.
  bool AdoptForwarded(Flow& flow);
  // Refuses a request of a peer so that it asks another node; nothing was executed here.
  void RefuseElsewhere(Flow& flow, std::string_view cause);
  // Whether this node has executed nothing for the request of a peer, and cannot serve it.
  bool MustRefuseElsewhere(const Flow& flow);
  void CancelForwards(Flow& flow);
  // Hands over prompts that are queued for engines which became unreachable.
  void ForwardQueuedPrompts();

  // Engines that crashed while running requests (crash_steps.cc).
  void RecordBrokenResponse(const std::string& engine_id, InterruptedRun run);
  // The engine's process may have ended right after a run that seemed to be complete.
  void RecordRefusedConnection(const EngineState& engine);
  InterruptedRun DescribeInterruptedRun(const Flow& flow, const Attempt& attempt) const;
  // At-most-once attempts go on after the client disconnects. If the engine crashes, the request is still blamed.
  void TrackDetachedAttempts(const Flow& flow);
  void HandleCrashedEngines();
  // Asks peers whether the engine has crashed.
  void AskPeersAbout(const EngineState& engine);
  // This node's runs that the engine did not survive.
  std::set<CrashSubject> RunsAtCrash(const CrashedEngine& crashed);
  void BlameSubjects(const std::set<CrashSubject>& subjects, EngineKey engine, Time crashed_at);
  // Blames this node's runs for crashes that peers have reported.
  void BlameOwnRuns(const std::vector<CrashMark>& marks);
  // The flow's request and the shared parts of its prompt.
  static std::vector<CrashSubject> SubjectsOf(const Flow& flow);
  // Whether the request or a part of its prompt is quarantined: then no further attempt may start, and unless a
  // response has begun, the flow is terminated.
  bool StopIfQuarantined(Flow& flow);
  // The subject's crash count grew: if it is quarantined now, logs that and terminates its flows.
  void OnCrashCountIncreased(const CrashSubject& subject, std::string_view source);
  void TerminateQuarantined(Flow& flow, const CrashSubject& subject, Duration remaining);
  // An engine has begun to respond: it will have crashed before long if a part of the prompt makes engines crash.
  void RecordResponseBegun(const Flow& flow, const Attempt& attempt);
  // The response is complete; the engine may yet crash.
  void RecordCompletion(const Flow& flow, const Attempt& attempt);
  // The engine was running at that time, so the runs that it has survived are harmless.
  void RecordEngineAlive(const EngineKey& engine, Time alive_at);
  // The same for engines that have responded to other nodes.
  void RecordEnginesAlive(const PeersChanged& event);

  // Software versions at which streams begin and go on (software_version_steps.cc).
  void FindStreamOrigin(Flow& flow);
  void OnStreamAnswer(Flow& flow, const StreamAnswer& answer);
  // The version that must have begun the stream if this node and its peers know all; nullopt if it cannot be told.
  std::optional<std::string> InferSoftwareVersion(const Flow& flow, const StreamAnswer& answer);
  // The only version of the service that has served for long enough, by records that are current.
  std::optional<std::string> OnlySoftwareVersion(const std::string& service);
  void RefuseResumption(Flow& flow, const StreamAnswer& answer);
  void OnRecordsLate(Flow& flow);
  // The client has come back: what is recorded about its stream lasts until it may come back once more.
  void RenewStream(const Flow& flow, const StreamOrigin& origin);
  void ResumeAt(Flow& flow, const StreamOrigin& origin, std::string_view source, std::string_view evidence);
  // What the decision about a stream's version rests on: JSON members with a leading comma.
  std::string DescribeEvidence(const StreamAnswer& answer) const;
  // Whether the flow's stream may only go on at a version that no engine has.
  bool LacksSoftwareVersion(Flow& flow);
  void OnSoftwareVersionGone(Flow& flow);
  // The attempt's response has begun: records, and announces if necessary, where the stream begins. Not before, since
  // an attempt that fails would leave an origin behind that a later one has to correct.
  void RecordStreamOrigin(const Flow& flow, const Attempt& attempt);
  // The attempt has brought an event.
  void BindSoftwareVersion(Flow& flow, const Attempt& attempt);
  // Determines whether streams of the service have to be announced to peers; returns whether they do.
  bool UpdateStreamAnnouncing(const std::string& service);
  void UpdateAllStreamAnnouncing();
  void SetStreamLifetime();
  void StepStreamOrigins();

  // Which process of an engine serves, of those that run one after the other under its id (engine_process_steps.cc).
  // The version of the stream's engine; nullopt while no record tells it.
  std::optional<std::string> SoftwareVersionOf(const StreamOrigin& origin) const;
  void BindOrigin(Flow& flow, const StreamOrigin& origin);
  // A record of the engine's process has arrived.
  void ResolveOrigins(const EngineRecord& record);

  // Terminating a flow.
  void Refuse(Flow& flow, std::string_view cause);
  void Refuse(Flow& flow, std::string_view cause, Duration retry_after);
  // `members`: additional JSON members of the log line.
  void Refuse(Flow& flow, int status, std::string_view cause, Duration retry_after, std::string_view members);
  void Fail(Flow& flow, int status, std::string_view cause);
  void AbortFlow(Flow& flow, std::string_view cause);
  void Erase(FlowId id);
  void CancelAttempts(Flow& flow, AttemptId except);
  void EndAttempt(Flow& flow, AttemptId id);

  Flow* FindFlow(FlowId id);
  // The engine's record was added or changed: notes when this node learnt that the engine is leaving, and which of its
  // statements the peers have to know.
  void ApplyRecord(const std::string& engine_id);
  void ScheduleWakeUp(Flow& flow);
  void Log(EventId event, const Flow* flow, std::string details);
  bool SupportsPrefixCopy(const Flow& flow) const;
  // Determines how many tokens the attempt prefills and from where the engine copies cached parts.
  void PlanPrefillWork(const Flow& flow, EngineState& engine, Attempt& attempt, StartAttempt& start);
  void LogRouted(const Flow& flow, const EngineState& engine, const StartAttempt& start,
                 std::int64_t tokens_to_prefill);
  void LogEngineHealth(const std::optional<HealthChange>& change);
  // Gives the selector an estimate of the work that other nodes have started since their last reports.
  void EstimateUnreportedWork(const std::string& service);
  std::string ChooseService(const Route& route);
  // Determines the tenant from the API key. Returns false if the request was rejected.
  bool Authenticate(Flow& flow);
  // The attempt was or may have been executed: counts the request as usage of its tenant, once.
  void CountTenantUsage(Flow& flow, const Attempt& attempt);
  // The flow ends with attempts in flight. Counts them if its engines start executing on receipt.
  void CountUsageWithoutResponse(Flow& flow);
  void MeterDispatch(Flow& flow, const Attempt& attempt);
  void MeterDecodeDemand(const Flow& flow, const Attempt& attempt);

  ServingParameters parameters_;
  EngineDirectory engines_;
  EngineSelector selector_;
  std::unique_ptr<limits::EnginePermits> permits_;
  std::unique_ptr<EngineGate> gate_;
  std::map<EngineKey, KnownEngineLimit> engine_limits_;
  Time last_rest_ends_{};  // Over all engines.
  Time next_statement_report_{};
  std::set<EngineKey> leaving_engines_;  // Those that stated it and are still present.
  RetryBudgetShare retry_budget_share_;
  Random random_;
  std::optional<ServingConfig> config_;
  std::map<AttemptId, DetachedAttempt> detached_attempts_;
  EnginePathMonitor paths_;
  bool paths_lost_ = false;  // During this event.
  ForwardingPeers forwarding_peers_;
  StreamOrigins stream_origins_;
  SoftwareVersionHistory version_history_;
  std::set<std::string> announced_services_;  // Whose streams are announced to peers.
  std::multimap<StreamKey, FlowId> awaiting_origin_;
  std::map<FlowId, StreamAnswer> awaiting_records_;  // What the peers answered.
  Duration stream_lifetime_ = 0s;                    // How long after its beginning a stream may be resumed.
  EngineCrashDetector crash_detector_;
  CrashLedger crashes_;
  RecentRuns recent_runs_;
  TenantDirectory tenants_;  // Built from config_.
  std::unique_ptr<limits::Limiter> limiter_;
  bool has_limits_ = false;
  std::map<std::string, limits::TenantLimit> limits_;  // From config_, by tenant.
  std::map<std::string, DemandMeter> demand_;          // By service.
  bool engines_listed_ = false;
  int added_engines_ = 0;  // Not logged yet.
  bool store_connected_ = false;
  bool dispatch_ended_ = false;  // See NodeStopping.
  std::map<FlowId, std::unique_ptr<Flow>> flows_;
  std::set<std::pair<Time, FlowId>> wake_up_queue_;
  std::map<FlowId, Time> wake_ups_;
  AttemptId last_attempt_ = 0;
  std::map<std::string, PrefillState> prefill_states_;       // By service.
  std::map<std::string, RouteStatistics> route_statistics_;  // By route.
  std::optional<Time> next_dispatch_;
  bool dispatch_pending_ = false;
  int nodes_ = 1;
  Duration peer_report_age_ = 0s;
  std::map<std::string, DispatchRates> dispatch_rates_;  // By service.
  Time now_{};
  std::vector<Action>* actions_ = nullptr;
};

}  // namespace saltquay::serving
