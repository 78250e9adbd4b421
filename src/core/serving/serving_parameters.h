// Every tunable number of the serving core, in one place.
#pragma once

#include <map>
#include <string>

#include "saltquay/admission/concurrency_window.h"
#include "saltquay/admission/prefill_queue.h"
#include "saltquay/admission/prefill_time_model.h"
#include "src/base/time.h"
#include "src/core/serving/crash_ledger.h"
#include "src/core/serving/engine_directory.h"
#include "src/core/serving/retry_budget_share.h"
#include "src/core/serving/topology.h"

namespace saltquay::serving {

// How the engine of a request is chosen. All but kCost are baselines.
enum class SelectionPolicy { kCost, kRoundRobin, kLeastOutstanding };

struct ServingParameters {
  SelectionPolicy policy = SelectionPolicy::kCost;
  EjectionPolicy ejection;
  CrashLedgerParameters crashes;
  RetryBudgetBounds retry_budget;

  // Of each zone, its region; see Topology.
  std::map<std::string, std::string, std::less<>> regions;
  TopologyParameters distances;

  // Prompts up to this size are read by the engine that answers them.
  int max_unsplit_prompt_tokens = 1024;
  // How the time of a reading is learned.
  admission::PrefillTimeModelParameters reading;
  // A load that an engine told counts for less and less, until this age.
  Duration load_report_lifetime = 2s;
  // A prompt part stays in an engine's memory about this long after its last use.
  Duration cached_part_lifetime = 30s;

  // Milliseconds of queueing that a millisecond of the round trip to an engine is worth: callers wait for it, and what
  // crosses it is paid for by the byte.
  double rtt_weight = 7;
  // The same, on top, for the way that a prompt's memory takes to the engine that answers from it: some hundred
  // megabytes against a request's ten kilobytes.
  double kv_transfer_rtt_weight = 25;
  // Milliseconds by which each request under way delays another at an engine that answers.
  double decode_load_ms = 10;
  // The same on top for each beyond the engine's places: it waits until one becomes free, or displaces a stream that
  // has to be read again. About what an answer of a few events keeps a place.
  double decode_queue_ms = 60;
  // Milliseconds of queueing that reading a shared part again is worth, for each millisecond it takes.
  double recompute_weight = 1.3;
  // Under load that time is taken from others: the weight grows by one for each so many
  // milliseconds of reading that wait at an engine on average.
  double backlog_pressure_ms = 250;
  // A part is spread to engines beyond its first two homes only for this much more.
  double non_home_weight = 2;

  // Whether what other nodes have started since their last reports is guessed, so that not all of them
  // choose the same engine.
  bool estimates_unreported_work = true;

  // Whether engines are told to copy shared parts of a prompt from one that keeps them.
  bool copies_prefix_parts = true;
  // Parts are copied from an engine that leaves for so long after it was known to. Engines serve on for two seconds
  // at least; a copy from one that has ended holds up the prompt.
  Duration leaving_source_time = 1500ms;
  // Fewer tokens are not worth a copy.
  int min_copied_tokens = 256;

  // The order in which prompts wait for an engine to read them.
  admission::QueuePolicy prefill_order = admission::QueuePolicy::ValuePerCost;
  // How many prompts this node has under way at a service's engines.
  admission::ConcurrencyWindowParameters window;
  // A reading should take at most this share of the request's objective, or so many times what
  // it takes at an idle engine, whichever is longer.
  double prefill_target_share = 1.0;
  double prefill_target_factor = 2.5;
  // What misses its objective anyway gets this share of the window.
  double late_window_share = 0.5;
  // First guess of the time from a prompt's reading to its first event, as a share of the objective.
  double initial_decode_start_share = 0.1;
  // Prompts of a lane that are tried before the others wait for the next change.
  std::size_t dispatch_depth = 8;
  // A prompt that still waits at this share of its objective is judged: it is committed where
  // it will still be read in time, else refused with a time to come back. Within a quarter of
  // the objective a caller still has time for another try.
  double wait_deadline_share = 0.17;
  bool sheds_load = true;
  // Nothing is refused while readings take less than this share of their targets on average,
  double shedding_ratio = 0.7;
  // as long as this node has no more than so many times its window under way.
  double over_limit_factor = 2;
  // Prompts that no prefill engine has room for may be read by engines that answer.
  bool allows_overflow = true;
  admission::ConcurrencyWindowParameters overflow_window{.initial_depth = 1, .max_depth = 1.5};
  // Not where reading there would take more than this share of the objective.
  double overflow_prefill_share = 0.25;
  double overflow_max_utilization = 0.35;  // Only those with less than this share of their slots taken.
  // The waiting prompts are looked at again after this time, if nothing else happens.
  Duration dispatch_interval = 10ms;

  // Over this time demand is averaged for role changes.
  Duration demand_averaging_time = 3s;
  // Slots and memory of an engine that answers well are filled to this share.
  double target_utilization = 0.5;

  // The share of the objective that a request may wait for any engine.
  double engine_wait_share = 0.2;
  Duration longest_wait = 400ms;
  // A repeatable request unanswered for this share of its objective goes to a second engine.
  double hedge_delay_share = 0.8;
  // An engine that said nothing for so long, with work under way, is taken out.
  Duration silence = 1500ms;
  // A prompt whose reading takes so many times what it should is read elsewhere.
  double prefill_timeout_factor = 3;
  // Connections come up within this share of the objective, and these bounds.
  double connect_share = 0.4;
  Duration min_connect_timeout = 60ms;
  Duration max_connect_timeout = 400ms;
  // A final answer is sent this much before the time runs out.
  Duration response_margin = 15ms;
  Duration retry_after = 400ms;
  int max_tries = 5;
};

}  // namespace saltquay::serving
