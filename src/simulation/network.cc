#include "src/simulation/network.h"

namespace saltquay {
namespace {

constexpr Duration kPlatformDelay = 1ms;
// A duplicate, or a message that others overtake, may be this late.
constexpr Duration kLongestDetour = 400ms;
constexpr double kDetourChance = 0.01;

}  // namespace

bool Network::IsCut(const Endpoint& from, const Endpoint& to) const {
  for (const Endpoint* end : {&from, &to}) {
    if (end->kind == Endpoint::Kind::kNode && cut_nodes_.contains(NodeId{end->id})) return true;
  }
  const bool zoned = from.kind != Endpoint::Kind::kPlatform && to.kind != Endpoint::Kind::kPlatform;
  return zoned && cut_zones_.contains({from.zone, to.zone});
}

Duration Network::StreamDelay(const Endpoint& from, const Endpoint& to) {
  const bool platform = from.kind == Endpoint::Kind::kPlatform || to.kind == Endpoint::Kind::kPlatform;
  const Duration zone_delay = from.zone == to.zone ? options_.local_delay : options_.zone_delay;
  const Duration base = platform ? Duration(kPlatformDelay) : zone_delay;
  return base + random_.DurationBelow(options_.jitter + Duration{1});
}

std::vector<Duration> Network::Datagram(const Endpoint& from, const Endpoint& to) {
  std::vector<Duration> copies;
  if (IsCut(from, to)) return copies;
  if (options_.message_loss > 0 && random_.Chance(options_.message_loss)) return copies;
  copies.push_back(StreamDelay(from, to));
  const bool faulty = options_.message_loss > 0 || options_.message_duplicates > 0;
  if (faulty && random_.Chance(kDetourChance)) copies[0] += random_.DurationBelow(kLongestDetour);
  if (options_.message_duplicates > 0 && random_.Chance(options_.message_duplicates)) {
    copies.push_back(copies[0] + random_.DurationBelow(kLongestDetour));
  }
  return copies;
}

Duration Network::ClientDelay() { return options_.client_delay + random_.DurationBelow(options_.jitter + Duration{1}); }

}  // namespace saltquay
