#include "src/core/serving/engine_index.h"

#include <algorithm>

namespace saltquay::serving {
namespace {

// Probe points per part on the hash ring. With this many, the most loaded engine gets about a twentieth more parts than
// the mean.
constexpr std::uint64_t kProbes = 21;
// Number of engines sampled for one choice. Two would be enough to avoid long queues; more make it likely to find an
// engine that is nearly idle.
constexpr int kSampledInZone = 6;
constexpr int kSampledInRegion = 4;
constexpr int kSampledAnywhere = 4;
// Totals over many engines may be this old: other nodes' work is known only a tenth of a second late anyway.
constexpr Duration kTotalsMaxAge = 20ms;

void SampleFrom(const std::vector<IndexedEngine>& engines, int count, Random& random,
                std::vector<IndexedEngine>& sampled) {
  if (engines.empty()) return;
  for (int i = 0; i < count; ++i) sampled.push_back(engines[random.Below(engines.size())]);
}

// A home engine that is merely at capacity stays a home engine, because the parts are cached there. One that names a
// limit cannot take all prompts with its parts.
bool CannotBeHome(const EngineState& engine, Time now) {
  return engine.rate_limit || now < std::max({engine.ejected_until, engine.held_until, engine.changing_until});
}

}  // namespace

void EngineGroup::Add(const IndexedEngine& member, std::size_t region) {
  const auto grow = [](auto& list, std::size_t index) {
    if (list.size() <= index) list.resize(index + 1);
  };
  grow(by_zone_, member.zone);
  grow(regions_, region);
  all_.push_back(member);
  by_zone_[member.zone].push_back(member);
  regions_[region].engines.push_back(member);
  const std::uint64_t point = member.engine->key.hash;
  regions_[region].ring.emplace_back(point, member.engine);
  ring_.emplace_back(point, member.engine);
}

void EngineGroup::Sample(std::size_t zone, std::size_t region, Random& random,
                         std::vector<IndexedEngine>& sampled) const {
  if (zone < by_zone_.size()) SampleFrom(by_zone_[zone], kSampledInZone, random, sampled);
  if (region < regions_.size()) SampleFrom(regions_[region].engines, kSampledInRegion, random, sampled);
  SampleFrom(all_, kSampledAnywhere, random, sampled);
}

namespace {

// Keeps the two engines with the smallest distance. `excluded`: an engine that is a home engine already and is skipped.
class BestTwo {
 public:
  explicit BestTwo(const EngineState* excluded) : excluded_(excluded) {}

  void Consider(const EngineState* engine, std::uint64_t distance) {
    if (engine == excluded_) return;
    if (engine == homes_.first) {
      first_distance_ = std::min(first_distance_, distance);
    } else if (homes_.first == nullptr || distance < first_distance_) {
      homes_.second = std::exchange(homes_.first, engine);
      second_distance_ = std::exchange(first_distance_, distance);
    } else if (homes_.second == nullptr || distance < second_distance_) {
      homes_.second = engine;
      second_distance_ = distance;
    }
  }
  const HomeEngines& homes() const { return homes_; }

 private:
  const EngineState* excluded_;
  HomeEngines homes_;
  std::uint64_t first_distance_ = 0;
  std::uint64_t second_distance_ = 0;
};

// Rendezvous hashing: uniform for any number of engines, but it visits all of them.
void RankAll(const EngineRing& ring, std::uint64_t part, Time now, BestTwo& order) {
  for (const auto& [point, engine] : ring) {
    if (!CannotBeHome(*engine, now)) order.Consider(engine, ~HashPair(part, engine->key.hash));
  }
}

void Probe(const EngineRing& ring, std::uint64_t part, Time now, BestTwo& order) {
  for (std::uint64_t probe = 0; probe < kProbes; ++probe) {
    const std::uint64_t point = HashPair(part, probe);
    auto at = std::lower_bound(ring.begin(), ring.end(), point,
                               [](const auto& entry, std::uint64_t value) { return entry.first < value; });
    int usable = 0;
    for (std::size_t step = 0; step < ring.size() && usable < 2; ++step, ++at) {
      if (at == ring.end()) at = ring.begin();
      if (CannotBeHome(*at->second, now)) continue;
      ++usable;
      order.Consider(at->second, at->first - point);
    }
    if (usable == 0) return;  // No engine is usable.
  }
}

}  // namespace

void EngineGroup::AddHomeEngines(const EngineRing& ring, std::uint64_t part, Time now, HomeEngines& homes) {
  BestTwo order(homes.first);
  (ring.size() <= kMaxFullScanEngines ? RankAll : Probe)(ring, part, now, order);
  homes = homes.first == nullptr ? order.homes() : HomeEngines{homes.first, order.homes().first};
}

HomeEngines EngineGroup::FindHomeEngines(std::uint64_t part, std::size_t region, Time now) const {
  HomeEngines homes;
  if (region < regions_.size()) AddHomeEngines(regions_[region].ring, part, now, homes);
  if (homes.second == nullptr) AddHomeEngines(ring_, part, now, homes);
  return homes;
}

const GroupTotals& EngineGroup::Totals(Time now) {
  if (!AllowsFullScan() && now - totals_computed_at_ < kTotalsMaxAge) return totals_;
  totals_computed_at_ = now;
  totals_.in_service = 0;
  totals_.peers_outstanding = 0;
  totals_.waiting_tokens.assign(regions_.size(), 0);
  for (std::size_t region = 0; region < regions_.size(); ++region) {
    double tokens = 0;
    for (const IndexedEngine& member : regions_[region].engines) {
      const EngineState& engine = *member.engine;
      tokens += static_cast<double>(engine.outstanding_prompt_tokens + engine.peers_prompt_tokens);
      if (engine.IsOutOfService(now)) continue;
      ++totals_.in_service;
      totals_.peers_outstanding += engine.peers_outstanding;
    }
    totals_.waiting_tokens[region] =
        tokens / static_cast<double>(std::max<std::size_t>(1, regions_[region].engines.size()));
  }
  return totals_;
}

std::size_t EngineIndex::AddZone(const std::string& zone, const Topology& topology) {
  const auto [entry, added] = zone_indices_.try_emplace(zone, zones_.size());
  if (!added) return entry->second;
  const std::string region(topology.RegionOf(zone));
  zones_.push_back({zone, region_indices_.try_emplace(region, region_indices_.size()).first->second});
  return entry->second;
}

void EngineIndex::Refresh(EngineDirectory& engines, const Topology& topology) {
  if (directory_ == &engines && generation_ == engines.generation()) return;
  directory_ = &engines;
  generation_ = engines.generation();
  groups_.clear();
  present_.clear();
  by_key_.clear();
  local_zone_ = AddZone(topology.local_zone(), topology);
  engines.ForEachPresent([&](EngineState& engine) {
    by_key_[engine.key] = &engine;
    present_[engine.record.service].push_back(&engine);
    if (engine.record.leaving) return;
    const std::size_t zone = AddZone(engine.record.zone, topology);
    GroupOf(engine.record.service, engine.record.stage).Add({&engine, zone}, zones_[zone].region);
  });
  const auto sort = [](auto& ring) {
    std::stable_sort(ring.begin(), ring.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
  };
  for (auto& [key, group] : groups_) {
    sort(group.ring_);
    for (auto& region : group.regions_) sort(region.ring);
  }
}

EngineState* EngineIndex::FindPresent(const EngineKey& key) const {
  const auto entry = by_key_.find(key);
  return entry == by_key_.end() ? nullptr : entry->second;
}

std::size_t EngineIndex::ZoneIndexOf(const std::string& zone) const {
  const auto entry = zone_indices_.find(zone);
  return entry == zone_indices_.end() ? local_zone_ : entry->second;
}

}  // namespace saltquay::serving
