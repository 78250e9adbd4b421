// Property: no stream holds events of two software versions, however long its client comes back and whatever the nodes
// have forgotten or missed meanwhile.
//
// Schedules by seed, in virtual time: all nodes are killed at once, or one after the other; all engines of a version
// leave; a node is suspended or cut off while a version joins.
#include <algorithm>
#include <cstdlib>
#include <iostream>

#include <gtest/gtest.h>

#include "tests/support/stream_fleet.h"

namespace saltquay::serving {
namespace {

constexpr std::uint64_t kDefaultSchedules = 300;

std::uint64_t Schedules() {
  const char* count = std::getenv("SALTQUAY_SCHEDULES");
  return count == nullptr ? kDefaultSchedules : std::strtoull(count, nullptr, 10);
}

// What happens in a schedule; returns when it ends.
using Scenario = Time (*)(StreamFleet& fleet, const StreamFleetOptions& options, Random& random);

StreamFleetOptions DrawOptions(Random& random, int versions) {
  constexpr int kNodes[] = {3, 7, 12};
  constexpr Duration kPauses[] = {0s, 2s, 20s};
  StreamFleetOptions options;
  options.nodes = kNodes[random.Below(std::size(kNodes))];
  options.engines = 4 + static_cast<int>(random.Below(9));
  options.versions = versions;
  options.first_start = true;
  options.watches_store = true;
  options.message_loss = random.Chance(0.5) ? random.Unit() * 0.2 : 0;
  options.clients.max_requests = 1000;
  options.clients.patience = 20s + random.DurationBelow(100s);
  options.clients.retry_delay = 250ms + random.DurationBelow(3s);
  options.clients.max_pause = kPauses[random.Below(std::size(kPauses))];
  options.clients.response_timeout = 2s;
  return options;
}

void Add(StreamShare& total, const StreamShare& share) {
  total.answered += share.answered;
  total.sent += share.sent;
}

std::ostream& operator<<(std::ostream& out, const StreamShare& share) {
  return out << share.answered << " of " << share.sent;
}

void RunSchedules(Scenario scenario, int versions) {
  int streams = 0;
  int mixed = 0;
  StreamShare begun;
  StreamShare taken_up;
  StreamShare at_serving_version;
  std::string failed;
  for (std::uint64_t seed = 1; seed <= Schedules(); ++seed) {
    Random random(seed);
    const StreamFleetOptions options = DrawOptions(random, versions);
    StreamFleet fleet(options, seed);
    fleet.RunUntil(scenario(fleet, options, random));
    streams += fleet.streams();
    mixed += fleet.mixed_streams();
    if (fleet.mixed_streams() > 0) failed += " " + std::to_string(seed);
    Add(begun, fleet.begun());
    Add(taken_up, fleet.taken_up());
    Add(at_serving_version, fleet.taken_up_at_serving_version());
  }
  std::cout << streams << " streams, " << mixed << " of two versions; answered: new " << begun << ", taken up "
            << taken_up << ", while their version serves " << at_serving_version << '\n';
  EXPECT_EQ(failed, "") << "seeds with streams of two versions";
  EXPECT_GT(taken_up.sent, streams / 4);
}

Time KillAllNodes(StreamFleet& fleet, const StreamFleetOptions& /*options*/, Random& random) {
  const Time kill = fleet.now() + 3s + random.DurationBelow(2s);
  fleet.Offer(15, kill + 4s);
  const Duration leaves = random.Chance(0.8) ? -100ms - random.DurationBelow(2900ms) : random.DurationBelow(5s);
  fleet.RemoveVersion(kill + leaves, "v1.1");
  fleet.KillAllNodes(kill, 200ms + random.DurationBelow(3s));
  if (random.Chance(0.3)) fleet.KillAllNodes(kill + 4s + random.DurationBelow(20s), 1s);
  return kill + 150s;
}

// Guards against: after all nodes were killed at once, streams of a version that has left go on at another one.
TEST(RejoinedStreamsTest, AllNodesKilled) { RunSchedules(KillAllNodes, 2); }

Time LeaveWhileClientsComeBack(StreamFleet& fleet, const StreamFleetOptions& /*options*/, Random& random) {
  const Time leaves = fleet.now() + 3s;
  fleet.Offer(15, leaves + 3s);
  fleet.RemoveVersion(leaves, "v1.1");
  if (random.Chance(0.3)) fleet.AddEngines(leaves + random.DurationBelow(60s), 2, "v2");
  if (random.Chance(0.3)) fleet.AddEngines(leaves + random.DurationBelow(100s), 2, "v1.1");
  return leaves + 150s;
}

// Guards against: a stream is forgotten while its client is refused for lack of engines, and goes on at another
// version.
TEST(RejoinedStreamsTest, VersionLeftWhileClientsComeBack) { RunSchedules(LeaveWhileClientsComeBack, 2); }

// A version joins while a node is suspended or cut off.
Time JoinPastANode(StreamFleet& fleet, const StreamFleetOptions& options, Random& random) {
  const Time joins = fleet.now() + 3s;
  fleet.Offer(60, joins + 5s);
  fleet.AddEngines(joins, 2 + static_cast<int>(random.Below(9)), "v2");
  if (random.Chance(0.3)) fleet.RemoveVersion(joins + random.DurationBelow(6s), random.Chance(0.5) ? "v1" : "v2");
  const int node = static_cast<int>(random.Below(options.nodes));
  const Time begins = joins + 200ms - random.DurationBelow(1200ms);
  const Time ends = begins + 500ms + random.DurationBelow(5s);
  StreamFleet::Cut cut;
  cut.forgets = random.Chance(0.5) ? random.DurationBelow(3s) : 3600s;
  const bool suspended = random.Chance(0.3);
  if (suspended) fleet.SuspendNode(node, begins, ends);
  if (!suspended || random.Chance(0.3)) cut.peers = random.Chance(0.5) ? 1 : random.Unit();
  cut.store = random.Chance(0.5);
  fleet.Isolate(node, begins, ends, cut);
  return joins + 150s;
}

// Guards against: a node that was suspended or cut off while a version joined takes its own one for the only version.
TEST(RejoinedStreamsTest, NodeOutOfStepWhileAVersionJoins) { RunSchedules(JoinPastANode, 1); }

// All nodes are killed one after the other, while a version joins or leaves.
Time KillNodesInTurn(StreamFleet& fleet, const StreamFleetOptions& options, Random& random) {
  const Time begins = fleet.now() + 3s;
  fleet.Offer(20, begins + 8s);
  if (random.Chance(0.5)) fleet.AddEngines(begins - random.DurationBelow(1s), 3, "v2");
  if (random.Chance(0.7)) fleet.RemoveVersion(begins + random.DurationBelow(8s), "v1.1");
  const int first = static_cast<int>(random.Below(options.nodes));
  const Duration gap = 100ms + random.DurationBelow(2s);
  for (int i = 0; i < options.nodes; ++i)
    fleet.KillNode((first + i) % options.nodes, begins + i * gap, 200ms + random.DurationBelow(1500ms));
  return begins + 150s;
}

// Guards against: the nodes that were told of a stream are killed in turn, and its version is taken from the others.
TEST(RejoinedStreamsTest, NodesKilledInTurn) { RunSchedules(KillNodesInTurn, 2); }

}  // namespace
}  // namespace saltquay::serving
