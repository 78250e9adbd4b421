// Carries the core's engine actions out over HTTP. Thread-safe.
#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "src/core/actions.h"
#include "src/core/events.h"
#include "src/runtime/http_client.h"

namespace saltquay {

class EngineClient {
 public:
  // `post` hands events to the core's thread.
  EngineClient(HttpClient& http, std::function<void(Event)> post) : http_(http), post_(std::move(post)) {}

  void SetMachines(const MachineList& list);

  void Start(const StartAttempt& action);
  void Resume(const ResumeAttempt& action);
  void Cancel(const CancelAttempt& action);
  void ReadState(const ReadEngineState& action);
  void SendOrder(const saltquay::SendOrder& action);

 private:
  // The engine's URL for `path`; empty when the engine is not listed.
  std::string UrlOf(EngineId engine, const std::string& path);
  void BeginStream(EngineId engine, const AttemptId& attempt, const std::string& path, std::string body);

  HttpClient& http_;
  std::function<void(Event)> post_;
  std::mutex mutex_;
  std::map<EngineId, std::string> addresses_;
  std::map<AttemptId, HttpClient::CallId> streams_;
};

}  // namespace saltquay
