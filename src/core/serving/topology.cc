#include "src/core/serving/topology.h"

#include <algorithm>
#include <set>
#include <utility>

namespace saltquay::serving {

Topology::Topology(std::string local_zone, std::map<std::string, std::string, std::less<>> regions,
                   const TopologyParameters& parameters)
    : local_zone_(std::move(local_zone)), regions_(std::move(regions)), parameters_(parameters) {
  std::set<std::string_view> distinct;
  for (const auto& [zone, region] : regions_) distinct.insert(region);
  has_regions_ = distinct.size() > 1;
}

std::string_view Topology::RegionOf(std::string_view zone) const {
  if (regions_.empty()) return {};
  const auto entry = regions_.find(zone);
  if (entry == regions_.end()) return zone;
  return entry->second;
}

Duration Topology::DefaultLatency(std::string_view first, std::string_view second) const {
  if (first == second) return parameters_.in_zone;
  return SameRegion(first, second) ? parameters_.in_region : parameters_.between_regions;
}

Duration Topology::Latency(std::string_view first, std::string_view second) const {
  if (first != local_zone_) std::swap(first, second);
  if (first != local_zone_) return DefaultLatency(first, second);
  const auto entry = measured_.find(second);
  return entry == measured_.end() ? DefaultLatency(first, second) : entry->second;
}

// Keeps the lowest recent latency: that is the latency without queueing, and a busy machine responds late.
void Topology::RecordRoundTrip(std::string_view zone, Duration round_trip) {
  constexpr double kIncreaseRate = 0.01;  // An increased latency is adopted after about a hundred round trips.
  const Duration one_way = round_trip / 2;
  const auto [entry, first] = measured_.try_emplace(std::string(zone), one_way);
  if (first) return;
  Duration& known = entry->second;
  known = one_way < known ? one_way : known + FromSeconds(kIncreaseRate * ToSeconds(one_way - known));
}

}  // namespace saltquay::serving
