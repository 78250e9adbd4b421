// State reported by other nodes: their work on each engine, their clients' demand, and engines held for an upcoming
// stage change.
//
// Protocol. Each node sends its report to its peers several times a second over datagrams. A report replaces the
// sender's earlier one if it has a higher boot time or sequence. Reports mention peers that the sender knows, so that
// nodes find each other from a few seeds. A node that has sent nothing for several rounds is forgotten. In a large
// fleet a round reaches each peer less often, and knowledge of engines is spread in digests (fleet_exchange.h).
// Correctness does not depend on this data: it only improves choices.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "saltquay/limits/limit_messages.h"
#include "saltquay/limits/permit_messages.h"
#include "src/base/time.h"
#include "src/core/serving/crash_ledger.h"
#include "src/core/serving/engine_key.h"
#include "src/core/serving/stream_messages.h"

namespace saltquay::serving {

// Work in flight of one or more nodes on one engine, and its recent outcomes.
struct EngineWork {
  EngineKey engine;
  int outstanding = 0;
  std::int64_t prompt_tokens = 0;
  int response_count = 0;  // Within the last one to two seconds, from the engine itself.
  int failures = 0;        // In the same time: no response, aborted responses, errors.

  void Add(const EngineWork& other);
};

// Demand of one node's clients on a language service, in engines kept busy.
struct ServiceDemand {
  std::string service;
  double prefill_engines = 0;
  double decode_engines = 0;
  double prefill_depth = 0;  // Prompts that a node would have in flight per prefill engine; 0: not reported.
  int depth_nodes = 1;       // Number of nodes that the mean depth covers.
  std::string region{};      // Region of these nodes; empty if the fleet has only one.
  // Engines that prefill would keep busy at the speed of an engine with no other work: the capacity to pay for.
  // `prefill_engines` also includes network latency and waiting, and is used to compare the stages. 0: not reported.
  double unloaded_prefill_engines = 0;

  // Adds the demands; the depth becomes the weighted mean.
  void Add(const ServiceDemand& other);
};

// An engine that receives no new requests because its stage is about to change.
struct EngineHold {
  std::string engine_id;
  Duration left = 0s;
};

// How recent a node's copy of one kind of stored objects is.
struct RecordMark {
  std::string kind;
  std::int64_t changed_at = 0;  // Revision of the last change that the node has received.
};

// The newest revision of the duty lease known to a node; revision 0: none.
struct LeaseMark {
  std::string holder;  // Empty after the holder resigned.
  std::string address;
  std::int64_t revision = 0;
};

// The limit that an engine last stated, for the requests of all nodes together.
struct EngineLimitMark {
  EngineKey engine;
  std::optional<double> requests_per_s;  // nullopt: it has named none since it ended an earlier one.
  Duration age = 0s;                     // Time since the statement.
};

// Requests of one tenant that started to run in one window of the usage reports.
struct UsageCount {
  std::int64_t window = 0;
  std::string tenant;
  std::int64_t requests = 0;

  bool operator==(const UsageCount&) const = default;
};

// Description of a node, by itself or by others.
struct PeerNode {
  std::string node;
  std::string address;
  std::string zone;
  int link_mbps = 0;  // 0: unknown.
  bool stopping = false;
  // In a list of nodes: how long ago the node itself was last heard. Not part of the description.
  Duration age = 0s;

  bool operator==(const PeerNode& other) const {
    return std::tie(node, address, zone, link_mbps, stopping) ==
           std::tie(other.node, other.address, other.zone, other.link_mbps, other.stopping);
  }
};

// Whose work a report covers. kRegionForwarded: another region's, forwarded within this region; kUsage: only a node's
// requests by tenant, for the holder of the duty lease; kLimits: only messages about tenants' limits and permits for
// engines.
enum class ReportScope : std::uint8_t { kNode, kZone, kFleet, kUsage, kLimits, kRegion, kRegionForwarded };

struct PeerReport {
  ReportScope scope = ReportScope::kNode;
  bool aggregate = false;  // For kNode: the receiver is asked to aggregate this report.
  int nodes = 1;           // Number of nodes that the sums cover.
  Duration age = 0s;       // Mean age of its parts when it was sent.
  std::string node;        // Sending node.
  std::string address;
  std::string zone;
  int link_mbps = 0;
  std::uint64_t boot = 0;  // Increases with each start of the process.
  std::uint64_t sequence = 0;
  bool stopping = false;
  std::vector<EngineWork> work;
  std::vector<ServiceDemand> demand;
  std::vector<EngineHold> holds;
  std::vector<KeptPart> kept;   // Cache updates of the last rounds.
  std::vector<PeerNode> peers;  // Some of the peers that the sender knows.
  // Addresses that the receiver forwards the report to, without this list; see digest_tree.h.
  std::vector<std::string> forward_to;
  std::vector<RecordMark> records;
  LeaseMark lease;
  std::int64_t wall_ms = 0;         // The sender's wall-clock time in milliseconds since 1970; 0: not reported.
  std::int64_t closed_through = 0;  // For kUsage: the last window whose counts are final.
  std::vector<EngineLimitMark> engine_limits;  // Those that the sender knows, from any node.
  std::vector<EngineKey> leaving_engines;      // Engines that stated that they are leaving, to any node.
  std::vector<CrashMark> crashes;              // Some of the crash marks that the sender knows, from any node.
  std::vector<UsageCount> usage;             // For kUsage: counts of `node` since its start `boot`; they only increase.
  std::vector<limits::LimitMessage> limits;  // For kLimits.
  std::vector<limits::PermitMessage> permits;  // For kLimits.
  std::vector<StreamMessage> streams;          // For kLimits.
};

// Whether `report` was sent after `known`, by the same node.
inline bool IsNewer(const PeerReport& report, const PeerReport& known) {
  return report.boot > known.boot || (report.boot == known.boot && report.sequence > known.sequence);
}

class PeerTable {
 public:
  explicit PeerTable(std::string local_node) : local_node_(std::move(local_node)), next_node_(HashText(local_node_)) {}

  // Returns whether the report is newer than the known one.
  bool RecordReport(const PeerReport& report, Time now);
  void Expire(Time now);

  // Adds the peers that a report or digest mentions.
  void RecordMentionedPeers(const PeerReport& report, Time now);

  // Number of nodes that this node receives reports from, including itself.
  int Count() const { return static_cast<int>(peers_.size()) + 1; }
  // The same nodes without this one, as described by themselves. Like Nodes(), valid until the table changes.
  const std::vector<PeerNode>& ReportingNodes() const;
  // Nodes that reports are received from, and nodes recently mentioned by others.
  const std::vector<PeerNode>& Nodes() const;
  // Increases whenever Nodes() or ReportingNodes() changes.
  std::uint64_t version() const { return version_; }
  // Nodes that sent a report or were mentioned in one within the last `age`, and are not stopping.
  std::vector<PeerNode> RecentNodes(Time now, Duration age) const;
  // Number of nodes that sent a report within the last `age`, including this one.
  int CountReportingNodes(Time now, Duration age) const;
  // The nodes to mention in a report, at most `max_count`: the best of each zone, and others in turn. Their ages go
  // with them: nodes that repeated each other's mentions as new would keep a lost node known.
  std::vector<PeerNode> NextPeersToMention(std::size_t max_count, Time now);
  // The newest mark of the duty lease in any peer's report.
  LeaseMark NewestLease() const;
  // For each kind of stored objects, the last change that any peer reports.
  std::vector<RecordMark> LastChanges() const;
  // Work of all other nodes by engine.
  std::map<EngineKey, EngineWork> WorkByEngine() const;
  // Engines held by other nodes.
  std::vector<EngineHold> Holds() const;
  // Demand reported by all other nodes.
  std::vector<ServiceDemand> Demands() const;
  // Total demand of all other nodes, with the mean of their reported reading depths.
  ServiceDemand Demand(const std::string& service) const;
  // Whether this node's name sorts before those of all `nodes` that are not stopping.
  bool HasLowestName(const std::vector<PeerNode>& nodes) const;

 private:
  struct Entry {
    PeerReport report;
    Time received_at{};
  };
  std::string local_node_;
  std::map<std::string, Entry> peers_;
  struct Mentioned {
    PeerNode node;
    Time heard_at{};  // When the node itself was last heard, by whoever mentioned it.
  };
  Duration MentionExpiry() const;
  bool IsExpired(Time heard_at, Time now) const;
  void RecordMembershipChange();
  void UpdateLists() const;

  std::size_t next_node_;                       // Position for the next call of NextPeersToMention.
  std::map<std::string, Mentioned> mentioned_;  // Mentioned by others.
  std::uint64_t version_ = 0;
  // Computed on demand from the two maps, since membership changes rarely and is read several times in every tick.
  mutable bool lists_valid_ = false;
  mutable std::vector<PeerNode> reporting_nodes_;
  mutable std::vector<PeerNode> nodes_;
};

}  // namespace saltquay::serving
