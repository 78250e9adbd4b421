// Where zones lie: their regions, and how far they are from each other.
//
// One copy a node, asked by whatever weighs a way: the choice of engines, homes
// of prompts, the peers' digests, the store's readers, plans of roles. A
// distance is first taken from the settings' guess and then learned from round
// trips of this node; of two zones that are both elsewhere, from their regions.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "src/base/time.h"

namespace saltquay::serving {

// One way, before anything was measured. Machines of one zone share a building, zones of one region a city; regions are
// some hundred kilometres and several networks apart.
struct TopologyParameters {
  Duration in_zone = 100us;
  Duration in_region = 1ms;
  Duration between_regions = 20ms;
};

class Topology {
 public:
  // `regions`: of each zone, by its name. A zone that is not named there is a region of its own; where no zone is
  // named, all are of one region.
  Topology(std::string own_zone, std::map<std::string, std::string, std::less<>> regions,
           const TopologyParameters& parameters);

  const std::string& own_zone() const { return own_zone_; }
  std::string_view RegionOf(std::string_view zone) const;
  std::string_view OwnRegion() const { return RegionOf(own_zone_); }
  bool IsOwnRegion(std::string_view zone) const { return RegionOf(zone) == OwnRegion(); }
  bool SameRegion(std::string_view first, std::string_view second) const { return RegionOf(first) == RegionOf(second); }
  // Whether the fleet lies in more than one region.
  bool HasMultipleRegions() const { return has_regions_; }

  // One way between machines of the two zones.
  Duration Distance(std::string_view first, std::string_view second) const;
  Duration DistanceTo(std::string_view zone) const { return Distance(own_zone_, zone); }
  // A connection to a machine of `zone` came up after one round trip of that time.
  void RecordRoundTrip(std::string_view zone, Duration round_trip);

 private:
  Duration Guess(std::string_view first, std::string_view second) const;

  std::string own_zone_;
  std::map<std::string, std::string, std::less<>> regions_;
  TopologyParameters parameters_;
  bool has_regions_ = false;
  std::map<std::string, Duration, std::less<>> measured_;  // From the own zone, one way.
};

}  // namespace saltquay::serving
