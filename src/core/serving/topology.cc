#include "src/core/serving/topology.h"

#include <algorithm>
#include <set>
#include <utility>

namespace saltquay::serving {

Topology::Topology(std::string own_zone, std::map<std::string, std::string, std::less<>> regions,
                   const TopologyParameters& parameters)
    : own_zone_(std::move(own_zone)), regions_(std::move(regions)), parameters_(parameters) {
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

Duration Topology::Guess(std::string_view first, std::string_view second) const {
  if (first == second) return parameters_.in_zone;
  return SameRegion(first, second) ? parameters_.in_region : parameters_.between_regions;
}

Duration Topology::Distance(std::string_view first, std::string_view second) const {
  if (first != own_zone_) std::swap(first, second);
  if (first != own_zone_) return Guess(first, second);
  const auto entry = measured_.find(second);
  return entry == measured_.end() ? Guess(first, second) : entry->second;
}

// The least of late: a way is as long as it is without queues, and a machine that is busy answers late.
void Topology::RecordRoundTrip(std::string_view zone, Duration round_trip) {
  constexpr double kForget = 0.01;  // A way that has become longer is believed after some hundred round trips.
  const Duration one_way = round_trip / 2;
  const auto [entry, first] = measured_.try_emplace(std::string(zone), one_way);
  if (first) return;
  Duration& known = entry->second;
  known = one_way < known ? one_way : known + FromSeconds(kForget * ToSeconds(one_way - known));
}

}  // namespace saltquay::serving
