// One saltquay node: composes the decision core's parts and routes events.
//
// Deterministic: the same seed and the same events give the same actions. A
// driver (the daemon or the simulator) calls OnEvent from one thread at a time
// and carries the actions out.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/core/actions.h"
#include "src/core/authority/lease_keeper.h"
#include "src/core/authority/lease_voter.h"
#include "src/core/authority/view_keeper.h"
#include "src/core/bundle/bundle_ledger.h"
#include "src/core/context.h"
#include "src/core/dispatch/dispatcher.h"
#include "src/core/dispatch/record_keeper.h"
#include "src/core/dissemination/store_watcher.h"
#include "src/core/dissemination/versioned_objects.h"
#include "src/core/events.h"
#include "src/core/membership/membership.h"
#include "src/core/orders/order_executor.h"
#include "src/core/routing/load_reporter.h"
#include "src/core/routing/load_table.h"

namespace saltquay {

// What operators and metrics see of a node.
struct NodeStatus {
  NodeIdentity identity;
  bool ready = false;
  bool stopping = false;
  bool store_available = true;
  std::uint64_t generation = 0;
  std::string bundle_name;
  std::uint64_t view = 0;
  std::uint64_t settled_view = 0;
  bool is_leader = false;
  LeaderHint leader;
  std::vector<MemberUpdate> members;
  std::vector<EngineLoad> engines;
  std::size_t active_requests = 0;
  std::size_t records = 0;
  std::uint64_t role_changes = 0;
  DispatchCounters counters;
};

class Node {
 public:
  Node(const NodeIdentity& identity, const Parameters& parameters, std::uint64_t seed);

  // Nodes to probe before the machine list is known.
  void SetSeeds(const std::vector<Machine>& seeds);

  // Handles one event at `now`, on this process's monotonic clock.
  void OnEvent(Time now, const Event& event, ActionList* actions);

  NodeStatus Status() const;
  // The lease that this node holds at `now` by its own clock, if any.
  std::optional<FenceToken> HeldLease(Time now) const;
  // The same, but also for a while after stepping down; see LeaseKeeper.
  std::optional<FenceToken> PromisedLease(Time now) const { return lease_.PromisedAt(now); }
  bool is_ready() const { return ready_; }
  // The bundle in force, or null.
  std::shared_ptr<const RolledBundle> bundle() const { return bundle_; }
  const NodeIdentity& identity() const { return context_.self(); }

 private:
  // node.cc
  void Handle(const Event& event);
  void HandleMessage(const PeerMessage& message);
  bool IsForThisRun(const PeerMessage& message);
  void On(const Tick& tick);
  void On(const PeerMessageReceived& event) { HandleMessage(event.message); }
  void On(const CallerRequest& event);
  void On(const CallerGone& event);
  void On(const EngineFrameReceived& event);
  void On(const AttemptFailed& event);
  void On(const EngineStateRead& event);
  void On(const OrderAnswered& event);
  void On(const StoreAnswered& event);
  void On(const MachineListRead& event);
  void On(const OperatorCommand& event);
  void On(const StopRequested& event);
  void DeliverToSelf(ActionList* actions, std::size_t first);
  void CheckStopped();
  void TickAuthority();

  // node_messages.cc: one for each message body.
  void OnMessage(const PeerMessage& message, const Probe& body);
  void OnMessage(const PeerMessage& message, const IndirectProbe& body);
  void OnMessage(const PeerMessage& message, const ObjectAnnounce& body);
  void OnMessage(const PeerMessage& message, const ObjectPush& body);
  void OnMessage(const PeerMessage& message, const ObjectPull& body);
  void OnMessage(const PeerMessage& message, const LoadDelta& body);
  void OnMessage(const PeerMessage& message, const LeaseRequest& body);
  void OnMessage(const PeerMessage& message, const LeaseReply& body);
  void OnMessage(const PeerMessage& message, const LeaseRelease& body);
  void OnMessage(const PeerMessage& message, const SealRequest& body);
  void OnMessage(const PeerMessage& message, const SealReply& body);
  void OnMessage(const PeerMessage& message, const ClaimRequest& body);
  void OnMessage(const PeerMessage& message, const ClaimReply& body);
  void OnMessage(const PeerMessage& message, const ClaimRelease& body);
  void OnMessage(const PeerMessage& message, const ClaimOutcome& body);
  void OnMessage(const PeerMessage& message, const RecordTransferRequest& body);
  void OnMessage(const PeerMessage& message, const RecordTransfer& body);
  void OnMessage(const PeerMessage& message, const JoinRequest& body);
  void OnMessage(const PeerMessage& message, const JoinReply& body);
  void NoteDigests(NodeId sender, const std::vector<ObjectDigest>& digests);

  // node_objects.cc: what objects mean once adopted.
  void OfferObject(ObjectKind kind, const ObjectVersion& version, const std::string& bytes);
  void ApplyObject(ObjectKind kind, const VersionedObject& object);
  void ApplyBundle(const std::string& bytes);
  void ApplyView(const std::string& bytes);
  void ApplyMachineList(const std::string& bytes);
  void AdoptRolled(const RolledRecord& rolled);
  void AdoptView(const View& view);
  ProbePayload MakeProbePayload();
  ViewSituation MakeViewSituation();
  ServingState MakeServingState() const;
  bool AllSettled() const;
  bool HasCurrentBundle();
  bool KnowsEngines();
  void UpdateReadiness();
  void UpdateLeaderHint();
  void KeepSeatContact();

  NodeContext context_;
  Membership membership_;
  VersionedObjects objects_;
  StoreWatcher watcher_;
  BundleLedger ledger_;
  ViewKeeper view_keeper_;
  LeaseVoter voter_;
  LeaseKeeper lease_;
  RecordKeeper records_;
  LoadTable table_;
  PrefixIndex prefixes_;
  LoadReporter reporter_;
  Dispatcher dispatcher_;
  OrderExecutor executor_;

  std::shared_ptr<const RolledBundle> bundle_;
  MachineList machines_;
  std::vector<Machine> seeds_;
  LeaderHint leader_;
  // What peers said since this run began.
  std::map<NodeId, std::uint64_t> peer_generations_;
  std::map<NodeIncarnation, std::uint64_t> settled_views_;
  Time next_seat_contact_{};
  std::optional<Time> bundle_since_;
  bool ready_ = false;
  bool stopping_ = false;
  bool exited_ = false;
  Time stopping_since_{};
};

}  // namespace saltquay
