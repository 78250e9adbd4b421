// Stand-in for the platform: objects with versions, and the machine list.
#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "src/models/store_model.h"
#include "src/runtime/http_server.h"

namespace saltquay {

// Faults that tests ask for over HTTP, at POST /faults.
struct PlatformFaults {
  bool refuse = false;              // Answer 503 before any effect.
  bool lose_write_answers = false;  // Write, then answer 500.
  int delay_ms = 0;
};

class PlatformServer {
 public:
  static absl::StatusOr<std::unique_ptr<PlatformServer>> Start(const HttpServerOptions& options,
                                                               const std::vector<Machine>& machines);
  std::uint16_t port() const { return http_->port(); }

 private:
  using Exchange = std::shared_ptr<HttpExchange>;

  void Handle(const Exchange& exchange);
  void HandleObject(const Exchange& exchange, const PlatformFaults& faults);
  void HandleMachines(const Exchange& exchange);
  void HandleFaults(const Exchange& exchange);

  std::mutex mutex_;
  StoreModel store_;
  PlatformFaults faults_;
  std::unique_ptr<HttpServer> http_;
};

}  // namespace saltquay
