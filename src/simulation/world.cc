#include "src/simulation/world.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "src/base/hash.h"
#include "src/simulation/deployments.h"

namespace saltquay {
namespace {

constexpr Duration kCallTimeout = 1s;
constexpr Duration kStoreTimeout = 2s;
constexpr Duration kConnectRefused = 1ms;
constexpr std::size_t kTraceLines = 400;
constexpr std::size_t kMachineHistory = 64;

}  // namespace

World::World(const SimulationOptions& options, std::uint64_t seed)
    : options_(options), random_(seed), network_(options_, random_) {
  BuildMachines();
}

World::~World() = default;

BootId World::NextBoot() { return BootId{++last_boot_}; }

void World::BuildMachines() {
  zone_names_ = ZoneNames(options_.deployment, options_.zones);
  for (const std::string& name : zone_names_) zones_.push_back(MakeZoneId(name));
  const auto clock_rate = [this] { return 1.0 + options_.clock_rate_error * (2 * random_.Unit() - 1); };
  std::uint32_t id = 0;
  for (const std::string& zone : zone_names_) {
    for (int i = 0; i < options_.nodes_per_zone; ++i) {
      Machine machine{++id, MachineKind::kNode, MachineState::kLive, zone, MakeZoneId(zone), "", ""};
      nodes_[NodeId{id}] = std::make_unique<NodeProcess>(*this, machine, clock_rate());
      PutMachine(machine);
    }
  }
  EngineModelOptions engine;
  engine.profile = DefaultEngineProfile();
  engine.load_time = options_.engine_load_time;
  engine.role_change_time = options_.engine_role_change_time;
  engine.frame_tokens = 8;
  id = 0;
  const PoolNames pools = PoolNamesOf(options_.deployment);
  for (const auto& [pool, count] :
       {std::pair{pools.main, options_.main_engines}, {pools.quick, options_.quick_engines}}) {
    for (int i = 0; i < count; ++i) {
      const std::string& zone = zone_names_[static_cast<std::size_t>(i) % zone_names_.size()];
      Machine machine{++id, MachineKind::kEngine, MachineState::kLive, zone, MakeZoneId(zone), "", pool};
      engines_[EngineId{id}] = std::make_unique<EngineProcess>(*this, machine, engine, clock_rate());
      PutMachine(machine);
    }
  }
}

void World::Start() {
  for (auto& [id, engine] : engines_) engine->Start();
  for (auto& [id, node] : nodes_) {
    NodeProcess* process = node.get();
    queue_.After(random_.DurationBelow(300ms), [process] { process->Start(); });
  }
}

void World::PutMachine(const Machine& machine) {
  store_.PutMachine(machine);
  const bool leaving = machine.kind == MachineKind::kEngine && machine.state == MachineState::kLeaving;
  if (leaving) leaving_since_.try_emplace(EngineId{machine.id}, queue_.now());
  if (!leaving && machine.kind == MachineKind::kEngine) leaving_since_.erase(EngineId{machine.id});
  machine_history_.emplace_back(queue_.now(), store_.machines());
  if (machine_history_.size() > kMachineHistory) machine_history_.pop_front();
}

void World::RemoveMachine(MachineKind kind, std::uint32_t id) {
  store_.RemoveMachine(kind, id);
  machine_history_.emplace_back(queue_.now(), store_.machines());
}

NodeProcess* World::FindNode(NodeId node) {
  const auto entry = nodes_.find(node);
  return entry == nodes_.end() ? nullptr : entry->second.get();
}

EngineProcess* World::FindEngine(EngineId engine) {
  const auto entry = engines_.find(engine);
  return entry == engines_.end() ? nullptr : entry->second.get();
}

NodeProcess* World::Leader() {
  for (auto& [id, node] : nodes_) {
    if (node->alive() && node->node().HeldLease(node->LocalNow()).has_value()) return node.get();
  }
  return nullptr;
}

void World::Fold(std::uint64_t value) {
  digest_ = HashPair(digest_, HashPair(value, static_cast<std::uint64_t>(queue_.now().time_since_epoch().count())));
}

void World::Trace(const std::string& line) {
  trace_.push_back(fmt::format("{:.6f} {}", ToSeconds(queue_.now().time_since_epoch()), line));
  if (trace_.size() > kTraceLines && !options_.trace) trace_.pop_front();
}

void World::NoteLog(const NodeProcess& node, const WriteLog& log) {
  const EventDescription& event = DescribeEvent(log.event);
  Trace(fmt::format("node {} SQ{} {}: {}", node.id().value, static_cast<int>(log.event), event.name, log.details));
  if (log.event == EventId::kLeaseAcquired) {
    NodeProcess* process = FindNode(node.id());
    const std::optional<FenceToken> lease = process->node().HeldLease(process->LocalNow());
    if (lease.has_value()) truth_.OnLeaseAcquired(*lease);
  }
}

void World::NoteZoneCuts(int change) {
  zone_cuts_ = std::max(0, zone_cuts_ + change);
  zones_healed_at_ = queue_.now();
}

Time World::UndisturbedSince(const NodeProcess& node, bool of_platform) const {
  const bool platform_impaired = platform_.down || platform_.extra_delay > Duration{0};
  const bool cut_off = cut_nodes_.contains(node.id());
  // Across a cut only the platform carries news between zones.
  const bool no_way = zone_cuts_ > 0 && (platform_impaired || platform_.stale_reads);
  if (cut_off || no_way || (of_platform && platform_impaired)) return queue_.now();
  Time since = node.disturbed_at();
  if (of_platform) since = std::max(since, platform_healed_at_);
  return std::max(since, zones_healed_at_);
}

void World::Execute(NodeProcess& node, const Action& action) {
  std::visit([&](const auto& typed) { On(node, typed); }, action);
}

void World::DeliverLater(NodeProcess& node, Duration delay, Event event) {
  NodeProcess* process = &node;
  const std::uint64_t life = node.life();
  queue_.After(delay, [process, life, event = std::move(event)] {
    if (process->life() == life) process->Deliver(event);
  });
}

void World::On(NodeProcess& node, const SendPeer& action) {
  ++messages_;
  NodeProcess* to = FindNode(action.to);
  if (to == nullptr) return;
  for (const Duration delay : network_.Datagram(node.endpoint(), to->endpoint())) {
    DeliverLater(*to, delay, PeerMessageReceived{action.message});
  }
}

bool World::Reaches(const NodeProcess& node, const EngineProcess* engine) const {
  return engine != nullptr && !network_.IsCut(node.endpoint(), engine->endpoint());
}

void World::On(NodeProcess& node, const StartAttempt& action) {
  EngineProcess* engine = FindEngine(action.engine);
  if (!Reaches(node, engine) || !engine->alive()) {
    const Duration delay =
        engine != nullptr && Reaches(node, engine) ? Duration(kConnectRefused) : Duration(kCallTimeout);
    return DeliverLater(node, delay, AttemptFailed{action.engine, action.attempt.id, AttemptFailure::kNotSent});
  }
  const auto leaving = leaving_since_.find(action.engine);
  constexpr Duration kLeavingLimit = 3s;
  if (leaving != leaving_since_.end()) {
    const Time known_from = std::max(leaving->second, UndisturbedSince(node, true));
    if (queue_.now() - known_from > kLeavingLimit) {
      truth_.Report(Invariant::kLeavingGetsNoWork, queue_.now(),
                    fmt::format("node {} sent to leaving engine {}", node.id().value, action.engine.value));
    }
  }
  const Time sent_at = queue_.now();
  const NodeId from = node.id();
  const std::uint64_t node_life = node.life();
  NodeProcess* sender = &node;
  queue_.After(network_.StreamDelay(node.endpoint(), engine->endpoint()),
               [this, engine, from, node_life, sender, sent_at, attempt = action.attempt] {
                 if (!engine->alive()) {
                   if (sender->life() == node_life)
                     sender->Deliver(AttemptFailed{engine->id(), attempt.id, AttemptFailure::kBroken});
                   return;
                 }
                 if (FindNode(from)->life() != node_life) return;
                 engine->WhenAwake([engine, from, attempt, sent_at] { engine->OnStart(from, attempt, sent_at); });
               });
}

void World::On(NodeProcess& node, const ResumeAttempt& action) {
  EngineProcess* engine = FindEngine(action.engine);
  if (!Reaches(node, engine) || !engine->alive()) {
    return DeliverLater(node, kCallTimeout, AttemptFailed{action.engine, action.attempt, AttemptFailure::kBroken});
  }
  const NodeId from = node.id();
  queue_.After(network_.StreamDelay(node.endpoint(), engine->endpoint()), [engine, from, action] {
    if (!engine->alive()) return;
    engine->WhenAwake([engine, from, action] { engine->OnResume(from, action.boot, action.attempt, action.offset); });
  });
}

void World::On(NodeProcess& node, const CancelAttempt& action) {
  EngineProcess* engine = FindEngine(action.engine);
  if (!Reaches(node, engine)) return;
  queue_.After(network_.StreamDelay(node.endpoint(), engine->endpoint()),
               [engine, action] { engine->WhenAwake([engine, action] { engine->OnCancel(action.attempt); }); });
}

void World::On(NodeProcess& node, const ReadEngineState& action) {
  EngineProcess* engine = FindEngine(action.engine);
  if (!Reaches(node, engine) || !engine->alive()) {
    return DeliverLater(node, kCallTimeout, EngineStateRead{action.engine, std::nullopt});
  }
  NodeProcess* asker = &node;
  const std::uint64_t life = node.life();
  queue_.After(network_.StreamDelay(node.endpoint(), engine->endpoint()), [this, engine, asker, life, action] {
    if (asker->life() != life) return;
    std::optional<EngineState> state = engine->OnReadState(action.raise_fence, action.cache_events_after);
    const bool lost = !state.has_value() || network_.IsCut(engine->endpoint(), asker->endpoint());
    const Duration delay = lost ? Duration(kCallTimeout) : network_.StreamDelay(engine->endpoint(), asker->endpoint());
    if (lost) state.reset();
    DeliverLater(*asker, delay, EngineStateRead{action.engine, std::move(state)});
  });
}

void World::On(NodeProcess& node, const SendOrder& action) {
  EngineProcess* engine = FindEngine(action.engine);
  if (!Reaches(node, engine) || !engine->alive()) return;
  NodeProcess* sender = &node;
  const std::uint64_t life = node.life();
  const EngineOrder order = action.order;
  // An order may be under way for a while: its sender can lose the lease meanwhile.
  Duration delay = network_.StreamDelay(node.endpoint(), engine->endpoint());
  if (options_.message_loss > 0 && random_.Chance(0.1)) delay += random_.DurationBelow(4s);
  queue_.After(delay, [this, engine, sender, life, order] {
    engine->WhenAwake([this, engine, sender, life, order] {
      const std::optional<OrderVerdict> verdict = engine->OnOrder(sender->id(), order);
      const bool lost = network_.IsCut(engine->endpoint(), sender->endpoint()) ||
                        (options_.message_loss > 0 && random_.Chance(options_.message_loss));
      if (!verdict.has_value() || lost || sender->life() != life) return;
      DeliverLater(*sender, network_.StreamDelay(engine->endpoint(), sender->endpoint()),
                   OrderAnswered{engine->id(), order.token, verdict});
    });
  });
}

void World::AnswerStore(NodeProcess& node, const StoreAnswered& answer) {
  const Endpoint platform{Endpoint::Kind::kPlatform, 0, ZoneId{}};
  DeliverLater(node, network_.StreamDelay(platform, node.endpoint()) + platform_.extra_delay, answer);
}

StoredObject World::StaleRead(const std::string& key) const {
  const auto older = older_objects_.find(key);
  return older == older_objects_.end() ? StoredObject{} : older->second;
}

void World::On(NodeProcess& node, const StoreRead& action) {
  const Endpoint platform{Endpoint::Kind::kPlatform, 0, ZoneId{}};
  if (platform_.down || network_.IsCut(node.endpoint(), platform)) {
    return DeliverLater(node, kStoreTimeout, StoreAnswered{action.operation, StoreResult::kUnavailable, {}});
  }
  StoredObject object = store_.Read(action.key);
  if (platform_.stale_reads && random_.Chance(0.5)) object = StaleRead(action.key);
  AnswerStore(node, StoreAnswered{action.operation, StoreResult::kDone, object});
}

void World::On(NodeProcess& node, const StoreWrite& action) {
  const Endpoint platform{Endpoint::Kind::kPlatform, 0, ZoneId{}};
  if (platform_.down || network_.IsCut(node.endpoint(), platform)) {
    return DeliverLater(node, kConnectRefused, StoreAnswered{action.operation, StoreResult::kUnavailable, {}});
  }
  NodeProcess* writer = &node;
  const std::uint64_t life = node.life();
  queue_.After(network_.StreamDelay(node.endpoint(), platform) + platform_.extra_delay, [this, writer, life, action] {
    const StoredObject before = store_.Read(action.key);
    const StoreAnswered answer = store_.Write(action.operation, action.key, action.expected_version, action.value);
    if (answer.result == StoreResult::kDone) older_objects_[action.key] = before;
    if (writer->life() != life) return;
    if (platform_.loses_answers && random_.Chance(0.5)) {
      return DeliverLater(*writer, kStoreTimeout, StoreAnswered{action.operation, StoreResult::kNoAnswer, {}});
    }
    AnswerStore(*writer, answer);
  });
}

void World::On(NodeProcess& node, const ReadMachineList&) {
  const Endpoint platform{Endpoint::Kind::kPlatform, 0, ZoneId{}};
  if (platform_.down || network_.IsCut(node.endpoint(), platform)) {
    return DeliverLater(node, kStoreTimeout, MachineListRead{std::nullopt});
  }
  MachineListRead read;
  for (const auto& [since, list] : machine_history_) {
    if (since + platform_.machine_list_lag <= queue_.now() || !read.list.has_value()) read.list = list;
  }
  const Duration delay = network_.StreamDelay(platform, node.endpoint()) + platform_.extra_delay;
  DeliverLater(node, delay, std::move(read));
}

void World::On(NodeProcess& node, const DeliverTokens& action) {
  if (clients_ != nullptr) clients_->OnTokens(node.id(), node.life(), action);
}

void World::On(NodeProcess& node, const FinishRequest& action) {
  Fold(static_cast<std::uint64_t>(action.outcome) + action.total_tokens);
  if (clients_ != nullptr) clients_->OnFinished(node.id(), node.life(), action);
}

void World::On(NodeProcess& node, const FinishCommand& action) {
  if (clients_ != nullptr) clients_->OnCommandFinished(node.id(), action);
}

void World::On(NodeProcess& node, const ExitProcess&) {
  Trace(fmt::format("node {} exits", node.id().value));
  NodeProcess* process = &node;
  // The process ends once the actions of this event are carried out.
  queue_.After(Duration{1}, [process] { process->Exit(); });
}

}  // namespace saltquay
