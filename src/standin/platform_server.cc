#include "src/standin/platform_server.h"

#include <chrono>
#include <thread>

#include <nlohmann/json.hpp>

#include "src/core/machine_list.h"
#include "src/runtime/platform_protocol.h"

namespace saltquay {
namespace {

using Json = nlohmann::json;

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kServerError = 500;
constexpr unsigned kUnavailable = 503;

}  // namespace

absl::StatusOr<std::unique_ptr<PlatformServer>> PlatformServer::Start(const HttpServerOptions& options,
                                                                      const std::vector<Machine>& machines) {
  auto server = std::make_unique<PlatformServer>();
  for (const Machine& machine : machines) server->store_.PutMachine(machine);
  absl::StatusOr<std::unique_ptr<HttpServer>> http =
      HttpServer::Start(options, [raw = server.get()](const Exchange& exchange) { raw->Handle(exchange); });
  if (!http.ok()) return http.status();
  server->http_ = std::move(*http);
  return server;
}

void PlatformServer::Handle(const Exchange& exchange) {
  const std::string& path = exchange->request().path;
  if (path == "/faults") return HandleFaults(exchange);
  PlatformFaults faults;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    faults = faults_;
  }
  if (faults.delay_ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(faults.delay_ms));
  if (faults.refuse) return exchange->Respond(kUnavailable, {}, "");
  if (path.rfind(kPlatformObjectsPath, 0) == 0) return HandleObject(exchange, faults);
  if (path == kPlatformMachinesPath) return HandleMachines(exchange);
  exchange->Respond(kNotFound, {}, "");
}

void PlatformServer::HandleObject(const Exchange& exchange, const PlatformFaults& faults) {
  const HttpRequest& request = exchange->request();
  const std::string key = request.path.substr(sizeof(kPlatformObjectsPath) - 1);
  const std::lock_guard<std::mutex> lock(mutex_);
  if (request.method == "GET") return exchange->Respond(kOk, {}, EncodeStoredObject(store_.Read(key)));
  const absl::StatusOr<ObjectWrite> write = DecodeObjectWrite(request.body);
  if (!write.ok()) return exchange->Respond(kBadRequest, {}, MessageOf(write.status()));
  const StoreAnswered answer = store_.Write({}, key, write->expected_version, write->value);
  if (faults.lose_write_answers) return exchange->Respond(kServerError, {}, "");
  exchange->Respond(answer.result == StoreResult::kDone ? kOk : kConflict, {}, EncodeStoredObject(answer.object));
}

void PlatformServer::HandleMachines(const Exchange& exchange) {
  const HttpRequest& request = exchange->request();
  const std::lock_guard<std::mutex> lock(mutex_);
  if (request.method == "GET") return exchange->Respond(kOk, {}, SerializeMachineList(store_.machines()));
  // PUT: {"revision": 0, "machines": [...]} adds or replaces each machine.
  const absl::StatusOr<MachineList> list = ParseMachineList(request.body);
  if (!list.ok()) return exchange->Respond(kBadRequest, {}, MessageOf(list.status()));
  for (const Machine& machine : list->machines) store_.PutMachine(machine);
  exchange->Respond(kOk, {}, "{}");
}

void PlatformServer::HandleFaults(const Exchange& exchange) {
  const Json body = Json::parse(exchange->request().body, nullptr, false);
  if (!body.is_object()) return exchange->Respond(kBadRequest, {}, "");
  const std::lock_guard<std::mutex> lock(mutex_);
  faults_.refuse = body.value("refuse", false);
  faults_.lose_write_answers = body.value("lose_write_answers", false);
  faults_.delay_ms = body.value("delay_ms", 0);
  exchange->Respond(kOk, {}, "{}");
}

}  // namespace saltquay
