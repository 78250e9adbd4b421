#include "src/core/membership/membership.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace saltquay {
namespace {

constexpr int kTransmissionFactor = 3;
constexpr std::size_t kForwardedLimit = 64;

bool IsPresent(MemberState state) { return state == MemberState::kAlive || state == MemberState::kSuspect; }

}  // namespace

bool Supersedes(const MemberUpdate& candidate, const MemberUpdate& present) {
  // Boot identities begin with the start time, so a later run compares higher.
  if (candidate.node.boot != present.node.boot) return candidate.node.boot > present.node.boot;
  if (candidate.refutation != present.refutation) return candidate.refutation > present.refutation;
  return candidate.state > present.state;
}

void Membership::SetCandidates(const std::vector<Machine>& machines) {
  candidates_.clear();
  for (const Machine& machine : machines) {
    if (machine.kind == MachineKind::kNode) candidates_.push_back(NodeId{machine.id});
  }
  std::erase_if(members_, [this](const auto& entry) {
    const bool listed = std::find(candidates_.begin(), candidates_.end(), entry.first) != candidates_.end();
    return !listed && !IsPresent(entry.second.update.state);
  });
}

int Membership::TransmissionBudget() const {
  return kTransmissionFactor * static_cast<int>(std::ceil(std::log2(static_cast<double>(members_.size()) + 2)));
}

void Membership::LogChange(NodeContext& context, const MemberUpdate& update) {
  const std::string details = fmt::format("node {} boot {:x}", update.node.node.value, update.node.boot.value);
  switch (update.state) {
    case MemberState::kAlive:
      return context.Log(EventId::kMemberAlive, details);
    case MemberState::kSuspect:
      return context.Log(EventId::kMemberSuspect, details);
    case MemberState::kDead:
      return context.Log(EventId::kMemberDead, details);
    case MemberState::kLeft:
      return context.Log(EventId::kMemberLeft, details);
  }
}

void Membership::Replace(NodeContext& context, Member& member, const MemberUpdate& update) {
  const bool state_changed = member.update.state != update.state || member.update.node.boot != update.node.boot;
  member.update = update;
  member.transmissions_left = TransmissionBudget();
  if (!state_changed) return;
  member.state_since = context.now();
  if (update.state != MemberState::kSuspect) last_change_ = context.now();
  LogChange(context, update);
}

void Membership::Refute(NodeContext& context, const MemberUpdate& update) {
  const bool about_this_run = update.node.boot == context.self().incarnation.boot;
  if (!about_this_run || update.state == MemberState::kAlive || leaving_) return;
  own_refutation_ = std::max(own_refutation_, update.refutation + 1);
}

void Membership::Apply(NodeContext& context, const MemberUpdate& update) {
  if (update.node.node == context.self().incarnation.node) return Refute(context, update);
  const auto [entry, inserted] = members_.try_emplace(update.node.node);
  if (inserted) {
    entry->second.update = update;
    entry->second.state_since = context.now();
    entry->second.transmissions_left = TransmissionBudget();
    last_change_ = context.now();
    LogChange(context, update);
    return;
  }
  if (Supersedes(update, entry->second.update)) Replace(context, entry->second, update);
}

void Membership::NoteHeard(NodeContext& context, const NodeIncarnation& sender, ZoneId zone) {
  if (sender.node == context.self().incarnation.node) return;
  const Member* known = Find(sender.node);
  if (known == nullptr || sender.boot > known->update.node.boot) {
    Apply(context, MemberUpdate{sender, zone, MemberState::kAlive, 0});
  }
  Member& member = members_[sender.node];
  if (member.update.node.boot == sender.boot) member.last_heard = context.now();
}

std::vector<MemberUpdate> Membership::TakeUpdates(const NodeContext& context) {
  const MemberState own_state = leaving_ ? MemberState::kLeft : MemberState::kAlive;
  std::vector<MemberUpdate> updates = {{context.self().incarnation, context.self().zone, own_state, own_refutation_}};
  std::vector<Member*> fresh;
  for (auto& [node, member] : members_) {
    if (member.transmissions_left > 0) fresh.push_back(&member);
  }
  std::stable_sort(fresh.begin(), fresh.end(), [](const Member* left, const Member* right) {
    return left->transmissions_left > right->transmissions_left;
  });
  const std::size_t count = std::min(fresh.size(), static_cast<std::size_t>(context.parameters().updates_per_probe));
  for (std::size_t i = 0; i < count; ++i) {
    fresh[i]->transmissions_left -= 1;
    updates.push_back(fresh[i]->update);
  }
  return updates;
}

void Membership::SendProbe(NodeContext& context, NodeId target, std::uint64_t sequence, bool is_answer,
                           const ProbePayload& payload) {
  std::vector<MemberUpdate> updates = TakeUpdates(context);
  const Member* known = Find(target);
  // A peer that is believed to be gone must learn it, or it cannot refute.
  if (known != nullptr && known->update.state != MemberState::kAlive) updates.push_back(known->update);
  context.Send(target,
               Probe{sequence, is_answer, std::move(updates), payload.digests, payload.settled_view, payload.leader});
}

std::optional<NodeId> Membership::NextTarget(NodeContext& context) {
  if (next_in_order_ >= probe_order_.size()) {
    std::map<NodeId, bool> targets;
    for (const NodeId node : candidates_) targets[node] = true;
    for (const auto& [node, member] : members_) {
      const bool recent = context.now() - member.state_since < context.parameters().dead_member_retention;
      if (IsPresent(member.update.state) || recent) targets[node] = true;
    }
    targets.erase(context.self().incarnation.node);
    probe_order_.clear();
    for (const auto& [node, wanted] : targets) probe_order_.push_back(node);
    for (std::size_t i = probe_order_.size(); i > 1; --i) {
      std::swap(probe_order_[i - 1], probe_order_[context.random().Below(i)]);
    }
    next_in_order_ = 0;
  }
  if (probe_order_.empty()) return std::nullopt;
  return probe_order_[next_in_order_++];
}

void Membership::CheckPending(NodeContext& context) {
  if (!pending_.has_value() || pending_->answered) return;
  const Duration waited = context.now() - pending_->sent_at;
  if (waited >= context.parameters().probe_timeout && !pending_->indirect_sent) {
    pending_->indirect_sent = true;
    std::vector<NodeId> helpers = AlivePeers();
    std::erase(helpers, pending_->target);
    for (int i = 0; i < context.parameters().indirect_probes && !helpers.empty(); ++i) {
      const std::size_t pick = context.random().Below(helpers.size());
      context.Send(helpers[pick], IndirectProbe{pending_->target, pending_->sequence});
      helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(pick));
    }
  }
}

void Membership::ExpireSuspects(NodeContext& context) {
  for (auto& [node, member] : members_) {
    const bool expired = member.update.state == MemberState::kSuspect &&
                         context.now() - member.state_since >= context.parameters().suspect_timeout;
    if (!expired) continue;
    MemberUpdate update = member.update;
    update.state = MemberState::kDead;
    Replace(context, member, update);
  }
}

void Membership::OnTick(NodeContext& context, const ProbePayload& payload) {
  CheckPending(context);
  ExpireSuspects(context);
  if (context.now() < next_probe_) return;
  next_probe_ = context.now() + context.parameters().probe_interval;
  if (pending_.has_value() && !pending_->answered) {
    const auto silent = members_.find(pending_->target);
    if (silent != members_.end() && silent->second.update.state == MemberState::kAlive) {
      MemberUpdate update = silent->second.update;
      update.state = MemberState::kSuspect;
      Replace(context, silent->second, update);
    }
  }
  pending_.reset();
  const std::optional<NodeId> target = NextTarget(context);
  if (!target.has_value()) return;
  pending_ = PendingProbe{*target, ++last_sequence_, context.now(), false, false};
  SendProbe(context, *target, last_sequence_, false, payload);
}

void Membership::OnProbe(NodeContext& context, const PeerMessage& message, const Probe& probe,
                         const ProbePayload& payload) {
  for (const MemberUpdate& update : probe.updates) Apply(context, update);
  if (!probe.is_answer && probe.is_brief) {
    SendBriefProbe(context, message.sender.node, probe.sequence, true, payload);
    return;
  }
  if (!probe.is_answer) {
    SendProbe(context, message.sender.node, probe.sequence, true, payload);
    return;
  }
  if (pending_.has_value() && pending_->sequence == probe.sequence) pending_->answered = true;
  const auto forwarded = forwarded_.find(probe.sequence);
  if (forwarded == forwarded_.end()) return;
  const auto [asker, asker_sequence] = forwarded->second;
  forwarded_.erase(forwarded);
  SendProbe(context, asker, asker_sequence, true, payload);
}

void Membership::OnIndirectProbe(NodeContext& context, NodeId sender, const IndirectProbe& request,
                                 const ProbePayload& payload) {
  if (forwarded_.size() >= kForwardedLimit) forwarded_.erase(forwarded_.begin());
  forwarded_[++last_sequence_] = {sender, request.sequence};
  SendProbe(context, request.target, last_sequence_, false, payload);
}

void Membership::SendBriefProbe(NodeContext& context, NodeId target, std::uint64_t sequence, bool is_answer,
                                const ProbePayload& payload) {
  Probe probe{sequence, is_answer, {}, {}, payload.settled_view, payload.leader, true};
  // The view's number must come with it, so that a superseded one is noticed.
  for (const ObjectDigest& digest : payload.digests) {
    if (digest.kind == ObjectKind::kView) probe.digests.push_back(digest);
  }
  context.Send(target, probe);
}

void Membership::ProbeBriefly(NodeContext& context, NodeId target, const ProbePayload& payload) {
  SendBriefProbe(context, target, ++last_sequence_, false, payload);
}

void Membership::AnnounceLeaving(NodeContext& context, const ProbePayload& payload) {
  leaving_ = true;
  for (const NodeId peer : AlivePeers()) SendProbe(context, peer, ++last_sequence_, false, payload);
}

std::vector<NodeId> Membership::AlivePeers() const {
  std::vector<NodeId> peers;
  for (const auto& [node, member] : members_) {
    if (IsPresent(member.update.state)) peers.push_back(node);
  }
  return peers;
}

std::vector<NodeId> Membership::AlivePeersInZone(ZoneId zone) const {
  std::vector<NodeId> peers;
  for (const auto& [node, member] : members_) {
    if (IsPresent(member.update.state) && member.update.zone == zone) peers.push_back(node);
  }
  return peers;
}

std::vector<MemberUpdate> Membership::AliveMembers(const NodeContext& context) const {
  std::vector<MemberUpdate> alive;
  for (const auto& [node, member] : members_) {
    // Hearing a node is better evidence than any rumour of its death.
    const bool heard = member.update.state == MemberState::kDead &&
                       HeardWithin(context, member.update.node, context.parameters().contact_timeout);
    if (IsPresent(member.update.state) || heard) alive.push_back(member.update);
  }
  if (!leaving_) alive.push_back({context.self().incarnation, context.self().zone, MemberState::kAlive, 0});
  std::sort(alive.begin(), alive.end(),
            [](const MemberUpdate& left, const MemberUpdate& right) { return left.node < right.node; });
  return alive;
}

const Member* Membership::Find(NodeId node) const {
  const auto entry = members_.find(node);
  return entry == members_.end() ? nullptr : &entry->second;
}

bool Membership::IsAlive(NodeId node) const {
  const Member* member = Find(node);
  return member != nullptr && IsPresent(member->update.state);
}

bool Membership::IsReplaced(const NodeContext& context, const NodeIncarnation& incarnation) const {
  const NodeIncarnation& self = context.self().incarnation;
  if (incarnation.node == self.node) return self.boot > incarnation.boot;
  const Member* member = Find(incarnation.node);
  return member != nullptr && member->update.node.boot > incarnation.boot;
}

bool Membership::HeardWithin(const NodeContext& context, const NodeIncarnation& incarnation, Duration age) const {
  if (incarnation == context.self().incarnation) return true;
  const Member* member = Find(incarnation.node);
  return member != nullptr && member->update.node == incarnation && context.now() - member->last_heard <= age &&
         member->last_heard != Time{};
}

}  // namespace saltquay
