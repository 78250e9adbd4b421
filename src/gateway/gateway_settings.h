// Settings of a gateway process: a TOML file with checked keys.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "saltquay/duties/capacity_planner.h"
#include "saltquay/limits/tenant_limit.h"
#include "src/base/status.h"
#include "src/core/serving/serving_parameters.h"

namespace saltquay::gateway {

// The platform's API for what one node at a time does for all.
struct DutySettings {
  std::string address;          // ip:port; empty: there is none.
  bool reports_usage = false;   // Requests by tenant and window.
  bool orders_engines = false;  // Of services that may be scaled.
  std::chrono::milliseconds report_window{5000};
};

struct GatewaySettings {
  std::string node_name;
  std::string zone;
  std::string client_listen;   // ip:port for callers.
  std::string ready_listen;    // ip:port for GET /ready.
  std::string metrics_listen;  // ip:port for GET /metrics; empty: none.
  std::string peer_listen;     // ip:port (UDP) for other nodes; empty: none.
  std::vector<std::string> peer_seeds;
  int link_mbps = 0;                      // Of this machine; nodes with more pass the store's objects on. 0: not known.
  std::string store_address;              // ip:port.
  std::chrono::milliseconds grace{8000};  // From the stop signal to the end.
  std::chrono::milliseconds lease{3000};
  std::string fingerprint_key;  // The same on all nodes; see request_fingerprint.h. Empty: none.
  bool first_start = false;     // The whole system starts, for the first time.
  bool changes_roles = true;
  double initial_prefill_share = 0.67;     // Of a service's engines, before demand is known.
  limits::LimitTolerance limit_tolerance;  // By how much all nodes together may pass tenants' limits.
  DutySettings duties;
  duties::CapacityPlannerParameters capacity;
  int log_lines_per_second = 2000;
  serving::ServingParameters parameters;
};

// Every error names file, line, key and remedy.
absl::StatusOr<GatewaySettings> ParseGatewaySettings(const std::string& text, const std::string& source);
absl::StatusOr<GatewaySettings> LoadGatewaySettings(const std::string& path);

}  // namespace saltquay::gateway
