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

// How clients go on after their streams have broken off.
struct ClientHabits {
  int max_requests = 5;
  Duration patience = 3600s;                      // From a stream's first request; then its client gives up.
  std::optional<Duration> retry_delay = {};       // After a refusal; by default what the node asks for.
  Duration max_pause = 0s;                        // Drawn for each return to a stream that was left.
  std::optional<Duration> response_timeout = {};  // Clients leave requests that bring nothing for so long.
};

struct StreamFleetOptions {
  int nodes = 3;
  int engines = 6;
  Duration max_record_lag = 800ms;  // From an engine's start to its record; drawn for each start.
  double message_loss = 0;          // Share of the messages between nodes.
  double silent_connections = 0;    // Share of the connections that stay open when their engine's process ends.
  bool checks_processes = true;     // False: engines never say which process serves a connection.
  int versions = 2;                 // At the start.
  bool first_start = false;         // The nodes start for the first time.
  // Nodes watch the store by long polls, whose responses confirm their copies of the records; nodes that start learn of
  // their peers a little later. False: each change reaches each node directly.
  bool watches_store = false;
  ClientHabits clients = {};
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

  // Faults of stream_fleet_faults.cc, for fleets that watch the store.
  // All nodes end, and start again without their state after `down`.
  void KillAllNodes(Time at, Duration down);
  // The same for one node.
  void KillNode(int node, Time at, Duration down);
  // All engines of the version end, and with them their records and connections.
  void RemoveVersion(Time at, const std::string& version);
  void AddEngines(Time at, int count, const std::string& version);
  // The node's process stands still until `end`; then it handles at once what has arrived, in any order.
  void SuspendNode(int node, Time at, Time end);
  // The node reaches neither a share of its peers nor the store, if `store`, until `end`. After `forgets`, it has
  // forgotten its peers, until shortly after the end.
  struct Cut {
    double peers = 0;
    bool store = false;
    Duration forgets = 3600s;
  };
  void Isolate(int node, Time at, Time end, const Cut& cut);
  void RunUntil(Time end);

  Time now() const { return now_; }
  int streams() const { return static_cast<int>(streams_.size()); }
  // Streams that hold events of several versions.
  int mixed_streams() const;
  const StreamShare& begun() const { return begun_; }
  const StreamShare& taken_up() const { return taken_up_; }
  // Take-ups of streams, while engines of their version serve.
  const StreamShare& taken_up_at_serving_version() const { return taken_up_at_serving_version_; }

 private:
  struct Engine {
    EngineRecord record;  // Of the process that runs, whether or not it is in the store yet.
    int processes = 1;
    bool ended = false;
  };
  struct Stream {
    std::string first_request;  // That brought the first event; empty if none has.
    int position = 0;
    int requests = 0;
    bool leaves = false;
    Time began{};
    std::set<std::string> versions;
  };
  // A client's request at a node.
  struct Request {
    std::size_t stream = 0;
    std::string id;
    int events_left = 0;  // Until the client leaves.
    AttemptId relayed = 0;
    bool answered = false;
    bool counts_as_served = false;  // Taken up while engines of the stream's version serve.
    Time heard_at{};
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
  // Where a node's events come from. Those of one source are handled in their order.
  enum class Source { kClients, kEngines, kPeers, kStore, kTimers };
  // Runs the step, once the node's process is not suspended, unless the process ends before.
  void OnNode(int node, Source source, std::function<void()> step);
  void Resume(int node);
  std::vector<EngineRecord> Records() const;
  void ListPeers(int node);
  void EndNode(int node);
  void WatchStore(int node);
  // The store answers the node's watch: its records are complete as of now.
  void AnswerWatch(int node);
  void ApplyChanges(int node, std::size_t end, Time as_of);
  void CheckFreshness(int node);
  void ChangeStore(const Event& change);
  bool Serves(const std::string& version) const;
  // Leaves the request if its node brings nothing.
  void WatchResponse(const NodeFlow& flow);
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
  // Of nodes that watch the store.
  struct Watch {
    std::size_t changes = 0;  // That the node has received.
    int number = 0;           // Of its last watch.
    bool waits = false;       // The store holds it open.
    Time as_of{};
    bool fresh = false;
  };
  using Backlog = std::map<Source, std::vector<std::function<void()>>>;
  std::vector<Event> changes_;  // Of the store.
  std::vector<Watch> watches_;
  std::set<int> ended_;
  std::set<int> cut_from_store_;
  std::set<std::pair<int, int>> cut_links_;
  std::map<int, Backlog> suspended_;
  FlowId last_flow_ = 0;
  StreamShare taken_up_at_serving_version_;
  StreamShare begun_;
  StreamShare taken_up_;
};

}  // namespace saltquay::serving
