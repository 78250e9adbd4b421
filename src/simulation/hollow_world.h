// Inside of RunHollowFleet: nodes, engines and stores of every cell.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/base/random.h"
#include "src/core/node.h"
#include "src/models/store_model.h"
#include "src/simulation/event_queue.h"
#include "src/simulation/hollow_fleet.h"

namespace saltquay {

// One run of a hollow fleet. Not thread-safe.
class HollowFleet {
 public:
  HollowFleet(const HollowOptions& options, std::uint64_t seed) : options_(options), random_(seed) {}

  HollowCosts Run();

 private:
  struct HollowEngine {
    Machine machine;
    EngineState state;
    Time changing_until{};
    EngineOrder order;
  };
  struct HollowNode {
    Machine machine;
    std::size_t cell = 0;
    std::unique_ptr<Node> node;
    std::uint64_t life = 0;
    bool cut = false;
    double bytes_out = 0;
    double bytes_in = 0;
    double busy_seconds = 0;
    double state_reads = 0;
    std::uint64_t generation = 0;
  };
  struct Cell {
    StoreModel store;
    std::map<EngineId, HollowEngine> engines;
    std::map<NodeId, std::size_t> nodes;  // Index into nodes_.
    bool platform_cut = false;
  };
  struct RollInProgress {
    std::uint64_t generation = 0;
    Time at{};
    bool done = false;
  };

  void Build();
  void BuildCell(std::size_t index, int nodes, int engines);
  void StartNode(std::size_t index);
  void Tick(std::size_t index, std::uint64_t life);
  void Handle(std::size_t index, const Event& event);
  void Execute(std::size_t index, const Action& action);
  void SendMessage(std::size_t from, const SendPeer& send);
  void ReadState(std::size_t index, const ReadEngineState& read);
  void TakeOrder(std::size_t index, const SendOrder& order);
  void AccessStore(std::size_t index, const StoreRead* read, const StoreWrite* write);
  void Later(std::size_t index, Duration delay, Event event);
  void Roll();
  void NoteGeneration(std::size_t index);
  void BeginMeasuring();
  void ScheduleDay(Time from, Time to);
  void WatchRolls(Time until);
  void RestartSome();
  void CutNodes(const std::function<bool(const HollowNode&)>& which);
  HollowCosts Finish();
  std::string BundleText(std::uint64_t generation) const;

  HollowOptions options_;
  Random random_;
  EventQueue queue_;
  std::vector<HollowNode> nodes_;
  std::vector<Cell> cells_;
  std::uint64_t last_boot_ = 0;
  std::uint64_t generation_ = 0;
  std::vector<RollInProgress> rolls_;
  double memory_before_ = 0;
  double store_operations_ = 0;
  double worst_in_force_ = 0;
  std::map<std::string, double> bytes_by_message_;
};

}  // namespace saltquay
