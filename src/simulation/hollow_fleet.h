// Hollow nodes: the real core of many nodes in one process, with engines that
// only report and take orders. Measures what control costs a node.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "src/core/parameters.h"

namespace saltquay {

struct HollowOptions {
  int nodes = 80;
  int engines = 1100;
  int cells = 1;  // Regions; each has a cell of its own.
  int zones_per_cell = 3;
  double warmup_seconds = 40;
  double measured_seconds = 60;
  double restarts_per_day = 770;  // Machines failed, restarted or replaced, at `full_nodes` and engines.
  double changes_per_day = 7000;  // Bundles rolled.
  int tenants = 1000;             // Rows in each bundle.
  double rack_lost_at = -1;       // Seconds into the measured time; negative: never.
  double zone_lost_at = -1;
  double platform_cut_at = -1;  // Cells lose the store, as regions cut off do.
  double lost_for_seconds = 20;
  Parameters parameters;
};

// Parameters for cells of this many nodes: what is right for six nodes would spend
// the budget of eighty.
Parameters ParametersForCell(int nodes_in_cell);

// Costs of a node, by what they are for.
struct HollowCosts {
  double bytes_out_per_second = 0;  // Mean over nodes.
  double bytes_in_per_second = 0;
  double worst_bytes_out_per_second = 0;
  double worst_bytes_in_per_second = 0;
  double core_share = 0;  // Of one core, in the core and the codec.
  double worst_core_share = 0;
  double memory_bytes = 0;                 // Of a node, by the process's growth.
  double store_operations_per_second = 0;  // All nodes.
  double state_reads_per_second = 0;       // Of engines, each node.
  double worst_in_force_seconds = 0;       // From a roll to all nodes of all cells.
  double rolls = 0;
  double cells_with_leader = 0;
  std::map<std::string, double> bytes_by_message;  // Out, a node a second.
};

HollowCosts RunHollowFleet(const HollowOptions& options, std::uint64_t seed);

}  // namespace saltquay
