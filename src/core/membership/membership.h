// Soft membership of one cell, by SWIM-like probing.
//
// Protocol: each probe interval a node probes one peer, round robin over a
// shuffled list. No answer in time: it asks others to probe the same peer; no
// answer still: the peer is suspect, and after suspect_timeout dead. A node
// that hears itself suspected refutes with a higher number. News rides on
// probes and answers, so the traffic of a node does not grow with the cell.
// Nothing safe rests on it: a wrong picture costs time, never correctness.
//
// Not thread-safe; owned by Node.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "src/core/context.h"

namespace saltquay {

struct Member {
  MemberUpdate update;
  Time state_since{};
  Time last_heard{};  // Directly from that incarnation.
  int transmissions_left = 0;
};

// What rides on a probe besides membership; Node fills it in.
struct ProbePayload {
  std::vector<ObjectDigest> digests;
  std::uint64_t settled_view = 0;
  LeaderHint leader;
};

class Membership {
 public:
  // Machines that may be nodes of this cell; probed until they answer.
  void SetCandidates(const std::vector<Machine>& machines);

  void OnTick(NodeContext& context, const ProbePayload& payload);
  void OnProbe(NodeContext& context, const PeerMessage& message, const Probe& probe, const ProbePayload& payload);
  void OnIndirectProbe(NodeContext& context, NodeId sender, const IndirectProbe& request, const ProbePayload& payload);

  // Notes that `sender` was heard, whatever it said.
  void NoteHeard(NodeContext& context, const NodeIncarnation& sender, ZoneId zone);

  // Probes `target` at once, outside the round, only to hear it.
  void ProbeBriefly(NodeContext& context, NodeId target, const ProbePayload& payload);

  // Tells every peer that this node stops on purpose.
  void AnnounceLeaving(NodeContext& context, const ProbePayload& payload);

  // Alive or suspect peers, without this node, by ascending id.
  std::vector<NodeId> AlivePeers() const;
  std::vector<NodeId> AlivePeersInZone(ZoneId zone) const;
  // Alive members including this node.
  std::vector<MemberUpdate> AliveMembers(const NodeContext& context) const;
  // nullptr when never heard of.
  const Member* Find(NodeId node) const;
  bool IsAlive(NodeId node) const;
  // True when a newer run of the node has been heard of, so that the memory
  // of `incarnation` is gone for good.
  bool IsReplaced(const NodeContext& context, const NodeIncarnation& incarnation) const;
  // True when exactly this run was heard within `age`.
  bool HeardWithin(const NodeContext& context, const NodeIncarnation& incarnation, Duration age) const;
  // When membership last changed.
  Time last_change() const { return last_change_; }

 private:
  struct PendingProbe {
    NodeId target;
    std::uint64_t sequence = 0;
    Time sent_at{};
    bool indirect_sent = false;
    bool answered = false;
  };

  void Apply(NodeContext& context, const MemberUpdate& update);
  void Replace(NodeContext& context, Member& member, const MemberUpdate& update);
  void Refute(NodeContext& context, const MemberUpdate& update);
  void LogChange(NodeContext& context, const MemberUpdate& update);
  std::vector<MemberUpdate> TakeUpdates(const NodeContext& context);
  void SendProbe(NodeContext& context, NodeId target, std::uint64_t sequence, bool is_answer,
                 const ProbePayload& payload);
  void SendBriefProbe(NodeContext& context, NodeId target, std::uint64_t sequence, bool is_answer,
                      const ProbePayload& payload);
  std::optional<NodeId> NextTarget(NodeContext& context);
  void CheckPending(NodeContext& context);
  void ExpireSuspects(NodeContext& context);
  int TransmissionBudget() const;

  std::map<NodeId, Member> members_;
  std::vector<NodeId> candidates_;
  std::vector<NodeId> probe_order_;
  std::size_t next_in_order_ = 0;
  std::optional<PendingProbe> pending_;
  // Probes made on another's behalf: own sequence -> who asked.
  std::map<std::uint64_t, std::pair<NodeId, std::uint64_t>> forwarded_;
  std::uint64_t last_sequence_ = 0;
  std::uint32_t own_refutation_ = 0;
  bool leaving_ = false;
  Time next_probe_{};
  Time last_change_{};
};

// Returns true when `candidate` supersedes `present` for the same node.
bool Supersedes(const MemberUpdate& candidate, const MemberUpdate& present);

}  // namespace saltquay
