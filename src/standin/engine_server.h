// Stand-in for a model engine: EngineModel behind the engines' HTTP protocol.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "src/models/engine_model.h"
#include "src/runtime/http_client.h"
#include "src/runtime/http_server.h"

namespace saltquay {

// Faults that tests ask for over HTTP, at POST /faults.
struct EngineFaults {
  int delay_ms = 0;                 // Before each attempt is taken.
  bool refuse = false;              // Answer 503 to everything but /faults.
  bool lose_order_answers = false;  // Carry orders out, then give no answer.
};

struct EngineServerOptions {
  EngineId id;
  HttpServerOptions http;
  EngineModelOptions model;
};

class EngineServer {
 public:
  static absl::StatusOr<std::unique_ptr<EngineServer>> Start(const EngineServerOptions& options);
  ~EngineServer();

  std::uint16_t port() const { return http_->port(); }

 private:
  using Exchange = std::shared_ptr<HttpExchange>;

  explicit EngineServer(const EngineServerOptions& options);
  void Run();
  void Handle(const Exchange& exchange);
  void HandleAttempt(const Exchange& exchange);
  void ImportThenStart(const Exchange& exchange, const Attempt& attempt);
  void StartAttempt(const Exchange& exchange, const Attempt& attempt);
  void HandleResume(const Exchange& exchange);
  void HandleCancel(const Exchange& exchange);
  void HandleExport(const Exchange& exchange);
  void HandleState(const Exchange& exchange);
  void HandleOrder(const Exchange& exchange);
  void HandleFaults(const Exchange& exchange);
  void HandleStarted(const Exchange& exchange);
  void OpenStreamLocked(const Exchange& exchange, const AttemptId& attempt);
  void DeliverLocked(const EngineOutput& output);

  EngineServerOptions options_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  EngineModel model_;
  EngineFaults faults_;
  std::map<AttemptId, Exchange> streams_;
  std::map<std::string, int> starts_;  // Times that work of each key truly began.
  HttpClient client_;
  std::unique_ptr<HttpServer> http_;
  std::thread thread_;
};

}  // namespace saltquay
