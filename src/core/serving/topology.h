// The regions of zones, and the network latency between zones.
//
// Each node has one instance, used by everything that weighs network latency: the choice of engines, home engines of
// prompts, the peers' digests, reads from the store, and role plans. A latency starts as the configured default and is
// then learned from this node's round trips. Between two zones that are both remote, the default for their regions is
// used.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "src/base/time.h"

namespace saltquay::serving {

// Default one-way latencies. Machines of one zone share a building, and zones of one region a city; regions are some
// hundred kilometres and several networks apart.
struct TopologyParameters {
  Duration in_zone = 100us;
  Duration in_region = 1ms;
  Duration between_regions = 20ms;
};

class Topology {
 public:
  // `regions`: region of each zone by name. A zone that is not listed is a region of its own; if no zone is listed, all
  // zones are in one region.
  Topology(std::string local_zone, std::map<std::string, std::string, std::less<>> regions,
           const TopologyParameters& parameters);

  const std::string& local_zone() const { return local_zone_; }
  std::string_view RegionOf(std::string_view zone) const;
  std::string_view LocalRegion() const { return RegionOf(local_zone_); }
  bool IsOwnRegion(std::string_view zone) const { return RegionOf(zone) == LocalRegion(); }
  bool SameRegion(std::string_view first, std::string_view second) const { return RegionOf(first) == RegionOf(second); }
  // Whether the fleet spans more than one region.
  bool HasMultipleRegions() const { return has_regions_; }

  // One-way latency between machines of the two zones.
  Duration Latency(std::string_view first, std::string_view second) const;
  Duration LatencyTo(std::string_view zone) const { return Latency(local_zone_, zone); }
  // Records the round-trip time of setting up a connection to a machine of `zone`.
  void RecordRoundTrip(std::string_view zone, Duration round_trip);

 private:
  Duration DefaultLatency(std::string_view first, std::string_view second) const;

  std::string local_zone_;
  std::map<std::string, std::string, std::less<>> regions_;
  TopologyParameters parameters_;
  bool has_regions_ = false;
  std::map<std::string, Duration, std::less<>> measured_;  // One way, from this node's zone.
};

}  // namespace saltquay::serving
