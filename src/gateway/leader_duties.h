// What one node does for all, under the duties' lease: usage reports to the platform, and orders of engines.
//
// Every node counts its own requests by tenant and tells the holder of the lease and the node that would be the next
// one. Drives the state machines of src/duties with the store, the platform's API and messages between peers.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "saltquay/duties/capacity_controller.h"
#include "saltquay/duties/fleet_clock.h"
#include "saltquay/duties/usage_aggregator.h"
#include "saltquay/duties/usage_counter.h"
#include "saltquay/duties/usage_reporter.h"
#include "src/core/serving/fleet_exchange.h"
#include "src/gateway/duty_api.h"
#include "src/gateway/lease_client.h"

namespace saltquay::gateway {

class LeaderDuties {
 public:
  using SendMessages = std::function<void(const std::vector<serving::FleetMessage>&)>;

  // `api`: nullptr where the platform asks for no duties. `boot`: of this life, as its reports tell it.
  LeaderDuties(const GatewaySettings& settings, Gateway& gateway, ObjectStore& store, DutyApi* api,
               serving::DutyLease& lease, std::uint64_t boot);

  // Whether the lease is held all the time.
  bool any() const { return api_ != nullptr && (settings_.duties.reports_usage || settings_.duties.orders_engines); }

  // Call it each 100 ms. `members`: the other nodes that are known; `demand`: of all nodes, by service.
  void Tick(const std::vector<serving::PeerNode>& members, const std::map<std::string, serving::ServiceDemand>& demand,
            const SendMessages& send);
  // A tenant's request began to run.
  void OnRunBegan(const serving::ExecutionStarted& run);
  // A report of kind kUsage.
  void OnUsage(const serving::PeerReport& report);
  // Any other report: what the peer's clock says.
  void OnClock(const serving::PeerReport& report);
  // How many nodes go before this one when the lease is to be taken; as of the last tick.
  int own_rank() const { return own_rank_; }

 private:
  void Rank(const std::vector<serving::PeerNode>& members);
  void SendUsageCounts(const SendMessages& send);
  std::vector<std::string> UsageReceivers() const;
  std::vector<serving::PeerReport> LocalUsageReports(const std::vector<duties::UsageCount>& counts) const;
  void LogStoreFailure(std::string_view call, const absl::Status& cause);
  std::int64_t ClosedThrough() const;
  void RunUsageReporter();
  void RunCapacityController(const std::map<std::string, serving::ServiceDemand>& demand);
  void Carry(const duties::ReadSealedUsage& action);
  void Carry(const duties::WriteSealedUsage& action);
  void Carry(const duties::SendUsageReport& action);
  void Carry(const duties::LogUsage& action);
  void Carry(const duties::ScalingOrder& order);
  void Carry(const duties::LogCapacity& action);
  DutyHolder Holder() const { return {settings_.node_name, lease_.token()}; }
  // What an answer says of the lease.
  void HandleOutcome(duties::DutyOutcome outcome);

  GatewaySettings settings_;
  Gateway& gateway_;
  ObjectStore& store_;
  DutyApi* api_;
  serving::DutyLease& lease_;
  serving::PeerNode self_;
  std::uint64_t boot_;
  duties::FleetClock clock_;
  duties::UsageWindows windows_;
  duties::UsageCounter counter_;
  duties::UsageAggregator table_;
  duties::UsageReporter reporter_;
  duties::CapacityController capacity_;
  std::int64_t first_window_ = 0;
  int own_rank_ = 0;
  std::string next_holder_;         // Address of the node that would take the lease next; empty: this one.
  std::string last_synced_holder_;  // Address to which everything was told since it holds the lease.
  bool held_ = false;
  Time next_full_{};
};

}  // namespace saltquay::gateway
