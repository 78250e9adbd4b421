// What other nodes report: their work at each engine, the demand they see, and
// engines that are to be left alone because a role change is coming.
//
// Protocol. Each node sends its report to its peers several times a second
// over datagrams; a report replaces the sender's earlier one (higher boot time
// or sequence). Reports name the peers that the sender knows, so that nodes
// find each other from a few seeds. A node that is silent for some rounds is
// forgotten; in a large fleet a round reaches each peer more seldom. Nothing here is needed for safety: it only makes
// choices better.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/base/time.h"

namespace saltquay::serving {

// One node's work at one engine.
struct EngineWork {
  std::string engine_id;
  int outstanding = 0;
  std::int64_t prompt_tokens = 0;
};

// What one node's callers ask of a language service, in engines kept busy.
struct ServiceDemand {
  std::string service;
  double prefill_engines = 0;
  double decode_engines = 0;
  double reading_depth = 0;  // Prompts that this node would have under way at each engine that reads; 0: not told.
};

// An engine that gets no new work because its stage is about to change.
struct EngineHold {
  std::string engine_id;
  Duration left = 0s;
};

// A prompt part that an engine has read lately and keeps.
struct KeptPart {
  std::string engine_id;
  std::uint64_t part = 0;  // Hash of its id.

  auto operator<=>(const KeptPart&) const = default;
};

struct PeerAddress {
  std::string node;
  std::string address;
};

// How far a node's knowledge of one kind of the store's objects goes.
struct RecordMark {
  std::string kind;
  std::int64_t changed_at = 0;  // Revision of the last change that it knows.
};

// What a node says of itself.
struct PeerNode {
  std::string node;
  std::string address;
  std::string zone;
  int link_mbps = 0;  // 0: not known.
  bool stopping = false;
};

struct PeerReport {
  std::string node;
  std::string address;
  std::string zone;
  int link_mbps = 0;
  std::uint64_t boot = 0;  // Rises with each start of the process.
  std::uint64_t sequence = 0;
  bool stopping = false;
  std::vector<EngineWork> work;
  std::vector<ServiceDemand> demand;
  std::vector<EngineHold> holds;
  std::vector<KeptPart> kept;  // News since some rounds.
  std::vector<PeerAddress> peers;
  std::vector<RecordMark> records;
};

class PeerTable {
 public:
  explicit PeerTable(std::string own_node) : own_node_(std::move(own_node)) {}

  // Returns whether the report is newer than what was known.
  bool Note(const PeerReport& report, Time now);
  void Expire(Time now);

  // Nodes heard of lately, this one included.
  int Count() const { return static_cast<int>(peers_.size()) + 1; }
  // Where reports go: nodes heard, and those that others named.
  std::vector<PeerAddress> Addresses() const;
  // At most `most` of them, others each time: what one report names.
  std::vector<PeerAddress> NextAddresses(std::size_t most);
  // Nodes heard, as they described themselves.
  std::vector<PeerNode> Nodes() const;
  // Revision of the last change of that kind that any node heard of knows.
  std::int64_t LastChange(const std::string& kind) const;
  // Work of all other nodes by engine.
  std::map<std::string, EngineWork> WorkByEngine() const;
  // Engines that other nodes hold back.
  std::vector<EngineHold> Holds() const;
  // Demand of all other nodes, and the mean of the reading depths that they told.
  ServiceDemand Demand(const std::string& service) const;
  // Returns whether this node has the least name of those that do not stop.
  bool OwnNameIsLeast() const;

 private:
  struct Entry {
    PeerReport report;
    Time heard{};
  };
  std::string own_node_;
  std::map<std::string, Entry> peers_;
  std::size_t next_address_ = 0;                               // Where NextAddresses goes on.
  std::map<std::string, std::pair<std::string, Time>> named_;  // Node -> address, by others.
};

}  // namespace saltquay::serving
