// What other nodes report: their work at each engine, the demand they see, and
// engines that are to be left alone because a role change is coming.
//
// Protocol. Each node sends its report to its peers several times a second
// over datagrams; a report replaces the sender's earlier one (higher boot time
// or sequence). Reports name the peers that the sender knows, so that nodes
// find each other from a few seeds. A node that is silent for some rounds is
// forgotten; in a large fleet a round reaches each peer more seldom, and what nodes
// know of engines goes through digests (fleet_exchange.h). Nothing here is needed
// for safety: it only makes choices better.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "saltquay/limits/limit_messages.h"
#include "src/base/time.h"
#include "src/core/serving/crash_ledger.h"
#include "src/core/serving/engine_key.h"

namespace saltquay::serving {

// What one node, or several together, have under way at one engine, and what came of it lately.
struct EngineWork {
  EngineKey engine;
  int outstanding = 0;
  std::int64_t prompt_tokens = 0;
  int answers = 0;   // Within the last second or two, of the engine's own making.
  int failures = 0;  // The same: silence, broken answers, errors.

  void Add(const EngineWork& other);
};

// What one node's callers ask of a language service, in engines kept busy.
struct ServiceDemand {
  std::string service;
  double prefill_engines = 0;
  double decode_engines = 0;
  double reading_depth = 0;  // Prompts that a node would have under way at each engine that reads; 0: not told.
  int depth_nodes = 1;       // How many nodes' depths this is the mean of.
  std::string region{};      // Of these nodes; empty where the fleet lies in one.
  // Engines that the reading would keep busy at the pace of one that does nothing else: what has to be paid for.
  // `prefill_engines` counts ways and waits too, and tells how the stages compare. 0: not told.
  double reading_engines = 0;

  // The sums of both; of the depths, the mean.
  void Add(const ServiceDemand& other);
};

// An engine that gets no new work because its stage is about to change.
struct EngineHold {
  std::string engine_id;
  Duration left = 0s;
};

// How far a node's knowledge of one kind of the store's objects goes.
struct RecordMark {
  std::string kind;
  std::int64_t changed_at = 0;  // Revision of the last change that it knows.
};

// The newest revision of the duties' lease that a node knows; revision 0: none.
struct LeaseMark {
  std::string holder;  // Empty: it was given up.
  std::string address;
  std::int64_t revision = 0;
};

// Requests of one tenant that began to run in one window of the usage reports.
struct UsageCount {
  std::int64_t window = 0;
  std::string tenant;
  std::int64_t requests = 0;

  bool operator==(const UsageCount&) const = default;
};

// What a node says of itself, or others of it.
struct PeerNode {
  std::string node;
  std::string address;
  std::string zone;
  int link_mbps = 0;  // 0: not known.
  bool stopping = false;
};

// Whose work a report tells of; kRegionForwarded: of another region, told on within this one; kUsage: of a node's
// requests by tenant only, for who holds the duties; kLimits: only what nodes tell each other of tenants' limits.
enum class ReportScope : std::uint8_t { kNode, kZone, kFleet, kUsage, kLimits, kRegion, kRegionForwarded };

struct PeerReport {
  ReportScope scope = ReportScope::kNode;
  bool aggregate = false;  // Of a node: the receiver is asked to aggregate for it.
  int nodes = 1;           // Whose sums these are.
  Duration age = 0s;       // Of the oldest part, when it was sent.
  std::string node;        // The sender.
  std::string address;
  std::string zone;
  int link_mbps = 0;
  std::uint64_t boot = 0;  // Rises with each start of the process.
  std::uint64_t sequence = 0;
  bool stopping = false;
  std::vector<EngineWork> work;
  std::vector<ServiceDemand> demand;
  std::vector<EngineHold> holds;
  std::vector<KeptPart> kept;   // News since some rounds.
  std::vector<PeerNode> peers;  // Some that the sender knows.
  std::vector<RecordMark> records;
  LeaseMark lease;
  std::int64_t wall_ms = 0;                  // The time of day as the sender believes it, since 1970; 0: not told.
  std::int64_t closed_through = 0;           // Of kUsage: the last window whose counts change no more.
  std::vector<CrashMark> crashes;            // Some that the sender knows, whoever saw them.
  std::vector<UsageCount> usage;             // Of kUsage: counts of `node` in its life `boot`; they only grow.
  std::vector<limits::LimitMessage> limits;  // Of kLimits.
};

class PeerTable {
 public:
  explicit PeerTable(std::string own_node) : own_node_(std::move(own_node)) {}

  // Returns whether the report is newer than what was known.
  bool Note(const PeerReport& report, Time now);
  void Expire(Time now);

  // Takes over whom others name; for reports of a zone or of the fleet.
  void RecordMentionedPeers(const PeerReport& report, Time now);

  // Nodes that this one hears itself, this one included.
  int Count() const { return static_cast<int>(peers_.size()) + 1; }
  // The same, as they described themselves, without this one.
  std::vector<PeerNode> Heard() const;
  // Nodes heard, and those that others named lately.
  std::vector<PeerNode> Nodes() const;
  // Those that were heard or named within the last `age`, and do not stop.
  std::vector<PeerNode> RecentNodes(Time now, Duration age) const;
  // Nodes that this one heard itself within the last `age`, this one included.
  int CountHeard(Time now, Duration age) const;
  // At most `most` of them, others each time: what one report names.
  std::vector<PeerNode> NextPeersToMention(std::size_t most);
  // The newest mark of the duties' lease that any node heard knows.
  LeaseMark NewestLease() const;
  // Of each kind of the store's objects, the last change that any node heard knows.
  std::vector<RecordMark> LastChanges() const;
  // Work of all other nodes by engine.
  std::map<EngineKey, EngineWork> WorkByEngine() const;
  // Engines that other nodes hold back.
  std::vector<EngineHold> Holds() const;
  // What all other nodes told of their demand.
  std::vector<ServiceDemand> Demands() const;
  // Demand of all other nodes, and the mean of the reading depths that they told.
  ServiceDemand Demand(const std::string& service) const;
  // Returns whether this node's name is before those of all `nodes` that do not stop.
  bool HasLowestName(const std::vector<PeerNode>& nodes) const;

 private:
  struct Entry {
    PeerReport report;
    Time heard{};
  };
  std::string own_node_;
  std::map<std::string, Entry> peers_;
  struct Named {
    PeerNode node;
    Time heard{};
  };
  std::size_t next_node_ = 0;           // Where NextPeersToMention goes on.
  std::map<std::string, Named> named_;  // By others.
};

}  // namespace saltquay::serving
