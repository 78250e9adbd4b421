// Serving cores in front of engines that state conditions in their responses, in virtual time: clients' requests,
// engines that name limits, and faults of nodes and of the network between them. Records what the engines receive.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/base/random.h"
#include "src/core/serving/serving_core.h"

namespace saltquay::serving {

struct NoticeFleetOptions {
  int nodes = 7;
  std::uint64_t seed = 1;
  double requests_per_s = 60;  // Of all clients together.
  double loss = 0;             // Share of the messages between nodes.
  int decode_slots = 0;        // A decode engine rejects requests beyond this number at once; 0: none.
};

// A request that reached an engine.
struct EngineArrival {
  Time at{};
  int node = 0;
  bool node_was_told = false;  // Of the engine's limit, at least kToldDelay before.
  Time client_sent_at{};       // When the client's request arrived at the node.
};

class NoticeFleet {
 public:
  // Requests that a node sends within this time after a notice may still be on their way.
  static constexpr Duration kToldDelay = 500ms;

  explicit NoticeFleet(const NoticeFleetOptions& options);

  // Two services: `plain` of uniform engines, `model` of prefill and decode engines.
  void AddEngines(int plain, int prefill, int decode);
  // Starts the nodes and the clients.
  void Begin();
  void RunFor(Duration time);

  // From now on the engine names the limit in each response; nullopt: none.
  void NameLimit(const std::string& engine, std::optional<double> requests_per_s);

  // From now on the engine rejects this share of its requests and asks their nodes for rest.
  void AskForRest(const std::string& engine, double share, Duration rest);

  // From now on the engine states that it is leaving; the store does not show it.
  void Leave(const std::string& engine);

  void Kill(int node);
  void Start(int node);
  int AddNode();
  void Suspend(int node, Duration time);
  // Messages between nodes of different sides are lost; `one_way`: only those to a higher side.
  void Partition(const std::function<int(int node)>& side_of, bool one_way = false);
  void Heal();

  Time now() const { return now_; }
  int size() const { return static_cast<int>(nodes_.size()); }
  int served() const { return served_; }
  // Prefills whose KV cache was released without use.
  int released() const { return released_; }
  int refused() const { return refused_; }
  // From the arrival of a request to its refusal.
  Duration longest_refusal() const { return longest_refusal_; }
  Duration mean_retry_after() const { return refused_ == 0 ? 0s : retry_after_sum_ / refused_; }
  const std::vector<EngineArrival>& ArrivalsAt(const std::string& engine) { return engines_.at(engine).arrivals; }
  std::vector<std::string> EngineIds() const;
  // The largest number of requests by which the engine got more from nodes that it had told than its limit allows in
  // 4 s, from 3 s after it first named one: 1.5 times the limit, and 5 more. Negative if it never got that many.
  double LimitExcess(const std::string& engine) const;
  // The largest number of requests that the engine got from one node during a rest, from kToldDelay after it asked.
  int MostDuringRest(const std::string& engine) const;
  // The longest time from a node's first response with the engine's statement that it is leaving until the arrival at
  // the node of a client's request that the node sent to the engine; 0 if there was none.
  Duration LatestAfterLeaving(const std::string& engine) const;

 private:
  struct Node {
    std::unique_ptr<ServingCore> core;  // nullptr: not running.
    int life = 0;                       // Number of starts.
    Time suspended_until{};
    std::set<AttemptId> cancelled;
    std::map<int, Time> heard;  // Last report, by node.
  };
  struct NamedLimit {
    Time from{};
    std::optional<double> requests_per_s;
  };
  struct Engine {
    EngineRecord record;
    std::vector<NamedLimit> limits;
    std::map<int, Time> told_at;  // By node, while the engine names a limit.
    std::vector<EngineArrival> arrivals;
    int running = 0;
    double rejected_share = 0;
    Duration rest = 0s;  // That a rejection asks for.
    struct Rest {
      int node = 0;
      Time from{};
      Time until{};
    };
    std::vector<Rest> rests;
    bool leaving = false;
    std::map<int, Time> told_leaving_at;  // By node.
    std::optional<double> limit() const { return limits.empty() ? std::nullopt : limits.back().requests_per_s; }
  };

  void At(Time at, std::function<void()> step) { events_.emplace(at, std::move(step)); }
  // Runs the step when the node is running, unless it has been restarted since.
  void AtNode(int node, Time at, std::function<void()> step);
  void Send(int node, const Event& event);
  void Wake(int node);
  void Perform(int node, const std::vector<Action>& actions);
  void SendRequest();
  // Messages between nodes.
  void Transmit(int from, int to, const Event& event);
  void ReportPeriodically(int from);
  void Report(int from);
  void UpdateNodes(int node);
  void Arrive(int node, const StartAttempt& start, Time sent_at);
  enum class Outcome { kRun, kFull, kAsksForRest };
  void Respond(int node, const StartAttempt& start, Time sent_at, Outcome outcome);
  std::vector<EngineRecord> Records() const;
  static std::string NameOf(int node) { return "n" + std::to_string(node); }
  // The node is excused from what it was told: it was restarted, suspended or cut off.
  void Excuse(int node);
  double AllowedIn(const Engine& engine, Time from, Time to) const;

  NoticeFleetOptions options_;
  Random random_;
  ServingConfig config_;
  std::vector<Node> nodes_;
  std::map<std::string, Engine> engines_;
  std::multimap<Time, std::function<void()>> events_;
  std::function<bool(int from, int to)> is_cut_;
  Time now_{1s};
  FlowId last_flow_ = 0;
  int served_ = 0;
  int refused_ = 0;
  int released_ = 0;
  Duration longest_refusal_ = 0s;
  Duration retry_after_sum_ = 0s;
  std::map<FlowId, Time> arrived_at_;
};

}  // namespace saltquay::serving
