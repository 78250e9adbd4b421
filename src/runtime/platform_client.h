// Carries the core's store actions out over HTTP. Thread-safe.
#pragma once

#include <chrono>
#include <functional>
#include <string>

#include "src/core/actions.h"
#include "src/core/events.h"
#include "src/runtime/http_client.h"

namespace saltquay {

class PlatformClient {
 public:
  // `base_url`: "http://ip:port". `post` hands events to the core's thread.
  PlatformClient(HttpClient& http, std::string base_url, std::chrono::milliseconds timeout,
                 std::function<void(Event)> post)
      : http_(http), base_url_(std::move(base_url)), timeout_(timeout), post_(std::move(post)) {}

  void Read(const StoreRead& action);
  void Write(const StoreWrite& action);
  void ReadMachines();

 private:
  HttpCall MakeCall(const std::string& method, const std::string& path) const;

  HttpClient& http_;
  std::string base_url_;
  std::chrono::milliseconds timeout_;
  std::function<void(Event)> post_;
};

}  // namespace saltquay
