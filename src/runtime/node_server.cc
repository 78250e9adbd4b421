#include "src/runtime/node_server.h"

#include <optional>

#include <nlohmann/json.hpp>

#include "src/runtime/node_answers.h"

namespace saltquay {
namespace {

using Json = nlohmann::json;

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kServiceUnavailable = 503;
constexpr int kPayloadTooLarge = 413;
constexpr char kOperatorPrefix[] = "/admin/bundles/";

std::vector<HttpHeader> JsonHeaders() { return {{"Content-Type", "application/json"}}; }

void RespondError(const std::shared_ptr<HttpExchange>& exchange, const absl::Status& status,
                  const std::string& outcome) {
  exchange->Respond(HttpStatusOf(KindOf(status)), RefusalHeaders(outcome, std::nullopt),
                    ErrorJson(status, outcome, std::nullopt));
}

// What a caller gets whose request cannot be read.
std::string RejectionJson(int status) {
  const char* text = status == kPayloadTooLarge ? "the body is larger than this node takes; shorten it"
                                                : "the request is not HTTP/1.1 as this node takes it; mend it";
  return ErrorJson(MakeError(ErrorKind::kInvalidRequest, text), "not_run", std::nullopt);
}

// The command that an operator's request stands for.
absl::StatusOr<OperatorCommand> ParseCommand(const HttpRequest& request) {
  OperatorCommand command;
  const std::string name = request.path.substr(sizeof(kOperatorPrefix) - 1);
  const Json body = Json::parse(request.body.empty() ? "{}" : request.body, nullptr, false);
  if (body.is_discarded() || !body.is_object()) {
    return MakeError(ErrorKind::kInvalidRequest, "the body is not a JSON object; send one");
  }
  const auto text = [&](const char* key) {
    return body.contains(key) && body[key].is_string() ? body[key].get<std::string>() : std::string();
  };
  command.operator_name = text("operator");
  command.bundle_name = text("bundle");
  command.bundle_text = text("text");
  if (body.contains("expected_generation") && body["expected_generation"].is_number_unsigned()) {
    command.expected_generation = body["expected_generation"].get<std::uint64_t>();
  }
  const struct {
    const char* path;
    CommandKind kind;
  } kinds[] = {{"publish", CommandKind::kPublish},
               {"approve", CommandKind::kApprove},
               {"roll", CommandKind::kRoll},
               {"show", CommandKind::kShow},
               {"history", CommandKind::kHistory}};
  for (const auto& row : kinds) {
    if (name != row.path) continue;
    command.kind = row.kind;
    return command;
  }
  return MakeError(ErrorKind::kNotFound, "no such command; use publish, approve, roll, show or history");
}

}  // namespace

absl::StatusOr<std::unique_ptr<NodeServer>> NodeServer::Start(const Settings& settings, const Parameters& parameters) {
  std::unique_ptr<NodeServer> server(new NodeServer());
  absl::StatusOr<std::unique_ptr<NodeDriver>> driver = NodeDriver::Start(settings, parameters, *server);
  if (!driver.ok()) return driver.status();
  server->driver_ = std::move(*driver);
  HttpServerOptions options;
  options.address = settings.http_listen.host;
  options.port = settings.http_listen.port;
  options.max_body_bytes = settings.max_body_bytes;
  options.idle_timeout_seconds = settings.idle_timeout_seconds;
  options.rejection_body = &RejectionJson;
  absl::StatusOr<std::unique_ptr<HttpServer>> http = HttpServer::Start(
      options, [raw = server.get()](const std::shared_ptr<HttpExchange>& exchange) { raw->Handle(exchange); });
  if (!http.ok()) return http.status();
  server->http_ = std::move(*http);
  return server;
}

NodeServer::~NodeServer() {
  // The server first: its threads post to the driver.
  http_.reset();
  driver_.reset();
}

void NodeServer::Handle(const std::shared_ptr<HttpExchange>& exchange) {
  const HttpRequest& request = exchange->request();
  const bool post = request.method == "POST";
  if (post && request.path == "/v1/completions") return HandleCompletion(exchange, CompletionShape::kText);
  if (post && request.path == "/v1/chat/completions") return HandleCompletion(exchange, CompletionShape::kChat);
  if (post && request.path.rfind(kOperatorPrefix, 0) == 0) return HandleOperator(exchange);
  if (request.method == "GET") return HandleProbes(exchange);
  RespondError(exchange, MakeError(ErrorKind::kNotFound, "no such path; docs/API.md lists them"), "");
}

void NodeServer::HandleProbes(const std::shared_ptr<HttpExchange>& exchange) {
  const std::string& path = exchange->request().path;
  if (path == "/healthz") return exchange->Respond(kOk, {}, "ok\n");
  if (path == "/readyz") {
    const bool ready = driver_->Status().ready;
    return exchange->Respond(ready ? kOk : kServiceUnavailable, {}, ready ? "ready\n" : "not ready\n");
  }
  if (path == "/metrics") {
    return exchange->Respond(kOk, {{"Content-Type", "text/plain; version=0.0.4"}}, MetricsText(driver_->Status()));
  }
  if (path == "/status") return exchange->Respond(kOk, JsonHeaders(), StatusJson(driver_->Status()));
  if (path == "/v1/models") return exchange->Respond(kOk, JsonHeaders(), ModelsJson());
  exchange->Respond(
      kNotFound, JsonHeaders(),
      ErrorJson(MakeError(ErrorKind::kNotFound, "no such path; docs/API.md lists them"), "", std::nullopt));
}

std::string NodeServer::ModelsJson() const {
  Json models = Json::array();
  const std::shared_ptr<const RolledBundle> rolled = driver_->bundle();
  if (rolled != nullptr) {
    for (const ModelDeclaration& model : rolled->bundle->models) {
      models.push_back({{"id", model.name}, {"object", "model"}, {"version", model.version}});
    }
  }
  return Json{{"object", "list"}, {"data", models}}.dump();
}

void NodeServer::HandleCompletion(const std::shared_ptr<HttpExchange>& exchange, CompletionShape shape) {
  absl::StatusOr<ParsedRequest> parsed = ParseCallerRequest(exchange->request(), shape);
  if (!parsed.ok()) return RespondError(exchange, parsed.status(), OutcomeName(Outcome::kNotRun));
  const RequestHandle handle{++last_handle_};
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    requests_[handle] = OpenRequest{exchange, shape, parsed->spec.model, parsed->stream, false, ""};
  }
  exchange->SetOnClosed([this, handle] {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (requests_.erase(handle) == 0) return;
    }
    driver_->Post(CallerGone{handle});
  });
  driver_->Post(CallerRequest{handle, std::move(parsed->spec)});
}

void NodeServer::HandleOperator(const std::shared_ptr<HttpExchange>& exchange) {
  absl::StatusOr<OperatorCommand> command = ParseCommand(exchange->request());
  if (!command.ok()) return RespondError(exchange, command.status(), "");
  command->handle = CommandHandle{++last_handle_};
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    commands_[command->handle] = exchange;
  }
  driver_->Post(std::move(*command));
}

void NodeServer::OnTokens(const DeliverTokens& tokens) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto entry = requests_.find(tokens.handle);
  if (entry == requests_.end()) return;
  OpenRequest& open = entry->second;
  if (!open.stream) {
    open.text += tokens.text;
    return;
  }
  if (!open.began) open.exchange->BeginStream(kOk, {{"Content-Type", "text/event-stream"}});
  open.began = true;
  open.exchange->Write(StreamEvent(open.shape, open.model, tokens.text, false));
}

void NodeServer::OnFinished(const FinishRequest& finish) {
  OpenRequest open;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto entry = requests_.find(finish.handle);
    if (entry == requests_.end()) return;
    open = std::move(entry->second);
    requests_.erase(entry);
  }
  const std::string outcome = OutcomeName(finish.outcome);
  if (finish.outcome == Outcome::kCompleted) {
    if (!open.stream) {
      return open.exchange->Respond(kOk, {{"Content-Type", "application/json"}, {"X-Outcome", outcome}},
                                    WholeAnswer(open.shape, open.model, open.text, finish));
    }
    open.exchange->Write(StreamEvent(open.shape, open.model, "", true) + "data: [DONE]\n\n");
    return open.exchange->EndStream();
  }
  const std::string error = ErrorJson(finish.status, outcome, finish.retry_after);
  if (!open.began) {
    return open.exchange->Respond(HttpStatusOf(KindOf(finish.status)), RefusalHeaders(outcome, finish.retry_after),
                                  error);
  }
  open.exchange->Write("data: " + error + "\n\n");
  open.exchange->EndStream();
}

void NodeServer::OnCommandFinished(const FinishCommand& finish) {
  std::shared_ptr<HttpExchange> exchange;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto entry = commands_.find(finish.handle);
    if (entry == commands_.end()) return;
    exchange = entry->second;
    commands_.erase(entry);
  }
  const unsigned status = finish.status.ok() ? kOk : HttpStatusOf(KindOf(finish.status));
  exchange->Respond(status, JsonHeaders(), CommandJson(finish));
}

}  // namespace saltquay
