#include "src/simulation/gateway_fleet_node.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <set>

#include "src/core/serving/round_robin.h"
#include "src/gateway/peer_codec.h"
#include "src/gateway/peer_exchange.h"

namespace saltquay {
namespace {

constexpr std::size_t kMentionedNodes = 48;
constexpr std::uint64_t kIntroductionReports = 3;
constexpr Duration kRequestTime = 600ms;
constexpr Duration kOutcomeTime = 1500ms;  // How long an outcome is reported after the request.
constexpr int kPromptTokens = 9000;

// Adds the processor time until it is destroyed.
class CoreTimer {
 public:
  explicit CoreTimer(double& seconds) : seconds_(seconds), started_(std::chrono::steady_clock::now()) {}
  ~CoreTimer() { seconds_ += std::chrono::duration<double>(std::chrono::steady_clock::now() - started_).count(); }
  CoreTimer(const CoreTimer&) = delete;
  CoreTimer& operator=(const CoreTimer&) = delete;

 private:
  double& seconds_;
  std::chrono::steady_clock::time_point started_;
};

}  // namespace

GatewayFleetNode::GatewayFleetNode(serving::PeerNode description, std::vector<std::string> seeds, std::uint64_t boot)
    : description_(std::move(description)),
      seeds_(std::move(seeds)),
      boot_(boot),
      topology_(std::make_unique<serving::Topology>(
          description_.zone, std::map<std::string, std::string, std::less<>>{}, serving::TopologyParameters{})),
      table_(description_.node),
      exchange_(serving::FleetExchangeParameters{}, description_, *topology_),
      next_target_(HashText(description_.address)) {}

void GatewayFleetNode::StartRequest(const serving::EngineKey& engine, Time now) { requests_.push_back({engine, now}); }

serving::PeerReport GatewayFleetNode::MakeReport(Time now) {
  while (!requests_.empty() && now - requests_.front().started > kRequestTime + kOutcomeTime) requests_.pop_front();
  serving::PeerReport report;
  report.node = description_.node;
  report.address = description_.address;
  report.zone = description_.zone;
  report.link_mbps = description_.link_mbps;
  report.boot = boot_;
  report.sequence = ++sequence_;
  std::map<serving::EngineKey, serving::EngineWork> work;
  for (const Request& request : requests_) {
    const bool runs = now - request.started <= kRequestTime;
    serving::EngineWork part{request.engine, runs ? 1 : 0, runs ? kPromptTokens : 0, runs ? 0 : 1};
    work[request.engine].Add(part);
  }
  if (failed_engine_) work[*failed_engine_].Add({*failed_engine_, 0, 0, 0, 3});
  for (const auto& [engine, sum] : work) report.work.push_back(sum);
  report.demand = {{"model", 0.05 * static_cast<double>(requests_.size()), 0.02, 2, 1}};
  report.records = {{"config", 1}, {"engines", 1}};
  report.peers = table_.NextPeersToMention(kMentionedNodes, now);
  return report;
}

std::vector<FleetDatagram> GatewayFleetNode::Tick(Time now) {
  std::vector<FleetDatagram> datagrams;
  {
    const CoreTimer timer(counters_.core_seconds);
    table_.Expire(now);
    SendReports(now, datagrams);
    serving::PeerReport own = MakeReport(now);
    own.peers.clear();
    for (const serving::FleetMessage& message : exchange_.Tick(now, own, table_.Nodes())) {
      if (message.report.scope == serving::ReportScope::kFleet) ++counters_.digests_sent;
      Append(message, datagrams);
    }
  }
  CountSent(datagrams);
  return datagrams;
}

// The rounds of PeerExchange.
void GatewayFleetNode::SendReports(Time now, std::vector<FleetDatagram>& datagrams) {
  if (now < next_reports_) return;
  const gateway::PeerExchangeOptions options;
  const bool reduced = exchange_.View(now) != nullptr;
  next_reports_ = now + (reduced ? options.reduced_interval_factor * options.interval : options.interval);
  serving::FleetMessage message{{}, MakeReport(now)};
  std::set<std::string> targets;
  const std::size_t fan_out = reduced ? options.reduced_fan_out : options.fan_out;
  for (const serving::PeerNode& peer : serving::TakeRoundRobin(table_.Nodes(), fan_out, next_target_))
    targets.insert(peer.address);
  if (!reduced && targets.size() < seeds_.size()) targets.insert(seeds_.begin(), seeds_.end());
  targets.erase(description_.address);
  message.addresses.assign(targets.begin(), targets.end());
  if (reduced) message.report.work.clear();
  Append(message, datagrams);
}

std::vector<FleetDatagram> GatewayFleetNode::Receive(const std::string& bytes, Time now) {
  std::vector<FleetDatagram> datagrams;
  ++counters_.datagrams_in;
  counters_.bytes_in += static_cast<double>(bytes.size());
  {
    const CoreTimer timer(counters_.core_seconds);
    const auto report = gateway::DecodeReport(bytes);
    if (!report.ok()) return datagrams;
    if (!report->forward_to.empty()) {
      serving::FleetMessage copy{report->forward_to, *report};
      copy.report.forward_to.clear();
      ++counters_.forwarded;
      Append(copy, datagrams);
    }
    exchange_.RecordReport(*report, now);
    if (report->scope != serving::ReportScope::kNode) {
      table_.RecordMentionedPeers(*report, now);
    } else {
      const int before = table_.Count();
      table_.RecordReport(*report, now);
      if (table_.Count() != before && report->sequence <= kIntroductionReports)
        Append({{report->address}, MakeReport(now)}, datagrams);
    }
  }
  CountSent(datagrams);
  return datagrams;
}

void GatewayFleetNode::Append(const serving::FleetMessage& message, std::vector<FleetDatagram>& datagrams) {
  if (message.addresses.empty()) return;
  const auto bytes = std::make_shared<const std::string>(gateway::EncodeReport(message.report));
  for (const std::string& address : message.addresses) datagrams.push_back({address, bytes});
}

void GatewayFleetNode::CountSent(const std::vector<FleetDatagram>& datagrams) {
  for (const FleetDatagram& datagram : datagrams) {
    ++counters_.datagrams_out;
    counters_.bytes_out += static_cast<double>(datagram.bytes->size());
  }
}

bool GatewayFleetNode::Knows(const std::string& node) const {
  return std::any_of(table_.Nodes().begin(), table_.Nodes().end(),
                     [&](const serving::PeerNode& known) { return known.node == node; });
}

bool GatewayFleetNode::KnowsFailure(const serving::EngineKey& engine, Time now) const {
  const serving::PeerReport* view = exchange_.View(now);
  return view != nullptr && std::any_of(view->work.begin(), view->work.end(), [&](const serving::EngineWork& work) {
           return work.engine == engine && work.failures > 0;
         });
}

}  // namespace saltquay
