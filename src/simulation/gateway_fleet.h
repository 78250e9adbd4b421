// Hollow gateways: the code by which gateway nodes exchange reports and digests, for a whole fleet in one process and
// in virtual time. Measures what that costs a node of each role, and how long news takes, by the size of the fleet.
//
// Not modelled: requests to engines (only the work that nodes report of them), the relaying of store objects, and links
// that are full.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace saltquay {

struct GatewayFleetOptions {
  int nodes = 985;
  int engines = 10'000;
  int zones = 5;
  int fast_nodes_per_zone = 10;  // With links of 200 Mbit/s; the others have 20.
  double requests_per_s = 0.43;  // Of each node.
  double loss = 0.001;           // Share of datagrams.
  double warmup_s = 15;
  double measured_s = 10;
};

// Costs of the nodes of one role, per second.
struct RoleCosts {
  int nodes = 0;
  double bytes_out = 0;  // Means; the maxima are the busiest node's.
  double bytes_in = 0;
  double datagrams_out = 0;
  double datagrams_in = 0;
  double core_share = 0;  // Of one core of this machine, with the codec.
  double max_bytes_out = 0;
  double max_bytes_in = 0;
  double max_core_share = 0;
};

struct GatewayFleetCosts {
  // "plain", "forwarder" (of digests) or "aggregator".
  std::map<std::string, RoleCosts> by_role;
  double bytes_between_zones = 0;  // Of all nodes, per second.
  double digest_age_s = 0;         // Mean over all nodes at the end.
  double max_digest_age_s = 0;
  double known_members = 0;  // Mean share of the fleet that a node knows at the end.
  // From the event until the last node has learnt of it; negative if that took longer than a minute.
  double failure_known_s = 0;
  double new_node_known_s = 0;
  double lost_node_forgotten_s = 0;
};

GatewayFleetCosts RunGatewayFleet(const GatewayFleetOptions& options, std::uint64_t seed);

}  // namespace saltquay
