// The gateway: drives the serving core over HTTP on one event loop.
//
// It holds the bytes (client exchanges, engine calls, buffered answers) and
// carries out what the core decides; it decides nothing itself.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/base/log_stream.h"
#include "src/core/serving/serving_core.h"
#include "src/gateway/engine_probe.h"
#include "src/gateway/engine_protocol.h"
#include "src/gateway/event_splitter.h"
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

  // Feeds the core an event and carries out its actions.
  void Dispatch(const serving::Event& event);
  void Handle(const std::shared_ptr<http::Exchange>& exchange);
  // Refuses a request of which the core knows nothing; it has not run. `retry_after`: seconds.
  void RefuseUndispatched(const std::shared_ptr<http::Exchange>& exchange, std::string_view cause,
                          std::string_view retry_after);

  // Runs when a tenant's request has begun to run.
  std::function<void(const serving::ExecutionStarted&)> on_run_began;
  // Sends messages of tenants' limits to other nodes.
  std::function<void(const serving::SendLimitMessages&)> on_send_limit_messages;
  // Runs when the peers are to be told of requests under which engines ended.
  std::function<void()> on_tell_crashes;

  serving::ServingCore& core() { return core_; }
  GatewayMetrics& metrics() { return metrics_; }
  TrafficMeter& traffic() { return traffic_; }
  std::size_t open_requests() const { return flows_.size(); }
  Time Now() const;
  void Log(EventId event, std::string_view request_id, std::string_view members);

 private:
  struct ActiveFlow {
    std::shared_ptr<http::Exchange> exchange;
    std::string request_id;
    Time arrived{};
    bool head_sent = false;
    bool first_event_sent = false;
  };
  struct ActiveAttempt {
    serving::FlowId flow = 0;
    serving::AttemptMode mode = serving::AttemptMode::kWhole;
    std::string request_id;
    std::unique_ptr<http::Call> call;
    http::ResponseHead head;
    std::string body;
    bool streams = false;
    bool relays = false;
    TrafficLocality reach = TrafficLocality::kZone;  // Of its engine.
    EventSplitter events;
  };

  void Carry(const serving::StartAttempt& action);
  void Carry(const serving::CancelAttempt& action);
  void Carry(const serving::DropIdleConnections& action);
  void Carry(const serving::RelayResponse& action);
  void Carry(const serving::BeginRelay& action);
  void Carry(const serving::EndRelay& action);
  void Carry(const serving::SendLocalReply& action);
  void Carry(const serving::AbortResponse& action);
  void Carry(const serving::ReleaseKvCache& action);
  void Carry(const serving::ExecutionStarted& action);
  void Carry(const serving::ExtraArrivalCounted& action);
  void Carry(const serving::ProbeEngine& action);
  void Carry(const serving::ReportCrashes& action);
  void Carry(const serving::SendLimitMessages& action);
  void Carry(const serving::LogDecision& action);

  http::CallHandlers MakeHandlers(serving::AttemptId id);
  void OnHead(serving::AttemptId id, const http::ResponseHead& head);
  void OnBody(serving::AttemptId id, std::string_view bytes);
  void OnComplete(serving::AttemptId id);
  void OnFailure(serving::AttemptId id, http::CallFailure failure);
  void RelayEvents(serving::AttemptId id, ActiveAttempt& attempt, std::string_view bytes);
  void EndFlow(serving::FlowId id, int status);
  void ArmTimer();
  void ScheduleFlush();

  boost::asio::io_context& loop_;
  EngineProtocol protocol_;
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
  serving::FlowId last_flow_ = 0;
};

// Milliseconds of the time of day, for log lines only.
std::int64_t UnixMilliseconds();

}  // namespace saltquay::gateway
