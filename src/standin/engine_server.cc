#include "src/standin/engine_server.h"

#include <unistd.h>

#include <chrono>
#include <random>

#include <nlohmann/json.hpp>

#include "src/runtime/engine_protocol.h"

namespace saltquay {
namespace {

using Json = nlohmann::json;

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kRefused = 409;
constexpr unsigned kUnavailable = 503;
constexpr std::chrono::milliseconds kIdleWait{200};
constexpr int kCrashExitCode = 70;

Time Now() { return Time{std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch())}; }

BootId DrawBoot() {
  std::random_device device;
  return BootId{(static_cast<std::uint64_t>(device()) << 32) | device()};
}

void RespondFailure(const std::shared_ptr<HttpExchange>& exchange, AttemptFailure failure) {
  exchange->Respond(kRefused, {}, EncodeFailure(failure));
}

}  // namespace

EngineServer::EngineServer(const EngineServerOptions& options)
    : options_(options), model_(options.id, DrawBoot(), options.model) {}

absl::StatusOr<std::unique_ptr<EngineServer>> EngineServer::Start(const EngineServerOptions& options) {
  std::unique_ptr<EngineServer> server(new EngineServer(options));
  absl::StatusOr<std::unique_ptr<HttpServer>> http =
      HttpServer::Start(options.http, [raw = server.get()](const Exchange& exchange) { raw->Handle(exchange); });
  if (!http.ok()) return http.status();
  server->http_ = std::move(*http);
  server->thread_ = std::thread([raw = server.get()] { raw->Run(); });
  return server;
}

EngineServer::~EngineServer() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  if (thread_.joinable()) thread_.join();
  http_.reset();
}

void EngineServer::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    const std::optional<Time> next = model_.NextStepTime();
    const Duration wait = next.has_value() ? *next - Now() : Duration(kIdleWait);
    if (wait > Duration{0}) {
      changed_.wait_for(lock, wait);
      continue;
    }
    EngineOutput output;
    model_.Advance(Now(), &output);
    DeliverLocked(output);
  }
}

void EngineServer::DeliverLocked(const EngineOutput& output) {
  for (const AttemptMoment& started : output.started) starts_[started.attempt.key] += 1;
  for (const EngineFrame& frame : output.frames) {
    const auto entry = streams_.find(frame.attempt);
    if (entry == streams_.end()) continue;
    entry->second->Write(EncodeFrame(frame));
    if (frame.finish == FinishReason::kNone) continue;
    entry->second->EndStream();
    streams_.erase(entry);
  }
  for (const AttemptRefused& refused : output.refusals) {
    const auto entry = streams_.find(refused.attempt);
    if (entry == streams_.end()) continue;
    entry->second->EndStream();
    streams_.erase(entry);
  }
}

void EngineServer::Handle(const Exchange& exchange) {
  const std::string& path = exchange->request().path;
  if (path == "/faults") return HandleFaults(exchange);
  if (path == "/started") return HandleStarted(exchange);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (faults_.refuse) return exchange->Respond(kUnavailable, {}, "");
  }
  if (path == kEngineAttemptsPath) return HandleAttempt(exchange);
  if (path == kEngineResumePath) return HandleResume(exchange);
  if (path == kEngineCancelPath) return HandleCancel(exchange);
  if (path == kEngineExportPath) return HandleExport(exchange);
  if (path == kEngineStatePath) return HandleState(exchange);
  if (path == kEngineOrdersPath) return HandleOrder(exchange);
  exchange->Respond(kNotFound, {}, "");
}

void EngineServer::HandleAttempt(const Exchange& exchange) {
  absl::StatusOr<Attempt> attempt = DecodeAttempt(exchange->request().body);
  if (!attempt.ok()) return exchange->Respond(kBadRequest, {}, MessageOf(attempt.status()));
  int delay_ms = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    delay_ms = faults_.delay_ms;
  }
  if (delay_ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(delay_ms));
  if (attempt->mode == AttemptMode::kDecode) return ImportThenStart(exchange, *attempt);
  StartAttempt(exchange, *attempt);
}

// The other engine must still hold the cache; the model then takes the time
// that the transfer would.
void EngineServer::ImportThenStart(const Exchange& exchange, const Attempt& attempt) {
  HttpCall call;
  call.method = "POST";
  call.url = "http://" + attempt.import_address + kEngineExportPath;
  call.body = EncodeAttemptId(attempt.import_attempt);
  call.on_done = [this, exchange, attempt](HttpResult result, long status, const std::string&) {
    if (result != HttpResult::kAnswered || status != kOk) return RespondFailure(exchange, AttemptFailure::kRefused);
    StartAttempt(exchange, attempt);
  };
  client_.Begin(std::move(call));
}

void EngineServer::OpenStreamLocked(const Exchange& exchange, const AttemptId& attempt) {
  exchange->BeginStream(kOk, {{"Content-Type", "application/x-ndjson"}});
  streams_[attempt] = exchange;
}

void EngineServer::StartAttempt(const Exchange& exchange, const Attempt& attempt) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    EngineOutput output;
    model_.Start(Now(), attempt, &output);
    if (!output.refusals.empty()) return RespondFailure(exchange, output.refusals.front().failure);
    OpenStreamLocked(exchange, attempt.id);
    DeliverLocked(output);
  }
  changed_.notify_all();
}

void EngineServer::HandleResume(const Exchange& exchange) {
  const absl::StatusOr<ResumeRequest> request = DecodeResume(exchange->request().body);
  if (!request.ok()) return exchange->Respond(kBadRequest, {}, MessageOf(request.status()));
  const std::lock_guard<std::mutex> lock(mutex_);
  EngineOutput output;
  model_.Resume(Now(), request->boot, request->attempt, request->offset, &output);
  if (!output.refusals.empty()) return RespondFailure(exchange, output.refusals.front().failure);
  OpenStreamLocked(exchange, request->attempt);
  DeliverLocked(output);
}

void EngineServer::HandleCancel(const Exchange& exchange) {
  const absl::StatusOr<AttemptId> attempt = DecodeAttemptId(exchange->request().body);
  if (!attempt.ok()) return exchange->Respond(kBadRequest, {}, MessageOf(attempt.status()));
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    model_.Cancel(Now(), *attempt);
    const auto entry = streams_.find(*attempt);
    if (entry != streams_.end()) {
      entry->second->EndStream();
      streams_.erase(entry);
    }
  }
  exchange->Respond(kOk, {}, "{}");
}

void EngineServer::HandleExport(const Exchange& exchange) {
  const absl::StatusOr<AttemptId> attempt = DecodeAttemptId(exchange->request().body);
  if (!attempt.ok()) return exchange->Respond(kBadRequest, {}, MessageOf(attempt.status()));
  const std::lock_guard<std::mutex> lock(mutex_);
  exchange->Respond(model_.HasExport(*attempt) ? kOk : kNotFound, {}, "{}");
}

void EngineServer::HandleState(const Exchange& exchange) {
  const absl::StatusOr<StateRequest> request = DecodeStateRequest(exchange->request().body);
  if (!request.ok()) return exchange->Respond(kBadRequest, {}, MessageOf(request.status()));
  const std::lock_guard<std::mutex> lock(mutex_);
  exchange->Respond(kOk, {}, EncodeState(model_.ReadState(Now(), request->raise_fence, request->cache_events_after)));
}

void EngineServer::HandleOrder(const Exchange& exchange) {
  const absl::StatusOr<EngineOrder> order = DecodeOrder(exchange->request().body);
  if (!order.ok()) return exchange->Respond(kBadRequest, {}, MessageOf(order.status()));
  bool lose_answer = false;
  OrderVerdict verdict = OrderVerdict::kAccepted;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    EngineOutput output;
    verdict = model_.Order(Now(), *order, &output);
    DeliverLocked(output);
    lose_answer = faults_.lose_order_answers;
  }
  changed_.notify_all();
  if (lose_answer) return exchange->Respond(kUnavailable, {}, "");
  exchange->Respond(kOk, {}, EncodeVerdict(verdict));
}

void EngineServer::HandleFaults(const Exchange& exchange) {
  const Json body = Json::parse(exchange->request().body, nullptr, false);
  if (!body.is_object()) return exchange->Respond(kBadRequest, {}, "");
  if (body.value("crash", false)) _exit(kCrashExitCode);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    faults_.delay_ms = body.value("delay_ms", 0);
    faults_.refuse = body.value("refuse", false);
    faults_.lose_order_answers = body.value("lose_order_answers", false);
  }
  exchange->Respond(kOk, {}, "{}");
}

// Which keys truly began here and how often, for tests that check outcomes.
void EngineServer::HandleStarted(const Exchange& exchange) {
  Json started = Json::object();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [key, count] : starts_) started[key] = count;
  }
  exchange->Respond(kOk, {{"Content-Type", "application/json"}},
                    started.dump(-1, ' ', false, Json::error_handler_t::replace));
}

}  // namespace saltquay
