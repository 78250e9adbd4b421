// A client request and the attempts to serve it; see serving_core.h for the protocol.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "saltquay/admission/concurrency_window.h"
#include "src/core/serving/engine_selector.h"
#include "src/core/serving/events.h"

namespace saltquay::serving {

// Where a stream begins that is sent to the engine now.
StreamOrigin OriginAt(const EngineState& engine, Time now);

struct Attempt {
  AttemptId id = 0;
  std::string engine_id;
  EngineKey engine_key;  // Identifies the engine's incarnation that the attempt was sent to.
  StreamOrigin origin;   // What a stream's origin is if it begins with this attempt.
  AttemptMode mode = AttemptMode::kWhole;
  std::string peer;           // For kForward: the peer that the request was handed to.
  int executions_before = 0;  // For kForward: the flow's executions without it.
  Time sent_at{};
  std::int64_t prompt_tokens = 0;  // Estimate of the tokens that the engine has to prefill.
  bool head_seen = false;          // The engine's response head has arrived.
  Time head_received_at{};         // Valid if `head_seen`.
  EngineResponseHead response_head;
  std::optional<ResponseProgress> progress;  // Once the response has ended.
  Time times_out_at{};                       // Handled once, at this time, unless a response head has arrived.
  bool timeout_handled = false;
  bool silence_checked = false;                    // The engine was checked for being reachable, or did not need to be.
  std::optional<KvCacheSource> kv_cache;           // The KV cache that the attempt decodes from.
  bool engine_was_idle = false;                    // No other work was known to be in flight there.
  admission::ConcurrencyWindow* window = nullptr;  // The window that the attempt occupies a slot of.
  bool charged = false;                            // To the retry budget.
  int* unsettled_calls = nullptr;                  // The counter that includes the attempt until it ends.
  Duration target = 0s;                            // Target for the prefill time.
};

// An attempt that continues although its client has disconnected.
struct DetachedAttempt {
  std::string engine_id;
  InterruptedRun run;  // In case that the engine interrupts it.
};

struct Flow {
  FlowId id = 0;
  RequestMetadata metadata;
  Route route;  // The route at the time of arrival.
  std::string service;
  std::string tenant;  // Empty for an anonymous client.
  // Combines request and tenant, so that identical requests of two tenants differ. 0 if unknown.
  std::uint64_t fingerprint = 0;
  bool language = false;
  Time arrived{};
  Time expires_at{};
  std::map<AttemptId, Attempt> attempts;
  EngineIds tried_engines;
  std::optional<KvCacheSource> kv_cache;
  std::string kv_cache_zone;
  EngineIds rejected_by;                         // Engines that rejected it without running it, of `tried_engines`.
  std::vector<std::string> kv_cache_refused_by;  // Engines that refused the KV handoff, for whatever reason.
  int arrivals = 0;                              // Attempts sent, not counting prefills.
  int prefills = 0;
  int executions = 0;        // Attempts that may have been executed.
  int attempt_count = 0;     // All attempts at engines.
  int connect_failures = 0;  // Attempts whose connections failed.
  std::set<std::string> tried_peers;
  bool response_missing = false;  // An attempt got no response; its connection may have been dead.
  bool relaying = false;          // The response head of a stream has been sent to the client.
  std::string last_event_id;
  bool position_known = true;            // The last event that was relayed is the one with that id.
  std::optional<Time> engine_wait_ends;  // How long to wait until any engine becomes available.
  std::optional<Time> hedge_at;
  AttemptId relayed_attempt = 0;
  bool queued = false;                          // The prompt waits in the service's prefill queue.
  bool committed = false;                       // It was committed there: its prefill can still finish in time.
  double value = 0;                             // Value relative to the mean of the route; 0: not known yet.
  bool prefill_metered = false;                 // The prefill is included in the measured demand.
  std::optional<Time> prefilled_at;             // When the separate prefill was completed.
  bool usage_counted = false;                   // The request has been counted as usage of its tenant.
  std::int64_t limit_cost = 0;                  // Units of the tenant's limit that the request consumes; 0: no limit.
  std::optional<std::string> software_version;  // At which the stream began; it may go on only there.
  std::optional<EngineProcess> origin_process;  // Set instead while it is known only which process began the stream.
  bool origin_pending = false;                  // Peers are asked for it, or it depends on records to be confirmed.
  std::optional<Time> records_wait_ends;        // How long to wait for that.
  bool limit_pending = false;                   // The limiter has not decided yet.
  std::string limit_owner;                      // Name of the node that decided on the limit.
};

// The stream that the request begins or resumes.
StreamKey StreamKeyOf(const Flow& flow);
// Whether the client resumes a stream and its origin is not known yet.
bool NeedsStreamOrigin(const Flow& flow);
// Whether another node or engine may go on with a stream that an attempt of that mode begins.
bool MayBeResumed(const Flow& flow, AttemptMode mode);

}  // namespace saltquay::serving
