#include "src/gateway/traffic_meter.h"

#include <fmt/format.h>

namespace saltquay::gateway {
namespace {

constexpr std::array<std::string_view, kTrafficKinds> kKindNames = {
    "request", "answer", "report", "zone_digest", "region_digest", "fleet_digest", "usage", "limits", "records"};
constexpr std::array<std::string_view, kTrafficLocalities> kLocalityNames = {"zone", "region", "far"};

}  // namespace

std::string_view NameOf(TrafficKind kind) { return kKindNames.at(static_cast<std::size_t>(kind)); }

std::string_view NameOf(TrafficLocality locality) { return kLocalityNames.at(static_cast<std::size_t>(locality)); }

TrafficKind KindOf(serving::ReportScope scope) {
  switch (scope) {
    case serving::ReportScope::kNode:
      return TrafficKind::kReport;
    case serving::ReportScope::kZone:
      return TrafficKind::kZoneDigest;
    case serving::ReportScope::kRegion:
    case serving::ReportScope::kRegionForwarded:
      return TrafficKind::kRegionDigest;
    case serving::ReportScope::kFleet:
      return TrafficKind::kFleetDigest;
    case serving::ReportScope::kUsage:
      return TrafficKind::kUsage;
    case serving::ReportScope::kLimits:
      return TrafficKind::kLimits;
  }
  return TrafficKind::kReport;
}

TrafficLocality TrafficMeter::LocalityOf(std::string_view zone) const {
  if (zone == topology_.local_zone()) return TrafficLocality::kZone;
  return topology_.IsOwnRegion(zone) ? TrafficLocality::kRegion : TrafficLocality::kOtherRegion;
}

void TrafficMeter::Count(TrafficKind kind, TrafficLocality locality, std::size_t bytes) {
  bytes_.at(static_cast<std::size_t>(kind)).at(static_cast<std::size_t>(locality)) += bytes;
}

std::uint64_t TrafficMeter::bytes(TrafficKind kind, TrafficLocality locality) const {
  return bytes_.at(static_cast<std::size_t>(kind)).at(static_cast<std::size_t>(locality));
}

std::string TrafficMeter::Summary() const {
  std::string members;
  for (std::size_t kind = 0; kind < kTrafficKinds; ++kind) {
    const auto& [zone, region, far] = bytes_.at(kind);
    if (zone + region + far == 0) continue;
    if (!members.empty()) members += ',';
    members += fmt::format(R"("{}":[{},{},{}])", kKindNames.at(kind), zone, region, far);
  }
  return members;
}

}  // namespace saltquay::gateway
