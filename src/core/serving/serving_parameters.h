// Tuning parameters of the serving core.
#pragma once

#include <map>
#include <string>

#include "saltquay/admission/concurrency_window.h"
#include "saltquay/admission/prefill_queue.h"
#include "saltquay/admission/prefill_time_model.h"
#include "src/base/time.h"
#include "src/core/serving/crash_ledger.h"
#include "src/core/serving/engine_directory.h"
#include "src/core/serving/forwarding_peers.h"
#include "src/core/serving/retry_budget_share.h"
#include "src/core/serving/stream_origins.h"
#include "src/core/serving/topology.h"

namespace saltquay::serving {

// How an engine is chosen for a request. All policies but kCost exist as baselines for comparison.
enum class SelectionPolicy { kCost, kRoundRobin, kLeastOutstanding };

struct ServingParameters {
  SelectionPolicy policy = SelectionPolicy::kCost;
  EjectionPolicy ejection;
  CrashLedgerParameters crashes;
  // What crashes engines does so within this time: a prompt part from the response head on, a request from the end of
  // its response on.
  Duration crash_delay = 500ms;
  RetryBudgetBounds retry_budget;
  ForwardingParameters forwarding;
  StreamOriginParameters stream_origins;

  // Maps each zone to its region; see Topology.
  std::map<std::string, std::string, std::less<>> regions;
  TopologyParameters distances;

  // Prompts up to this size are prefilled by the engine that decodes them.
  int max_unsplit_prompt_tokens = 1024;
  // How prefill times are estimated.
  admission::PrefillTimeModelParameters prefill_time_model;
  // A load that an engine reported loses weight with age and is ignored from this age on.
  Duration load_report_lifetime = 2s;
  // Approximate time for which an engine keeps a prompt part cached after its last use.
  Duration cached_part_lifetime = 30s;

  // Cost of one millisecond of round-trip time to an engine, in milliseconds of queueing: clients wait for the round
  // trip, and the traffic is paid for by the byte.
  double rtt_weight = 7;
  // The same for the transfer of a prompt's KV cache to the decode engine, added to the cost above: a KV cache has some
  // hundred megabytes, a request ten kilobytes.
  double kv_transfer_rtt_weight = 25;
  // Milliseconds by which each request in flight at a decode engine delays another one.
  double decode_load_ms = 10;
  // Added for each request beyond the engine's slots: it waits until a slot becomes free, or it preempts a stream whose
  // prompt then has to be prefilled again. About the time for which a response of a few events holds a slot.
  double decode_queue_ms = 60;
  // Cost of prefilling a shared part again, in milliseconds of queueing per millisecond that it takes.
  double recompute_weight = 1.3;
  // Under load that time is taken from other prompts: the weight grows by one for each so many milliseconds of prefill
  // that are queued at an engine on average.
  double backlog_pressure_ms = 250;
  // Factor on the cost of prefilling a shared part at an engine that is none of its first two home engines, so that
  // parts are not spread over more engines than needed.
  double non_home_weight = 2;

  // Whether to estimate the work that other nodes have started since their last reports, so that not all nodes choose
  // the same engine.
  bool estimates_unreported_work = true;

  // Whether engines are instructed to copy the shared parts of a prompt from an engine that has them cached.
  bool copies_prefix_parts = true;
  // How long parts are still copied from an engine after this node learnt that it is leaving. Engines keep serving for
  // at least two seconds; a copy from an engine that has exited delays the prompt.
  Duration leaving_source_time = 1500ms;
  // A prompt of which the engine lacks fewer shared tokens than this is prefilled without a copy.
  int min_copied_tokens = 256;

  // The order in which queued prompts are dispatched to prefill engines.
  admission::QueuePolicy prefill_order = admission::QueuePolicy::ValuePerCost;
  // How many prompts this node has in flight at a service's engines.
  admission::ConcurrencyWindowParameters window;
  // A prefill should take at most this share of the request's latency objective, or this multiple of its time at an
  // idle engine, whichever is longer.
  double prefill_target_share = 1.0;
  double prefill_target_factor = 2.5;
  // Share of the window for prompts that will miss their objective anyway.
  double late_window_share = 0.5;
  // Initial estimate of the time from the end of the prefill to the first event, as a share of the objective.
  double initial_decode_start_share = 0.1;
  // Number of prompts per lane that are tried in one dispatch; the others wait for the next change.
  std::size_t dispatch_depth = 8;
  // Once a prompt has been queued for this share of its objective, it is either committed, if its prefill can still
  // finish in time, or refused with a Retry-After. A client that is refused within a quarter of the objective still has
  // time for a retry.
  double wait_deadline_share = 0.17;
  bool sheds_load = true;
  // No load is shed while prefills take less than this share of their targets on average
  double shedding_ratio = 0.7;
  // and this node has no more than this multiple of its window in flight.
  double over_limit_factor = 2;
  // Whether decode engines may prefill prompts for which no prefill engine has capacity.
  bool allows_overflow = true;
  admission::ConcurrencyWindowParameters overflow_window{.initial_depth = 1, .max_depth = 1.5};
  // Upper bound of the prefill time at a decode engine, as a share of the objective.
  double overflow_prefill_share = 0.25;
  double overflow_max_utilization = 0.35;  // Only decode engines with less than this share of their slots in use.
  // Queued prompts are reconsidered after this time even if nothing else happens.
  Duration dispatch_interval = 10ms;

  // Time constant of the demand average that role changes are based on.
  Duration demand_averaging_time = 3s;
  // Share of its slots and KV cache up to which a decode engine works well.
  double target_utilization = 0.5;

  // Share of the objective for which a request may wait until any engine becomes available.
  double engine_wait_share = 0.2;
  Duration max_engine_wait = 400ms;
  // The same for a request whose prompt has been prefilled, if its engines limit requests; at most its objective.
  Duration max_prefilled_wait = 1s;
  // A repeatable request without a response after this share of its objective is sent to a second engine as well.
  double hedge_delay_share = 0.8;
  // An engine that has work in flight and sends nothing for this long is ejected.
  Duration unresponsive_timeout = 1500ms;
  // An engine that sends nothing for this long after a request was sent to it is probed.
  Duration silence_check_delay = 500ms;
  // A prefill that takes this multiple of its expected time is retried at another engine.
  double prefill_timeout_factor = 3;
  // Time for a connection to be accepted, in addition to some round trips.
  Duration connect_timeout = 100ms;
  int connect_round_trips = 4;
  // The final response is sent this much before the deadline.
  Duration response_margin = 15ms;
  Duration retry_after = 400ms;
  int max_attempts_per_flow = 5;
  // How long after the longest duration of a stream its client may still come back to resume it.
  Duration stream_return_time = 60s;
  // The records of engines count as current if they are confirmed as of that time ago.
  Duration max_record_age = 1500ms;
  // How long a resumption waits for them to be confirmed as of its arrival.
  Duration max_confirmation_wait = 1700ms;
};

}  // namespace saltquay::serving
