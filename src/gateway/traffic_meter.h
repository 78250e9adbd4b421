// Bytes between this node and engines or other nodes, by what they are for and
// how far they go: links between regions are paid for by the byte.
//
// Counted are the contents of messages, without the headers of TCP, UDP and of HTTP
// answers. What is asked for is counted by who asks.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "src/core/serving/peer_table.h"
#include "src/core/serving/topology.h"

namespace saltquay::gateway {

enum class TrafficKind : std::uint8_t {
  kRequest,       // To engines: head and body.
  kAnswer,        // Bodies from engines.
  kReport,        // A node's own, to its aggregators and in rounds.
  kZoneDigest,    // Sums that aggregators tell each other.
  kRegionDigest,  // The same between regions.
  kFleetDigest,   // Sums that aggregators tell the nodes of their zone.
  kUsage,         // Requests by tenant, to the holder of the duties.
  kLimits,        // Messages of tenants' limits.
  kRecords,       // The store's objects, from the peers that read it.
};
inline constexpr std::size_t kTrafficKinds = 9;
std::string_view NameOf(TrafficKind kind);
// The kind of a datagram of that scope.
TrafficKind KindOf(serving::ReportScope scope);

enum class TrafficLocality : std::uint8_t {
  kZone,
  kRegion,
  kOtherRegion
};  // kOtherRegion: another region, or not known.
inline constexpr std::size_t kTrafficLocalities = 3;
std::string_view NameOf(TrafficLocality reach);

class TrafficMeter {
 public:
  // `topology` outlives it.
  explicit TrafficMeter(const serving::Topology& topology) : topology_(topology) {}

  TrafficLocality LocalityOf(std::string_view zone) const;
  void Count(TrafficKind kind, TrafficLocality reach, std::size_t bytes);
  void Count(TrafficKind kind, std::string_view zone, std::size_t bytes) { Count(kind, LocalityOf(zone), bytes); }
  std::uint64_t bytes(TrafficKind kind, TrafficLocality reach) const;
  // All that was counted, as JSON members.
  std::string Summary() const;

 private:
  const serving::Topology& topology_;
  std::array<std::array<std::uint64_t, kTrafficLocalities>, kTrafficKinds> bytes_{};
};

}  // namespace saltquay::gateway
