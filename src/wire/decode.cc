// FlatBuffers to peer messages. Everything is checked before it is used.
#include <optional>

#include "src/base/deflate.h"
#include "src/wire/codec.h"
#include "src/wire/peer_generated.h"

namespace saltquay {
namespace {

// Thrown nowhere: decoders report a bad value through this flag.
struct Check {
  bool ok = true;

  template <typename Enum>
  Enum Enumerator(std::uint8_t value, Enum last) {
    if (value > static_cast<std::uint8_t>(last)) ok = false;
    return static_cast<Enum>(value);
  }

  template <typename Pointer>
  bool Present(const Pointer* pointer) {
    if (pointer == nullptr) ok = false;
    return pointer != nullptr;
  }
};

Duration FromMicroseconds(Check& check, std::uint64_t microseconds) {
  constexpr std::uint64_t kLongest = 3'600'000'000;
  if (microseconds > kLongest) check.ok = false;
  return Duration{static_cast<std::int64_t>(microseconds)};
}

NodeIncarnation FromWire(const wire::Incarnation& node) { return {NodeId{node.node()}, BootId{node.boot()}}; }
ObjectVersion FromWire(const wire::Version& version) { return {version.view(), version.ballot(), version.sequence()}; }
ClaimId FromWire(const wire::Claim& claim) { return {FromWire(claim.owner()), claim.number()}; }

ObjectDigest FromWire(Check& check, const wire::Digest& digest) {
  return {check.Enumerator(digest.kind(), ObjectKind::kDrainList), FromWire(digest.version())};
}

MemberUpdate FromWire(Check& check, const wire::Update& update) {
  return {FromWire(update.node()), ZoneId{update.zone()}, check.Enumerator(update.state(), MemberState::kLeft),
          update.refutation()};
}

EngineLoad FromWire(Check& check, const wire::Load& load) {
  EngineLoad value;
  value.engine = EngineId{load.engine()};
  value.boot = BootId{load.boot()};
  value.role = check.Enumerator(load.role(), EngineRole::kDecode);
  value.model_version = ModelVersionId{load.model_version()};
  value.generation = load.generation();
  value.available = load.available();
  value.running = load.running();
  value.waiting = load.waiting();
  value.queued_prefill_tokens = load.queued_prefill_tokens();
  return value;
}

std::string ToText(const flatbuffers::Vector<std::uint8_t>* bytes) {
  if (bytes == nullptr) return "";
  return std::string(reinterpret_cast<const char*>(bytes->data()), bytes->size());
}

std::string ToText(const flatbuffers::String* text) { return text == nullptr ? "" : text->str(); }

RecordClaim Decode(Check& check, const wire::Record* record) {
  RecordClaim claim;
  if (!check.Present(record) || !check.Present(record->claim())) return claim;
  claim.key = ToText(record->key());
  claim.id = FromWire(*record->claim());
  claim.engine = EngineId{record->engine()};
  claim.engine_boot = BootId{record->engine_boot()};
  claim.attempt_number = record->attempt_number();
  claim.finished = record->finished();
  claim.outcome = check.Enumerator(record->outcome(), Outcome::kUnknown);
  return claim;
}

Probe Decode(Check& check, const wire::Probe& body) {
  Probe probe;
  probe.sequence = body.sequence();
  probe.is_answer = body.is_answer();
  if (body.updates() != nullptr) {
    for (const wire::Update* update : *body.updates()) probe.updates.push_back(FromWire(check, *update));
  }
  if (body.digests() != nullptr) {
    for (const wire::Digest* digest : *body.digests()) probe.digests.push_back(FromWire(check, *digest));
  }
  probe.settled_view = body.settled_view();
  probe.is_brief = body.is_brief();
  if (check.Present(body.leader())) {
    probe.leader = {body.leader()->view(), body.leader()->ballot(), NodeId{body.leader()->node()}};
  }
  return probe;
}

IndirectProbe Decode(Check&, const wire::IndirectProbe& body) { return {NodeId{body.target()}, body.sequence()}; }

ObjectAnnounce Decode(Check& check, const wire::ObjectAnnounce& body) {
  if (!check.Present(body.digest())) return {};
  return {FromWire(check, *body.digest())};
}

ObjectPush Decode(Check& check, const wire::ObjectPush& body) {
  if (!check.Present(body.digest())) return {};
  const ObjectDigest digest = FromWire(check, *body.digest());
  std::optional<std::string> bytes = Inflate(ToText(body.bytes()), body.size(), kMaxPeerMessageBytes);
  if (!bytes.has_value()) check.ok = false;
  return {digest.kind, digest.version, bytes.value_or("")};
}

ObjectPull Decode(Check& check, const wire::ObjectPull& body) {
  return {check.Enumerator(body.kind(), ObjectKind::kDrainList)};
}

LoadDelta Decode(Check& check, const wire::LoadDelta& body) {
  LoadDelta delta;
  if (body.loads() != nullptr) {
    for (const wire::Load* load : *body.loads()) delta.loads.push_back(FromWire(check, *load));
  }
  if (body.demands() != nullptr) {
    for (const wire::Demand* demand : *body.demands()) {
      delta.demands.push_back({demand->model(), demand->prefill_tokens_per_second(),
                               demand->whole_prefill_tokens_per_second(), demand->output_tokens_per_second()});
    }
  }
  return delta;
}

LeaseRequest Decode(Check& check, const wire::LeaseRequest& body) {
  return {body.view(), body.ballot(), body.round(), FromMicroseconds(check, body.length_us())};
}

LeaseReply Decode(Check&, const wire::LeaseReply& body) {
  return {body.view(), body.ballot(), body.round(), body.granted(), body.promised_ballot()};
}

LeaseRelease Decode(Check&, const wire::LeaseRelease& body) { return {body.view(), body.ballot()}; }

SealRequest Decode(Check&, const wire::SealRequest& body) { return {body.sealed_view(), body.next_view()}; }

SealReply Decode(Check& check, const wire::SealReply& body) {
  return {body.sealed_view(), body.next_view(), body.seat_lost(), FromMicroseconds(check, body.lease_remaining_us())};
}

ClaimRequest Decode(Check& check, const wire::ClaimRequest& body) {
  if (!check.Present(body.replaces())) return {};
  return {body.view(), Decode(check, body.record()), FromWire(*body.replaces())};
}

ClaimReply Decode(Check& check, const wire::ClaimReply& body) {
  if (!check.Present(body.claim())) return {};
  return {body.view(), FromWire(*body.claim()), check.Enumerator(body.verdict(), ClaimVerdict::kNotReady),
          Decode(check, body.existing())};
}

ClaimRelease Decode(Check& check, const wire::ClaimRelease& body) {
  if (!check.Present(body.claim())) return {};
  return {ToText(body.key()), FromWire(*body.claim())};
}

ClaimOutcome Decode(Check& check, const wire::ClaimOutcome& body) { return {Decode(check, body.record())}; }

RecordTransferRequest Decode(Check&, const wire::RecordTransferRequest& body) { return {body.view()}; }

RecordTransfer Decode(Check& check, const wire::RecordTransfer& body) {
  RecordTransfer transfer{body.view(), body.member_lost(), {}};
  if (body.records() == nullptr) return transfer;
  for (const wire::Record* record : *body.records()) transfer.records.push_back(Decode(check, record));
  return transfer;
}

JoinRequest Decode(Check&, const wire::JoinRequest& body) { return {ToText(body.key()), body.join_number()}; }

JoinReply Decode(Check& check, const wire::JoinReply& body) {
  return {body.join_number(),  body.known(),      body.finished(), check.Enumerator(body.outcome(), Outcome::kUnknown),
          ToText(body.text()), body.token_count()};
}

template <typename Wire>
bool DecodeAs(Check& check, const wire::Envelope& envelope, std::optional<MessageBody>* decoded) {
  const Wire* body = envelope.body_as<Wire>();
  if (body != nullptr) *decoded = MessageBody{Decode(check, *body)};
  return body != nullptr;
}

template <typename... Wires>
std::optional<MessageBody> DecodeOneOf(Check& check, const wire::Envelope& envelope) {
  std::optional<MessageBody> decoded;
  const bool found = (DecodeAs<Wires>(check, envelope, &decoded) || ...);
  return found ? std::move(decoded) : std::nullopt;
}

std::optional<MessageBody> DecodeBody(Check& check, const wire::Envelope& envelope) {
  return DecodeOneOf<wire::Probe, wire::IndirectProbe, wire::ObjectAnnounce, wire::ObjectPush, wire::ObjectPull,
                     wire::LoadDelta, wire::LeaseRequest, wire::LeaseReply, wire::LeaseRelease, wire::SealRequest,
                     wire::SealReply, wire::ClaimRequest, wire::ClaimReply, wire::ClaimRelease, wire::ClaimOutcome,
                     wire::RecordTransferRequest, wire::RecordTransfer, wire::JoinRequest, wire::JoinReply>(check,
                                                                                                            envelope);
}

absl::Status Corrupt(const char* what) {
  return MakeError(ErrorKind::kCorrupt, std::string("a peer message ") + what + "; check who reaches the peer port");
}

}  // namespace

absl::StatusOr<PeerMessage> DecodePeerMessage(std::string_view bytes) {
  flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  if (bytes.size() > kMaxPeerMessageBytes || !wire::VerifyEnvelopeBuffer(verifier)) return Corrupt("does not verify");
  const wire::Envelope* envelope = wire::GetEnvelope(bytes.data());
  if (envelope->sender() == nullptr || envelope->receiver() == nullptr) return Corrupt("has no sender or receiver");
  Check check;
  std::optional<MessageBody> body = DecodeBody(check, *envelope);
  if (!body.has_value() || !check.ok) return Corrupt("holds a value out of range");
  return PeerMessage{FromWire(*envelope->sender()), ZoneId{envelope->sender_zone()}, FromWire(*envelope->receiver()),
                     std::move(*body)};
}

}  // namespace saltquay
