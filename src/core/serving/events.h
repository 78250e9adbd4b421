// The interface between the serving core and its driver: events in, actions out.
//
// A flow is one client request; an attempt is one call to one engine on behalf of a flow.
// The driver holds the bytes (heads, bodies, stream events); the core only makes decisions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "saltquay/limits/engine_permits.h"
#include "saltquay/limits/limiter.h"
#include "src/base/event_catalogue.h"
#include "src/base/time.h"
#include "src/core/serving/crash_ledger.h"
#include "src/core/serving/engine_crash_detector.h"
#include "src/core/serving/engine_directory.h"
#include "src/core/serving/peer_table.h"
#include "src/core/serving/retry_budget_share.h"
#include "src/core/serving/serving_config.h"
#include "src/core/serving/stream_messages.h"

namespace saltquay::serving {

using FlowId = std::uint64_t;
using AttemptId = std::uint64_t;

struct PromptPart {
  std::string id;
  int tokens = 0;
  std::uint64_t hash = 0;  // Hash of the id.
  // Identifies the part in logs and crash marks. The gateway sets it to a keyed hash of the id, so that nobody can
  // craft a part with the fingerprint of another one.
  std::uint64_t fingerprint = 0;

  PromptPart() = default;
  PromptPart(std::string part, int size) : id(std::move(part)), tokens(size), hash(HashText(id)), fingerprint(hash) {}
};

// Prompt properties as declared by the client.
struct PromptMetadata {
  std::string model;
  int tokens = 0;
  int output_tokens = 0;
  std::vector<PromptPart> parts;  // In prompt order; the last one is specific to this request and not shared.

  std::vector<std::uint64_t> SharedPartFingerprints() const;
};

// What has become of a request at the node that its client called, which handed it to this node.
struct ForwardedRequest {
  std::string node;
  std::uint64_t config_version = 0;  // The version in force there.
  int arrivals = 0;                  // These three as in Flow, over the engines that the node called itself.
  int prefills = 0;
  int executions = 0;
  bool usage_counted = false;
  std::vector<std::string> tried_engines;
  std::optional<std::string> software_version = std::nullopt;  // Set if the stream has begun, and at which version.
};

struct RequestMetadata {
  std::string request_id;
  std::string host;
  std::string path;
  std::optional<Duration> deadline;
  std::optional<PromptMetadata> prompt;
  std::string last_event_id;  // Set when the client resumes a stream.
  std::string resumes;        // Id of the client's request that brought the stream's first event.
  // The client's secret; empty if it sent none. Must never be logged or forwarded to an engine.
  std::string api_key;
  // Identifies the request across attempts, nodes, connections and client retries; 0 if unknown.
  std::uint64_t fingerprint = 0;
  std::optional<ForwardedRequest> forwarded;
};

// Units of the tenant's limit that the request consumes.
std::int64_t CostOf(const limits::TenantLimit& limit, const RequestMetadata& metadata);

// How a peer responds to a request that it was handed. kNone: with an engine's response; kRefused: it did not execute
// the request, and others would not either; kElsewhere: it did not execute the request, but others may; kFailed: an
// error of its own, the request may have been executed.
enum class PeerReply { kNone, kRefused, kElsewhere, kFailed };

// The fields of an engine's response head that the core uses.
struct EngineResponseHead {
  int status = 0;
  bool not_executed = false;
  bool signed_by_engine = false;
  std::optional<EngineLoad> load;
  // For a request that was handed to a peer.
  PeerReply peer_reply = PeerReply::kNone;
  std::optional<Duration> retry_after = std::nullopt;
};

// What an engine states about itself in every response. A field that is absent from a response no longer applies.
struct EngineNotice {
  std::optional<double> requests_per_s;  // Limit for the requests of all nodes together.
  std::optional<Duration> rest;          // How long this node shall send nothing.
  bool leaving = false;                  // It ends soon; holds for the rest of its incarnation.
  bool limit_unreadable = false;         // The limit is not a valid number: the one known before still applies.
};

// kUnidentified: the engine accepted the connection but did not say which process it is, so the request was not sent.
// kInsideEvent, kNoEvents: the response ended properly, but its event stream was not complete.
enum class AttemptFailure { kNotSent, kUnidentified, kBroken, kMalformed, kInsideEvent, kNoEvents };
constexpr bool WasSent(AttemptFailure failure) {
  return failure != AttemptFailure::kNotSent && failure != AttemptFailure::kUnidentified;
}
// Whether the engine ended the response before it was complete.
constexpr bool IsInterrupted(AttemptFailure failure) {
  return failure == AttemptFailure::kBroken || failure == AttemptFailure::kInsideEvent ||
         failure == AttemptFailure::kNoEvents;
}
// How an engine delimited its response (RFC 9112, 6.3).
enum class ResponseFraming { kLength, kChunked, kConnectionEnd };
// How far a response had come when it ended; for the log.
struct ResponseProgress {
  ResponseFraming framing = ResponseFraming::kLength;
  std::size_t incomplete_event_bytes = 0;  // Of a relayed stream: bytes after its last complete event.
};
std::string_view NameOf(ResponseFraming framing);

enum class AttemptMode {
  kWhole,     // Prefill and decode at the same engine.
  kPrefill,   // Prefill only; the engine keeps the KV cache under a handle.
  kContinue,  // Decode from a KV cache that another engine holds.
  kForward,   // A peer serves the request; there is no engine of this node's.
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
// The changes of engines that arrived together have all been passed on.
struct EngineChangesApplied {};
// Whether the node is connected to the store, so that its view of configuration and engines is current.
struct StoreConnectivityChanged {
  bool connected = false;
};
// The engines' records that were passed on are complete as of that time: each change that the store made before it has
// arrived.
struct RecordsConfirmed {
  Time as_of{};
};
// Aggregate of the peers' latest reports.
struct PeersChanged {
  int nodes = 1;      // Including this one.
  Duration age = 0s;  // Mean age of the reports.
  std::map<EngineKey, EngineWork> work;
  std::vector<EngineHold> holds;
  std::vector<KeptPart> kept;         // Prompt parts that engines have newly cached.
  std::vector<ServiceDemand> demand;  // Sum over the peers.
};
struct RequestArrived {
  FlowId flow = 0;
  RequestMetadata metadata;
};
struct ClientDisconnected {
  FlowId flow = 0;
};
// The notice in a response of the engine's incarnation `engine`, to a call of any kind.
struct EngineNoticeReceived {
  std::string engine_id;
  EngineKey engine;
  EngineNotice notice;
  // When the request was sent; nullopt for a call of another kind, whose response need not state everything.
  std::optional<Time> sent_at;
};
struct AttemptHeadReceived {
  FlowId flow = 0;
  AttemptId attempt = 0;
  EngineResponseHead response_head;
};
// Complete events of a stream have arrived.
struct AttemptEventsReceived {
  FlowId flow = 0;
  AttemptId attempt = 0;
  std::string last_event_id;      // Empty if none of the attempt's events had an id yet.
  bool last_event_has_id = true;  // Otherwise nobody can resume the stream after it.
};
struct AttemptCompleted {
  FlowId flow = 0;
  AttemptId attempt = 0;
  std::string handle;  // KV cache handle; only for a prefill.
  ResponseProgress progress = {};
};
struct AttemptFailed {
  FlowId flow = 0;
  AttemptId attempt = 0;
  AttemptFailure failure = AttemptFailure::kBroken;
  std::optional<ResponseProgress> progress = std::nullopt;  // Unset if no response head had arrived.
};
// The attempt was not sent: the process that serves its connection is not the one that StartAttempt names.
struct AttemptAtOtherProcess {
  FlowId flow = 0;
  AttemptId attempt = 0;
  std::int64_t started_ms = 0;  // Of that process; 0: it does not tell.
};
// The result of a ProbeEngine action.
struct EngineProbed {
  std::string engine_id;
  EngineProbeOutcome outcome = EngineProbeOutcome::kUnknown;
};
// A peer's result of a CheckEngineAtPeers action: kUnknown if it cannot connect to other engines either, nullopt if it
// did not respond.
struct PeerProbedEngine {
  std::string engine_id;
  EngineKey engine;
  std::optional<EngineProbeOutcome> outcome;
};
// A peer's records of requests whose engines crashed.
struct PeerCrashesReported {
  std::vector<CrashMark> marks;
};
// Limits of engines as known to a peer.
struct PeerEngineLimitsReported {
  std::vector<EngineLimitMark> marks;
};
// Engines that stated that they are leaving, as known to a peer.
struct PeerLeavingEnginesReported {
  std::vector<EngineKey> engines;
};
// All known nodes that are not stopping, excluding this one, and how many of them are reachable.
struct NodesChanged {
  std::vector<limits::LimiterNode> nodes;
  limits::Reach reach;
};
// All known nodes that are not stopping, excluding this one.
struct PeersListed {
  std::vector<PeerNode> nodes;
};
// A message of the limit protocol from another node.
struct LimitMessageArrived {
  limits::LimitMessage message;
};
// A message about permits for engines from another node.
struct PermitMessageArrived {
  limits::PermitMessage message;
};
// A message about the origins of streams from another node.
struct StreamMessageArrived {
  StreamMessage message;
};
// kBegun: this node takes on no new duties. kDispatchEnded: what it sent to an engine from now on would be cut off by
// the end of the process. kExiting: the process ends as soon as the last responses are written.
enum class StopPhase { kBegun, kDispatchEnded, kExiting };
struct NodeStopping {
  StopPhase phase = StopPhase::kBegun;
};
struct TimerFired {};

using Event = std::variant<ConfigurationChanged, EnginesReplaced, EngineChanged, EngineRemoved, EngineChangesApplied,
                           StoreConnectivityChanged, RecordsConfirmed, PeersChanged, RequestArrived, ClientDisconnected,
                           EngineNoticeReceived, AttemptHeadReceived, AttemptEventsReceived, AttemptCompleted,
                           AttemptFailed, AttemptAtOtherProcess, EngineProbed, PeerProbedEngine, PeerCrashesReported,
                           PeerEngineLimitsReported, PeerLeavingEnginesReported, NodesChanged, PeersListed,
                           LimitMessageArrived, PermitMessageArrived, StreamMessageArrived, NodeStopping, TimerFired>;

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
  std::optional<KvCacheSource> kv_cache_source;
  std::string copy_from;  // Address of an engine that may have the prompt's shared parts cached; empty: none.
  std::string last_event_id;
  Duration time_left = 0s;
  Duration connect_timeout = 0s;
  int priority = 5;
  bool streams = false;
  std::string tenant;  // Empty for an anonymous client.
  bool on_new_connection = false;
  // Send it only to the engine's process that started then; nullopt: to any. See EngineRecord::started_ms.
  std::optional<std::int64_t> process_started_ms;
};
// Send the request to a peer, which serves it like one of its own clients.
struct ForwardRequest {
  FlowId flow = 0;
  AttemptId attempt = 0;
  PeerNode peer;
  ForwardedRequest state;
  std::string last_event_id;
  Duration time_left = 0s;
  Duration connect_timeout = 0s;
  bool streams = false;
};
struct CancelAttempt {
  AttemptId attempt = 0;
};
// Idle connections to the engine may be dead; the next attempt to it must open a new one.
struct DropIdleConnections {
  std::string engine_id;
  std::string address;
};
// Send the attempt's complete buffered response to the client.
struct RelayResponse {
  FlowId flow = 0;
  AttemptId attempt = 0;
};
// Send the attempt's response head unless one was sent already, then its stream events as they arrive.
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
  bool elsewhere = false;  // For a request of a peer: another node may serve it.
};
// Terminate the response such that the client can detect that it is incomplete.
struct AbortResponse {
  FlowId flow = 0;
};
struct ReleaseKvCache {
  KvCacheSource kv_cache_source;
};
// A tenant's request started executing at an engine for the first time. Counts towards the tenant's usage.
struct ExecutionStarted {
  std::string tenant;
  Time began{};
};
// A call to an engine of the service was charged to the retry budget.
struct ExtraArrivalCounted {
  std::string service;
  ExtraArrival cause = ExtraArrival::kExecutionRetried;
};
// Open a connection to the engine's address to find out whether a process still listens there.
struct ProbeEngine {
  std::string engine_id;
  std::string address;
};
// Ask each of these peers whether it can connect to the engine.
struct CheckEngineAtPeers {
  std::string engine_id;
  EngineKey engine;
  std::vector<PeerNode> peers;
};
// Send the messages to other nodes, one datagram each; several messages to one node may share a datagram.
struct SendLimitMessages {
  std::vector<limits::AddressedLimitMessage> messages;
};
// The same for messages about permits for engines.
struct SendPermitMessages {
  std::vector<limits::AddressedPermitMessage> messages;
};
// The same for messages about the origins of streams.
struct SendStreamMessages {
  std::vector<AddressedStreamMessage> messages;
};
// What came of a client's request to resume a stream.
enum class ResumptionOutcome { kSent, kVersionUnknown, kNoEngine };
struct ResumptionDecided {
  ResumptionOutcome outcome = ResumptionOutcome::kSent;
};
// Report requests whose engines crashed to the peers immediately instead of with the next periodic report.
struct ReportCrashes {};
// The same for what engines stated: a limit that has changed, or that an engine leaves.
struct ReportEngineStatements {};
// Write one line to the decision log.
struct LogDecision {
  EventId event = EventId::kRequestRouted;
  std::string request_id;  // Empty if the line is not about a single request.
  std::string details;     // JSON members, without the enclosing braces.
};

using Action = std::variant<StartAttempt, ForwardRequest, CancelAttempt, DropIdleConnections, RelayResponse, BeginRelay,
                            EndRelay, SendLocalReply, AbortResponse, ReleaseKvCache, ExecutionStarted,
                            ExtraArrivalCounted, ProbeEngine, CheckEngineAtPeers, ReportCrashes, ReportEngineStatements,
                            SendLimitMessages, SendPermitMessages, SendStreamMessages, ResumptionDecided, LogDecision>;

}  // namespace saltquay::serving
