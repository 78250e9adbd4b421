// The node's HTTP face: callers, operators, health and metrics.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "src/runtime/caller_request.h"
#include "src/runtime/http_server.h"
#include "src/runtime/node_driver.h"

namespace saltquay {

class NodeServer : public AnswerSink {
 public:
  // Starts the driver and listens for callers.
  static absl::StatusOr<std::unique_ptr<NodeServer>> Start(const Settings& settings, const Parameters& parameters);
  ~NodeServer() override;

  std::uint16_t http_port() const { return http_->port(); }
  NodeDriver& driver() { return *driver_; }

  void OnTokens(const DeliverTokens& tokens) override;
  void OnFinished(const FinishRequest& finish) override;
  void OnCommandFinished(const FinishCommand& finish) override;

 private:
  struct OpenRequest {
    std::shared_ptr<HttpExchange> exchange;
    CompletionShape shape = CompletionShape::kText;
    std::string model;
    bool stream = false;
    bool began = false;
    std::string text;  // Of whole answers.
  };

  NodeServer() = default;
  void Handle(const std::shared_ptr<HttpExchange>& exchange);
  void HandleCompletion(const std::shared_ptr<HttpExchange>& exchange, CompletionShape shape);
  void HandleOperator(const std::shared_ptr<HttpExchange>& exchange);
  void HandleProbes(const std::shared_ptr<HttpExchange>& exchange);
  std::string ModelsJson() const;

  std::unique_ptr<NodeDriver> driver_;
  std::unique_ptr<HttpServer> http_;
  std::mutex mutex_;
  std::map<RequestHandle, OpenRequest> requests_;
  std::map<CommandHandle, std::shared_ptr<HttpExchange>> commands_;
  std::atomic<std::uint64_t> last_handle_{0};
};

}  // namespace saltquay
