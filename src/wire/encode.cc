// Peer messages to FlatBuffers.
#include <vector>

#include "src/base/deflate.h"
#include "src/wire/codec.h"
#include "src/wire/peer_generated.h"

namespace saltquay {
namespace {

using Builder = flatbuffers::FlatBufferBuilder;
using BodyOffset = flatbuffers::Offset<void>;

constexpr std::size_t kInitialBytes = 256;

wire::Incarnation ToWire(const NodeIncarnation& node) { return {node.boot.value, node.node.value}; }
wire::Version ToWire(const ObjectVersion& version) { return {version.view, version.ballot, version.sequence}; }
wire::Digest ToWire(const ObjectDigest& digest) {
  return {ToWire(digest.version), static_cast<std::uint8_t>(digest.kind)};
}
wire::Update ToWire(const MemberUpdate& update) {
  return {ToWire(update.node), update.refutation, update.zone.value, static_cast<std::uint8_t>(update.state)};
}
wire::Leader ToWire(const LeaderHint& leader) { return {leader.view, leader.ballot, leader.leader.value}; }
wire::Claim ToWire(const ClaimId& claim) { return {ToWire(claim.owner), claim.number}; }
wire::Load ToWire(const EngineLoad& load) {
  return {load.boot.value,
          load.engine.value,
          load.model_version.value,
          load.generation,
          load.queued_prefill_tokens,
          load.running,
          load.waiting,
          static_cast<std::uint8_t>(load.role),
          load.available};
}
wire::Demand ToWire(const ModelDemand& demand) {
  return {demand.model, demand.prefill_tokens_per_second, demand.whole_prefill_tokens_per_second,
          demand.output_tokens_per_second};
}

template <typename Wire, typename Value>
flatbuffers::Offset<flatbuffers::Vector<const Wire*>> ToWireVector(Builder& builder, const std::vector<Value>& values) {
  std::vector<Wire> structs;
  structs.reserve(values.size());
  for (const Value& value : values) structs.push_back(ToWire(value));
  return builder.CreateVectorOfStructs(structs);
}

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> ToBytes(Builder& builder, const std::string& text) {
  return builder.CreateVector(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
}

std::uint64_t Microseconds(Duration duration) { return static_cast<std::uint64_t>(duration.count()); }

flatbuffers::Offset<wire::Record> EncodeRecord(Builder& builder, const RecordClaim& claim) {
  const auto key = builder.CreateString(claim.key);
  const wire::Claim id = ToWire(claim.id);
  return wire::CreateRecord(builder, key, &id, claim.engine.value, claim.engine_boot.value, claim.attempt_number,
                            claim.finished, static_cast<std::uint8_t>(claim.outcome));
}

BodyOffset Encode(Builder& builder, const Probe& body) {
  const auto updates = ToWireVector<wire::Update>(builder, body.updates);
  const auto digests = ToWireVector<wire::Digest>(builder, body.digests);
  const wire::Leader leader = ToWire(body.leader);
  return wire::CreateProbe(builder, body.sequence, body.is_answer, updates, digests, body.settled_view, &leader,
                           body.is_brief)
      .Union();
}

BodyOffset Encode(Builder& builder, const IndirectProbe& body) {
  return wire::CreateIndirectProbe(builder, body.target.value, body.sequence).Union();
}

BodyOffset Encode(Builder& builder, const ObjectAnnounce& body) {
  const wire::Digest digest = ToWire(body.digest);
  return wire::CreateObjectAnnounce(builder, &digest).Union();
}

BodyOffset Encode(Builder& builder, const ObjectPush& body) {
  const auto bytes = ToBytes(builder, Deflate(body.bytes));
  const wire::Digest digest = ToWire(ObjectDigest{body.kind, body.version});
  return wire::CreateObjectPush(builder, &digest, bytes, static_cast<std::uint32_t>(body.bytes.size())).Union();
}

BodyOffset Encode(Builder& builder, const ObjectPull& body) {
  return wire::CreateObjectPull(builder, static_cast<std::uint8_t>(body.kind)).Union();
}

BodyOffset Encode(Builder& builder, const LoadDelta& body) {
  const auto loads = ToWireVector<wire::Load>(builder, body.loads);
  const auto demands = ToWireVector<wire::Demand>(builder, body.demands);
  return wire::CreateLoadDelta(builder, loads, demands).Union();
}

BodyOffset Encode(Builder& builder, const LeaseRequest& body) {
  return wire::CreateLeaseRequest(builder, body.view, body.ballot, body.round, Microseconds(body.length)).Union();
}

BodyOffset Encode(Builder& builder, const LeaseReply& body) {
  return wire::CreateLeaseReply(builder, body.view, body.ballot, body.round, body.granted, body.promised_ballot)
      .Union();
}

BodyOffset Encode(Builder& builder, const LeaseRelease& body) {
  return wire::CreateLeaseRelease(builder, body.view, body.ballot).Union();
}

BodyOffset Encode(Builder& builder, const SealRequest& body) {
  return wire::CreateSealRequest(builder, body.sealed_view, body.next_view).Union();
}

BodyOffset Encode(Builder& builder, const SealReply& body) {
  return wire::CreateSealReply(builder, body.sealed_view, body.next_view, body.seat_lost,
                               Microseconds(body.lease_remaining))
      .Union();
}

BodyOffset Encode(Builder& builder, const ClaimRequest& body) {
  const auto record = EncodeRecord(builder, body.claim);
  const wire::Claim replaces = ToWire(body.replaces);
  return wire::CreateClaimRequest(builder, body.view, record, &replaces).Union();
}

BodyOffset Encode(Builder& builder, const ClaimReply& body) {
  const auto existing = EncodeRecord(builder, body.existing);
  const wire::Claim claim = ToWire(body.claim);
  return wire::CreateClaimReply(builder, body.view, &claim, static_cast<std::uint8_t>(body.verdict), existing).Union();
}

BodyOffset Encode(Builder& builder, const ClaimRelease& body) {
  const auto key = builder.CreateString(body.key);
  const wire::Claim claim = ToWire(body.claim);
  return wire::CreateClaimRelease(builder, key, &claim).Union();
}

BodyOffset Encode(Builder& builder, const ClaimOutcome& body) {
  return wire::CreateClaimOutcome(builder, EncodeRecord(builder, body.claim)).Union();
}

BodyOffset Encode(Builder& builder, const RecordTransferRequest& body) {
  return wire::CreateRecordTransferRequest(builder, body.view).Union();
}

BodyOffset Encode(Builder& builder, const RecordTransfer& body) {
  std::vector<flatbuffers::Offset<wire::Record>> records;
  for (const RecordClaim& claim : body.records) records.push_back(EncodeRecord(builder, claim));
  return wire::CreateRecordTransfer(builder, body.view, body.member_lost, builder.CreateVector(records)).Union();
}

BodyOffset Encode(Builder& builder, const JoinRequest& body) {
  return wire::CreateJoinRequest(builder, builder.CreateString(body.key), body.join_number).Union();
}

BodyOffset Encode(Builder& builder, const JoinReply& body) {
  const auto text = ToBytes(builder, body.text);
  return wire::CreateJoinReply(builder, body.join_number, body.known, body.finished,
                               static_cast<std::uint8_t>(body.outcome), text, body.token_count)
      .Union();
}

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  Builder builder(kInitialBytes);
  const BodyOffset body = std::visit([&](const auto& typed) { return Encode(builder, typed); }, message.body);
  // The union lists its members in the order of MessageBody, after NONE.
  const auto type = static_cast<wire::Body>(message.body.index() + 1);
  const wire::Incarnation sender = ToWire(message.sender);
  const wire::Incarnation receiver = ToWire(message.receiver);
  wire::FinishEnvelopeBuffer(builder,
                             wire::CreateEnvelope(builder, &sender, &receiver, message.sender_zone.value, type, body));
  return std::string(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
}

}  // namespace saltquay
