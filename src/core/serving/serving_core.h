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

#include "saltquay/admission/adaptive_window.h"
#include "saltquay/admission/reading_order.h"
#include "saltquay/limits/limiter.h"
#include "src/core/serving/crash_ledger.h"
#include "src/core/serving/demand_meter.h"
#include "src/core/serving/engine_end_watch.h"
#include "src/core/serving/engine_selector.h"
#include "src/core/serving/events.h"
#include "src/core/serving/knobs.h"
#include "src/core/serving/retry_allowance.h"

namespace saltquay::serving {

struct Attempt {
  AttemptId id = 0;
  std::string engine_id;
  EngineKey engine_key;  // Of the life that it was sent to.
  AttemptMode mode = AttemptMode::kWhole;
  Time sent_at{};
  std::int64_t prompt_tokens = 0;  // That it reads, by our reckoning.
  bool head_seen = false;          // Of an answer that the engine made itself.
  AnswerFacts answer;
  Time patience_ends{};  // Without an answer by then, it is looked into once.
  bool silence_noted = false;
  std::optional<MemorySource> memory;           // That it was to take.
  bool alone_at_start = false;                  // Nothing else was under way there, as far as is known.
  admission::AdaptiveWindow* window = nullptr;  // That it takes a place of.
  int* at_risk = nullptr;                       // Count of its line that it is part of until its end.
  Duration target = 0s;                         // What its reading should take at most.
};

struct Flow {
  FlowId id = 0;
  RequestFacts facts;
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
  std::optional<MemorySource> memory;
  std::string memory_zone;
  std::vector<std::string> memory_refused_by;  // Engines that did not take the memory, whatever the cause.
  int arrivals = 0;                            // Attempts sent, prefills aside.
  int prefills = 0;
  int runs = 0;             // Attempts that may have run.
  int tries = 0;            // All attempts.
  bool unanswered = false;  // An attempt brought no answer: its connection may have been dead.
  bool relaying = false;    // The client has the head of a stream.
  std::string last_event_id;
  std::optional<Time> waiting_until;  // For any engine to come.
  std::optional<Time> hedge_at;
  AttemptId relayed_attempt = 0;
  bool queued = false;            // Its prompt waits in the service's reading order.
  double worth = 0;               // Against the mean of its route; 0: not known yet.
  bool reading_metered = false;   // Its reading is in the measured demand.
  std::optional<Time> read_at;    // When its prompt had been read apart.
  bool counted = false;           // For its tenant's usage.
  std::int64_t limited_cost = 0;  // Units that it takes of its tenant's limit; 0: there is none.
  bool limit_pending = false;     // Whether it is inside the limit is being found out.
  std::string limit_home;         // Name of the node that admitted it.
};

// What a service's prompts wait for, and what was learned of them.
struct ReadingLine {
  explicit ReadingLine(const ServingKnobs& knobs)
      : order(admission::make_reading_order(knobs.reading_order)),
        readers(knobs.window),
        overflow(knobs.overflow_window) {}

  std::unique_ptr<admission::ReadingOrder> order;
  admission::AdaptiveWindow readers;   // Of prompts at engines that read.
  admission::AdaptiveWindow overflow;  // Of those at engines that answer.
  int at_risk = 0;                     // First readings under way: each costs an extra arrival if it is refused.
  double peers_demand = 0;             // Engines that the prompts of other nodes' callers would keep reading.
  double tail_ms = 0;                  // From a prompt's reading to its first event; moving average; 0: not measured.
  std::set<std::pair<Time, FlowId>> judged_at;  // Waiting prompts, by when they are judged.
};

// What this node starts, a second; the others are taken to start as much each.
struct StartMeter {
  explicit StartMeter(Duration memory) : prompt_tokens(memory), runs(memory) {}

  DecayingRate prompt_tokens;  // Read apart.
  DecayingRate runs;
};

// Learned of a route's prompts.
struct RouteSizes {
  double mean_size = 0;
};

class ServingCore {
 public:
  ServingCore(const ServingKnobs& knobs, const std::string& zone, std::uint64_t seed);

  void OnEvent(Time now, const Event& event, std::vector<Action>& actions);

  // Without one, tenants have no limits.
  // An earlier process of this node may have served until now.
  void BeginAfterRestart(Time now) { allowance_.BeginAfterRestart(now); }
  void set_limiter(std::unique_ptr<limits::Limiter> limiter) { limiter_ = std::move(limiter); }
  // Whether any tenant of the configuration in force has a limit.
  bool has_limits() const { return has_limits_; }
  // What is known of tenants' limits, for metrics.
  std::vector<limits::LimitStatus> LimitStatus(Time now) const;

  // When the core next wants TimePassed; nothing while it has no work.
  std::optional<Time> next_deadline() const;

  bool ready() const { return config_.has_value() && heard_engines_; }
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
  void On(const StoreContactChanged& event);
  void On(const PeersChanged& event);
  void On(const RequestArrived& event);
  void On(const ClientLeft& event);
  void On(const AttemptHead& event);
  void On(const AttemptEvents& event);
  void On(const AttemptCompleted& event);
  void On(const AttemptFailed& event);
  void On(const EngineChecked& event);
  void On(const CrashesTold& event);
  void On(const NodesChanged& event);
  void On(const LimitMessageArrived& event);
  void On(const NodeStopping& event);
  void On(const TimePassed& event);

  // Flow steps (flow_steps.cc).
  void Advance(Flow& flow);
  bool StartPrefill(Flow& flow);
  // Reading orders (reading_steps.cc).
  bool QueueReading(Flow& flow);
  void DispatchReadings(ReadingLine& line);
  void DispatchAll();
  bool DispatchReading(Flow& flow, admission::Lane lane);
  bool StartOverflow(Flow& flow);
  Duration ReadingTarget(const Flow& flow, const Attempt& attempt) const;
  void TakePlace(Flow& flow, admission::AdaptiveWindow& window);
  void NoteRead(const Attempt& attempt);
  void JudgeWaiting(ReadingLine& line);
  bool DispatchBeyond(Flow& flow, ReadingLine& line);
  Duration ComeBackIn(const Flow& flow);
  void SizeWindows(const std::string& service, ReadingLine& line);
  void MeterReading(Flow& flow, std::int64_t tokens, bool apart);
  void Unqueue(Flow& flow);
  ReadingLine& LineOf(const std::string& service);
  admission::WaitingPrompt DescribePrompt(const Flow& flow, const ReadingLine& line);
  double WorthOf(const Flow& flow);
  void NoteTail(const Flow& flow);
  bool StartRun(Flow& flow);
  EngineState* ChooseRunEngine(Flow& flow, AttemptMode mode);
  void Start(Flow& flow, EngineState& engine, AttemptMode mode);
  void WaitOrRefuse(Flow& flow);
  void FinishPrefill(Flow& flow, const Attempt& attempt, const std::string& handle);
  void FinishRun(Flow& flow, const Attempt& attempt);
  void OnRefusal(Flow& flow, const Attempt& attempt);
  void OnHandOverRefused(Flow& flow, const Attempt& attempt, bool surely_kept);
  void NoteRefusal(const Attempt& attempt, bool full);
  void OnLost(Flow& flow, const Attempt& attempt, AttemptFailure failure);
  void Retry(Flow& flow, std::string_view cause);
  // Takes a call to an engine out of the retry budget.
  void ChargeExtra(const Flow& flow, ExtraArrival cause);
  // The first reading of the prompt is free if the engine took it up, and counts if it did not.
  void SettleFirstReading(const Flow& flow, bool taken_up);
  bool MayRunAgain(const Flow& flow) const;
  // What is waited for, and for how long (patience_steps.cc).
  void TimeOut(Flow& flow);
  void Hedge(Flow& flow);
  void CheckPatience(Flow& flow);
  bool GivesUpOn(const Flow& flow, const Attempt& attempt, bool silent);
  Duration PatienceFor(const Attempt& attempt, const EngineState& engine) const;
  // Whether the engine has told nobody here anything since the attempt was sent.
  bool IsSilentSince(const Attempt& attempt);
  // The engine has been silent since the attempt: what else rests on the way to it may be dead as well.
  void DropConnectionsOf(const Attempt& attempt);
  void HurryAttempts(const std::string& engine_id);

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
  void LogHomeChange(const limits::HomeChange& change);

  // Engines that ended under requests (crash_steps.cc).
  void NoteBroken(const std::string& engine_id, std::uint64_t fingerprint);
  // What may run once runs on after its caller has left: its engine's end is still held against it.
  void WatchUnattended(const Flow& flow);
  void NoteEndedEngines();
  // Refuses the request if it is in quarantine.
  bool RefuseQuarantined(Flow& flow);
  // Engines ended under it anew: tells, and ends its flows if it is in quarantine now.
  void OnMoreEnds(std::uint64_t fingerprint, std::string_view source);
  void EndQuarantined(Flow& flow, Duration left);
  void NoteServed(const Flow& flow);

  // Ends of a flow.
  void Refuse(Flow& flow, std::string_view cause);
  void Refuse(Flow& flow, std::string_view cause, Duration retry_after);
  // `members`: JSON for the log line, beside what all refusals have.
  void Refuse(Flow& flow, int status, std::string_view cause, Duration retry_after, std::string_view members);
  void Fail(Flow& flow, int status, std::string_view cause);
  void BreakOffFlow(Flow& flow, std::string_view cause);
  void Erase(FlowId id);
  void CancelAttempts(Flow& flow, AttemptId except);
  void EndAttempt(Flow& flow, AttemptId id);

  Flow* FindFlow(FlowId id);
  // Remembers since when the engine is known to leave.
  void NoteLeaving(const std::string& engine_id);
  void Arm(Flow& flow);
  void Log(EventId event, const Flow* flow, std::string details);
  bool CopiesParts(const Flow& flow) const;
  // Tells the attempt what it reads and from where it copies.
  void PlanReading(const Flow& flow, EngineState& engine, Attempt& attempt, StartAttempt& start);
  void LogRouted(const Flow& flow, const EngineState& engine, const StartAttempt& start, std::int64_t tokens_to_read);
  void LogStanding(const std::optional<StandingChange>& change);
  // Tells the selector what other nodes have started meanwhile, as far as it may be guessed.
  void GuessUnseen(const std::string& service);
  std::string ChooseService(const Route& route);
  // Finds out whose request it is; false: it was answered, for its key opens nothing.
  bool Authenticate(Flow& flow);
  // The attempt has run, or may have: the request counts as its tenant's usage, once.
  void CountRun(Flow& flow, const Attempt& attempt);
  // Nobody waits for the flow's attempts any more: plain engines have begun with them.
  void CountUnanswered(Flow& flow);
  void MeterStart(Flow& flow, const Attempt& attempt);
  void MeterEnd(const Flow& flow, const Attempt& attempt);

  ServingKnobs knobs_;
  EngineDirectory engines_;
  EngineSelector selector_;
  RetryAllowance allowance_;
  Random random_;
  std::optional<ServingConfig> config_;
  // A run that goes on although its caller has left.
  struct Unattended {
    std::string engine_id;
    std::uint64_t fingerprint = 0;
  };
  std::map<AttemptId, Unattended> unattended_;
  EngineEndWatch end_watch_;
  CrashLedger crashes_;
  TenantDirectory tenants_;  // Of config_.
  std::unique_ptr<limits::Limiter> limiter_;
  bool has_limits_ = false;
  std::map<std::string, limits::TenantLimit> limits_;  // Of config_, by tenant.
  std::map<std::string, DemandMeter> demand_;          // By service.
  bool heard_engines_ = false;
  bool store_contact_ = false;
  std::map<FlowId, std::unique_ptr<Flow>> flows_;
  std::set<std::pair<Time, FlowId>> deadlines_;
  std::map<FlowId, Time> armed_;
  AttemptId last_attempt_ = 0;
  std::map<std::string, ReadingLine> lines_;  // By service.
  std::map<std::string, RouteSizes> sizes_;   // By route.
  std::optional<Time> next_dispatch_;
  bool dispatch_wanted_ = false;
  int nodes_ = 1;
  Duration peers_told_age_ = 0s;
  std::map<std::string, StartMeter> starts_;  // By service.
  Time now_{};
  std::vector<Action>* actions_ = nullptr;
};

}  // namespace saltquay::serving
