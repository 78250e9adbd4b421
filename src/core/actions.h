// The core's seam, outward: everything that a Node may ask of its driver.
//
// A driver carries out actions in order. Where an action has an answer, the
// driver turns it into the event named at the action.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/status.h"
#include "src/base/event_catalogue.h"
#include "src/core/messages.h"
#include "src/core/types.h"

namespace saltquay {

// Best effort: may be lost, doubled or reordered.
struct SendPeer {
  NodeId to;
  PeerMessage message;
};

// Starts an attempt. Answers: EngineFrameReceived..., or AttemptFailed.
struct StartAttempt {
  EngineId engine;
  Attempt attempt;
};

// Picks up an attempt's stream at `offset` on the same engine run. If that run
// never saw the attempt it bars it and answers kNeverSeen.
// Answers: EngineFrameReceived..., or AttemptFailed.
struct ResumeAttempt {
  EngineId engine;
  BootId boot;
  AttemptId attempt;
  std::uint32_t offset = 0;
};

// Stops an attempt; no answer.
struct CancelAttempt {
  EngineId engine;
  AttemptId attempt;
};

// Reads an engine's state; with `raise_fence` the engine first raises its
// fence to that token. Answer: EngineStateRead.
struct ReadEngineState {
  EngineId engine;
  std::optional<FenceToken> raise_fence;
  std::uint64_t cache_events_after = 0;  // Sequence of the last cache event known.
};

// Answer: OrderAnswered.
struct SendOrder {
  EngineId engine;
  EngineOrder order;
};

// Answer: StoreAnswered.
struct StoreRead {
  StoreOperationId operation;
  std::string key;
};

// Compare-and-swap on the object's version (0: must be absent).
// Answer: StoreAnswered.
struct StoreWrite {
  StoreOperationId operation;
  std::string key;
  std::uint64_t expected_version = 0;
  std::string value;
};

// Answer: MachineListRead.
struct ReadMachineList {};

// Output tokens for a caller, in order and without gaps.
struct DeliverTokens {
  RequestHandle handle;
  std::uint32_t token_count = 0;
  std::string text;
};

// The final answer to a caller; nothing follows it.
struct FinishRequest {
  RequestHandle handle;
  Outcome outcome = Outcome::kUnknown;
  absl::Status status;                  // OK only with kCompleted.
  std::optional<Duration> retry_after;  // With every refusal.
  std::uint32_t total_tokens = 0;
  std::uint32_t prompt_tokens = 0;
};

// The final answer to an operator.
struct FinishCommand {
  CommandHandle handle;
  absl::Status status;
  std::uint64_t generation = 0;  // In force, or rolled by this command.
  std::string bundle_name;
  std::string detail;  // kShow and kHistory: JSON.
};

// Addresses changed; the driver uses them from now on.
struct UseMachineList {
  MachineList list;
};

struct WriteLog {
  EventId event;
  std::string details;
};

// The planned stop is complete; the driver ends the process with 0.
struct ExitProcess {};

using Action = std::variant<SendPeer, StartAttempt, ResumeAttempt, CancelAttempt, ReadEngineState, SendOrder, StoreRead,
                            StoreWrite, ReadMachineList, DeliverTokens, FinishRequest, FinishCommand, UseMachineList,
                            WriteLog, ExitProcess>;
using ActionList = std::vector<Action>;

}  // namespace saltquay
