// The peers to which a node hands requests whose engines it cannot reach.
//
// Protocol. The peer serves the request like one of its own clients' requests, or says at once that it does not; it
// never hands the request on. Peers are asked in order of distance, and the less busy of two within a distance. A peer
// that did not accept the connection, or that cannot serve, is not asked again for a while. If several peers of a zone
// could not, the other zones are asked first: partitions often concern a whole zone. Nothing has to be known about
// peers in advance, so this works the same in a large fleet, and costs nothing while engines are reachable.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/base/random.h"
#include "src/core/serving/peer_table.h"
#include "src/core/serving/topology.h"

namespace saltquay::serving {

struct ForwardingParameters {
  int max_peers_per_request = 4;
  std::size_t max_in_flight = 512;
  // For how long a peer is not asked again after it could not serve, or could not be reached.
  Duration refusal_backoff = 500ms;
  Duration failure_backoff = 2s;
  int failing_peers_per_zone = 2;  // From this many on, other zones are asked first.
};

class ForwardingPeers {
 public:
  explicit ForwardingPeers(const ForwardingParameters& parameters) : parameters_(parameters) {}

  // Replaces the list; stopping nodes should not be in it.
  void Set(std::vector<PeerNode> nodes) { nodes_ = std::move(nodes); }
  // Returns nullptr if there is no peer to ask now.
  const PeerNode* Choose(const Topology& topology, const std::set<std::string>& tried, Random& random, Time now);

  // Random peers, of as many zones as possible.
  std::vector<PeerNode> Sample(std::size_t count, Random& random) const;

  void RecordSent(const std::string& node);
  void RecordEnd(const std::string& node);
  // The peer did not execute the request, but other nodes may.
  void RecordRefusal(const std::string& node, Time now) { backoff_until_[node] = now + parameters_.refusal_backoff; }
  // The peer could not be reached, or its response was interrupted.
  void RecordFailure(const std::string& node, Time now) { backoff_until_[node] = now + parameters_.failure_backoff; }

 private:
  bool IsBackedOff(const std::string& node) const { return backoff_until_.contains(node); }
  std::set<std::string> FailingZones() const;
  int InFlight(const std::string& node) const;

  ForwardingParameters parameters_;
  std::vector<PeerNode> nodes_;
  std::map<std::string, Time> backoff_until_;
  std::map<std::string, int> in_flight_;  // Requests of this node that the peer serves now.
  std::size_t total_in_flight_ = 0;
};

}  // namespace saltquay::serving
