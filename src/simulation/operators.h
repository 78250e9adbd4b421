// The operators: they publish, approve and roll bundles through any node, race
// one another, and check that what was accepted is in force. Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "src/simulation/callers.h"
#include "src/simulation/deployments.h"
#include "src/simulation/world.h"

namespace saltquay {

// A roll that an operator was told is accepted.
struct AcceptedRoll {
  std::uint64_t generation = 0;
  Time at{};
};

class Operators {
 public:
  Operators(World& world, Callers& callers);

  // Publishes, approves and rolls `plan`; tries again until accepted.
  void RollOut(const BundlePlan& plan);
  // Two operators roll different bundles through different nodes at once.
  void Race(const BundlePlan& first, const BundlePlan& second);
  // Looks at every node now and then, for as long as the run lasts.
  void WatchNodes();

  const std::vector<AcceptedRoll>& accepted() const { return accepted_; }
  std::uint64_t newest_accepted() const;
  // Longest time from an accept until every undisturbed node had it.
  Duration worst_in_force() const { return worst_in_force_; }

 private:
  enum class Stage { kPublish, kApprove, kRoll };
  struct Job {
    BundlePlan plan;
    Stage stage = Stage::kPublish;
    int tries = 0;
    std::string who;
  };
  struct Pending {
    Job job;
    Time sent_at{};
  };

  void Send(const Job& job);
  void OnAnswer(NodeId node, const FinishCommand& finish);
  void Next(Job job, Duration after);
  void CheckNodes();
  void CheckNode(NodeProcess& node);

  World& world_;
  std::uint64_t last_handle_ = 1'000'000'000;
  std::map<CommandHandle, Pending> pending_;
  std::vector<AcceptedRoll> accepted_;
  std::map<std::pair<NodeId, std::uint64_t>, std::uint64_t> seen_;  // Generation by node life.
  std::map<std::uint64_t, bool> in_force_everywhere_;
  Duration worst_in_force_{0};
};

}  // namespace saltquay
