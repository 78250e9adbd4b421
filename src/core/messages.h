// Messages between nodes. src/wire/codec.h turns them into FlatBuffers.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "src/core/types.h"

namespace saltquay {

// ---- Membership -----------------------------------------------------------

enum class MemberState : std::uint8_t { kAlive = 0, kSuspect = 1, kDead = 2, kLeft = 3 };

// What one node says of another. Newer refutation numbers win; within one,
// the worse state wins.
struct MemberUpdate {
  NodeIncarnation node;
  ZoneId zone;
  MemberState state = MemberState::kAlive;
  std::uint32_t refutation = 0;
  bool operator==(const MemberUpdate&) const = default;
};

// ---- Dissemination --------------------------------------------------------

// Versioned objects that every node of a cell holds.
enum class ObjectKind : std::uint8_t { kRolledBundle = 0, kView = 1, kMachineList = 2, kDrainList = 3 };
inline constexpr int kObjectKindCount = 4;

// Compared like a fence token; objects from the store use `view` for the
// store's own number and leave the rest 0.
using ObjectVersion = FenceToken;

struct ObjectDigest {
  ObjectKind kind = ObjectKind::kRolledBundle;
  ObjectVersion version;
  bool operator==(const ObjectDigest&) const = default;
};

// Who leads the cell, as far as the sender knows.
struct LeaderHint {
  std::uint64_t view = 0;
  std::uint64_t ballot = 0;
  NodeId leader;
  auto operator<=>(const LeaderHint&) const = default;
};

// Probe, or the answer to one when `is_answer`. Both carry gossip.
struct Probe {
  std::uint64_t sequence = 0;
  bool is_answer = false;
  std::vector<MemberUpdate> updates;
  std::vector<ObjectDigest> digests;
  std::uint64_t settled_view = 0;
  LeaderHint leader;
  // Sent only to hear the receiver; carries and asks for as little as can be.
  bool is_brief = false;
};

// Asks the receiver to probe `target` on the sender's behalf.
struct IndirectProbe {
  NodeId target;
  std::uint64_t sequence = 0;
};

// Tells the receiver that the sender has this version.
struct ObjectAnnounce {
  ObjectDigest digest;
};

struct ObjectPush {
  ObjectKind kind = ObjectKind::kRolledBundle;
  ObjectVersion version;
  std::string bytes;
};

struct ObjectPull {
  ObjectKind kind = ObjectKind::kRolledBundle;
};

struct LoadDelta {
  std::vector<EngineLoad> loads;
  std::vector<ModelDemand> demands;
};

// ---- Authority ------------------------------------------------------------

struct LeaseRequest {
  std::uint64_t view = 0;
  std::uint64_t ballot = 0;
  std::uint64_t round = 0;  // Matches the reply to the request.
  Duration length{0};
};

struct LeaseReply {
  std::uint64_t view = 0;
  std::uint64_t ballot = 0;
  std::uint64_t round = 0;
  bool granted = false;
  std::uint64_t promised_ballot = 0;
};

struct LeaseRelease {
  std::uint64_t view = 0;
  std::uint64_t ballot = 0;
};

// Asks a seat of `sealed_view` to grant nothing more in it.
struct SealRequest {
  std::uint64_t sealed_view = 0;
  std::uint64_t next_view = 0;
};

struct SealReply {
  std::uint64_t sealed_view = 0;
  std::uint64_t next_view = 0;
  bool seat_lost = false;  // This incarnation never held that seat.
  Duration lease_remaining{0};
};

// ---- At-most-once records --------------------------------------------------

// Identity of a claim; the number is unique within the owner.
struct ClaimId {
  NodeIncarnation owner;
  std::uint64_t number = 0;
  auto operator<=>(const ClaimId&) const = default;
};

// One dispatcher's claim to run one key.
struct RecordClaim {
  std::string key;
  ClaimId id;
  EngineId engine;
  BootId engine_boot;
  std::uint32_t attempt_number = 0;
  bool finished = false;
  Outcome outcome = Outcome::kUnknown;
};

enum class ClaimVerdict : std::uint8_t { kGranted, kExists, kNotReady };

struct ClaimRequest {
  std::uint64_t view = 0;
  RecordClaim claim;
  // An earlier claim that the sender has proved will never run; number 0: none.
  ClaimId replaces;
};

struct ClaimReply {
  std::uint64_t view = 0;
  ClaimId claim;
  ClaimVerdict verdict = ClaimVerdict::kNotReady;
  RecordClaim existing;  // With kExists.
};

// Withdraws a claim that never led to a send.
struct ClaimRelease {
  std::string key;
  ClaimId claim;
};

// Says how a claimed key ended.
struct ClaimOutcome {
  RecordClaim claim;
};

struct RecordTransferRequest {
  std::uint64_t view = 0;  // The view for which records are gathered.
};

struct RecordTransfer {
  std::uint64_t view = 0;
  bool member_lost = false;  // This incarnation holds no records of earlier views.
  std::vector<RecordClaim> records;
};

// Asks the owner of a claim for the answer.
struct JoinRequest {
  std::string key;
  std::uint64_t join_number = 0;
};

struct JoinReply {
  std::uint64_t join_number = 0;
  bool known = false;
  bool finished = false;
  Outcome outcome = Outcome::kUnknown;
  std::string text;
  std::uint32_t token_count = 0;
};

using MessageBody =
    std::variant<Probe, IndirectProbe, ObjectAnnounce, ObjectPush, ObjectPull, LoadDelta, LeaseRequest, LeaseReply,
                 LeaseRelease, SealRequest, SealReply, ClaimRequest, ClaimReply, ClaimRelease, ClaimOutcome,
                 RecordTransferRequest, RecordTransfer, JoinRequest, JoinReply>;

// A message with its sender.
struct PeerMessage {
  NodeIncarnation sender;
  ZoneId sender_zone;
  // The incarnation that the sender believes it speaks to; boot 0 where any will do.
  NodeIncarnation receiver;
  MessageBody body;
};

}  // namespace saltquay
