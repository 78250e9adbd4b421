// The simulated network: delays, loss, duplication, reordering and cuts.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "src/base/ids.h"
#include "src/base/random.h"
#include "src/simulation/event_queue.h"
#include "src/simulation/options.h"

namespace saltquay {

// One end of a link: a node, an engine, or the platform.
struct Endpoint {
  enum class Kind : std::uint8_t { kNode, kEngine, kPlatform };
  Kind kind = Kind::kNode;
  std::uint32_t id = 0;
  ZoneId zone;
  auto operator<=>(const Endpoint&) const = default;
};

// Not thread-safe.
class Network {
 public:
  Network(const SimulationOptions& options, Random& random) : options_(options), random_(random) {}

  // Messages from one zone to another, that way only, are lost.
  void CutZones(ZoneId from, ZoneId to) { cut_zones_.insert({from, to}); }
  void HealZones(ZoneId from, ZoneId to) { cut_zones_.erase({from, to}); }
  // A node's messages to and from everything else are lost.
  void CutNode(NodeId node) { cut_nodes_.insert(node); }
  void HealNode(NodeId node) { cut_nodes_.erase(node); }

  void HealAll() {
    cut_zones_.clear();
    cut_nodes_.clear();
  }

  bool IsCut(const Endpoint& from, const Endpoint& to) const;

  // Delays of the copies that arrive of one datagram: none when it is lost.
  std::vector<Duration> Datagram(const Endpoint& from, const Endpoint& to);
  // Delay of one piece of a connection's bytes.
  Duration StreamDelay(const Endpoint& from, const Endpoint& to);
  Duration ClientDelay();

 private:
  const SimulationOptions& options_;
  Random& random_;
  std::set<std::pair<ZoneId, ZoneId>> cut_zones_;
  std::set<NodeId> cut_nodes_;
};

}  // namespace saltquay
