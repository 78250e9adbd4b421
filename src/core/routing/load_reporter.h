// Reads engines' states and spreads them as load reports.
//
// Protocol: each engine is read by the two nodes of its zone that rank highest
// for it; any nodes of the cell where its zone has none. Readers send what
// changed to the other nodes, zone peers first, within a byte budget: at small
// sizes every change at once, at large sizes as often as the budget allows.
// Each node sends its measured demand to the leader.
//
// Not thread-safe; owned by Node.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "src/core/context.h"
#include "src/core/events.h"
#include "src/core/membership/membership.h"
#include "src/core/routing/load_table.h"
#include "src/core/routing/prefix_index.h"

namespace saltquay {

class LoadReporter {
 public:
  void OnTick(NodeContext& context, const Membership& membership, LoadTable& table, const PrefixIndex& prefixes);
  // Turns a state read, whoever asked for it, into a report.
  void OnStateRead(NodeContext& context, LoadTable& table, PrefixIndex& prefixes, const EngineStateRead& read);
  void OnDelta(const NodeContext& context, NodeId sender, LoadTable& table, const LoadDelta& delta);

  // Sends this node's demand to the leader, or keeps it when it leads itself.
  void ReportDemand(NodeContext& context, NodeId leader, const std::vector<ModelDemand>& demands);
  // Demands of every node heard recently. Meaningful on the leader.
  std::vector<ModelDemand> CellDemands(const NodeContext& context) const;

 private:
  struct Sent {
    EngineLoad load;
    Time at{};
  };
  struct Group {
    std::map<EngineId, Sent> sent;
    Time next_at{};
  };
  struct NodeDemand {
    std::vector<ModelDemand> demands;
    Time at{};
  };

  bool IsReader(const NodeContext& context, const Membership& membership, const EngineEntry& entry) const;
  void AssignReads(const NodeContext& context, const Membership& membership, const LoadTable& table);
  void Spread(NodeContext& context, Group& group, const std::vector<NodeId>& peers, double budget);

  std::map<EngineId, EngineLoad> own_reads_;
  std::map<EngineId, int> failed_reads_;
  std::vector<EngineId> assigned_;
  Time next_assignment_{};
  std::map<EngineId, Time> next_read_;
  Group zone_group_;
  Group far_group_;
  std::map<NodeId, NodeDemand> demands_;
  Time next_demand_report_{};
};

// The report that an engine's state amounts to.
EngineLoad MakeEngineLoad(const EngineState& state);

}  // namespace saltquay
