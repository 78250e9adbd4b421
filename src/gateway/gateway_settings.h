// Settings of a gateway process, read from a TOML file. Unknown keys are errors.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "saltquay/duties/capacity_planner.h"
#include "saltquay/limits/tenant_limit.h"
#include "src/base/status.h"
#include "src/core/serving/serving_parameters.h"

namespace saltquay::gateway {

// The platform API for duties, which one node at a time performs for the fleet.
struct DutySettings {
  std::string address;          // ip:port; empty if the platform has no such API.
  bool reports_usage = false;   // Report the number of requests by tenant and window.
  bool orders_engines = false;  // Order engines for services that may be scaled.
  std::chrono::milliseconds report_window{5000};
};

struct GatewaySettings {
  std::string node_name;
  std::string zone;
  std::string client_listen;   // ip:port for clients.
  std::string ready_listen;    // ip:port for GET /ready.
  std::string metrics_listen;  // ip:port for GET /metrics; empty disables it.
  std::string peer_listen;     // ip:port (UDP) for other nodes; empty if this node runs alone.
  std::vector<std::string> peer_seeds;
  int memory_mb = 256;        // That this process may use.
  int link_mbps = 0;          // Bandwidth of this machine; nodes with more relay the store's objects. 0 if unknown.
  std::string store_address;  // ip:port.
  std::chrono::milliseconds grace{8000};  // Maximum time from the stop signal to the exit.
  std::chrono::milliseconds lease{3000};
  std::string fingerprint_key;  // Secret shared by all nodes, see request_fingerprint.h. May be empty.
  bool first_start = false;     // The whole system starts for the first time: no earlier process left any state.
  bool changes_roles = true;
  double initial_prefill_share = 0.67;     // Share of a service's engines for prefill before demand is known.
  limits::LimitTolerance limit_tolerance;  // By how much all nodes together may exceed a tenant's limit.
  DutySettings duties;
  duties::CapacityPlannerParameters capacity;
  int log_lines_per_second = 2000;
  serving::ServingParameters parameters;
};

// Errors name the file, line and key, and say how to fix the value.
absl::StatusOr<GatewaySettings> ParseGatewaySettings(const std::string& text, const std::string& source);
absl::StatusOr<GatewaySettings> LoadGatewaySettings(const std::string& path);

}  // namespace saltquay::gateway
