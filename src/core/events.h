// The core's seam, inward: everything that a driver may tell a Node.
//
// Drivers call Node::OnEvent(now, event, actions) from one thread at a time.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/core/messages.h"
#include "src/core/types.h"

namespace saltquay {

// Time passed. The driver sends one every Parameters::tick_interval.
struct Tick {};

struct PeerMessageReceived {
  PeerMessage message;
};

// A caller's request. The answer comes as DeliverTokens and FinishRequest.
struct CallerRequest {
  RequestHandle handle;
  RequestSpec spec;
};

// The caller went away; its request is cancelled.
struct CallerGone {
  RequestHandle handle;
};

struct EngineFrameReceived {
  EngineId engine;
  EngineFrame frame;
};

enum class AttemptFailure : std::uint8_t {
  kNotSent,    // The engine never got the attempt (connection refused).
  kRefused,    // The engine answered that it did not and will not start it.
  kBroken,     // Sent, then the connection broke or timed out.
  kNeverSeen,  // Answer to a resume: unknown attempt, now barred from starting.
  kOtherBoot,  // Answer to a resume: the engine run that had it is gone.
};

struct AttemptFailed {
  EngineId engine;
  AttemptId attempt;
  AttemptFailure failure = AttemptFailure::kBroken;
};

// Answer to ReadEngineState; nullopt when the engine did not answer.
struct EngineStateRead {
  EngineId engine;
  std::optional<EngineState> state;
};

// Answer to SendOrder; nullopt when no answer came.
struct OrderAnswered {
  EngineId engine;
  FenceToken order;
  std::optional<OrderVerdict> verdict;
};

enum class StoreResult : std::uint8_t {
  kDone,         // Read, or written.
  kConflict,     // The expected version was not the present one.
  kUnavailable,  // Refused before any effect.
  kNoAnswer,     // The effect, if any, is not known.
};

// One stored object. Version 0: absent.
struct StoredObject {
  std::uint64_t version = 0;
  std::string value;
};

// Answer to StoreRead and StoreWrite. `object` is the present content for
// kDone and kConflict.
struct StoreAnswered {
  StoreOperationId operation;
  StoreResult result = StoreResult::kUnavailable;
  StoredObject object;
};

// The platform's machine list, as read by a node that watches it.
struct MachineListRead {
  std::optional<MachineList> list;  // nullopt: the platform did not answer.
};

enum class CommandKind : std::uint8_t {
  kPublish,
  kApprove,
  kRoll,
  kShow,     // One bundle, with its approval.
  kHistory,  // Generations rolled, newest last.
};

// An operator's command.
struct OperatorCommand {
  CommandHandle handle;
  CommandKind kind = CommandKind::kPublish;
  std::string operator_name;
  std::string bundle_name;
  std::string bundle_text;                           // kPublish only.
  std::optional<std::uint64_t> expected_generation;  // kRoll: generation that the operator saw.
};

// Planned stop.
struct StopRequested {};

using Event =
    std::variant<Tick, PeerMessageReceived, CallerRequest, CallerGone, EngineFrameReceived, AttemptFailed,
                 EngineStateRead, OrderAnswered, StoreAnswered, MachineListRead, OperatorCommand, StopRequested>;

}  // namespace saltquay
