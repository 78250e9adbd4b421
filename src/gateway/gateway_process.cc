#include "src/gateway/gateway_process.h"

#include <malloc.h>

#include <algorithm>
#include <csignal>
#include <random>

#include <fmt/format.h>

#include "src/base/crash_reporter.h"

namespace saltquay::gateway {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
// Retry-After in seconds for requests refused by a stopping node. Other nodes are ready, so clients may retry at once.
constexpr std::string_view kRetryAfterStop = "0.05";
constexpr std::chrono::milliseconds kStopPollInterval{50};

std::uint64_t RandomSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

LogStreamOptions LogOptions(const GatewaySettings& settings) {
  LogStreamOptions options;
  options.process_name = settings.node_name;
  options.lines_per_second = settings.log_lines_per_second;
  return options;
}

replica::RelayedStoreOptions RelayOptions(const GatewaySettings& settings) {
  replica::RelayedStoreOptions options;
  options.self = {settings.node_name, settings.peer_listen, settings.zone, settings.link_mbps, false};
  options.regions = settings.parameters.regions;
  if (!settings.peer_listen.empty()) options.seeds = settings.peer_seeds;
  // At the first start of the whole system there is no client traffic yet: nodes wait to discover each other before
  // they list the store's objects. A restarted node has to serve clients again and lists immediately.
  constexpr std::chrono::milliseconds kFirstStartDelay{1000};
  if (settings.first_start && !settings.peer_listen.empty()) options.startup_peer_wait = kFirstStartDelay;
  return options;
}

void SendTextResponse(const std::shared_ptr<http::Exchange>& exchange, int status, std::string_view body) {
  http::ResponseHead head;
  head.status = status;
  exchange->Respond(head, body);
}

http::ServerLimits ServerLimitsFor(const serving::IngressLimits& limits) {
  // Tolerance for a client that sends its request just before the published timeout.
  constexpr std::chrono::milliseconds kMargin{500};
  http::ServerLimits server;
  server.parser.head_bytes = limits.head_bytes;
  server.parser.body_bytes = limits.body_bytes;
  server.head_timeout = std::chrono::duration_cast<std::chrono::milliseconds>(limits.head_timeout) + kMargin;
  server.idle_timeout = std::chrono::duration_cast<std::chrono::milliseconds>(limits.idle_timeout) + kMargin;
  return server;
}

// Requests of peers carry some fields of the nodes' own.
http::ServerLimits PeerServerLimitsFor(const serving::IngressLimits& limits) {
  constexpr std::uint32_t kForwardingHeadBytes = 8192;
  http::ServerLimits server;
  server.parser.head_bytes = std::max(server.parser.head_bytes, limits.head_bytes + kForwardingHeadBytes);
  server.parser.body_bytes = std::max(server.parser.body_bytes, limits.body_bytes);
  return server;
}

std::shared_ptr<http::ByteBudget> MakeBudget(int memory_mb) {
  constexpr std::size_t kMegabyte = 1024 * 1024;
  constexpr std::size_t kShare = 8;  // A body that grows takes up to three times its size for a moment.
  return std::make_shared<http::ByteBudget>(static_cast<std::size_t>(memory_mb) * kMegabyte / kShare);
}

// The members of a log line that say how old a node's copy of the store's objects is, and where it came from.
std::string Describe(const replica::ReplicaStatus& state) {
  const auto milliseconds = [](Duration duration) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  };
  return fmt::format(R"("upstream":"{}","hops":{},"age_ms":{},"response_ms":{},"changed_at":{},"peers_changed_at":{})",
                     EscapeJson(state.upstream.empty() ? "store" : state.upstream), state.hops, milliseconds(state.age),
                     milliseconds(state.response_time), state.changed_at, state.peer_changed_at);
}

}  // namespace

GatewayProcess::GatewayProcess(boost::asio::io_context& loop, const GatewaySettings& settings,
                               std::string settings_path, const EngineProtocol& protocol, RecordParsers codec,
                               ObjectStore& store, DutyApi* duty_api)
    : loop_(loop),
      settings_(settings),
      settings_path_(std::move(settings_path)),
      parsers_(std::move(codec)),
      compacting_store_(store, {parsers_.engine_kind, parsers_.config_kind, parsers_.config_name},
                        parsers_.parse_engine),
      store_(loop, compacting_store_, RelayOptions(settings)),
      relay_(loop, store_),
      log_(LogOptions(settings)),
      gateway_(loop, settings, protocol, log_, RandomSeed()),
      coordinator_(loop, settings, protocol, gateway_, store_, duty_api, RandomSeed()),
      engine_checks_(loop, gateway_),
      peer_requests_(gateway_, engine_checks_,
                     [this](const std::string& address) { return coordinator_.IsPeerAddress(address); }),
      budget_(MakeBudget(settings.memory_mb)),
      signals_(loop, SIGTERM, SIGINT, SIGHUP),
      stop_timer_(loop) {
  budget_->on_refusal = [this](std::string_view kind, std::size_t bytes) {
    gateway_.Log(EventId::kHeldBytesGivenUp, "",
                 fmt::format(R"("held":"{}","bytes":{},"total":{})", kind, bytes, budget_->held()));
  };
  gateway_.on_check_engine_at_peers = [this](const serving::CheckEngineAtPeers& action) { engine_checks_.Ask(action); };
}

GatewayProcess::~GatewayProcess() { SetCrashLog(nullptr); }

absl::Status GatewayProcess::Start() {
  std::signal(SIGPIPE, SIG_IGN);
  SetCrashLog(&log_);
  // A fixed threshold: buffers of long messages go back to the system when they are freed, instead of staying in a heap
  // of many pieces.
  constexpr int kMappedBytes = 128 * 1024;
  mallopt(M_MMAP_THRESHOLD, kMappedBytes);
  absl::Status listening = Listen();
  if (!listening.ok()) {
    gateway_.Log(EventId::kListenFailed, "", fmt::format(R"("cause":"{}")", EscapeJson(MessageOf(listening))));
    log_.Flush();
    return listening;
  }
  gateway_.Log(EventId::kNodeStarted, "",
               fmt::format(R"("clients":"{}","zone":"{}","store":"{}")", settings_.client_listen, settings_.zone,
                           settings_.store_address));
  WaitForSignal();
  WatchStore();
  return coordinator_.Start();
}

absl::Status GatewayProcess::Listen() {
  const auto listen = [&](const std::string& address, http::Server::Handler handler,
                          std::unique_ptr<http::Server>& server) -> absl::Status {
    auto listening = http::Server::Listen(loop_, address, http::ServerLimits{}, std::move(handler));
    if (!listening.ok()) return listening.status();
    server = std::move(*listening);
    server->set_budget(budget_);
    return absl::OkStatus();
  };
  absl::Status status = listen(
      settings_.client_listen,
      [this](const std::shared_ptr<http::Exchange>& exchange) { HandleClientRequest(exchange); }, client_server_);
  if (!status.ok()) return status;
  status = listen(
      settings_.ready_listen, [this](const std::shared_ptr<http::Exchange>& exchange) { HandleReadyRequest(exchange); },
      ready_server_);
  relay_.request_filter = [this](const std::shared_ptr<http::Exchange>& exchange) {
    return peer_requests_.Handle(exchange);
  };
  if (status.ok() && !settings_.peer_listen.empty()) {
    status = relay_.listen(settings_.peer_listen);
    if (status.ok()) relay_.set_budget(budget_);
  }
  if (!status.ok() || settings_.metrics_listen.empty()) return status;
  return listen(
      settings_.metrics_listen,
      [this](const std::shared_ptr<http::Exchange>& exchange) { HandleMetricsRequest(exchange); }, metrics_server_);
}

void GatewayProcess::ObserveStore() {
  store_.on_record_update = [this](const std::string& kind) {
    relay_.on_record_update(kind);
    if (kind == parsers_.engine_kind) gateway_.Dispatch(serving::RecordsConfirmed{store_.confirmed(kind)});
  };
  store_.on_upstream_change = [this](const std::string& kind, const std::string& node, const std::string& cause) {
    gateway_.Log(EventId::kRecordUpstream, "",
                 fmt::format(R"("kind":"{}","node":"{}","cause":"{}")", kind, EscapeJson(node), EscapeJson(cause)));
  };
  store_.on_freshness_change = [this](const std::string& kind, const replica::ReplicaStatus& state) {
    OnFreshnessChanged(kind, state);
  };
  store_.on_lag = [this](const std::string& kind, const replica::ReplicaStatus& state) {
    gateway_.Log(EventId::kRecordsBehind, "",
                 fmt::format(R"("kind":"{}","revision":{},{})", kind, state.revision, Describe(state)));
  };
  store_.on_watch_response = [this](const std::string&, Duration delay) {
    gateway_.metrics().ObserveWatchDelay(ToSeconds(delay));
  };
  store_.on_store_call = [this](const std::string& kind, std::string_view call, std::string_view cause) {
    gateway_.metrics().CountStoreCall(kind, std::string(call), std::string(cause));
  };
  store_.on_peer_response = [this](const serving::PeerNode& peer, std::size_t bytes) {
    gateway_.traffic().Count(TrafficKind::kRecords, peer.zone, bytes);
  };
}

void GatewayProcess::WatchStore() {
  ObserveStore();
  WatcherHandlers config;
  config.on_list = [this](const ObjectList& list) {
    for (const StoredObject& object : list.items) OnConfigObject(object);
  };
  config.on_event = [this](const ObjectEvent& event) {
    if (!event.gone) OnConfigObject(event.object);
  };
  config.on_connectivity_changed = [this](bool connected, const std::string& cause) {
    OnConnectivityChanged(parsers_.config_kind, connected, cause);
  };
  WatcherHandlers engines;
  engines.on_list = [this](const ObjectList& list) { OnEngineList(list); };
  engines.on_event = [this](const ObjectEvent& event) { OnEngineEvent(event); };
  engines.on_events_applied = [this] { gateway_.Dispatch(serving::EngineChangesApplied{}); };
  engines.on_connectivity_changed = [this](bool connected, const std::string& cause) {
    OnConnectivityChanged(parsers_.engine_kind, connected, cause);
  };
  config_watcher_ = std::make_unique<CollectionWatcher>(loop_, store_, parsers_.config_kind, WatcherTimings{},
                                                        RandomSeed(), std::move(config));
  engine_watcher_ = std::make_unique<CollectionWatcher>(loop_, store_, parsers_.engine_kind, WatcherTimings{},
                                                        RandomSeed(), std::move(engines));
  config_watcher_->Start();
  engine_watcher_->Start();
}

void GatewayProcess::OnConfigObject(const StoredObject& object) {
  if (object.name != parsers_.config_name) return;
  const ScopedActivity activity("read record", parsers_.config_kind, object.name, object.revision,
                                object.content.size());
  absl::StatusOr<serving::ServingConfig> config = parsers_.parse_config(object);
  if (!config.ok()) {
    gateway_.Log(EventId::kConfigRefused, "",
                 fmt::format(R"("revision":{},"cause":"{}")", object.revision,
                             EscapeJsonPrefix(MessageOf(config.status()), kMaxLoggedBytes)));
    return;
  }
  if (!gateway_.core().config() || config->version > gateway_.core().version()) LogConfigReceived(*config, object);
  if (client_server_ != nullptr) client_server_->set_limits(ServerLimitsFor(config->limits));
  if (!settings_.peer_listen.empty()) relay_.set_limits(PeerServerLimitsFor(config->limits));
  gateway_.Dispatch(serving::ConfigurationChanged{std::move(*config)});
}

void GatewayProcess::LogConfigReceived(const serving::ServingConfig& config, const StoredObject& object) {
  const replica::ReplicaStatus state = store_.status(parsers_.config_kind);
  gateway_.Log(EventId::kConfigReceived, "",
               fmt::format(R"("version":{},"revision":{},{})", config.version, object.revision, Describe(state)));
}

void GatewayProcess::OnEngineList(const ObjectList& list) {
  serving::EnginesReplaced replaced;
  for (const StoredObject& object : list.items) {
    if (std::optional<serving::EngineRecord> record = ParseEngineRecord(object)) replaced.records.push_back(*record);
  }
  gateway_.Dispatch(replaced);
}

void GatewayProcess::OnEngineEvent(const ObjectEvent& event) {
  std::optional<serving::EngineRecord> record;
  if (!event.gone) record = ParseEngineRecord(event.object);
  // An engine whose record does not parse is removed; the next valid record adds it again.
  if (!record) return gateway_.Dispatch(serving::EngineRemoved{event.object.name});
  gateway_.Dispatch(serving::EngineChanged{*record});
}

std::optional<serving::EngineRecord> GatewayProcess::ParseEngineRecord(const StoredObject& object) {
  const ScopedActivity activity("read record", parsers_.engine_kind, object.name, object.revision,
                                object.content.size());
  absl::StatusOr<serving::EngineRecord> record = compacting_store_.ParseEngine(object);
  if (record.ok()) return std::move(*record);
  if (!refused_records_.Add(object)) return std::nullopt;
  gateway_.metrics().CountRefusedRecord(parsers_.engine_kind, std::string(RefusalCause(object, record.status())));
  gateway_.Log(EventId::kEngineRecordRefused, "",
               fmt::format(R"("engine":"{}","revision":{},"bytes":{},"cause":"{}")",
                           EscapeJsonPrefix(object.name, kMaxLoggedBytes), object.revision, object.content.size(),
                           EscapeJsonPrefix(MessageOf(record.status()), kMaxLoggedBytes)));
  return std::nullopt;
}

void GatewayProcess::OnConnectivityChanged(const std::string& kind, bool connected, const std::string& cause) {
  gateway_.Log(connected ? EventId::kStoreRecovered : EventId::kStoreUnavailable, "",
               fmt::format(R"("kind":"{}","cause":"{}")", kind, EscapeJson(cause)));
}

// Store connectivity is derived from the freshness of the records, not from single responses: a peer's may be stale.
void GatewayProcess::OnFreshnessChanged(const std::string& kind, const replica::ReplicaStatus& state) {
  gateway_.Log(state.fresh ? EventId::kRecordsFresh : EventId::kRecordsStale, "",
               fmt::format(R"("kind":"{}","revision":{},{})", kind, state.revision, Describe(state)));
  if (kind != parsers_.config_kind) return;
  gateway_.Dispatch(serving::StoreConnectivityChanged{state.fresh});
  coordinator_.set_store_connected(state.fresh);
}

void GatewayProcess::HandleReadyRequest(const std::shared_ptr<http::Exchange>& exchange) {
  const bool ready = gateway_.core().ready() && !stopping_;
  if (ready != last_ready_) {
    last_ready_ = ready;
    if (ready) gateway_.Log(EventId::kNodeReady, "", fmt::format(R"("version":{})", gateway_.core().version()));
  }
  SendTextResponse(exchange, ready ? kOk : kUnavailable, ready ? "ready\n" : "not ready\n");
}

void GatewayProcess::HandleMetricsRequest(const std::shared_ptr<http::Exchange>& exchange) {
  if (http::PathOf(exchange->head.target) != "/metrics") return SendTextResponse(exchange, kNotFound, "see /metrics\n");
  gateway_.metrics().SetState(static_cast<double>(gateway_.core().version()),
                              static_cast<double>(gateway_.core().engines().all().size()),
                              static_cast<double>(gateway_.open_requests()), static_cast<double>(log_.dropped()));
  const serving::CrashLedger& crashes = gateway_.core().crashes();
  const auto count = [&](serving::CrashSubjectKind kind) {
    return static_cast<double>(crashes.QuarantinedCount(kind, gateway_.Now()));
  };
  gateway_.metrics().SetQuarantineCounts(count(serving::CrashSubjectKind::kRequest),
                                         count(serving::CrashSubjectKind::kPromptPart),
                                         static_cast<double>(crashes.size()));
  gateway_.metrics().SetLimits(gateway_.core().LimitStatus(gateway_.Now()));
  const std::vector<serving::EngineLimitMark> marks = gateway_.core().EngineLimitMarks(gateway_.Now());
  const auto limited = std::count_if(
      marks.begin(), marks.end(), [](const serving::EngineLimitMark& mark) { return mark.requests_per_s.has_value(); });
  gateway_.metrics().SetUnreachableEngines(static_cast<double>(gateway_.core().unreachable_engines()));
  gateway_.metrics().SetLimitedEngines(static_cast<double>(limited));
  gateway_.metrics().SetTraffic(gateway_.traffic());
  for (const std::string& kind : {parsers_.config_kind, parsers_.engine_kind}) {
    gateway_.metrics().SetRecordAge(kind, ToSeconds(store_.status(kind).age));
  }
  gateway_.metrics().SetHeldBytes(static_cast<double>(budget_->held()), static_cast<double>(budget_->refusals()));
  gateway_.metrics().SetConnectionsOpened(static_cast<double>(gateway_.connections_opened()));
  http::ResponseHead head;
  head.status = kOk;
  head.fields.Add("Content-Type", "text/plain; version=0.0.4");
  exchange->Respond(head, gateway_.metrics().Text());
}

void GatewayProcess::WaitForSignal() {
  signals_.async_wait([this](boost::system::error_code error, int signal_number) {
    if (error) return;
    if (signal_number == SIGHUP) {
      Reload();
    } else if (!stopping_) {
      StartStopping();
    }
    WaitForSignal();
  });
}

void GatewayProcess::Reload() {
  if (settings_path_.empty()) return;
  const absl::StatusOr<GatewaySettings> settings = LoadGatewaySettings(settings_path_);
  if (!settings.ok()) {
    gateway_.Log(EventId::kSettingsRefused, "",
                 fmt::format(R"("cause":"{}")", EscapeJson(MessageOf(settings.status()))));
    return;
  }
  settings_.grace = settings->grace;
  const bool restart = settings->client_listen != settings_.client_listen || settings->zone != settings_.zone ||
                       settings->store_address != settings_.store_address;
  gateway_.Log(EventId::kSettingsReloaded, "",
               fmt::format(R"("in_force":"grace","needs_restart":{})", restart ? "true" : "false"));
}

void GatewayProcess::StartStopping() {
  stopping_ = true;
  stop_began_ = BootClock::now();
  gateway_.Log(EventId::kNodeStopping, "", fmt::format(R"("open_requests":{})", gateway_.open_requests()));
  client_server_->StartClosing();
  peer_requests_.StartStopping();
  coordinator_.StartStopping();
  ContinueStopping();
}

std::chrono::milliseconds GatewayProcess::TimeSinceStop() const {
  const auto elapsed = BootClock::now() - stop_began_;
  return std::chrono::duration_cast<std::chrono::milliseconds>(elapsed);
}

void GatewayProcess::HandleClientRequest(const std::shared_ptr<http::Exchange>& exchange) {
  if (!stopping_ || StopSchedule(settings_.grace).ServesRequests(TimeSinceStop())) return gateway_.Handle(exchange);
  gateway_.RefuseUndispatched(exchange, "this node is stopping", kRetryAfterStop);
}

void GatewayProcess::ContinueStopping() {
  const StopSchedule schedule(settings_.grace);
  const std::chrono::milliseconds elapsed = TimeSinceStop();
  const bool accepting_ended = !schedule.AcceptsConnections(elapsed);
  if (accepting_ended) client_server_->StopAccepting();
  if (!schedule.Dispatches(elapsed)) gateway_.Dispatch(serving::NodeStopping{serving::StopPhase::kDispatchEnded});
  if (schedule.AnswersRequests(elapsed)) gateway_.Dispatch(serving::NodeStopping{serving::StopPhase::kExiting});
  const bool finished = accepting_ended && gateway_.open_requests() == 0 && client_server_->open_connections() == 0;
  if (finished || schedule.MustExit(elapsed)) {
    gateway_.Log(EventId::kNodeStopped, "", fmt::format(R"("open_requests":{})", gateway_.open_requests()));
    log_.Flush();
    loop_.stop();
    return;
  }
  stop_timer_.expires_after(kStopPollInterval);
  stop_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) ContinueStopping();
  });
}

void GatewayProcess::Run() { loop_.run(); }

}  // namespace saltquay::gateway
