#include "src/simulation/faults.h"

#include <algorithm>

#include <fmt/format.h>

namespace saltquay {
namespace {

constexpr Duration kShortestLength = 500ms;
constexpr Duration kRestartAfter = 2s;
constexpr Duration kExitPoll = 2s;
// Planned stops begin in this first part of the faulty time.
constexpr double kStopShare = 0.4;
constexpr Duration kLeavingLasts = 8s;
constexpr Duration kLeaderPoll = 50ms;
constexpr Duration kLeaderPatience = 60s;

}  // namespace

Duration FaultInjector::Length(Duration longest) {
  return kShortestLength + world_.random().DurationBelow(std::max(longest, Duration{1}));
}

void FaultInjector::Spread(double count, const std::function<void()>& fault, double share) {
  // The whole part always happens, the rest by chance.
  int times = static_cast<int>(count);
  if (world_.random().Chance(count - times)) ++times;
  for (int i = 0; i < times; ++i) {
    const Duration span = FromSeconds(ToSeconds(end_ - begin_) * share);
    world_.queue().At(begin_ + world_.random().DurationBelow(span), fault);
  }
}

NodeProcess* FaultInjector::PickNode() {
  auto node = world_.nodes().begin();
  std::advance(node, static_cast<std::ptrdiff_t>(world_.random().Below(world_.nodes().size())));
  return node->second.get();
}

EngineProcess* FaultInjector::PickEngine() {
  auto engine = world_.engines().begin();
  std::advance(engine, static_cast<std::ptrdiff_t>(world_.random().Below(world_.engines().size())));
  return engine->second.get();
}

void FaultInjector::Schedule(Time begin, Time end) {
  begin_ = begin;
  end_ = end;
  const FaultRates& rates = world_.options().faults;
  Spread(rates.node_kills, [this] { KillNode(PickNode()); });
  Spread(rates.node_pauses, [this] { PauseNode(PickNode()); });
  // A stop lasts as long as the longest request; it must be over by the end.
  Spread(
      rates.node_stops, [this] { StopNode(); }, kStopShare);
  Spread(rates.zone_cuts, [this] { CutZone(); });
  Spread(rates.node_cuts, [this] { CutNode(); });
  Spread(rates.store_outages, [this] { StoreOutage(); });
  Spread(rates.store_slowness, [this] { StoreSlow(); });
  Spread(rates.store_lost_answers, [this] { StoreLosesAnswers(); });
  Spread(rates.store_stale_reads, [this] { StoreStale(); });
  Spread(rates.engine_crashes, [this] { CrashEngine(); });
  Spread(rates.engine_pauses, [this] { PauseEngine(); });
  Spread(rates.engine_leaves, [this] { EngineLeaves(); });
  Spread(rates.leader_kills, [this] { KillLeader(); });
  Spread(rates.leader_pauses, [this] {
    if (NodeProcess* leader = world_.Leader()) PauseNode(leader);
  });
  Spread(rates.rolls, [this] { RollNew(); });
  Spread(rates.operator_races, [this] { RaceOperators(); });
}

void FaultInjector::KillNode(NodeProcess* node) {
  if (!node->alive()) return;
  world_.Trace(fmt::format("FAULT kill node {}", node->id().value));
  node->Kill();
  world_.queue().After(kRestartAfter + Length(6s), [node] {
    if (!node->alive()) node->Start();
  });
}

void FaultInjector::PauseNode(NodeProcess* node) {
  if (!node->alive() || node->paused()) return;
  world_.Trace(fmt::format("FAULT pause node {}", node->id().value));
  node->Pause();
  World* world = &world_;
  world_.queue().After(Length(world_.options().pause_length), [node, world] {
    world->Trace(fmt::format("FAULT wake node {}", node->id().value));
    node->Wake();
  });
}

void FaultInjector::StopNode() {
  NodeProcess* node = PickNode();
  if (!node->alive() || node->paused() || node->stopping()) return;
  world_.Trace(fmt::format("FAULT stop node {}", node->id().value));
  node->NoteStopping();
  callers_.NotePlannedStop(node->id());
  node->Deliver(StopRequested{});
  RestartOnceExited(node, node->life());
}

void FaultInjector::RestartOnceExited(NodeProcess* node, std::uint64_t life) {
  world_.queue().After(Length(kExitPoll), [this, node, life] {
    if (node->life() != life) return;
    if (node->alive()) return RestartOnceExited(node, life);
    node->Start();
  });
}

void FaultInjector::CutZone() {
  const std::vector<ZoneId>& zones = world_.zones();
  if (zones.size() < 2) return;
  const ZoneId cut = zones[world_.random().Below(zones.size())];
  const bool inward = !world_.random().Chance(0.25);
  const bool outward = !inward || world_.random().Chance(0.6);
  world_.Trace(fmt::format("FAULT cut zone {:x}{}{}", cut.value, inward ? " inward" : "", outward ? " outward" : ""));
  for (const ZoneId zone : zones) {
    if (zone == cut) continue;
    if (inward) world_.network().CutZones(zone, cut);
    if (outward) world_.network().CutZones(cut, zone);
  }
  world_.NoteZoneCuts(+1);
  World* world = &world_;
  world_.queue().After(Length(world_.options().outage_length), [world, cut] {
    for (const ZoneId zone : world->zones()) {
      world->network().HealZones(zone, cut);
      world->network().HealZones(cut, zone);
    }
    world->NoteZoneCuts(-1);
  });
}

void FaultInjector::CutNode() {
  NodeProcess* node = PickNode();
  world_.Trace(fmt::format("FAULT cut node {}", node->id().value));
  world_.network().CutNode(node->id());
  world_.cut_nodes().insert(node->id());
  World* world = &world_;
  world_.queue().After(Length(world_.options().outage_length), [world, node] {
    world->network().HealNode(node->id());
    world->cut_nodes().erase(node->id());
    node->NoteDisturbed(world->queue().now());
  });
}

void FaultInjector::StoreOutage() {
  world_.Trace("FAULT store down");
  world_.platform().down = true;
  World* world = &world_;
  world_.queue().After(Length(world_.options().outage_length), [world] {
    world->platform().down = false;
    world->NotePlatformHealed();
  });
}

void FaultInjector::StoreSlow() {
  world_.Trace("FAULT store slow");
  world_.platform().extra_delay = 1500ms;
  World* world = &world_;
  world_.queue().After(Length(world_.options().outage_length), [world] {
    world->platform().extra_delay = Duration{0};
    world->NotePlatformHealed();
  });
}

void FaultInjector::StoreLosesAnswers() {
  world_.Trace("FAULT store loses answers");
  world_.platform().loses_answers = true;
  World* world = &world_;
  world_.queue().After(Length(world_.options().outage_length), [world] { world->platform().loses_answers = false; });
}

void FaultInjector::StoreStale() {
  world_.Trace("FAULT store gives old data");
  world_.platform().stale_reads = true;
  World* world = &world_;
  world_.queue().After(Length(world_.options().outage_length), [world] { world->platform().stale_reads = false; });
}

void FaultInjector::CrashEngine() {
  EngineProcess* engine = PickEngine();
  // In the middle of a change is where it hurts most.
  for (auto& [id, candidate] : world_.engines()) {
    const bool changing = candidate->alive() && candidate->model().order_in_progress();
    if (changing && world_.random().Chance(0.5)) engine = candidate.get();
  }
  if (!engine->alive()) return;
  world_.Trace(fmt::format("FAULT crash engine {}", engine->id().value));
  engine->Crash();
  world_.queue().After(Length(5s), [engine] {
    if (!engine->alive()) engine->Start();
  });
}

void FaultInjector::PauseEngine() {
  EngineProcess* engine = PickEngine();
  if (!engine->alive() || engine->paused()) return;
  world_.Trace(fmt::format("FAULT pause engine {}", engine->id().value));
  engine->Pause();
  world_.queue().After(Length(world_.options().pause_length), [engine] { engine->Wake(); });
}

void FaultInjector::EngineLeaves() {
  EngineProcess* engine = PickEngine();
  if (world_.leaving_since().contains(engine->id())) return;
  world_.Trace(fmt::format("FAULT engine {} leaves", engine->id().value));
  Machine machine = engine->machine();
  machine.state = MachineState::kLeaving;
  world_.PutMachine(machine);
  World* world = &world_;
  world_.queue().After(kLeavingLasts, [world, engine] {
    world->RemoveMachine(MachineKind::kEngine, engine->id().value);
    engine->Crash();
    world->queue().After(kRestartAfter, [world, engine] {
      engine->Start();
      world->PutMachine(engine->machine());
    });
  });
}

void FaultInjector::KillLeader() {
  NodeProcess* leader = world_.Leader();
  if (leader == nullptr) return;
  KillNode(leader);
  WatchLeaderGap(world_.queue().now());
}

void FaultInjector::WatchLeaderGap(Time killed_at) {
  const Duration gap = world_.queue().now() - killed_at;
  if (world_.Leader() != nullptr || gap >= kLeaderPatience) {
    leader_gaps_.push_back(ToSeconds(gap));
    return;
  }
  world_.queue().After(kLeaderPoll, [this, killed_at] { WatchLeaderGap(killed_at); });
}

BundlePlan FaultInjector::NextPlan() {
  BundlePlan plan;
  plan.name = fmt::format("roll-{}", ++last_plan_);
  plan.main_version = fmt::format("{}", 1 + last_plan_);
  plan.main_engines = world_.options().main_engines;
  plan.quick_engines = world_.options().quick_engines;
  plan.prefill_engines = std::max(1, plan.main_engines * 4 / 9);
  return plan;
}

void FaultInjector::RollNew() { operators_.RollOut(NextPlan()); }

void FaultInjector::RaceOperators() {
  const BundlePlan first = NextPlan();
  operators_.Race(first, NextPlan());
}

void FaultInjector::HealAll() {
  world_.Trace("all faults healed");
  world_.network().HealAll();
  world_.platform() = PlatformCondition{};
  world_.cut_nodes().clear();
  world_.NotePlatformHealed();
  for (auto& [id, node] : world_.nodes()) {
    node->Wake();
    if (!node->alive()) node->Start();
    node->NoteDisturbed(world_.queue().now());
  }
  for (auto& [id, engine] : world_.engines()) {
    engine->Wake();
    if (!engine->alive()) engine->Start();
    world_.PutMachine(engine->machine());
  }
}

}  // namespace saltquay
