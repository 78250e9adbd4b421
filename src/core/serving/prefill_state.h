// What a node keeps of the prompts and the work that it sends to engines, by service or route.
#pragma once

#include <memory>
#include <set>
#include <utility>

#include "saltquay/admission/concurrency_window.h"
#include "saltquay/admission/prefill_queue.h"
#include "src/core/serving/demand_meter.h"
#include "src/core/serving/events.h"
#include "src/core/serving/serving_parameters.h"

namespace saltquay::serving {

// The prompts of a service that wait for prefill, and what has been measured of them.
struct PrefillState {
  explicit PrefillState(const ServingParameters& parameters)
      : queue(admission::make_prefill_queue(parameters.prefill_order)),
        prefill_window(parameters.window),
        decode_window(parameters.overflow_window) {}

  std::unique_ptr<admission::PrefillQueue> queue;
  admission::ConcurrencyWindow prefill_window;  // Prompts in flight at prefill engines.
  admission::ConcurrencyWindow decode_window;   // Prompts being prefilled at decode engines.
  int unsettled_calls = 0;     // First prefills in flight; each is charged to the retry budget if refused.
  double peer_demand = 0;      // Prefill engines that the demand at other nodes would keep busy.
  double decode_start_ms = 0;  // Moving average from the end of a prefill to the first event; 0: not measured yet.
  std::set<std::pair<Time, FlowId>> wait_deadlines;  // Queued prompts by the end of their wait.
};

// The rates at which this node starts work; every other node is assumed to start as much.
struct DispatchRates {
  explicit DispatchRates(Duration averaging_time) : prompt_tokens(averaging_time), executions(averaging_time) {}

  DecayingRate prompt_tokens;  // Sent to prefill engines.
  DecayingRate executions;
};

// Measured properties of a route's prompts.
struct RouteStatistics {
  double mean_size = 0;
};

}  // namespace saltquay::serving
