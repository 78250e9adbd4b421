#include "src/simulation/gateway_fleet.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include <fmt/format.h>

#include "src/simulation/event_queue.h"
#include "src/simulation/gateway_fleet_node.h"

namespace saltquay {
namespace {

constexpr Duration kInZone = 200us;
constexpr Duration kBetweenZones = 1400us;
constexpr Duration kCheckInterval = 100ms;
constexpr Duration kCheckLimit = 60s;
constexpr int kFastLinkMbps = 200;
constexpr int kSlowLinkMbps = 20;

class GatewayFleet {
 public:
  GatewayFleet(const GatewayFleetOptions& options, std::uint64_t seed) : options_(options), random_(seed) {
    for (int i = 0; i < options.nodes; ++i) Add();
    for (std::size_t node = 0; node < nodes_.size(); ++node) Start(node);
  }

  GatewayFleetCosts Run() {
    queue_.RunUntil(queue_.now() + FromSeconds(options_.warmup_s));
    for (const auto& node : nodes_) node->counters() = {};
    bytes_between_zones_ = 0;
    queue_.RunUntil(queue_.now() + FromSeconds(options_.measured_s));
    GatewayFleetCosts costs;
    costs.bytes_between_zones = bytes_between_zones_ / options_.measured_s;
    AddCosts(costs);
    AddKnowledge(costs);
    MeasureDelays(costs);
    return costs;
  }

 private:
  std::size_t Add() {
    const int index = static_cast<int>(nodes_.size());
    const int in_zone = index / options_.zones;
    const serving::PeerNode description{
        fmt::format("front-{:04}", index),
        fmt::format("10.{}.{}.{}:7100", index % options_.zones, in_zone / 250, in_zone % 250),
        fmt::format("zone-{}", index % options_.zones),
        in_zone < options_.fast_nodes_per_zone ? kFastLinkMbps : kSlowLinkMbps, false};
    if (seeds_.size() < 3) seeds_.push_back(description.address);
    nodes_.push_back(std::make_unique<GatewayFleetNode>(description, seeds_, 1));
    is_up_.push_back(true);
    by_address_[description.address] = nodes_.size() - 1;
    return nodes_.size() - 1;
  }

  void Start(std::size_t node) {
    queue_.After(random_.DurationBelow(GatewayFleetNode::kTick), [this, node] { Tick(node); });
  }

  void Tick(std::size_t node) {
    if (!is_up_[node]) return;
    const double per_tick = options_.requests_per_s * ToSeconds(GatewayFleetNode::kTick);
    if (random_.Chance(per_tick)) {
      const auto engine = random_.Below(static_cast<std::uint64_t>(options_.engines));
      nodes_[node]->StartRequest(serving::EngineKey(engine + 1), queue_.now());
    }
    Send(node, nodes_[node]->Tick(queue_.now()));
    queue_.After(GatewayFleetNode::kTick, [this, node] { Tick(node); });
  }

  void Send(std::size_t from, const std::vector<FleetDatagram>& datagrams) {
    for (const FleetDatagram& datagram : datagrams) {
      const auto to = by_address_.find(datagram.to);
      if (to == by_address_.end()) continue;
      const bool in_zone = nodes_[from]->description().zone == nodes_[to->second]->description().zone;
      if (!in_zone) bytes_between_zones_ += static_cast<double>(datagram.bytes->size());
      if (random_.Chance(options_.loss)) continue;
      queue_.After(in_zone ? kInZone : kBetweenZones, [this, node = to->second, bytes = datagram.bytes] {
        if (is_up_[node]) Send(node, nodes_[node]->Receive(*bytes, queue_.now()));
      });
    }
  }

  void AddCosts(GatewayFleetCosts& costs) const {
    for (const auto& node : nodes_) {
      const FleetNodeCounters& counted = node->counters();
      const bool forwards = counted.forwarded > 0;
      RoleCosts& role = costs.by_role[counted.digests_sent > 0 ? "aggregator" : forwards ? "forwarder" : "plain"];
      ++role.nodes;
      const auto add = [&](double value, double& sum, double* most) {
        sum += value / options_.measured_s;
        if (most != nullptr) *most = std::max(*most, value / options_.measured_s);
      };
      add(counted.bytes_out, role.bytes_out, &role.max_bytes_out);
      add(counted.bytes_in, role.bytes_in, &role.max_bytes_in);
      add(counted.core_seconds, role.core_share, &role.max_core_share);
      add(counted.datagrams_out, role.datagrams_out, nullptr);
      add(counted.datagrams_in, role.datagrams_in, nullptr);
    }
    for (auto& [name, role] : costs.by_role) {
      for (double* sum : {&role.bytes_out, &role.bytes_in, &role.core_share, &role.datagrams_out, &role.datagrams_in})
        *sum /= role.nodes;
    }
  }

  void AddKnowledge(GatewayFleetCosts& costs) const {
    const auto count = static_cast<double>(nodes_.size());
    for (const auto& node : nodes_) {
      const double age = ToSeconds(node->DigestAge(queue_.now()));
      costs.digest_age_s += age / count;
      costs.max_digest_age_s = std::max(costs.max_digest_age_s, age);
      costs.known_members += static_cast<double>(node->KnownNodes()) / (count - 1) / count;
    }
  }

  void MeasureDelays(GatewayFleetCosts& costs) {
    const serving::EngineKey failed(static_cast<std::uint64_t>(options_.engines) + 7);
    nodes_.back()->set_failed_engine(failed);
    const std::size_t reporter = nodes_.size() - 1;
    costs.failure_known_s = TimeUntilAll(
        [&](std::size_t node) { return node == reporter || nodes_[node]->KnowsFailure(failed, queue_.now()); });
    const std::size_t added = Add();
    Start(added);
    const std::string name = nodes_[added]->description().node;
    costs.new_node_known_s = TimeUntilAll([&](std::size_t node) { return node == added || nodes_[node]->Knows(name); });
    is_up_[added] = false;
    costs.lost_node_forgotten_s =
        TimeUntilAll([&](std::size_t node) { return node == added || !nodes_[node]->Knows(name); });
  }

  double TimeUntilAll(const std::function<bool(std::size_t)>& holds) {
    const Time started = queue_.now();
    std::size_t next = 0;  // All nodes before it have been seen to satisfy the condition.
    while (queue_.now() - started < kCheckLimit) {
      while (next < nodes_.size() && holds(next)) ++next;
      if (next == nodes_.size()) return ToSeconds(queue_.now() - started);
      queue_.RunUntil(queue_.now() + kCheckInterval);
    }
    return -1;
  }

  GatewayFleetOptions options_;
  Random random_;
  EventQueue queue_;
  std::vector<std::string> seeds_;
  std::vector<std::unique_ptr<GatewayFleetNode>> nodes_;
  std::vector<bool> is_up_;
  std::unordered_map<std::string, std::size_t> by_address_;
  double bytes_between_zones_ = 0;
};

}  // namespace

GatewayFleetCosts RunGatewayFleet(const GatewayFleetOptions& options, std::uint64_t seed) {
  return GatewayFleet(options, seed).Run();
}

}  // namespace saltquay
