// Several serving cores before scripted engines, in virtual time: arrivals,
// reports between the nodes, engines with slots and a queue that refuse when
// full, engines that are grey, slow or dark, and engines that a request ends.
// Counts what the engines see.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "src/base/random.h"
#include "src/core/serving/serving_core.h"

namespace saltquay::serving {

// An engine that resets takes up most calls' connections and closes them without running anything.
enum class EngineHealth { kHealthy, kFailsOften, kSlow, kUnresponsive, kResetsConnections };

struct FleetEngine {
  EngineRecord record;
  int slots = 4;
  int queue = 8;
  Duration work = 30ms;  // Of one call that has a slot.
  EngineHealth health = EngineHealth::kHealthy;
};

// A run of a request that ends engines.
struct PoisonRun {
  Time at{};  // When it reached the engine.
  int node = 0;
};

// An arrival that the retry budget counts.
struct BudgetedArrival {
  Time at{};
  std::string cause;
};

class ServingFleet {
 public:
  ServingFleet(int nodes, const ServingConfig& config, const ServingParameters& parameters, std::uint64_t seed);

  void AddEngine(const FleetEngine& engine) { engines_[engine.record.id].engine = engine; }
  void SetHealth(const std::string& id, EngineHealth health) { engines_.at(id).engine.health = health; }
  void EndEngine(const std::string& id) { EndEngine(engines_.at(id)); }
  // Tells all nodes of the engines and of each other.
  void Begin();
  // Sends `per_second` requests of the route, spread over the nodes, until `end`.
  void Offer(const std::string& route, double per_second, Time end, const std::function<PromptMetadata(int)>& prompt);
  // Sends the same request, which ends each engine that begins to run it, once in each `gap`, to nodes by chance. Each
  // engine that ends is replaced by a new one at its address after `EngineRestart()`.
  void SendPoisonRequests(const std::string& route, const PromptMetadata& prompt, Duration gap, Time end);
  static Duration EngineRestart() { return 4s; }
  // Cuts the nodes from each other: those of one side hear only that side. Empty: nobody is cut off.
  void set_sides(std::vector<int> sides) { sides_ = std::move(sides); }
  // Engines that end start again under their id, as another life.
  void set_same_ids() { same_ids_ = true; }
  // The share of messages between nodes that are lost.
  void set_loss(double share) { loss_ = share; }
  // The node starts anew: it knows nothing, and what it had under way is lost.
  void Restart(int node);
  void RunUntil(Time end);

  Time now() const { return now_; }
  int answered() const { return answered_; }
  int answered_within_objective() const { return in_time_; }
  int refused() const { return refused_; }
  int failed() const { return failed_; }
  const std::vector<Time>& requests() const { return requests_; }
  const std::vector<BudgetedArrival>& counted() const { return counted_; }
  const std::multiset<std::string>& ejected() const { return ejected_; }
  // When engines ended, and when runs of the request that ends them reached engines.
  const std::vector<Time>& engine_ends() const { return engine_ends_; }
  const std::vector<PoisonRun>& poison_runs() const { return fatal_runs_; }
  // Requests in quarantine at any node, by fingerprint; an ordinary request's differs from all others'.
  const std::set<std::string>& quarantined() const { return quarantined_; }
  int calls_at(const std::string& engine) const { return engines_.at(engine).calls; }
  // Most extra arrivals beyond ratio x requests + slack in any window; negative: always below.
  double MaxBudgetExcess(double ratio, double slack, Duration window) const;
  void ResetCounts();

 private:
  struct Call {
    int node = 0;
    StartAttempt start;
    Time ends{};
  };
  struct SimulatedEngine {
    FleetEngine engine;
    std::deque<Call> waiting;
    int running = 0;
    int calls = 0;
    bool ended = false;
    std::map<std::pair<int, AttemptId>, Call> under_way;
  };
  struct RequestSeen {
    int runs = 0;
    int prefills = 0;
  };

  void At(Time at, std::function<void()> step) { agenda_.emplace(at, std::move(step)); }
  void Send(int node, const Event& event);
  void Carry(int node, const std::vector<Action>& actions);
  void Wake(int node);
  void Arrive(int node, const StartAttempt& start);
  void Begin(SimulatedEngine& world, const Call& call);
  void Finish(SimulatedEngine& world, const Call& call);
  void Refuse(SimulatedEngine& world, const Call& call);
  void Reset(const Call& call);
  // The engine's process ends; another takes its address later.
  void EndEngine(SimulatedEngine& world);
  void Replace(const FleetEngine& engine);
  void SendAll(const Event& event);
  // Tells the peers of what the node knows of requests under which engines ended.
  void ReportCrashes(int from);
  void Count(const Call& call, bool taken);
  void Report();
  void ReportTo(int node);
  bool Hears(int to, int from) const { return to != from && (sides_.empty() || sides_[to] == sides_[from]); }
  EngineLoad LoadOf(const SimulatedEngine& world) const;
  void End(int node, FlowId flow, int* count);

  ServingConfig config_;
  std::vector<std::unique_ptr<ServingCore>> nodes_;
  std::map<std::string, SimulatedEngine> engines_;
  std::multimap<Time, std::function<void()>> agenda_;
  std::map<std::pair<int, FlowId>, Time> began_;
  std::map<std::pair<int, FlowId>, RequestSeen> seen_;
  std::set<std::pair<int, AttemptId>> cancelled_;
  std::set<std::pair<int, FlowId>> fatal_;
  std::vector<PoisonRun> fatal_runs_;
  std::vector<Time> engine_ends_;
  std::set<std::string> quarantined_;
  std::vector<Time> requests_;
  std::vector<BudgetedArrival> counted_;
  std::multiset<std::string> ejected_;
  ServingParameters parameters_;
  bool same_ids_ = false;
  double loss_ = 0;
  std::vector<int> sides_;  // By node.
  Random random_;
  Time now_{1s};
  FlowId last_flow_ = 0;
  int answered_ = 0;
  int in_time_ = 0;
  int refused_ = 0;
  int failed_ = 0;
};

}  // namespace saltquay::serving
