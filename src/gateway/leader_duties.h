// Work that one node does on behalf of the fleet while it holds the duty lease: usage reports to the platform, and
// scaling orders for engines.
//
// Every node counts its own requests by tenant and sends the counts to the lease holder and to the node that would hold
// the lease next. Connects the state machines of src/duties to the store, the platform's API and the peers.
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

  // `api`: nullptr if the platform requires no duties. `incarnation`: of this process, as sent in its reports.
  LeaderDuties(const GatewaySettings& settings, Gateway& gateway, ObjectStore& store, DutyApi* api,
               serving::DutyLease& lease, std::uint64_t incarnation);

  // Whether the platform requires duties; the lease is then held continuously.
  bool is_enabled() const {
    return api_ != nullptr && (settings_.duties.reports_usage || settings_.duties.orders_engines);
  }

  // To be called every 100 ms. `members`: the other live nodes; `demand`: total demand of all nodes by service.
  void Tick(const std::vector<serving::PeerNode>& members, const std::map<std::string, serving::ServiceDemand>& demand,
            const SendMessages& send);
  // Counts a tenant's request that started to run.
  void OnExecutionStarted(const serving::ExecutionStarted& execution);
  // Handles a report with scope kUsage.
  void OnUsage(const serving::PeerReport& report);
  // Handles the wall clock time in any other report.
  void OnClock(const serving::PeerReport& report);
  // Number of nodes that take precedence over this one in acquiring the lease, as of the last tick.
  int local_rank() const { return local_rank_; }

 private:
  void UpdateRank(const std::vector<serving::PeerNode>& members);
  void SendUsageCounts(const SendMessages& send);
  std::vector<std::string> UsageReceivers() const;
  std::vector<serving::PeerReport> LocalUsageReports(const std::vector<duties::UsageCount>& counts) const;
  void LogStoreFailure(std::string_view call, const absl::Status& cause);
  std::int64_t ClosedThrough() const;
  void RunUsageReporter();
  void RunCapacityController(const std::map<std::string, serving::ServiceDemand>& demand);
  void Perform(const duties::ReadSealedUsage& action);
  void Perform(const duties::WriteSealedUsage& action);
  void Perform(const duties::SendUsageReport& action);
  void Perform(const duties::LogUsage& action);
  void Perform(const duties::ScalingOrder& order);
  void Perform(const duties::LogCapacity& action);
  DutyHolder Holder() const { return {settings_.node_name, lease_.token()}; }
  // Marks the lease as lost if the platform responded that a newer fencing token exists.
  void HandleOutcome(duties::DutyOutcome outcome);

  GatewaySettings settings_;
  Gateway& gateway_;
  ObjectStore& store_;
  DutyApi* api_;
  serving::DutyLease& lease_;
  serving::PeerNode self_;
  std::uint64_t incarnation_;
  duties::FleetClock clock_;
  duties::UsageWindows windows_;
  duties::UsageCounter counter_;
  duties::UsageAggregator aggregator_;
  duties::UsageReporter reporter_;
  duties::CapacityController capacity_;
  std::int64_t first_window_ = 0;
  int local_rank_ = 0;
  std::string next_holder_;         // Address of the node next in line for the lease; empty if it is this one.
  std::string last_synced_holder_;  // Address of the last lease holder that was sent all usage counts.
  bool was_holder_ = false;
  Time next_full_send_{};
};

}  // namespace saltquay::gateway
