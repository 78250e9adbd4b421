// Injects faults at times that the seed decides, and heals them all.
// Not thread-safe.
#pragma once

#include <functional>

#include "src/simulation/callers.h"
#include "src/simulation/operators.h"
#include "src/simulation/world.h"

namespace saltquay {

class FaultInjector {
 public:
  FaultInjector(World& world, Callers& callers, Operators& operators)
      : world_(world), callers_(callers), operators_(operators) {}

  // Schedules every fault that the options ask for, between `begin` and `end`.
  void Schedule(Time begin, Time end);
  // Undoes whatever is still broken.
  void HealAll();

  // Virtual seconds from each kill of a leader until another led.
  const std::vector<double>& leader_gaps() const { return leader_gaps_; }

 private:
  // Schedules about `count` of `fault` in the first `share` of the faulty time.
  void Spread(double count, const std::function<void()>& fault, double share = 1.0);
  Duration Length(Duration longest);
  NodeProcess* PickNode();
  EngineProcess* PickEngine();

  void KillNode(NodeProcess* node);
  void PauseNode(NodeProcess* node);
  void StopNode();
  void RestartOnceExited(NodeProcess* node, std::uint64_t life);
  void CutZone();
  void CutNode();
  void StoreOutage();
  void StoreSlow();
  void StoreLosesAnswers();
  void StoreStale();
  void CrashEngine();
  void PauseEngine();
  void EngineLeaves();
  void KillLeader();
  void WatchLeaderGap(Time killed_at);
  void RollNew();
  void RaceOperators();
  BundlePlan NextPlan();

  World& world_;
  Callers& callers_;
  Operators& operators_;
  Time begin_{};
  Time end_{};
  int last_plan_ = 0;
  std::vector<double> leader_gaps_;
};

}  // namespace saltquay
