// The simulated fleet: processes, network, platform and engines around the
// real core objects. Not thread-safe; each run has its own.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/base/random.h"
#include "src/core/node.h"
#include "src/models/engine_model.h"
#include "src/models/store_model.h"
#include "src/simulation/event_queue.h"
#include "src/simulation/network.h"
#include "src/simulation/options.h"
#include "src/simulation/truth.h"

namespace saltquay {

class World;

// Hosts one node: its clock, its life and death, and its queue while paused.
class NodeProcess {
 public:
  NodeProcess(World& world, const Machine& machine, double clock_rate);

  void Start();
  void Kill();
  // The process ends by itself, after a planned stop.
  void Exit();
  // Stops the process in the middle of things: the actions of the event that
  // it handles next are carried out only when it wakes.
  void Pause();
  void Wake();
  void Deliver(Event event);

  bool alive() const { return node_ != nullptr; }
  bool paused() const { return paused_; }
  bool stopping() const { return stopping_; }
  void NoteStopping() { stopping_ = true; }
  Node& node() { return *node_; }
  const Machine& machine() const { return machine_; }
  NodeId id() const { return NodeId{machine_.id}; }
  Endpoint endpoint() const { return {Endpoint::Kind::kNode, machine_.id, machine_.zone}; }
  // The process's own clock.
  Time LocalNow() const;
  std::uint64_t life() const { return life_; }
  // When something last kept this node from learning news.
  Time disturbed_at() const { return disturbed_at_; }
  void NoteDisturbed(Time at) { disturbed_at_ = std::max(disturbed_at_, at); }

 private:
  void End(bool planned);
  void ScheduleTick();
  void Handle(const Event& event);

  World& world_;
  Machine machine_;
  double clock_rate_;
  std::unique_ptr<Node> node_;
  std::uint64_t life_ = 0;
  bool paused_ = false;
  bool hold_next_actions_ = false;
  bool stopping_ = false;
  Time disturbed_at_{};
  std::deque<Event> queued_;
  ActionList held_;
};

// Hosts one engine.
class EngineProcess {
 public:
  EngineProcess(World& world, const Machine& machine, const EngineModelOptions& options, double clock_rate);

  void Start();
  void Crash();
  void Pause() { paused_ = true; }
  void Wake();

  // Runs `call` now, or when a paused engine wakes; a crash drops it.
  void WhenAwake(std::function<void()> call);

  // Calls from nodes, as they arrive.
  void OnStart(NodeId from, const Attempt& attempt, Time sent_at);
  void OnResume(NodeId from, BootId boot, const AttemptId& attempt, std::uint32_t offset);
  void OnCancel(const AttemptId& attempt);
  std::optional<EngineState> OnReadState(const std::optional<FenceToken>& raise_fence, std::uint64_t events_after);
  std::optional<OrderVerdict> OnOrder(NodeId from, const EngineOrder& order);

  bool alive() const { return model_ != nullptr; }
  bool paused() const { return paused_; }
  EngineModel& model() { return *model_; }
  const Machine& machine() const { return machine_; }
  EngineId id() const { return EngineId{machine_.id}; }
  Endpoint endpoint() const { return {Endpoint::Kind::kEngine, machine_.id, machine_.zone}; }
  Time LocalNow() const;
  double total_busy_seconds() const { return past_busy_seconds_ + (model_ ? model_->busy_seconds() : 0); }

 private:
  struct Sender {
    NodeId node;
    std::uint64_t node_life = 0;
    Time sent_at{};
    WorkId work;
    bool repeatable = true;
    Time last_frame_arrival{};
  };

  void Schedule();
  void Advance();
  void TakeOutput(const EngineOutput& output);
  void SendFrame(const EngineFrame& frame);
  void SendRefusal(const AttemptRefused& refused);

  World& world_;
  Machine machine_;
  EngineModelOptions options_;
  double clock_rate_;
  std::unique_ptr<EngineModel> model_;
  std::uint64_t life_ = 0;
  std::uint64_t schedule_ = 0;
  bool paused_ = false;
  double past_busy_seconds_ = 0;
  std::map<AttemptId, Sender> senders_;
  std::vector<std::function<void()>> queued_;
};

// How the platform behaves now.
struct PlatformCondition {
  bool down = false;
  bool loses_answers = false;
  bool stale_reads = false;
  Duration extra_delay{0};
  Duration machine_list_lag{300'000};
};

// Receives what callers and operators would get.
class ClientSide {
 public:
  virtual ~ClientSide() = default;
  virtual void OnTokens(NodeId node, std::uint64_t life, const DeliverTokens& tokens) = 0;
  virtual void OnFinished(NodeId node, std::uint64_t life, const FinishRequest& finish) = 0;
  virtual void OnCommandFinished(NodeId node, const FinishCommand& finish) = 0;
  // A node process is gone; its connections broke.
  virtual void OnNodeGone(NodeId node, std::uint64_t life, bool planned) = 0;
};

class World {
 public:
  World(const SimulationOptions& options, std::uint64_t seed);
  ~World();

  // Starts platform, engines and nodes.
  void Start();
  void SetClientSide(ClientSide* clients) { clients_ = clients; }

  EventQueue& queue() { return queue_; }
  Random& random() { return random_; }
  Network& network() { return network_; }
  Truth& truth() { return truth_; }
  StoreModel& store() { return store_; }
  PlatformCondition& platform() { return platform_; }
  const SimulationOptions& options() const { return options_; }
  std::map<NodeId, std::unique_ptr<NodeProcess>>& nodes() { return nodes_; }
  std::map<EngineId, std::unique_ptr<EngineProcess>>& engines() { return engines_; }
  const std::vector<ZoneId>& zones() const { return zones_; }
  ClientSide* clients() { return clients_; }

  // Carries one action of a node out.
  void Execute(NodeProcess& node, const Action& action);

  void PutMachine(const Machine& machine);
  void RemoveMachine(MachineKind kind, std::uint32_t id);
  // When the platform first listed the engine as leaving.
  std::map<EngineId, Time>& leaving_since() { return leaving_since_; }

  NodeProcess* FindNode(NodeId node);
  EngineProcess* FindEngine(EngineId engine);
  // The node that holds the lease by its own account, if any.
  NodeProcess* Leader();

  // ---- What keeps nodes from learning news, for the checkers ----------------
  // Since when `node` could learn: of bundles, or (`of_platform`) of what only
  // the platform tells. Now, while it cannot.
  Time UndisturbedSince(const NodeProcess& node, bool of_platform) const;
  std::set<NodeId>& cut_nodes() { return cut_nodes_; }
  void NoteZoneCuts(int change);
  void NotePlatformHealed() { platform_healed_at_ = queue_.now(); }

  // Folds a value into the run's digest.
  void Fold(std::uint64_t value);
  std::uint64_t digest() const { return digest_; }
  void Trace(const std::string& line);
  const std::deque<std::string>& trace() const { return trace_; }
  void NoteLog(const NodeProcess& node, const WriteLog& log);
  BootId NextBoot();
  std::uint64_t role_changes() const { return role_changes_; }
  void CountRoleChange() { ++role_changes_; }
  std::uint64_t messages() const { return messages_; }

 private:
  void On(NodeProcess& node, const SendPeer& action);
  void On(NodeProcess& node, const StartAttempt& action);
  void On(NodeProcess& node, const ResumeAttempt& action);
  void On(NodeProcess& node, const CancelAttempt& action);
  void On(NodeProcess& node, const ReadEngineState& action);
  void On(NodeProcess& node, const SendOrder& action);
  void On(NodeProcess& node, const StoreRead& action);
  void On(NodeProcess& node, const StoreWrite& action);
  void On(NodeProcess& node, const ReadMachineList& action);
  void On(NodeProcess& node, const DeliverTokens& action);
  void On(NodeProcess& node, const FinishRequest& action);
  void On(NodeProcess& node, const FinishCommand& action);
  void On(NodeProcess& node, const UseMachineList&) { (void)node; }
  void On(NodeProcess& node, const WriteLog& action) { NoteLog(node, action); }
  void On(NodeProcess& node, const ExitProcess& action);

  // Hands an event to the same life of a node after `delay`.
  void DeliverLater(NodeProcess& node, Duration delay, Event event);
  // True when a call to the engine arrives; else schedules its failure.
  bool Reaches(const NodeProcess& node, const EngineProcess* engine) const;
  void AnswerStore(NodeProcess& node, const StoreAnswered& answer);
  StoredObject StaleRead(const std::string& key) const;
  void BuildMachines();

  SimulationOptions options_;
  Random random_;
  EventQueue queue_;
  Network network_;
  Truth truth_;
  StoreModel store_;
  std::map<std::string, StoredObject> older_objects_;  // What a stale read gives.
  PlatformCondition platform_;
  std::deque<std::pair<Time, MachineList>> machine_history_;
  std::map<EngineId, Time> leaving_since_;
  std::set<NodeId> cut_nodes_;
  int zone_cuts_ = 0;
  Time zones_healed_at_{};
  Time platform_healed_at_{};
  std::vector<ZoneId> zones_;
  std::vector<std::string> zone_names_;
  std::map<NodeId, std::unique_ptr<NodeProcess>> nodes_;
  std::map<EngineId, std::unique_ptr<EngineProcess>> engines_;
  ClientSide* clients_ = nullptr;
  std::uint64_t digest_ = 0;
  std::uint64_t last_boot_ = 0;
  std::uint64_t messages_ = 0;
  std::uint64_t role_changes_ = 0;
  std::deque<std::string> trace_;
};

}  // namespace saltquay
