#include "src/gateway/gateway.h"

#include <algorithm>

#include <fmt/format.h>
#include <boost/asio/post.hpp>

#include "src/base/crash_reporter.h"
#include "src/gateway/request_fingerprint.h"
#include "src/gateway/response_end.h"

namespace saltquay::gateway {
namespace {

constexpr std::chrono::milliseconds kFlushInterval{20};
constexpr std::chrono::milliseconds kReleaseConnectTimeout{200};

std::chrono::milliseconds ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

// Connection pool key "address#engine": a kept-alive connection is never reused for another engine at the same address.
std::string PoolOf(const std::string& address, const std::string& engine) { return address + "#" + engine; }

}  // namespace

std::int64_t UnixMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

Gateway::Gateway(boost::asio::io_context& loop, const GatewaySettings& settings, EngineProtocol protocol,
                 LogStream& log, std::uint64_t seed)
    : loop_(loop),
      protocol_(std::move(protocol)),
      node_name_(settings.node_name),
      fingerprint_key_(settings.fingerprint_key),
      log_(log),
      core_(settings.parameters, settings.zone, seed),
      client_(loop),
      probe_(loop),
      metrics_(settings.node_name),
      traffic_(core_.selector().topology()),
      timer_(loop),
      flush_timer_(loop) {
  const limits::LimiterNode self{settings.node_name, settings.peer_listen, settings.zone, settings.link_mbps};
  const auto incarnation = static_cast<std::uint64_t>(UnixMilliseconds());
  const bool alone = settings.peer_listen.empty();
  if (settings.first_start) {
    core_.BeginFirstStart();
  } else {
    core_.BeginAfterRestart(Now());
  }
  core_.set_peer_address(settings.peer_listen);
  core_.set_engine_permits(std::make_unique<limits::EnginePermits>(self, incarnation, alone, Now()));
  core_.set_limiter(limits::make_distributed_limiter(self, incarnation, alone, settings.limit_tolerance, Now()));
}

Gateway::~Gateway() = default;

Time Gateway::Now() const { return BootNow(); }

void Gateway::Log(EventId event, std::string_view request_id, std::string_view members) {
  log_.Write(UnixMilliseconds(), event, request_id, members);
  ScheduleLogFlush();
}

void Gateway::ScheduleLogFlush() {
  if (flush_scheduled_) return;
  flush_scheduled_ = true;
  flush_timer_.expires_after(kFlushInterval);
  flush_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    flush_scheduled_ = false;
    log_.Flush();
    if (!log_.empty()) ScheduleLogFlush();
  });
}

void Gateway::Dispatch(const serving::Event& event) {
  std::vector<serving::Action> actions;
  SetCrashOpenRequests(flows_.size());
  core_.OnEvent(Now(), event, actions);
  for (const serving::Action& action : actions) {
    std::visit([this](const auto& typed) { Perform(typed); }, action);
  }
  ArmTimer();
}

void Gateway::ArmTimer() {
  const std::optional<Time> at = core_.next_deadline();
  if (at == timer_at_) return;
  timer_at_ = at;
  if (!at) {
    timer_.cancel();
    return;
  }
  timer_.expires_after(std::max(Duration(0), *at - Now()));
  timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    timer_at_.reset();
    Dispatch(serving::TimerFired{});
  });
}

void Gateway::HandleRequest(const std::shared_ptr<http::Exchange>& exchange,
                            const std::optional<serving::ForwardedRequest>& forwarded) {
  const serving::FlowId id = ++last_flow_;
  serving::RequestArrived arrived;
  arrived.flow = id;
  arrived.metadata = protocol_.DecodeRequest(exchange->head);
  arrived.metadata.fingerprint = FingerprintRequest(exchange->head, exchange->body, fingerprint_key_);
  if (arrived.metadata.prompt) FingerprintPromptParts(arrived.metadata.prompt->parts, fingerprint_key_);
  arrived.metadata.forwarded = forwarded;
  const ScopedActivity activity("handle request", "request", arrived.metadata.request_id, 0, exchange->body.size());
  flows_[id] = ActiveFlow{exchange, arrived.metadata.request_id, Now(), false, false, forwarded.has_value(), {}};
  exchange->on_client_left = [this, id, of_peer = forwarded.has_value()] {
    if (flows_.erase(id) == 0) return;
    if (of_peer) --requests_of_peers_;
    Dispatch(serving::ClientDisconnected{id});
  };
  Dispatch(arrived);
}

void Gateway::RefuseUndispatched(const std::shared_ptr<http::Exchange>& exchange, std::string_view cause,
                                 std::string_view retry_after) {
  constexpr int kUnavailable = 503;
  Log(EventId::kRequestRefused, protocol_.DecodeRequest(exchange->head).request_id,
      fmt::format(R"("status":{},"cause":"{}","held_ms":0,"tries":0)", kUnavailable, cause));
  metrics_.CountRequest(kUnavailable);
  http::ResponseHead head;
  head.status = kUnavailable;
  head.fields.Add("Retry-After", std::string(retry_after));
  exchange->Respond(head, "");
}

void Gateway::Perform(const serving::StartAttempt& action) {
  const auto flow = flows_.find(action.flow);
  const absl::StatusOr<http::Endpoint> endpoint = http::ParseEndpoint(action.address);
  ActiveAttempt& attempt = attempts_[action.attempt];
  attempt.flow = action.flow;
  attempt.mode = action.mode;
  attempt.engine_id = action.engine_id;
  attempt.sent_at = Now();
  attempt.streams = action.streams && action.mode != serving::AttemptMode::kPrefill;
  if (flow == flows_.end() || !endpoint.ok()) {
    boost::asio::post(loop_, [this, id = action.attempt] { OnFailure(id, http::CallFailure::kNotSent); });
    return;
  }
  attempt.request_id = flow->second.request_id;
  const http::Exchange& exchange = *flow->second.exchange;
  http::CallOptions options;
  options.connect_timeout = ToMilliseconds(action.connect_timeout);
  options.head_request = exchange.head.method == "HEAD";
  options.on_new_connection = action.on_new_connection;
  options.call_id = attempt.request_id;
  options.max_body_bytes = kUnboundedBody;  // See OnBody().
  attempt.expected_started_ms = action.process_started_ms.value_or(0);
  if (action.process_started_ms) options.identity_check = MakeIdentityCheck(action);
  std::string bytes = http::SerializeRequest(protocol_.MakeRequest(exchange.head, action), exchange.body);
  if (const serving::EngineState* engine = core_.engines().Find(action.engine_id)) {
    attempt.locality = traffic_.LocalityOf(engine->record.zone);
    attempt.engine = engine->key;
  }
  traffic_.Count(TrafficKind::kRequest, attempt.locality, bytes.size());
  attempt.call = client_.Start(*endpoint, PoolOf(action.address, action.engine_id), std::move(bytes), options,
                               MakeHandlers(action.attempt));
  attempt.connection = attempt.call->connection().number;
  metrics_.CountPassedOverConnections(attempt.call->connection().passed_over);
  LogRepeatedCall(flow->second, attempt);
}

void Gateway::LogRepeatedCall(ActiveFlow& flow, const ActiveAttempt& attempt) {
  if (flow.engines.insert(attempt.engine_id).second) return;
  const http::CallConnection& connection = attempt.call->connection();
  Log(EventId::kAttemptConnection, attempt.request_id,
      fmt::format(R"("engine":"{}","connection":{},"kept":{},"passed_over":{})", attempt.engine_id, connection.number,
                  connection.kept, connection.passed_over));
}

void Gateway::Perform(const serving::CancelAttempt& action) { attempts_.erase(action.attempt); }

void Gateway::Perform(const serving::DropIdleConnections& action) {
  client_.ForgetPool(PoolOf(action.address, action.engine_id));
}

void Gateway::Perform(const serving::RelayResponse& action) {
  const auto attempt = attempts_.find(action.attempt);
  const auto flow = flows_.find(action.flow);
  if (attempt == attempts_.end() || flow == flows_.end()) return;
  MarkForPeer(flow->second, attempt->second.head, serving::PeerReply::kNone);
  flow->second.exchange->Respond(attempt->second.head, attempt->second.body);
  EndFlow(action.flow, attempt->second.head.status);
}

void Gateway::Perform(const serving::BeginRelay& action) {
  const auto attempt = attempts_.find(action.attempt);
  const auto flow = flows_.find(action.flow);
  if (attempt == attempts_.end() || flow == flows_.end()) return;
  attempt->second.relaying = true;
  const bool has_body = flow->second.exchange->head.method != "HEAD";
  attempt->second.relays_events = has_body && IsEventStream(attempt->second.head);
  MarkForPeer(flow->second, attempt->second.head, serving::PeerReply::kNone);
  if (!flow->second.head_sent) flow->second.exchange->BeginStream(attempt->second.head);
  flow->second.head_sent = true;
}

void Gateway::Perform(const serving::EndRelay& action) {
  const auto flow = flows_.find(action.flow);
  if (flow == flows_.end()) return;
  flow->second.exchange->EndStream();
  EndFlow(action.flow, 200);
}

void Gateway::Perform(const serving::SendLocalReply& action) {
  const auto flow = flows_.find(action.flow);
  if (flow == flows_.end()) return;
  http::ResponseHead head;
  head.status = action.status;
  constexpr int kUnauthorized = 401;
  if (action.status == kUnauthorized) head.fields.Add("WWW-Authenticate", "ApiKey");
  if (action.retry_after) {
    head.fields.Add("Retry-After", fmt::format("{:.2f}", ToSeconds(*action.retry_after)));
  }
  const serving::PeerReply refusal = action.elsewhere ? serving::PeerReply::kElsewhere : serving::PeerReply::kRefused;
  MarkForPeer(flow->second, head, action.retry_after ? refusal : serving::PeerReply::kFailed);
  flow->second.exchange->Respond(head, "");
  EndFlow(action.flow, action.status);
}

void Gateway::Perform(const serving::AbortResponse& action) {
  const auto flow = flows_.find(action.flow);
  if (flow == flows_.end()) return;
  flow->second.exchange->Abort();
  metrics_.CountAbortedStream();
  EndFlow(action.flow, 0);
}

void Gateway::Perform(const serving::ReleaseKvCache& action) {
  const absl::StatusOr<http::Endpoint> endpoint = http::ParseEndpoint(action.kv_cache_source.address);
  if (!endpoint.ok()) return;
  const std::uint64_t id = ++last_release_;
  const std::string call_id = fmt::format("{}-release-{}", node_name_, id);
  const auto finish = [this, id] { releases_.erase(id); };
  http::CallHandlers handlers;
  const serving::EngineState* engine = core_.engines().Find(action.kv_cache_source.engine_id);
  if (engine != nullptr) {
    handlers.on_head = [this, engine_id = engine->record.id, key = engine->key](const http::ResponseHead& head) {
      DispatchNotice(engine_id, key, head, std::nullopt);
    };
  }
  handlers.owner_of = [this, call_id](const http::ResponseHead& head) { return protocol_.OwnerOf(head, call_id); };
  handlers.on_complete = finish;
  handlers.on_failure = [finish](http::CallFailure /*failure*/) { finish(); };
  http::CallOptions options;
  options.connect_timeout = kReleaseConnectTimeout;
  options.call_id = call_id;
  releases_[id] = client_.Start(*endpoint, PoolOf(action.kv_cache_source.address, action.kv_cache_source.engine_id),
                                http::SerializeRequest(protocol_.MakeKvRelease(action.kv_cache_source, call_id), ""),
                                options, handlers);
}

void Gateway::Perform(const serving::ExecutionStarted& action) {
  if (on_execution_started) on_execution_started(action);
}

void Gateway::Perform(const serving::ExtraArrivalCounted& action) {
  metrics_.CountExtraArrival(action.service, std::string(serving::NameOf(action.cause)));
}

void Gateway::Perform(const serving::ProbeEngine& action) {
  probe_.Check(action.address, [this, id = action.engine_id](serving::EngineProbeOutcome outcome) {
    Dispatch(serving::EngineProbed{id, outcome});
  });
}

void Gateway::Perform(const serving::CheckEngineAtPeers& action) {
  if (on_check_engine_at_peers) on_check_engine_at_peers(action);
}

void Gateway::Perform(const serving::ReportCrashes& /*action*/) { ReportToPeersSoon(); }

void Gateway::Perform(const serving::ReportEngineStatements& /*action*/) { ReportToPeersSoon(); }

// Posted rather than called directly: the reports read the core's state, and the core is still processing an event.
void Gateway::ReportToPeersSoon() {
  boost::asio::post(loop_, [this] {
    if (on_report_to_peers) on_report_to_peers();
  });
}

void Gateway::Perform(const serving::SendLimitMessages& action) {
  if (on_send_limit_messages) on_send_limit_messages(action);
}

void Gateway::Perform(const serving::SendPermitMessages& action) {
  if (on_send_permit_messages) on_send_permit_messages(action);
}

void Gateway::Perform(const serving::SendStreamMessages& action) {
  if (on_send_stream_messages) on_send_stream_messages(action);
}

void Gateway::Perform(const serving::ResumptionDecided& action) { metrics_.CountResumption(action.outcome); }

void Gateway::Perform(const serving::LogDecision& action) {
  if (action.event == EventId::kEngineEnded) metrics_.CountEngineEnd();
  Log(action.event, action.request_id, action.details);
}

void Gateway::EndFlow(serving::FlowId id, int status) {
  const auto flow = flows_.find(id);
  if (flow == flows_.end()) return;
  if (flow->second.of_peer) --requests_of_peers_;
  metrics_.CountRequest(status);
  metrics_.ObserveResponse(ToSeconds(Now() - flow->second.arrived));
  // The on_client_left handler may be executing now and must not be destroyed before this call returns.
  boost::asio::post(loop_, [exchange = std::move(flow->second.exchange)] { exchange->on_client_left = nullptr; });
  flows_.erase(flow);
}

}  // namespace saltquay::gateway
