// Drives one Node in a process: a core thread, the clock, and the clients and
// servers that carry actions out.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "src/core/node.h"
#include "src/runtime/engine_client.h"
#include "src/runtime/http_client.h"
#include "src/runtime/peer_transport.h"
#include "src/runtime/platform_client.h"
#include "src/runtime/settings.h"

namespace saltquay {

// Receives the answers to callers and operators, on the core's thread.
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;
  virtual void OnTokens(const DeliverTokens& tokens) = 0;
  virtual void OnFinished(const FinishRequest& finish) = 0;
  virtual void OnCommandFinished(const FinishCommand& finish) = 0;
};

class NodeDriver {
 public:
  // Listens for peers and starts the core's thread. `sink` outlives the driver.
  static absl::StatusOr<std::unique_ptr<NodeDriver>> Start(const Settings& settings, const Parameters& parameters,
                                                           AnswerSink& sink);
  ~NodeDriver();
  NodeDriver(const NodeDriver&) = delete;
  NodeDriver& operator=(const NodeDriver&) = delete;

  // Hands an event to the core. Thread-safe.
  void Post(Event event);
  // A snapshot, at most one tick old. Thread-safe.
  NodeStatus Status() const;
  std::shared_ptr<const RolledBundle> bundle() const;
  std::uint16_t peer_port() const { return peers_->port(); }
  const PeerTransport& peers() const { return *peers_; }
  // Blocks until the node's planned stop is complete.
  void WaitForExit();

 private:
  NodeDriver(const Settings& settings, const Parameters& parameters, AnswerSink& sink);
  void Run();
  void Execute(const Action& action);
  void Publish();

  void On(const SendPeer& action) { peers_->Send(action.to, action.message); }
  void On(const StartAttempt& action) { engines_.Start(action); }
  void On(const ResumeAttempt& action) { engines_.Resume(action); }
  void On(const CancelAttempt& action) { engines_.Cancel(action); }
  void On(const ReadEngineState& action) { engines_.ReadState(action); }
  void On(const SendOrder& action) { engines_.SendOrder(action); }
  void On(const StoreRead& action) { platform_.Read(action); }
  void On(const StoreWrite& action) { platform_.Write(action); }
  void On(const ReadMachineList&) { platform_.ReadMachines(); }
  void On(const DeliverTokens& action) { sink_.OnTokens(action); }
  void On(const FinishRequest& action) { sink_.OnFinished(action); }
  void On(const FinishCommand& action) { sink_.OnCommandFinished(action); }
  void On(const UseMachineList& action);
  void On(const WriteLog& action);
  void On(const ExitProcess&);

  Parameters parameters_;
  AnswerSink& sink_;
  Node node_;
  HttpClient http_;
  EngineClient engines_;
  PlatformClient platform_;
  std::unique_ptr<PeerTransport> peers_;

  std::mutex queue_mutex_;
  std::condition_variable queue_ready_;
  std::vector<Event> queue_;
  bool stopping_ = false;

  mutable std::mutex status_mutex_;
  NodeStatus status_;
  std::shared_ptr<const RolledBundle> bundle_;

  std::mutex exit_mutex_;
  std::condition_variable exit_ready_;
  bool exited_ = false;
  std::thread thread_;
};

}  // namespace saltquay
