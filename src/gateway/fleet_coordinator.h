// What nodes do together: reports between peers, and role changes of engines
// and duties toward the platform under one lease. Drives PeerTable and RoleController with sockets
// and the store; see src/core/serving for the protocols.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "saltquay/fetch/fetcher.h"
#include "saltquay/replica/relayed_store.h"
#include "src/core/serving/fleet_exchange.h"
#include "src/core/serving/role_controller.h"
#include "src/gateway/gateway.h"
#include "src/gateway/leader_duties.h"
#include "src/gateway/peer_exchange.h"
#include "src/gateway/quarantine_store.h"

namespace saltquay::gateway {

class FleetCoordinator {
 public:
  FleetCoordinator(boost::asio::io_context& loop, const GatewaySettings& settings, const EngineProtocol& protocol,
                   Gateway& gateway, replica::RelayedStore& store, DutyApi* duty_api, std::uint64_t seed);

  absl::Status Start();
  // This node stops: it plans no more, and tells its peers.
  void StartStopping();
  void set_store_connected(bool in_contact) { store_connected_ = in_contact; }

 private:
  void FillReport(serving::PeerReport& report);
  void OnReport(const serving::PeerReport& report);
  void OnRejectedReport(const absl::Status& cause, const std::string& sender);
  // `kept`: news of a report.
  void DispatchPeersChanged(const std::vector<serving::KeptPart>& kept);
  // Tells the core which nodes are there, where tenants have limits.
  void DispatchNodesChanged();
  void SendLimitMessageBatch(const serving::SendLimitMessages& action);
  // What the peers' own reports add up to, and what the fleet's digest says.
  void AddPeerReports(serving::PeersChanged& changed);
  void AddFleetDigest(serving::PeersChanged& changed, const serving::PeerReport& digest);
  void Tick();
  void DetectStall();
  // The round of reports and digests of a large fleet.
  void ExchangeDigests();
  void ExchangeDigestsImmediately();
  // Sends what this node knows of requests under which engines ended.
  void ReportCrashes();
  void UpdateStorePeers();
  // How far away the peer at that address is.
  TrafficLocality LocalityOf(const std::string& address);
  void LogTraffic();
  // Nodes that count as members: heard, in a large fleet also those that others named.
  std::vector<serving::PeerNode> Members() const;
  // What this node's callers ask, and what those of all nodes do.
  std::vector<serving::ServiceDemand> OwnDemand();
  serving::DemandSum TotalDemand();
  // Whether this node may be the one that acts for all.
  bool IsCandidate(const std::vector<serving::PeerNode>& members);
  void RunLease();
  serving::LeaseMark LocalLeaseMark() const;
  void MergeLeaseMark(const serving::LeaseMark& mark);
  void Carry(const std::vector<serving::RoleAction>& actions);
  void CarryOne(const serving::ReadEngineState& action);
  void CarryOne(const serving::SendStageOrder& action);
  void CarryOne(const serving::AnnounceHolds& action);
  void CarryOne(const serving::LogRole& action);
  void CallEngine(const std::string& address, const std::string& engine_id, const http::RequestHead& head,
                  const std::string& body, fetch::Fetcher::Handler done);

  boost::asio::io_context& loop_;
  GatewaySettings settings_;
  EngineProtocol protocol_;
  Gateway& gateway_;
  replica::RelayedStore& store_;
  fetch::Fetcher fetcher_;
  serving::PeerTable peers_;
  serving::FleetExchange fleet_;
  std::uint64_t boot_;  // When this life began; orders it among this node's lives.
  serving::DutyLease lease_;
  LeaseClient lease_client_;
  serving::RoleController roles_;
  LeaderDuties duties_;
  QuarantineStore quarantine_;
  std::unique_ptr<PeerExchange> exchange_;
  BootTimer timer_;
  std::uint64_t sequence_ = 0;
  Time next_digests_{};
  Time last_tick_{};
  std::set<std::string> rejected_senders_;
  std::unordered_map<std::string, TrafficLocality> peer_localities_;  // By address.
  Time next_traffic_log_{};
  bool stopping_ = false;
  bool store_connected_ = false;
};

}  // namespace saltquay::gateway
