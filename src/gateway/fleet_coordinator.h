// Coordinates the nodes of the fleet: exchanges reports between peers, and performs role changes of engines and the
// platform duties under one lease. Connects the protocols of src/core/serving (PeerTable, FleetExchange,
// RoleController) to sockets and the store.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "saltquay/replica/relayed_store.h"
#include "src/core/serving/fleet_exchange.h"
#include "src/core/serving/role_controller.h"
#include "src/gateway/engine_control.h"
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
  // Called when this node begins to stop: it stops planning, resigns the lease and notifies its peers.
  void StartStopping();
  // Whether a known node has that IP address.
  bool IsPeerAddress(const std::string& ip) const;
  void set_store_connected(bool connected) { store_connected_ = connected; }

 private:
  void FillReport(serving::PeerReport& report);
  void OnReport(const serving::PeerReport& report);
  // Sends the report on to the nodes that it names; see digest_tree.h.
  void Forward(const serving::PeerReport& report);
  void OnRejectedReport(const absl::Status& cause, const std::string& sender);
  // Passes the current peer state to the serving core. `kept`: cache updates from a report.
  void DispatchPeersChanged(const std::vector<serving::KeptPart>& kept);
  // Passes the list of live nodes to the serving core, if a tenant or an engine has a limit.
  void DispatchNodesChanged();
  void SendLimitMessageBatch(const serving::SendLimitMessages& action);
  void SendPermitMessageBatch(const serving::SendPermitMessages& action);
  void SendStreamMessageBatch(const serving::SendStreamMessages& action);
  // Sends the messages as `member` of reports, one datagram to each address.
  template <typename Addressed, typename Message>
  void SendBatch(const std::vector<Addressed>& messages, std::vector<Message> serving::PeerReport::*member);
  // Fill `changed` from the peers' own reports, or from the fleet digest.
  void AddPeerReports(serving::PeersChanged& changed);
  void AddFleetDigest(serving::PeersChanged& changed, const serving::PeerReport& digest);
  void Tick();
  void DetectStall();
  // Runs the periodic exchange of reports and digests that a large fleet uses.
  void ExchangeDigests();
  void ExchangeDigestsImmediately();
  // Sends this node's report, with the crash marks and the engines' statements that it knows, beside the periodic ones.
  void ReportToPeers();
  void UpdateStorePeers();
  // Passes the nodes that requests may be handed to on to the serving core, if they have changed.
  void UpdateForwardingPeers();
  // Locality of the peer at `address`.
  TrafficLocality LocalityOf(const std::string& address);
  void LogTraffic();
  // Live members: peers that reported themselves; in a large fleet also those listed in other nodes' reports.
  const std::vector<serving::PeerNode>& Members() const;
  // Demand of this node's clients, and of the clients of all nodes.
  std::vector<serving::ServiceDemand> LocalDemand();
  serving::DemandSum TotalDemand();
  // Whether this node may plan engine roles for the fleet.
  bool IsCandidate(const std::vector<serving::PeerNode>& members);
  void RunLease();
  serving::LeaseMark LocalLeaseMark() const;
  void MergeLeaseMark(const serving::LeaseMark& mark);
  void Perform(const std::vector<serving::RoleAction>& actions);
  void PerformOne(const serving::ReadEngineState& action);
  void PerformOne(const serving::SendStageOrder& action);
  void PerformOne(const serving::AnnounceHolds& action);
  void PerformOne(const serving::LogRole& action);

  boost::asio::io_context& loop_;
  GatewaySettings settings_;
  Gateway& gateway_;
  replica::RelayedStore& store_;
  EngineControl engine_control_;
  serving::PeerTable peers_;
  serving::FleetExchange fleet_;
  std::uint64_t incarnation_;  // Start time of this process; orders the incarnations of this node.
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
  // The version of the peer table that the store was given, and whether the fleet was large then.
  std::optional<std::pair<std::uint64_t, bool>> store_membership_;
  std::optional<std::uint64_t> listed_peers_version_;  // Of the peer table.
  bool stopping_ = false;
  bool store_connected_ = false;
};

}  // namespace saltquay::gateway
