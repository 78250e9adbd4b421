// Engines by service and stage, arranged so that a choice among them need not look at all.
//
// Protocol. It is arranged anew when the directory's records have changed; loads
// and standings are read from the engines themselves. The homes of a prompt part
// come from an order that every node of the region computes alike: of few engines
// by rendezvous hashing, of many those that come next after several points of the
// part on a ring of the engines' keys (multi-probe consistent hashing), in a time
// that grows with the logarithm of the engines. Either way an engine that comes or
// goes moves its own parts only; a region that grows past few engines moves all of
// them once, and copies them from where they are kept. Sums over many engines are a
// few milliseconds old.
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

// Up to so many engines each choice looks at all of them.
constexpr std::size_t kMaxFullScanEngines = 64;

struct IndexedEngine {
  EngineState* engine = nullptr;
  std::size_t zone = 0;  // Its place in EngineIndex::zones().
};

// Two engines that keep a prompt part first of all; nullptr: there is none.
struct HomeEngines {
  const EngineState* first = nullptr;
  const EngineState* second = nullptr;
};

// What waits at the engines of a group.
struct GroupTotals {
  int in_service = 0;                  // Engines that may get work now.
  int peers_outstanding = 0;           // Requests of other nodes there.
  std::vector<double> waiting_tokens;  // Prompt tokens to be read at an engine on average, by region.
};

// Engines by the hash of their keys.
using EngineRing = std::vector<std::pair<std::uint64_t, const EngineState*>>;

// Engines of one service and stage that are neither gone nor leaving.
class EngineGroup {
 public:
  const std::vector<IndexedEngine>& all() const { return all_; }
  bool few() const { return all_.size() <= kMaxFullScanEngines; }
  // Some at random: most of the zone, others of its region, some of anywhere. Repeats are possible.
  void Draw(std::size_t zone, std::size_t region, Random& random, std::vector<IndexedEngine>& drawn) const;
  // Homes in the region first, then anywhere.
  HomeEngines FindHomeEngines(std::uint64_t part, std::size_t region, Time now) const;
  const GroupTotals& Sums(Time now);

 private:
  friend class EngineIndex;
  struct Region {
    std::vector<IndexedEngine> engines;
    EngineRing ring;
  };

  void Add(const IndexedEngine& member, std::size_t region);
  // Fills what is open of `homes` from the ring.
  static void AddHomeEngines(const EngineRing& ring, std::uint64_t part, Time now, HomeEngines& homes);

  std::vector<IndexedEngine> all_;
  std::vector<std::vector<IndexedEngine>> by_zone_;
  std::vector<Region> regions_;
  EngineRing ring_;  // Of all.
  GroupTotals sums_;
  Time summed_at_{};
};

class EngineIndex {
 public:
  struct Zone {
    std::string name;
    std::size_t region = 0;
  };

  // Arranges the engines anew if their records have changed.
  void Refresh(EngineDirectory& engines, const Topology& topology);

  EngineGroup& GroupOf(const std::string& service, EngineStage stage) { return groups_[{service, stage}]; }
  // Engines of the service that are not gone; some may be leaving.
  const std::vector<EngineState*>& PresentOf(const std::string& service) { return present_[service]; }
  // nullptr: it is gone.
  EngineState* FindPresent(const EngineKey& key) const;
  const std::vector<Zone>& zones() const { return zones_; }
  // Place of the zone; the own one's, where no engine lies in it.
  std::size_t ZoneIndexOf(const std::string& zone) const;
  std::size_t own_zone() const { return own_zone_; }

 private:
  std::size_t AddZone(const std::string& zone, const Topology& topology);

  const EngineDirectory* directory_ = nullptr;
  std::uint64_t generation_ = 0;
  std::vector<Zone> zones_;
  std::map<std::string, std::size_t> zone_indices_;
  std::map<std::string, std::size_t, std::less<>> region_indices_;
  std::size_t own_zone_ = 0;
  std::map<std::pair<std::string, EngineStage>, EngineGroup> groups_;
  std::map<std::string, std::vector<EngineState*>> present_;
  std::unordered_map<EngineKey, EngineState*, EngineKeyHash> by_key_;
};

}  // namespace saltquay::serving
