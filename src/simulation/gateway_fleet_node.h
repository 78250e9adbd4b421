// One hollow gateway; see gateway_fleet.h.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/base/random.h"
#include "src/core/serving/fleet_exchange.h"

namespace saltquay {

// A datagram to one node.
struct FleetDatagram {
  std::string to;  // Address.
  std::shared_ptr<const std::string> bytes;
};

struct FleetNodeCounters {
  double bytes_out = 0;
  double bytes_in = 0;
  double datagrams_out = 0;
  double datagrams_in = 0;
  double core_seconds = 0;
  int forwarded = 0;
  int digests_sent = 0;
};

class GatewayFleetNode {
 public:
  GatewayFleetNode(serving::PeerNode description, std::vector<std::string> seeds, std::uint64_t boot);

  // Runs the timers that are due; call it every `kTick`.
  static constexpr Duration kTick = 100ms;
  std::vector<FleetDatagram> Tick(Time now);
  std::vector<FleetDatagram> Receive(const std::string& bytes, Time now);

  // The node starts a request at the engine.
  void StartRequest(const serving::EngineKey& engine, Time now);
  // The node's requests at the engine have failed.
  void set_failed_engine(const serving::EngineKey& engine) { failed_engine_ = engine; }

  const serving::PeerNode& description() const { return description_; }
  bool Knows(const std::string& node) const;
  std::size_t KnownNodes() const { return table_.Nodes().size(); }
  // Whether the newest digest lists failures of the engine.
  bool KnowsFailure(const serving::EngineKey& engine, Time now) const;
  Duration DigestAge(Time now) const { return exchange_.ViewAge(now); }
  FleetNodeCounters& counters() { return counters_; }

 private:
  serving::PeerReport MakeReport(Time now);
  void SendReports(Time now, std::vector<FleetDatagram>& datagrams);
  static void Append(const serving::FleetMessage& message, std::vector<FleetDatagram>& datagrams);
  void CountSent(const std::vector<FleetDatagram>& datagrams);

  struct Request {
    serving::EngineKey engine;
    Time started{};
  };
  serving::PeerNode description_;
  std::vector<std::string> seeds_;
  std::uint64_t boot_;
  std::unique_ptr<serving::Topology> topology_;
  serving::PeerTable table_;
  serving::FleetExchange exchange_;
  std::uint64_t sequence_ = 0;
  Time next_reports_{};
  std::size_t next_target_;
  std::deque<Request> requests_;
  std::optional<serving::EngineKey> failed_engine_;
  FleetNodeCounters counters_;
};

}  // namespace saltquay
