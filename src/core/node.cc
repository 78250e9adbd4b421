// Event dispatch and the periodic work of a node.
#include "src/core/node.h"

#include <algorithm>

#include <fmt/format.h>

#include "src/core/machine_list.h"

namespace saltquay {
namespace {

// A node that stops waits at most this long for its last messages to leave.
constexpr Duration kStopLinger = 200ms;
constexpr std::size_t kEnginesForIndexShare = 16;

}  // namespace

Node::Node(const NodeIdentity& identity, const Parameters& parameters, std::uint64_t seed)
    : context_(identity, parameters, seed),
      prefixes_(parameters.prefix_index_blocks / kEnginesForIndexShare),
      dispatcher_(parameters, table_, prefixes_) {}

void Node::SetSeeds(const std::vector<Machine>& seeds) {
  seeds_ = seeds;
  membership_.SetCandidates(seeds);
}

void Node::OnEvent(Time now, const Event& event, ActionList* actions) {
  context_.BeginEvent(now, actions);
  const std::size_t first = actions->size();
  Handle(event);
  DeliverToSelf(actions, first);
}

void Node::Handle(const Event& event) {
  std::visit([this](const auto& typed) { On(typed); }, event);
}

// Messages of a node to itself never leave it.
void Node::DeliverToSelf(ActionList* actions, std::size_t first) {
  for (std::size_t i = first; i < actions->size();) {
    const SendPeer* send = std::get_if<SendPeer>(&(*actions)[i]);
    if (send == nullptr || send->to != context_.self().incarnation.node) {
      ++i;
      continue;
    }
    const PeerMessage message = send->message;
    actions->erase(actions->begin() + static_cast<std::ptrdiff_t>(i));
    HandleMessage(message);
  }
}

bool Node::IsForThisRun(const PeerMessage& message) {
  const BootId wanted = message.receiver.boot;
  if (wanted == BootId{} || wanted == context_.self().incarnation.boot) return true;
  // The run that the sender means is gone, and what it remembered with it.
  const NodeId sender = message.sender.node;
  if (wanted > context_.self().incarnation.boot) return false;
  if (const SealRequest* seal = std::get_if<SealRequest>(&message.body)) {
    context_.Send(sender, SealReply{seal->sealed_view, seal->next_view, true, Duration{0}});
  }
  if (const RecordTransferRequest* transfer = std::get_if<RecordTransferRequest>(&message.body)) {
    context_.Send(sender, RecordTransfer{transfer->view, true, {}});
  }
  return false;
}

void Node::HandleMessage(const PeerMessage& message) {
  membership_.NoteHeard(context_, message.sender, message.sender_zone);
  if (!IsForThisRun(message)) return;
  std::visit([&](const auto& body) { OnMessage(message, body); }, message.body);
}

void Node::TickAuthority() {
  UpdateLeaderHint();
  const ViewSituation situation = MakeViewSituation();
  lease_.OnTick(context_, voter_,
                [&](const NodeIncarnation& seat) { return view_keeper_.IsLost(context_, seat, situation); });
  UpdateLeaderHint();
  view_keeper_.OnTick(context_, situation);
  records_.OnTick(context_);
  KeepSeatContact();
}

void Node::On(const Tick&) {
  if (exited_) return;
  membership_.OnTick(context_, MakeProbePayload());
  watcher_.OnTick(context_, membership_);
  TickAuthority();
  ledger_.OnTick(context_);
  UpdateReadiness();
  reporter_.OnTick(context_, membership_, table_, prefixes_);
  if (leader_.ballot != 0) reporter_.ReportDemand(context_, leader_.leader, dispatcher_.Demands());
  const std::optional<DrainList> drains =
      executor_.OnTick(context_, lease_, table_, bundle_.get(), reporter_.CellDemands(context_));
  if (drains.has_value()) OfferObject(ObjectKind::kDrainList, drains->version, SerializeDrainList(*drains));
  dispatcher_.OnTick(context_, MakeServingState());
  CheckStopped();
}

void Node::On(const CallerRequest& event) { dispatcher_.OnRequest(context_, MakeServingState(), event); }

void Node::On(const CallerGone& event) { dispatcher_.OnCallerGone(context_, MakeServingState(), event.handle); }

void Node::On(const EngineFrameReceived& event) { dispatcher_.OnFrame(context_, MakeServingState(), event); }

void Node::On(const AttemptFailed& event) { dispatcher_.OnAttemptFailed(context_, MakeServingState(), event); }

void Node::On(const EngineStateRead& event) {
  reporter_.OnStateRead(context_, table_, prefixes_, event);
  executor_.OnStateRead(context_, lease_, event);
}

void Node::On(const OrderAnswered& event) { executor_.OnOrderAnswered(context_, event); }

void Node::On(const StoreAnswered& event) {
  std::optional<WatchedObject> watched;
  if (watcher_.OnStoreAnswer(context_, event, &watched)) {
    if (!watched.has_value() || watched->object.version == 0) return;
    if (watched->kind == ObjectKind::kView) {
      const absl::StatusOr<View> view = ParseView(watched->object.value);
      if (view.ok()) AdoptView(*view);
      return;
    }
    const absl::StatusOr<RolledRecord> rolled = ParseRolledRecord(watched->object.value);
    if (rolled.ok()) AdoptRolled(*rolled);
    return;
  }
  std::optional<View> view;
  if (view_keeper_.OnStoreAnswer(context_, event, &view)) {
    if (view.has_value()) AdoptView(*view);
    return;
  }
  std::optional<RolledRecord> rolled;
  if (ledger_.OnStoreAnswer(context_, event, &rolled) && rolled.has_value()) AdoptRolled(*rolled);
}

void Node::On(const MachineListRead& event) {
  watcher_.OnMachineListRead(context_, event);
  if (!event.list.has_value()) return;
  const ObjectVersion version{event.list->revision, 0, 0};
  OfferObject(ObjectKind::kMachineList, version, SerializeMachineList(*event.list));
}

void Node::On(const OperatorCommand& event) { ledger_.OnCommand(context_, event); }

void Node::On(const StopRequested&) {
  if (stopping_) return;
  stopping_ = true;
  stopping_since_ = context_.now();
  context_.Log(EventId::kNodeStopping, fmt::format("{} requests in flight", dispatcher_.active_count()));
  if (!context_.parameters().protections.drain_on_stop) dispatcher_.AbandonAll(context_, MakeServingState());
  UpdateReadiness();
}

// A seat that stops asks for no view change: its voice counts until it exits,
// and then it counts as a crash, which five seats bear twice. See docs/DESIGN.md.
void Node::CheckStopped() {
  if (!stopping_ || exited_ || dispatcher_.active_count() > 0) return;
  if (context_.now() - stopping_since_ < kStopLinger) return;
  lease_.Release(context_, voter_);
  membership_.AnnounceLeaving(context_, MakeProbePayload());
  exited_ = true;
  context_.Log(EventId::kNodeStopped, "all requests ended");
  context_.Emit(ExitProcess{});
}

std::optional<FenceToken> Node::HeldLease(Time now) const {
  if (!lease_.HoldsAt(now)) return std::nullopt;
  return lease_.token();
}

NodeStatus Node::Status() const {
  NodeStatus status;
  status.identity = context_.self();
  status.ready = ready_;
  status.stopping = stopping_;
  status.store_available = watcher_.store_available();
  if (bundle_ != nullptr) {
    status.generation = bundle_->generation;
    status.bundle_name = bundle_->bundle->name;
  }
  status.view = view_keeper_.view().current.number;
  status.settled_view = records_.settled_view();
  status.is_leader = lease_.Holds(context_);
  status.leader = leader_;
  status.members = membership_.AliveMembers(context_);
  status.engines = table_.RecentLoads(context_);
  status.active_requests = dispatcher_.active_count();
  status.records = records_.record_count();
  status.role_changes = executor_.role_changes();
  status.counters = dispatcher_.counters();
  return status;
}

}  // namespace saltquay
