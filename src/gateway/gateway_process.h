// A gateway process: HTTP servers, store watchers, signal handling and graceful shutdown.
//
// Lifecycle:
// - Starting: no configuration or engines yet; /ready responds 503 and requests are refused with Retry-After.
// - Serving.
// - Stopping, from SIGTERM: /ready responds 503 immediately. Requests are still served while clients are moved to other
//   nodes; then idle connections are closed and requests in progress are finished.
// SIGHUP reloads the settings.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <utility>  // Boost 1.74's Asio needs it first under C++20.

#include <boost/asio/signal_set.hpp>

#include "saltquay/replica/relay_server.h"
#include "saltquay/replica/relayed_store.h"
#include "src/gateway/collection_watcher.h"
#include "src/gateway/compacting_store.h"
#include "src/gateway/fleet_coordinator.h"
#include "src/gateway/gateway.h"
#include "src/gateway/peer_request_handler.h"
#include "src/gateway/refused_records.h"
#include "src/gateway/stop_schedule.h"

namespace saltquay::gateway {

// Names of the platform's store objects and parsers for their contents.
struct RecordParsers {
  std::string config_kind;
  std::string config_name;
  std::string engine_kind;
  std::function<absl::StatusOr<serving::ServingConfig>(const StoredObject&)> parse_config;
  std::function<absl::StatusOr<serving::EngineRecord>(const StoredObject&)> parse_engine;
};

class GatewayProcess {
 public:
  // `settings_path` is reloaded on SIGHUP; empty disables reloading. `duty_api`: nullptr if the platform requires no
  // duties.
  GatewayProcess(boost::asio::io_context& loop, const GatewaySettings& settings, std::string settings_path,
                 const EngineProtocol& protocol, RecordParsers codec, ObjectStore& store, DutyApi* duty_api = nullptr);
  ~GatewayProcess();

  // Binds the addresses and starts watching the store. Errors say how to fix the cause.
  absl::Status Start();
  // Runs until the process has stopped.
  void Run();

  Gateway& gateway() { return gateway_; }

 private:
  absl::Status Listen();
  // Logs and counts what the replicas of the store's objects do, and passes their changes on to followers.
  void ObserveStore();
  void WatchStore();
  void OnConfigObject(const StoredObject& object);
  void LogConfigReceived(const serving::ServingConfig& config, const StoredObject& object);
  void OnEngineList(const ObjectList& list);
  void OnEngineEvent(const ObjectEvent& event);
  // Logs a record that does not parse and returns nullopt.
  std::optional<serving::EngineRecord> ParseEngineRecord(const StoredObject& object);
  void OnFreshnessChanged(const std::string& kind, const replica::ReplicaStatus& state);
  void OnConnectivityChanged(const std::string& kind, bool connected, const std::string& cause);
  void WaitForSignal();
  void Reload();
  void StartStopping();
  void ContinueStopping();
  std::chrono::milliseconds TimeSinceStop() const;
  // Serves a client's request, or refuses it if this process may exit before the request finishes.
  void HandleClientRequest(const std::shared_ptr<http::Exchange>& exchange);
  void HandleReadyRequest(const std::shared_ptr<http::Exchange>& exchange);
  void HandleMetricsRequest(const std::shared_ptr<http::Exchange>& exchange);

  boost::asio::io_context& loop_;
  GatewaySettings settings_;
  std::string settings_path_;
  RecordParsers parsers_;
  CompactingStore compacting_store_;
  RefusedRecords refused_records_;
  replica::RelayedStore store_;
  replica::RelayServer relay_;
  LogStream log_;
  Gateway gateway_;
  FleetCoordinator coordinator_;
  EngineChecks engine_checks_;
  PeerRequestHandler peer_requests_;
  std::shared_ptr<http::ByteBudget> budget_;  // Of all listeners.
  std::unique_ptr<http::Server> client_server_;
  std::unique_ptr<http::Server> ready_server_;
  std::unique_ptr<http::Server> metrics_server_;
  std::unique_ptr<CollectionWatcher> config_watcher_;
  std::unique_ptr<CollectionWatcher> engine_watcher_;
  boost::asio::signal_set signals_;
  BootTimer stop_timer_;
  bool stopping_ = false;
  bool last_ready_ = false;
  BootClock::time_point stop_began_;
};

}  // namespace saltquay::gateway
