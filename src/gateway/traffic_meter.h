// Counts bytes between this node and engines or other nodes by kind and locality, since traffic between regions is
// billed by the byte.
//
// Only message contents are counted, without the headers of TCP, UDP and HTTP responses. Fetched data is counted by the
// node that requested it.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "src/core/serving/peer_table.h"
#include "src/core/serving/topology.h"

namespace saltquay::gateway {

enum class TrafficKind : std::uint8_t {
  kRequest,       // Requests to engines: head and body.
  kResponse,      // Response bodies from engines.
  kReport,        // A node's own reports, to its aggregators and in report rounds.
  kZoneDigest,    // Zone digests between aggregators.
  kRegionDigest,  // Region digests between regions.
  kFleetDigest,   // Fleet digests from aggregators to the nodes of their zone.
  kUsage,         // Request counts by tenant, to the duty lease holder.
  kLimits,        // Tenant limit messages.
  kRecords,       // Store objects relayed by other nodes.
};
inline constexpr std::size_t kTrafficKinds = 9;
std::string_view NameOf(TrafficKind kind);
// Returns the kind of a datagram with a report of that scope.
TrafficKind KindOf(serving::ReportScope scope);

enum class TrafficLocality : std::uint8_t {
  kZone,
  kRegion,
  kOtherRegion,  // Also if the region is unknown.
};
inline constexpr std::size_t kTrafficLocalities = 3;
std::string_view NameOf(TrafficLocality locality);

class TrafficMeter {
 public:
  // `topology` must outlive the meter.
  explicit TrafficMeter(const serving::Topology& topology) : topology_(topology) {}

  TrafficLocality LocalityOf(std::string_view zone) const;
  void Count(TrafficKind kind, TrafficLocality locality, std::size_t bytes);
  void Count(TrafficKind kind, std::string_view zone, std::size_t bytes) { Count(kind, LocalityOf(zone), bytes); }
  std::uint64_t bytes(TrafficKind kind, TrafficLocality locality) const;
  // Returns all counters as JSON members.
  std::string Summary() const;

 private:
  const serving::Topology& topology_;
  std::array<std::array<std::uint64_t, kTrafficLocalities>, kTrafficKinds> bytes_{};
};

}  // namespace saltquay::gateway
