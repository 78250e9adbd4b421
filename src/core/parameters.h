// Every tunable number of the decision core, in one place.
#pragma once

#include <cstdint>

#include "src/base/time.h"

namespace saltquay {

enum class RoutingPolicy : std::uint8_t { kPredicted, kRoundRobin, kLeastOutstanding };

// Guards that tests may switch off to prove that a checker notices.
// Production code never changes these.
struct ProtectionSwitches {
  bool lease_check_before_order = true;
  bool fence_raise_before_order = true;
  bool order_validity_limit = true;
  bool wait_for_order_in_progress = true;
  bool drain_before_order = true;
  bool frame_matching = true;
  bool at_most_once_records = true;
  bool outcome_proof = true;
  bool newest_object_wins = true;
  bool leaving_filter = true;
  bool drain_on_stop = true;
};

struct Parameters {
  Duration tick_interval = 50ms;

  // Membership.
  Duration probe_interval = 500ms;
  Duration probe_timeout = 250ms;
  Duration suspect_timeout = 1500ms;
  Duration dead_member_retention = 60s;
  int indirect_probes = 2;
  int updates_per_probe = 6;

  // Authority.
  int seats = 5;
  Duration lease_length = 1500ms;
  Duration lease_renewal = 400ms;
  Duration lease_margin = 150ms;  // Covers clock rates that differ by 5% over a lease.
  Duration candidate_jitter = 300ms;
  Duration order_validity = 300ms;
  Duration view_settle_time = 1s;     // Membership must be unchanged this long.
  Duration view_proposal_pause = 2s;  // Between two proposals of one node.
  Duration contact_timeout = 2s;      // A majority of seats must have been heard this recently.

  // At-most-once records.
  Duration record_window = 60s;  // How long a key is remembered.
  Duration record_retry = 100ms;
  Duration claim_send_limit = 1s;  // A claim older than this is not sent any more.

  // Dissemination and the store.
  int store_watchers_per_zone = 2;
  Duration store_poll_interval = 500ms;
  Duration store_timeout = 2s;
  Duration machine_poll_interval = 500ms;
  Duration accept_wait = 2s;  // For a second node to hold a rolled bundle.

  // Load reports.
  Duration load_read_interval = 100ms;
  Duration load_spread_min_interval = 100ms;
  double load_budget_bytes_per_second = 16'000;  // Each node, out, at small sizes.
  Duration load_expiry = 3s;

  // Routing.
  RoutingPolicy routing_policy = RoutingPolicy::kPredicted;
  double routing_jitter = 0.1;
  Duration cross_zone_penalty = 5ms;
  std::uint32_t prefix_index_blocks = 65'536;
  int eject_after_failures = 3;
  Duration eject_time = 5s;

  // Admission and retries.
  double retry_budget_ratio = 0.1;
  double retry_budget_minimum = 10.0;
  int max_attempts = 4;
  Duration stall_timeout = 4s;
  Duration resume_interval = 300ms;
  Duration default_deadline = 30s;
  Duration shed_retry_after = 1s;
  double shed_deadline_share = 0.8;  // Shed when the predicted time exceeds this share.

  // Roles.
  bool role_control = true;
  Duration role_plan_interval = 1s;
  Duration role_horizon = 60s;
  Duration role_change_cost = 6s;  // Drain and change, out of service.
  Duration role_engine_cooldown = 30s;
  Duration role_pool_cooldown = 4s;
  double role_gain_threshold = 1.5;     // Gain over cost that a change must show.
  Duration role_reversal_window = 60s;  // Turning back this soon needs more gain.
  double role_reversal_factor = 6.0;
  int role_changes_under_way = 2;
  Duration drain_limit = 60s;
  Duration drain_settle = 400ms;   // After a drain is announced, before the order.
  int weight_loads_under_way = 4;  // The weight store's rate, shared out.
  Duration demand_smoothing = 4s;

  ProtectionSwitches protections;
};

}  // namespace saltquay
