// Random schedules of nodes that are partitioned from engines, overlapping with crashed, paused and lost machines.
//
// Guards against: a node that is partitioned from engines serves nobody although its peers reach them, or its view of
// the engines spreads to others.
#include <algorithm>
#include <cstdlib>
#include <map>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "tests/support/serving_fixture.h"
#include "tests/support/serving_fleet.h"

namespace saltquay::serving {
namespace {

constexpr Duration kDetectionTime = 1s;
constexpr double kMinServedShare = 0.95;
// Requests that may be lost beyond that share, since crashed engines and restarted nodes break some off.
constexpr int kServedSlack = 6;
// More crashes may quarantine a request that clients repeat; see crash_ledger.h.
constexpr int kMaxCrashes = 2;

class PartitionSchedule {
 public:
  PartitionSchedule(std::uint64_t seed, int nodes, const ServingConfig& config, const ServingParameters& parameters)
      : random_(seed), nodes_(nodes), fleet_(nodes, config, parameters, seed) {
    partitioned_since_.resize(nodes);
  }

  void AddEngine(const std::string& id, const std::string& service, EngineStage stage, int slots) {
    FleetEngine engine;
    engine.record.id = id;
    engine.record.service = service;
    engine.record.address = "10.0.0.1:80";
    engine.record.zone = "a";
    engine.record.slots = engine.slots = slots;
    engine.record.stage = stage;
    fleet_.AddEngine(engine);
    engines_.push_back(id);
  }
  void Run(int steps, double requests_per_s) {
    fleet_.Begin();
    const Time end = fleet_.now() + 3s + steps * 2s + 4s;
    for (const char* route : {"chat", "safe", "once"}) {
      fleet_.Offer(route, requests_per_s / 3, end, [](int count) {
        PromptMetadata prompt;
        prompt.model = "m";
        prompt.tokens = count % 3 == 0 ? 900 : 17000;
        prompt.output_tokens = 100;
        prompt.parts = {{fmt::format("s{}", count % 7), prompt.tokens - 400}, {"own", 400}};
        return prompt;
      });
    }
    fleet_.OfferRepeated("safe", 5, end, 2);
    fleet_.RunUntil(fleet_.now() + 3s);
    for (int step = 0; step < steps; ++step) {
      Disturb();
      fleet_.RunUntil(fleet_.now() + 300ms + random_.DurationBelow(1700ms));
      if (random_.Chance(0.3)) HealAll();
    }
    HealAll();
    fleet_.RunUntil(end + 8s);
  }

  const ServingFleet& fleet() const { return fleet_; }
  // Sound engines that were ejected, and requests that were quarantined.
  std::vector<std::string> Violations() const {
    std::vector<std::string> found = fleet_.Violations();
    for (const std::string& engine : fleet_.ejected()) {
      if (!fleet_.HasCrashed(engine)) found.push_back(engine + " was ejected");
    }
    for (const std::string& request : fleet_.quarantined()) found.push_back(request + " was quarantined");
    if (fleet_.false_crash_reports() > 0) found.emplace_back("a crash was recorded that had not happened");
    return found;
  }
  // Whether requests at partitioned nodes were served about as often as those at others at the same time.
  bool ServesPartitionedNodes() const {
    Share partitioned;
    Share others;
    for (const RequestOutcome& outcome : fleet_.outcomes()) {
      const bool affected = IsIn(windows_[outcome.node], outcome.at, kDetectionTime);
      if (affected) {
        partitioned.Add(outcome.served);
      } else if (IsInAny(outcome.at) && !IsIn(windows_[outcome.node], outcome.at, 0s)) {
        others.Add(outcome.served);
      }
    }
    const double expected = kMinServedShare * others.value() * partitioned.all - kServedSlack;
    return partitioned.served >= expected;
  }
  std::string Describe() const { return description_; }

 private:
  struct Window {
    Time from{};
    Time to{};
  };
  struct Share {
    int served = 0;
    int all = 0;
    void Add(bool is_served) { ++all, served += is_served ? 1 : 0; }
    double value() const { return all == 0 ? 1.0 : static_cast<double>(served) / all; }
  };

  static bool IsIn(const std::vector<Window>& windows, Time at, Duration margin) {
    return std::any_of(windows.begin(), windows.end(),
                       [&](const Window& window) { return at >= window.from + margin && at < window.to; });
  }
  bool IsInAny(Time at) const {
    return std::any_of(windows_.begin(), windows_.end(),
                       [&](const std::vector<Window>& windows) { return IsIn(windows, at, kDetectionTime); });
  }
  int PickNode() { return static_cast<int>(random_.Below(nodes_)); }
  void Note(const std::string& text) {
    description_ += fmt::format("{:.2f} s {}; ", ToSeconds(fleet_.now() - Time{}), text);
  }

  void Disturb() {
    switch (random_.Below(8)) {
      case 0:
        if (crashes_++ >= kMaxCrashes) return;
        Note("crash");
        return fleet_.KillEngine(engines_[random_.Below(engines_.size())]);
      case 1:
      case 2:
        return Pause(engines_[random_.Below(engines_.size())]);
      case 3: {
        const int node = PickNode();
        if (partitioned_since_[node]) return;  // Its requests are lost, which is no matter of the partition.
        Note(fmt::format("restart of {}", node));
        return fleet_.Restart(node);
      }
      default:
        return Partition();
    }
  }
  // An engine that is silent for much longer than a second is taken for unresponsive.
  void Pause(const std::string& engine) {
    Time& paused_at = paused_at_[engine];
    if (paused_at != Time{} && fleet_.now() - paused_at < 3s) return;
    paused_at = fleet_.now();
    Note("pause");
    fleet_.PauseEngine(engine, 1s);
  }
  // Of less than half of the nodes, from all engines or from some.
  void Partition() {
    const auto kind = static_cast<PartitionKind>(random_.Below(3));
    std::set<std::string> engines;
    if (random_.Chance(0.3)) {
      for (const std::string& id : engines_) {
        if (random_.Chance(0.6)) engines.insert(id);
      }
    }
    const int count = 1 + static_cast<int>(random_.Below(std::max(1, (nodes_ - 1) / 2)));
    for (int i = 0; i < count; ++i) {
      const int node = PickNode();
      if (partitioned_since_[node] || 2 * (CountPartitioned() + 1) > nodes_) continue;
      Note(fmt::format("{} partitioned, kind {}, from {}", node, static_cast<int>(kind),
                       engines.empty() ? "all" : fmt::format("{}", engines.size())));
      partitioned_since_[node] = fleet_.now();
      fleet_.PartitionFromEngines(node, kind, engines);
    }
  }
  int CountPartitioned() const {
    return static_cast<int>(std::count_if(partitioned_since_.begin(), partitioned_since_.end(),
                                          [](const std::optional<Time>& since) { return since.has_value(); }));
  }
  void HealAll() {
    windows_.resize(nodes_);
    for (int node = 0; node < nodes_; ++node) {
      if (!partitioned_since_[node]) continue;
      windows_[node].push_back({*partitioned_since_[node], fleet_.now()});
      partitioned_since_[node].reset();
      fleet_.HealPartition(node);
      Note(fmt::format("{} healed", node));
    }
  }

  Random random_;
  int nodes_ = 0;
  ServingFleet fleet_;
  std::vector<std::string> engines_;
  std::vector<std::optional<Time>> partitioned_since_;  // By node.
  std::vector<std::vector<Window>> windows_;            // By node.
  std::map<std::string, Time> paused_at_;
  int crashes_ = 0;
  std::string description_;
};

class PartitionSchedulesTest : public ServingFixture {
 protected:
  static ServingParameters Parameters() {
    ServingParameters parameters;
    parameters.retry_budget = RetryBudgetBounds{0.2, 10s, 54, 0.8};
    return parameters;
  }
  static PartitionSchedule MakeSchedule(std::uint64_t seed, int nodes, const ServingParameters& parameters) {
    PartitionSchedule schedule(seed, nodes, MakeConfig(), parameters);
    const int size = std::max(1, nodes / 7);
    const bool staged = seed % 4 != 0;
    for (int i = 0; i < 5 * size; ++i) {
      schedule.AddEngine(fmt::format("p{}", i), "model", staged ? EngineStage::kPrefill : EngineStage::kUniform, 8);
    }
    for (int i = 0; i < 4 * size; ++i) {
      schedule.AddEngine(fmt::format("d{}", i), "model", staged ? EngineStage::kDecode : EngineStage::kUniform, 40);
    }
    for (int i = 0; i < 4 * size; ++i) schedule.AddEngine(fmt::format("u{}", i), "plain", EngineStage::kUniform, 8);
    return schedule;
  }
  static void Check(std::uint64_t seed, int nodes, int steps) {
    PartitionSchedule schedule = MakeSchedule(seed, nodes, Parameters());
    schedule.Run(steps, 9.0 * nodes);
    const std::string name = fmt::format("seed {}, {} nodes: {}", seed, nodes, schedule.Describe());
    EXPECT_TRUE(schedule.ServesPartitionedNodes()) << name;
    EXPECT_LE(schedule.fleet().MaxBudgetExcess(0.2, 54, 10s), 0) << name;
    const std::vector<std::string> violations = schedule.Violations();
    EXPECT_TRUE(violations.empty()) << violations.size() << " violations, first: " << violations.front() << "; "
                                    << name;
  }
  // More or other seeds by hand: SALTQUAY_SCHEDULES=FIRST:COUNT.
  static std::pair<std::uint64_t, std::uint64_t> Seeds(std::uint64_t count) {
    const char* text = std::getenv("SALTQUAY_SCHEDULES");
    if (text == nullptr) return {1, count};
    char* rest = nullptr;
    const std::uint64_t first = std::strtoull(text, &rest, 10);
    return {first, *rest == ':' ? std::strtoull(rest + 1, nullptr, 10) : count};
  }
};

TEST_F(PartitionSchedulesTest, SmallFleets) {
  const auto [first, count] = Seeds(294);
  for (std::uint64_t seed = first; seed < first + count; ++seed) Check(seed, seed % 5 == 0 ? 3 : 7, 8);
}

TEST_F(PartitionSchedulesTest, LargeFleets) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) Check(seed, 77, 4);
  Check(1, 300, 2);
}

TEST_F(PartitionSchedulesTest, FailWithoutPeersThatServe) {
  ServingParameters parameters = Parameters();
  parameters.forwarding.max_peers_per_request = 0;
  PartitionSchedule schedule = MakeSchedule(1, 7, parameters);
  schedule.Run(8, 63);
  EXPECT_FALSE(schedule.ServesPartitionedNodes());
}

}  // namespace
}  // namespace saltquay::serving
