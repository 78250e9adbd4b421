#include "src/gateway/member_list_codec.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <optional>

#include <fmt/format.h>

#include "src/http/socket.h"

namespace saltquay::gateway {
namespace {

constexpr std::size_t kMaxZones = std::numeric_limits<std::uint8_t>::max();
constexpr std::size_t kMaxNameBytes = std::numeric_limits<std::uint8_t>::max();
constexpr std::int64_t kMaxShort = std::numeric_limits<std::uint16_t>::max();

std::optional<std::uint8_t> ZoneIndex(const std::string& zone, std::vector<std::string>& zones) {
  const auto known = std::find(zones.begin(), zones.end(), zone);
  const auto index = static_cast<std::size_t>(known - zones.begin());
  if (index >= kMaxZones) return std::nullopt;
  if (known == zones.end()) zones.push_back(zone);
  return static_cast<std::uint8_t>(index);
}

// Returns nullopt if the node does not fit into the form.
std::optional<wire::ListedNode> PackNode(const serving::PeerNode& node, std::vector<std::string>& zones) {
  const absl::StatusOr<http::Endpoint> endpoint = http::ParseEndpoint(node.address);
  if (!endpoint.ok() || !endpoint->address().is_v4()) return std::nullopt;
  if (node.node.size() > kMaxNameBytes || node.link_mbps < 0 || node.link_mbps > kMaxShort) return std::nullopt;
  const std::optional<std::uint8_t> zone = ZoneIndex(node.zone, zones);
  if (!zone) return std::nullopt;
  const std::int64_t age_ms = std::chrono::duration_cast<std::chrono::milliseconds>(node.age).count();
  return wire::ListedNode(
      endpoint->address().to_v4().to_uint(), static_cast<std::uint16_t>(std::clamp<std::int64_t>(age_ms, 0, kMaxShort)),
      endpoint->port(), static_cast<std::uint16_t>(node.link_mbps), *zone, static_cast<std::uint8_t>(node.node.size()));
}

std::string FormatAddress(const wire::ListedNode& node) {
  constexpr std::uint32_t kByte = 0xFF;
  const std::uint32_t ip = node.ipv4();
  return fmt::format("{}.{}.{}.{}:{}", ip >> 24U, ip >> 16U & kByte, ip >> 8U & kByte, ip & kByte, node.port());
}

}  // namespace

MemberList PackMembers(const std::vector<serving::PeerNode>& peers) {
  MemberList list;
  list.nodes.reserve(peers.size());
  for (const serving::PeerNode& peer : peers) {
    if (const std::optional<wire::ListedNode> node = PackNode(peer, list.zones)) {
      list.nodes.push_back(*node);
      list.names += peer.node;
    } else {
      list.others.push_back(peer);
    }
  }
  return list;
}

bool UnpackMembers(const wire::Report& report, std::vector<serving::PeerNode>& peers) {
  if (report.listed() == nullptr) return true;
  const auto* const zones = report.listed_zones();
  std::string_view names;
  if (report.listed_names() != nullptr) names = {report.listed_names()->data(), report.listed_names()->size()};
  for (const wire::ListedNode* node : *report.listed()) {
    if (zones == nullptr || node->zone() >= zones->size() || node->name_bytes() > names.size()) return false;
    serving::PeerNode peer;
    peer.node = names.substr(0, node->name_bytes());
    names.remove_prefix(node->name_bytes());
    peer.address = FormatAddress(*node);
    peer.zone = zones->Get(node->zone())->str();
    peer.link_mbps = node->link_mbps();
    peer.age = std::chrono::milliseconds(node->age_ms());
    peers.push_back(std::move(peer));
  }
  return names.empty();
}

}  // namespace saltquay::gateway
