// Several serving cores in front of engines that start again under their ids with another software version, in virtual
// time, and clients that leave their streams and take them up at other nodes. Records what each stream holds.
#pragma once

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

struct StreamFleetOptions {
  int nodes = 3;
  int engines = 6;
  Duration max_record_lag = 800ms;  // From an engine's start to its record; drawn for each start.
  double message_loss = 0;          // Share of the messages between nodes.
  double silent_connections = 0;    // Share of the connections that stay open when their engine's process ends.
  bool checks_processes = true;     // False: engines never say which process serves a connection.
};

// How often requests were answered by an engine, of all that were sent.
struct StreamShare {
  int answered = 0;
  int sent = 0;
};

class StreamFleet {
 public:
  StreamFleet(const StreamFleetOptions& options, std::uint64_t seed);

  // Sends `per_second` streams to random nodes until `end`. Half of the clients leave their streams twice.
  void Offer(double per_second, Time end);
  // An engine starts again under its id with the other version.
  void RestartEngine(Time at);
  // A node ends and starts again without its state.
  void RestartNode(Time at);
  // The node reaches none of its peers until `end`.
  void CutNode(Time at, Time end);
  void RunUntil(Time end);

  Time now() const { return now_; }
  int streams() const { return static_cast<int>(streams_.size()); }
  // Streams that hold events of several versions.
  int mixed_streams() const;
  const StreamShare& begun() const { return begun_; }
  const StreamShare& taken_up() const { return taken_up_; }

 private:
  struct Engine {
    EngineRecord record;  // Of the process that runs, whether or not it is in the store yet.
    int processes = 1;
  };
  struct Stream {
    std::string first_request;  // That brought the first event; empty if none has.
    int position = 0;
    int requests = 0;
    bool leaves = false;
    std::set<std::string> versions;
  };
  // A client's request at a node.
  struct Request {
    std::size_t stream = 0;
    std::string id;
    int events_left = 0;  // Until the client leaves.
    AttemptId relayed = 0;
    bool answered = false;
  };
  struct Call {
    StartAttempt start;
    std::int64_t started_ms = 0;  // Of the process that serves it.
    std::string version;
  };
  using NodeFlow = std::pair<int, FlowId>;
  using NodeAttempt = std::pair<int, AttemptId>;

  void At(Time at, std::function<void()> step) { events_.emplace(at, std::move(step)); }
  void StartNode(int node);
  void Send(int node, const Event& event);
  void Perform(int node, const std::vector<Action>& actions);
  void Wake(int node);
  void SendRequest(std::size_t stream);
  // The client comes back after `delay`, unless its stream is complete or it has tried often enough.
  void ComeBack(std::size_t stream, Duration delay);
  void EndRequest(const NodeFlow& flow, Duration delay);
  void Connect(int node, const StartAttempt& start);
  // Takes a kept connection to the process that is expected; returns false if there is none.
  bool TakeConnection(int node, const StartAttempt& start, std::int64_t& started_ms);
  void BringHead(int node, AttemptId attempt);
  void BringEvent(int node, AttemptId attempt, int number);
  void DeliverEvent(int node, const Call& call, int number);
  void Restart(Engine& engine);
  void BreakCalls(const std::string& engine_id);
  void SendMessages(int node, const SendStreamMessages& action);
  static std::string Address(int node) { return "10.0.0." + std::to_string(node + 1) + ":7"; }

  StreamFleetOptions options_;
  Random random_;
  Time now_{1s};
  ServingConfig config_;
  std::vector<std::unique_ptr<ServingCore>> nodes_;
  std::vector<int> lives_;  // By node: how often it has started.
  std::set<int> cut_;
  std::map<std::string, Engine> engines_;
  std::map<std::string, EngineRecord> store_;
  std::multimap<Time, std::function<void()>> events_;
  std::vector<Stream> streams_;
  std::map<NodeFlow, Request> requests_;
  std::map<NodeAttempt, Call> calls_;
  std::map<std::pair<int, std::string>, std::vector<std::int64_t>> kept_;  // Connections: the processes at their ends.
  FlowId last_flow_ = 0;
  StreamShare begun_;
  StreamShare taken_up_;
};

}  // namespace saltquay::serving
