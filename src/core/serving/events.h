// The seam of the serving core: what happens to it, and what it asks for.
//
// One flow is one client request; an attempt is one call to one engine for it.
// The driver keeps the bytes (heads, bodies, events); the core only decides.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "saltquay/limits/limiter.h"
#include "src/base/event_catalogue.h"
#include "src/base/time.h"
#include "src/core/serving/crash_ledger.h"
#include "src/core/serving/engine_crash_detector.h"
#include "src/core/serving/engine_directory.h"
#include "src/core/serving/peer_table.h"
#include "src/core/serving/retry_budget_share.h"
#include "src/core/serving/serving_config.h"

namespace saltquay::serving {

using FlowId = std::uint64_t;
using AttemptId = std::uint64_t;

struct PromptPart {
  std::string id;
  int tokens = 0;
  std::uint64_t hash = 0;  // Of the id.

  PromptPart() = default;
  PromptPart(std::string part, int size) : id(std::move(part)), tokens(size), hash(HashText(id)) {}
};

// What the caller told of its prompt.
struct PromptMetadata {
  std::string model;
  int tokens = 0;
  int output_tokens = 0;
  std::vector<PromptPart> parts;  // In order; the last belongs to the request itself.
};

struct RequestMetadata {
  std::string request_id;
  std::string host;
  std::string path;
  std::optional<Duration> deadline;
  std::optional<PromptMetadata> prompt;
  std::string last_event_id;  // Of a client that resumes a stream.
  // The caller's secret, empty where it sent none. It stands in no log line and goes to no engine.
  std::string api_key;
  // What it is, over all its attempts, nodes and connections; 0: not told.
  std::uint64_t fingerprint = 0;
};

// Units that the request takes of a limit.
std::int64_t CostOf(const limits::TenantLimit& limit, const RequestMetadata& facts);

// What an engine's answer head says.
struct EngineResponseHead {
  int status = 0;
  bool not_executed = false;
  bool signed_by_engine = false;
  std::optional<EngineLoad> load;
};

enum class AttemptFailure { kNotSent, kBroken, kMalformed };
enum class AttemptMode {
  kWhole,     // Read and answer.
  kPrefill,   // Read only; the engine keeps the memory under a handle.
  kContinue,  // Answer from memory that another engine keeps.
};

struct ConfigurationChanged {
  ServingConfig config;
};
struct EnginesReplaced {
  std::vector<EngineRecord> records;
};
struct EngineChanged {
  EngineRecord record;
};
struct EngineRemoved {
  std::string id;
};
// Whether the node hears the store, so that what it knows is fresh.
struct StoreConnectivityChanged {
  bool in_contact = false;
};
// What the peers' reports add up to.
struct PeersChanged {
  int nodes = 1;      // This one included.
  Duration age = 0s;  // The parts' mean.
  std::map<EngineKey, EngineWork> work;
  std::vector<EngineHold> holds;
  std::vector<KeptPart> kept;         // News.
  std::vector<ServiceDemand> demand;  // Of the peers together.
};
struct RequestArrived {
  FlowId flow = 0;
  RequestMetadata facts;
};
struct ClientDisconnected {
  FlowId flow = 0;
};
struct AttemptHeadReceived {
  FlowId flow = 0;
  AttemptId attempt = 0;
  EngineResponseHead answer;
};
// Events of a stream that came whole.
struct AttemptEventsReceived {
  FlowId flow = 0;
  AttemptId attempt = 0;
  std::string last_event_id;
};
struct AttemptCompleted {
  FlowId flow = 0;
  AttemptId attempt = 0;
  std::string handle;  // Of a prefill.
};
struct AttemptFailed {
  FlowId flow = 0;
  AttemptId attempt = 0;
  AttemptFailure failure = AttemptFailure::kBroken;
};
// The answer to ProbeEngine.
struct EngineProbed {
  std::string engine_id;
  EngineProbeOutcome outcome = EngineProbeOutcome::kUnknown;
};
// What a peer knows of requests under which engines ended.
struct PeerCrashesReported {
  std::vector<CrashMark> marks;
};
// All nodes that are known and do not stop, without this one, and how many it is in touch with.
struct NodesChanged {
  std::vector<limits::LimiterNode> nodes;
  limits::Reach reach;
};
// What another node says of a tenant's limit.
struct LimitMessageArrived {
  limits::LimitMessage message;
};
// This node takes no new duties: it stops.
struct NodeStopping {};
struct TimerFired {};

using Event = std::variant<ConfigurationChanged, EnginesReplaced, EngineChanged, EngineRemoved,
                           StoreConnectivityChanged, PeersChanged, RequestArrived, ClientDisconnected,
                           AttemptHeadReceived, AttemptEventsReceived, AttemptCompleted, AttemptFailed, EngineProbed,
                           PeerCrashesReported, NodesChanged, LimitMessageArrived, NodeStopping, TimerFired>;

struct KvCacheSource {
  std::string engine_id;
  std::string address;
  std::string handle;
};

struct StartAttempt {
  FlowId flow = 0;
  AttemptId attempt = 0;
  std::string engine_id;
  std::string address;
  AttemptMode mode = AttemptMode::kWhole;
  std::optional<KvCacheSource> memory;
  std::string copy_from;  // Address of an engine that may keep what the prompt shares with others; empty: none.
  std::string last_event_id;
  Duration time_left = 0s;
  Duration connect_timeout = 0s;
  int priority = 5;
  bool streams = false;
  std::string tenant;  // Whose request it is; empty: an anonymous caller's.
  bool on_new_connection = false;
};
struct CancelAttempt {
  AttemptId attempt = 0;
};
// Connections to the engine that rest may be dead: the next attempt there takes a new one.
struct DropIdleConnections {
  std::string engine_id;
  std::string address;
};
// Send the attempt's buffered answer to the client, whole.
struct RelayResponse {
  FlowId flow = 0;
  AttemptId attempt = 0;
};
// Send the attempt's head if none was sent yet, and its events as they come.
struct BeginRelay {
  FlowId flow = 0;
  AttemptId attempt = 0;
};
struct EndRelay {
  FlowId flow = 0;
};
struct SendLocalReply {
  FlowId flow = 0;
  int status = 0;
  std::optional<Duration> retry_after;
};
// End the answer so that it does not look complete.
struct AbortResponse {
  FlowId flow = 0;
};
struct ReleaseKvCache {
  KvCacheSource memory;
};
// A tenant's request began to run at an engine, for the first time.
struct ExecutionStarted {
  std::string tenant;
  Time began{};
};
// A call to an engine of the service counted against the retry budget.
struct ExtraArrivalCounted {
  std::string service;
  ExtraArrival cause = ExtraArrival::kExecutionRetried;
};
// Whether anybody listens at the engine's address.
struct ProbeEngine {
  std::string engine_id;
  std::string address;
};
// To other nodes, each as one datagram, or several together for one node.
struct SendLimitMessages {
  std::vector<limits::AddressedLimitMessage> messages;
};
// The peers are to be told at once of requests under which engines ended.
struct ReportCrashes {};
// One line of the decision log.
struct LogDecision {
  EventId event = EventId::kRequestRouted;
  std::string request_id;  // Empty where no request is concerned.
  std::string details;     // JSON members, without braces.
};

using Action = std::variant<StartAttempt, CancelAttempt, DropIdleConnections, RelayResponse, BeginRelay, EndRelay,
                            SendLocalReply, AbortResponse, ReleaseKvCache, ExecutionStarted, ExtraArrivalCounted,
                            ProbeEngine, ReportCrashes, SendLimitMessages, LogDecision>;

}  // namespace saltquay::serving
