// Engines by service and stage, indexed so that a choice need not visit all of them.
//
// The index is rebuilt when the directory's records have changed; load and health are read from the engines themselves.
// The home engines of a prompt part come from an order that every node of the region computes identically: by
// rendezvous hashing for few engines, and by multi-probe consistent hashing for many, where several probe points of the
// part are looked up on a ring of the engines' keys in time logarithmic in the number of engines. Either way, adding or
// removing an engine moves only the parts of that engine. A region that grows past kMaxFullScanEngines moves all parts
// once; they are copied from the engines that have them cached. Totals over many engines may be a few milliseconds old.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/base/random.h"
#include "src/core/serving/engine_directory.h"
#include "src/core/serving/topology.h"

namespace saltquay::serving {

// Up to this many engines, each choice visits all of them.
constexpr std::size_t kMaxFullScanEngines = 64;

struct IndexedEngine {
  EngineState* engine = nullptr;
  std::size_t zone = 0;  // Index into EngineIndex::zones().
};

// The two preferred engines for caching a prompt part; nullptr if there is none.
struct HomeEngines {
  const EngineState* first = nullptr;
  const EngineState* second = nullptr;
};

// Work in flight on the engines of a group.
struct GroupTotals {
  int in_service = 0;                  // Engines that may receive requests now.
  int peers_outstanding = 0;           // Requests in flight of other nodes.
  std::vector<double> waiting_tokens;  // Mean number of prompt tokens waiting for prefill per engine, by region.
};

// Engines by the hash of their keys.
using EngineRing = std::vector<std::pair<std::uint64_t, const EngineState*>>;

// Engines of one service and stage that are neither removed nor leaving.
class EngineGroup {
 public:
  const std::vector<IndexedEngine>& all() const { return all_; }
  bool AllowsFullScan() const { return all_.size() <= kMaxFullScanEngines; }
  // Appends a random sample: most from the zone, some from its region, some from anywhere. It may contain duplicates.
  void Sample(std::size_t zone, std::size_t region, Random& random, std::vector<IndexedEngine>& sampled) const;
  // Home engines in the region if there are any, otherwise in any region.
  HomeEngines FindHomeEngines(std::uint64_t part, std::size_t region, Time now) const;
  const GroupTotals& Totals(Time now);

 private:
  friend class EngineIndex;
  struct Region {
    std::vector<IndexedEngine> engines;
    EngineRing ring;
  };

  void Add(const IndexedEngine& member, std::size_t region);
  // Fills the empty entries of `homes` from the ring.
  static void AddHomeEngines(const EngineRing& ring, std::uint64_t part, Time now, HomeEngines& homes);

  std::vector<IndexedEngine> all_;
  std::vector<std::vector<IndexedEngine>> by_zone_;
  std::vector<Region> regions_;
  EngineRing ring_;  // Of all engines.
  GroupTotals totals_;
  Time totals_computed_at_{};
};

class EngineIndex {
 public:
  struct Zone {
    std::string name;
    std::size_t region = 0;
  };

  // Rebuilds the index if the records have changed.
  void Refresh(EngineDirectory& engines, const Topology& topology);

  EngineGroup& GroupOf(const std::string& service, EngineStage stage) { return groups_[{service, stage}]; }
  // Engines of the service that have not been removed, including leaving ones.
  const std::vector<EngineState*>& PresentOf(const std::string& service) { return present_[service]; }
  // Returns nullptr if the engine was removed.
  EngineState* FindPresent(const EngineKey& key) const;
  const std::vector<Zone>& zones() const { return zones_; }
  // Index of the zone, or of this node's own zone if no engine is in it.
  std::size_t ZoneIndexOf(const std::string& zone) const;
  std::size_t local_zone() const { return local_zone_; }

 private:
  std::size_t AddZone(const std::string& zone, const Topology& topology);

  const EngineDirectory* directory_ = nullptr;
  std::uint64_t generation_ = 0;
  std::vector<Zone> zones_;
  std::map<std::string, std::size_t> zone_indices_;
  std::map<std::string, std::size_t, std::less<>> region_indices_;
  std::size_t local_zone_ = 0;
  std::map<std::pair<std::string, EngineStage>, EngineGroup> groups_;
  std::map<std::string, std::vector<EngineState*>> present_;
  std::unordered_map<EngineKey, EngineState*, EngineKeyHash> by_key_;
};

}  // namespace saltquay::serving
