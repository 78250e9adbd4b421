// What a node does with each message of its peers.
#include "src/core/node.h"

namespace saltquay {

void Node::NoteDigests(NodeId sender, const std::vector<ObjectDigest>& digests) {
  for (const ObjectDigest& digest : digests) {
    if (digest.kind == ObjectKind::kRolledBundle) {
      peer_generations_[sender] = digest.version.view;
      ledger_.OnGenerationHeld(context_, digest.version.view);
    }
    // Nothing more is granted or recorded in a view known to be superseded.
    if (digest.kind == ObjectKind::kView) {
      voter_.SealBelow(digest.version.view);
      records_.SealBelow(digest.version.view);
    }
  }
  objects_.OnDigests(context_, sender, digests);
}

void Node::OnMessage(const PeerMessage& message, const Probe& body) {
  const NodeId sender = message.sender.node;
  settled_views_[message.sender] = body.settled_view;
  if (body.leader > leader_) {
    leader_ = body.leader;
    lease_.NoteLeaderInView(leader_);
  }
  const bool has_no_bundle = !body.is_brief && body.digests.empty();
  if (has_no_bundle) peer_generations_.try_emplace(sender, 0);
  membership_.OnProbe(context_, message, body, MakeProbePayload());
  NoteDigests(sender, body.digests);
}

void Node::OnMessage(const PeerMessage& message, const IndirectProbe& body) {
  membership_.OnIndirectProbe(context_, message.sender.node, body, MakeProbePayload());
}

void Node::OnMessage(const PeerMessage& message, const ObjectAnnounce& body) {
  NoteDigests(message.sender.node, {body.digest});
}

void Node::OnMessage(const PeerMessage& message, const ObjectPush& body) {
  NoteDigests(message.sender.node, {ObjectDigest{body.kind, body.version}});
  OfferObject(body.kind, body.version, body.bytes);
}

void Node::OnMessage(const PeerMessage& message, const ObjectPull& body) {
  objects_.OnPull(context_, message.sender.node, body.kind);
}

void Node::OnMessage(const PeerMessage& message, const LoadDelta& body) {
  reporter_.OnDelta(context_, message.sender.node, table_, body);
}

void Node::OnMessage(const PeerMessage& message, const LeaseRequest& body) {
  const MemberSet& set = view_keeper_.view().current;
  const bool has_seat = set.HasSeat(context_.self().incarnation);
  context_.SendTo(message.sender, voter_.OnRequest(context_, message.sender, body, set.number, has_seat));
}

void Node::OnMessage(const PeerMessage& message, const LeaseReply& body) {
  lease_.OnLeaseReply(context_, message.sender, body);
}

void Node::OnMessage(const PeerMessage& message, const LeaseRelease& body) {
  voter_.OnRelease(context_, message.sender, body);
}

void Node::OnMessage(const PeerMessage& message, const SealRequest& body) {
  records_.SealBelow(body.next_view);
  context_.SendTo(message.sender, voter_.OnSeal(context_, body));
}

void Node::OnMessage(const PeerMessage& message, const SealReply& body) {
  lease_.OnSealReply(context_, message.sender, body);
}

void Node::OnMessage(const PeerMessage& message, const ClaimRequest& body) {
  const bool in_contact = view_keeper_.InContact(context_, membership_);
  context_.SendTo(message.sender, records_.OnClaim(context_, body, in_contact));
}

void Node::OnMessage(const PeerMessage& message, const ClaimReply& body) {
  dispatcher_.OnClaimReply(context_, MakeServingState(), message.sender, body);
}

void Node::OnMessage(const PeerMessage&, const ClaimRelease& body) { records_.OnRelease(body); }

void Node::OnMessage(const PeerMessage&, const ClaimOutcome& body) { records_.OnOutcome(context_, body.claim); }

void Node::OnMessage(const PeerMessage& message, const RecordTransferRequest& body) {
  voter_.SealBelow(body.view);
  context_.SendTo(message.sender, records_.OnTransferRequest(context_, message.sender, body));
}

void Node::OnMessage(const PeerMessage& message, const RecordTransfer& body) {
  records_.OnTransfer(context_, message.sender, body);
}

void Node::OnMessage(const PeerMessage& message, const JoinRequest& body) {
  dispatcher_.OnJoinRequest(context_, message.sender, body);
}

void Node::OnMessage(const PeerMessage&, const JoinReply& body) {
  dispatcher_.OnJoinReply(context_, MakeServingState(), body);
}

}  // namespace saltquay
