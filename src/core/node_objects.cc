// What versioned objects mean once a node has adopted them.
#include <algorithm>

#include <fmt/format.h>

#include "src/core/machine_list.h"
#include "src/core/node.h"

namespace saltquay {
namespace {

// Chances to hear a seat before it counts as out of contact.
constexpr int kSeatContactsPerTimeout = 4;
// A node with the bundle waits this long at most for engines' load reports.
constexpr Duration kEngineReportPatience = 3s;

}  // namespace

void Node::OfferObject(ObjectKind kind, const ObjectVersion& version, const std::string& bytes) {
  if (!objects_.Offer(context_, kind, version, bytes)) return;
  ApplyObject(kind, objects_.Get(kind));
  objects_.Announce(context_, kind, membership_.AlivePeers());
}

void Node::ApplyObject(ObjectKind kind, const VersionedObject& object) {
  switch (kind) {
    case ObjectKind::kRolledBundle:
      return ApplyBundle(object.bytes);
    case ObjectKind::kView:
      return ApplyView(object.bytes);
    case ObjectKind::kMachineList:
      return ApplyMachineList(object.bytes);
    case ObjectKind::kDrainList: {
      const absl::StatusOr<DrainList> drains = ParseDrainList(object.bytes);
      if (drains.ok()) table_.SetDraining(drains->engines);
      return;
    }
  }
}

void Node::AdoptRolled(const RolledRecord& rolled) {
  OfferObject(ObjectKind::kRolledBundle, ObjectVersion{rolled.generation, 0, 0}, SerializeRolledRecord(rolled));
}

void Node::AdoptView(const View& view) {
  OfferObject(ObjectKind::kView, ObjectVersion{view.current.number, 0, 0}, SerializeView(view, "spread"));
}

void Node::ApplyBundle(const std::string& bytes) {
  const absl::StatusOr<RolledRecord> record = ParseRolledRecord(bytes);
  if (!record.ok()) return context_.Log(EventId::kPeerDataRefused, MessageOf(record.status()));
  absl::StatusOr<Bundle> bundle = ParseBundle(record->text, record->bundle_name);
  if (!bundle.ok()) return context_.Log(EventId::kPeerDataRefused, MessageOf(bundle.status()));
  auto rolled = std::make_shared<RolledBundle>();
  rolled->generation = record->generation;
  rolled->text = record->text;
  rolled->rolled_by = record->rolled_by;
  rolled->earlier_versions = record->earlier_versions;
  rolled->bundle = std::make_shared<const Bundle>(std::move(*bundle));
  bundle_ = rolled;
  context_.Log(EventId::kBundleInForce, fmt::format("generation {} '{}'", rolled->generation, rolled->bundle->name));
}

void Node::ApplyView(const std::string& bytes) {
  const absl::StatusOr<View> view = ParseView(bytes);
  if (!view.ok()) return context_.Log(EventId::kPeerDataRefused, MessageOf(view.status()));
  if (!view_keeper_.Adopt(context_, *view)) return;
  voter_.SealBelow(view->current.number);
  lease_.OnView(context_, *view);
  records_.OnView(context_, *view);
  lease_.NoteLeaderInView(leader_);
}

void Node::ApplyMachineList(const std::string& bytes) {
  const absl::StatusOr<MachineList> list = ParseMachineList(bytes);
  if (!list.ok()) return context_.Log(EventId::kPeerDataRefused, MessageOf(list.status()));
  machines_ = *list;
  std::vector<Machine> candidates = machines_.machines;
  candidates.insert(candidates.end(), seeds_.begin(), seeds_.end());
  membership_.SetCandidates(candidates);
  table_.SetMachines(machines_.machines);
  context_.Emit(UseMachineList{machines_});
}

ProbePayload Node::MakeProbePayload() { return ProbePayload{objects_.Digests(), records_.settled_view(), leader_}; }

bool Node::AllSettled() const {
  const std::uint64_t number = view_keeper_.view().current.number;
  for (const MemberUpdate& member : membership_.AliveMembers(context_)) {
    if (!view_keeper_.view().current.HasMember(member.node)) continue;
    if (member.node == context_.self().incarnation) {
      if (records_.settled_view() != number) return false;
      continue;
    }
    const auto told = settled_views_.find(member.node);
    if (told == settled_views_.end() || told->second < number) return false;
  }
  return true;
}

ViewSituation Node::MakeViewSituation() {
  ViewSituation situation;
  situation.membership = &membership_;
  situation.list_known = machines_.revision != 0;
  for (const Machine& machine : machines_.machines) {
    if (machine.kind != MachineKind::kNode) continue;
    situation.listed.insert(NodeId{machine.id});
    if (machine.state == MachineState::kLeaving) situation.leaving.insert(NodeId{machine.id});
  }
  situation.is_leader = lease_.Holds(context_);
  situation.leader_known = leader_.view == view_keeper_.view().current.number && leader_.ballot != 0;
  situation.all_settled = AllSettled();
  return situation;
}

ServingState Node::MakeServingState() const {
  ServingState state;
  state.bundle = bundle_;
  state.view = &view_keeper_.view();
  state.nodes_alive = membership_.AlivePeers().size() + 1;
  state.ready = ready_;
  state.stopping = stopping_;
  return state;
}

// The store's word, or that of most live peers of the zone, heard in this run.
bool Node::HasCurrentBundle() {
  if (bundle_ == nullptr) return false;
  if (watcher_.has_read_rolled()) return true;
  const std::vector<NodeId> peers = membership_.AlivePeersInZone(context_.self().zone);
  const auto agreeing = std::count_if(peers.begin(), peers.end(), [this](NodeId peer) {
    const auto told = peer_generations_.find(peer);
    return told != peer_generations_.end() && told->second <= bundle_->generation;
  });
  return !peers.empty() && static_cast<std::size_t>(agreeing) * 2 > peers.size();
}

// Most engines were heard, or there was time enough to hear them.
bool Node::KnowsEngines() {
  if (!bundle_since_.has_value()) bundle_since_ = context_.now();
  const std::size_t heard = table_.RecentLoads(context_).size();
  const bool most = heard * 2 > table_.engines().size();
  return most || context_.now() - *bundle_since_ >= kEngineReportPatience;
}

void Node::UpdateReadiness() {
  const bool ready = !stopping_ && (ready_ || (HasCurrentBundle() && KnowsEngines()));
  if (ready && !ready_) context_.Log(EventId::kNodeReady, fmt::format("generation {}", bundle_->generation));
  ready_ = ready;
}

void Node::UpdateLeaderHint() {
  if (!lease_.Holds(context_)) return;
  const FenceToken token = lease_.token();
  leader_ = std::max(leader_, LeaderHint{token.view, token.ballot, context_.self().incarnation.node});
}

// Recorders act only in contact with a majority of the seats, so members make
// sure to hear each seat several times within the limit.
void Node::KeepSeatContact() {
  if (context_.now() < next_seat_contact_ || !view_keeper_.is_member(context_)) return;
  const Duration interval = context_.parameters().contact_timeout / kSeatContactsPerTimeout;
  next_seat_contact_ = context_.now() + interval;
  for (const NodeIncarnation& seat : view_keeper_.view().current.seats) {
    if (membership_.HeardWithin(context_, seat, interval)) continue;
    membership_.ProbeBriefly(context_, seat.node, MakeProbePayload());
  }
}

}  // namespace saltquay
