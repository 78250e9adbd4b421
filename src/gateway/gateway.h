// Runs the serving core over HTTP on one event loop.
//
// The gateway owns all I/O state (client exchanges, engine calls, buffered responses) and performs the actions that the
// core returns. All routing and retry decisions are made in the core.
#pragma once

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/base/log_stream.h"
#include "src/core/serving/serving_core.h"
#include "src/gateway/engine_probe.h"
#include "src/gateway/engine_protocol.h"
#include "src/gateway/event_stream_parser.h"
#include "src/gateway/gateway_metrics.h"
#include "src/gateway/gateway_settings.h"
#include "src/gateway/traffic_meter.h"
#include "src/http/client.h"
#include "src/http/server.h"

namespace saltquay::gateway {

class Gateway {
 public:
  Gateway(boost::asio::io_context& loop, const GatewaySettings& settings, EngineProtocol protocol, LogStream& log,
          std::uint64_t seed);
  ~Gateway();

  // Passes an event to the core and performs the resulting actions.
  void Dispatch(const serving::Event& event);
  void Handle(const std::shared_ptr<http::Exchange>& exchange) { HandleRequest(exchange, std::nullopt); }
  // Serves a request that a peer has handed to this node.
  void HandleForwarded(const std::shared_ptr<http::Exchange>& exchange, const serving::ForwardedRequest& state);
  // Responds 503 to a request that was never passed to the core, so it has not run. `retry_after`: seconds.
  void RefuseUndispatched(const std::shared_ptr<http::Exchange>& exchange, std::string_view cause,
                          std::string_view retry_after);

  // Called when a tenant's request has started to run.
  std::function<void(const serving::ExecutionStarted&)> on_execution_started;
  // Called to send tenant limit messages to other nodes.
  std::function<void(const serving::SendLimitMessages&)> on_send_limit_messages;
  // Called to send messages about permits for engines to other nodes.
  std::function<void(const serving::SendPermitMessages&)> on_send_permit_messages;
  // Called to send messages about the origins of streams to other nodes.
  std::function<void(const serving::SendStreamMessages&)> on_send_stream_messages;
  // Called to ask peers about an engine that seems to have crashed.
  std::function<void(const serving::CheckEngineAtPeers&)> on_check_engine_at_peers;
  // Called when the peers have to be notified of new crash marks or engines' statements.
  std::function<void()> on_report_to_peers;

  serving::ServingCore& core() { return core_; }
  GatewayMetrics& metrics() { return metrics_; }
  TrafficMeter& traffic() { return traffic_; }
  std::size_t open_requests() const { return flows_.size(); }
  // Those of them that peers have handed to this node.
  std::size_t requests_of_peers() const { return requests_of_peers_; }
  // Connections to engines and peers that were opened so far.
  std::uint64_t connections_opened() const { return client_.connections_opened(); }
  Time Now() const;
  void Log(EventId event, std::string_view request_id, std::string_view members);

 private:
  // A stream may go on for as long as its request does; its events are limited one by one.
  static constexpr std::uint64_t kUnboundedBody = std::numeric_limits<std::uint64_t>::max();

  struct ActiveFlow {
    std::shared_ptr<http::Exchange> exchange;
    std::string request_id;
    Time arrived{};
    bool head_sent = false;
    bool first_event_sent = false;
    bool of_peer = false;           // Handed to this node by a peer.
    std::set<std::string> engines;  // Those that the request was sent to.
  };
  struct ActiveAttempt {
    serving::FlowId flow = 0;
    serving::AttemptMode mode = serving::AttemptMode::kWhole;
    std::string peer;  // For kForward, instead of the engine.
    std::string engine_id;
    serving::EngineKey engine;  // Its incarnation when the attempt started.
    Time sent_at{};
    std::string request_id;
    std::unique_ptr<http::Call> call;
    std::uint64_t connection = 0;          // Its number.
    std::int64_t expected_started_ms = 0;  // Of the engine's process; 0: any will do.
    http::ResponseHead head;
    bool head_seen = false;
    serving::ResponseFraming framing = serving::ResponseFraming::kLength;
    std::string body;
    bool streams = false;
    bool relaying = false;
    bool relays_events = false;  // The relayed body is an event stream; any other is relayed when it is complete.
    TrafficLocality locality = TrafficLocality::kZone;  // Of the engine.
    EventStreamParser events;
  };

  void HandleRequest(const std::shared_ptr<http::Exchange>& exchange,
                     const std::optional<serving::ForwardedRequest>& forwarded);
  void Perform(const serving::StartAttempt& action);
  void Perform(const serving::ForwardRequest& action);
  void Perform(const serving::CancelAttempt& action);
  void Perform(const serving::DropIdleConnections& action);
  void Perform(const serving::RelayResponse& action);
  void Perform(const serving::BeginRelay& action);
  void Perform(const serving::EndRelay& action);
  void Perform(const serving::SendLocalReply& action);
  void Perform(const serving::AbortResponse& action);
  void Perform(const serving::ReleaseKvCache& action);
  void Perform(const serving::ExecutionStarted& action);
  void Perform(const serving::ExtraArrivalCounted& action);
  void Perform(const serving::ProbeEngine& action);
  void Perform(const serving::CheckEngineAtPeers& action);
  void Perform(const serving::ReportCrashes& action);
  void Perform(const serving::ReportEngineStatements& action);
  void ReportToPeersSoon();
  void Perform(const serving::SendLimitMessages& action);
  void Perform(const serving::SendPermitMessages& action);
  void Perform(const serving::SendStreamMessages& action);
  void Perform(const serving::ResumptionDecided& action);
  void Perform(const serving::LogDecision& action);

  serving::EngineResponseHead DecodeResponse(const ActiveAttempt& attempt, const http::ResponseHead& head) const;
  // Marks the response if the request is a peer's.
  static void MarkForPeer(const ActiveFlow& flow, http::ResponseHead& head, serving::PeerReply reply);
  http::CallHandlers MakeHandlers(serving::AttemptId id);
  // Tells which call the response on the attempt's connection belongs to, and logs those of other calls.
  http::ResponseOwner OwnerOf(serving::AttemptId id, const http::ResponseHead& head);
  // Engines that have started again under their ids (gateway_identity.cc).
  http::IdentityCheck MakeIdentityCheck(const serving::StartAttempt& action);
  // The engine has said on the attempt's connection when its process started.
  void RecordIdentity(serving::AttemptId id, std::int64_t started_ms);
  // The attempt was not sent, since another process than expected serves the connection.
  void OnOtherProcess(serving::AttemptId id, std::int64_t started_ms);
  // Logs the connection of an attempt at an engine that the request was sent to before.
  void LogRepeatedCall(ActiveFlow& flow, const ActiveAttempt& attempt);
  // Passes on what the engine states about itself in a response; see EngineNoticeReceived.
  void DispatchNotice(const std::string& engine_id, const serving::EngineKey& engine, const http::ResponseHead& head,
                      std::optional<Time> sent_at);
  void OnHead(serving::AttemptId id, const http::ResponseHead& head);
  void OnBody(serving::AttemptId id, std::string_view bytes);
  void OnComplete(serving::AttemptId id);
  void OnFailure(serving::AttemptId id, http::CallFailure failure);
  void LogMalformedResponse(serving::AttemptId id, std::string_view cause);
  void FailAttempt(serving::AttemptId id, serving::AttemptFailure failure);
  // Whether the part of the response that has to be kept is longer than any sound one.
  static bool ExceedsLimit(const ActiveAttempt& attempt);
  void RelayEvents(serving::AttemptId id, ActiveAttempt& attempt, std::string_view bytes);
  static serving::ResponseProgress ProgressOf(const ActiveAttempt& attempt);
  void EndFlow(serving::FlowId id, int status);
  void ArmTimer();
  void ScheduleLogFlush();

  boost::asio::io_context& loop_;
  EngineProtocol protocol_;
  std::string node_name_;
  std::string fingerprint_key_;
  LogStream& log_;
  serving::ServingCore core_;
  http::Client client_;
  EngineProbe probe_;
  GatewayMetrics metrics_;
  TrafficMeter traffic_;
  BootTimer timer_;
  std::optional<Time> timer_at_;
  BootTimer flush_timer_;
  bool flush_scheduled_ = false;
  std::map<serving::FlowId, ActiveFlow> flows_;
  std::map<serving::AttemptId, ActiveAttempt> attempts_;
  std::map<std::uint64_t, std::unique_ptr<http::Call>> releases_;
  std::uint64_t last_release_ = 0;
  std::uint64_t last_identity_check_ = 0;
  serving::FlowId last_flow_ = 0;
  std::size_t requests_of_peers_ = 0;
};

// Wall clock time in milliseconds since the Unix epoch. It may jump: use Gateway::Now() to measure durations.
std::int64_t UnixMilliseconds();

}  // namespace saltquay::gateway
