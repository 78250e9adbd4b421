// Plain data shared by the decision core, its drivers and the codec.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/base/ids.h"
#include "src/base/status.h"
#include "src/base/time.h"

namespace saltquay {

// What part of a request an engine works on.
enum class EngineRole : std::uint8_t {
  kWhole = 0,    // Prompt and output, as one pool.
  kPrefill = 1,  // Long prompts; hands its KV cache to a decode engine.
  kDecode = 2,   // Output of long prompts, and short requests whole.
};
inline constexpr int kEngineRoleCount = 3;

enum class MachineKind : std::uint8_t { kNode = 0, kEngine = 1 };
enum class MachineState : std::uint8_t { kLive = 0, kLeaving = 1 };

// One row of the platform's machine list.
struct Machine {
  std::uint32_t id = 0;
  MachineKind kind = MachineKind::kNode;
  MachineState state = MachineState::kLive;
  std::string zone_name;
  ZoneId zone;          // MakeZoneId(zone_name).
  std::string address;  // "ip:port": peer port of a node, HTTP port of an engine.
  std::string pool;     // Engines only: the bundle's engine pool.
  bool operator==(const Machine&) const = default;
};

// The machine list at one of its revisions.
struct MachineList {
  std::uint64_t revision = 0;
  std::vector<Machine> machines;
};

// A change of an engine's prefix cache. Late, and with gaps in `sequence`.
struct CacheEvent {
  std::uint64_t sequence = 0;
  bool added = false;  // False: evicted.
  BlockHash block;
  bool operator==(const CacheEvent&) const = default;
};

// An engine's own account of itself.
struct EngineState {
  EngineId engine;
  BootId boot;
  FenceToken fence;
  EngineRole role = EngineRole::kWhole;
  ModelVersionId model_version;
  std::uint64_t generation = 0;  // Of the last order carried out; 0 after a start.
  bool order_in_progress = false;
  FenceToken last_order;      // Identity of the last accepted order.
  std::uint32_t running = 0;  // Requests that prefill or decode.
  std::uint32_t waiting = 0;  // Requests not started.
  std::uint64_t queued_prefill_tokens = 0;
  std::uint64_t clock_stamp_us = 0;      // The engine's own clock at the read.
  std::vector<CacheEvent> cache_events;  // Since the sequence that the read named.
  bool operator==(const EngineState&) const = default;
};

// A change of what an engine serves, or as what.
struct EngineOrder {
  FenceToken token;  // Also the order's identity.
  BootId boot;       // The engine run that it is meant for.
  EngineRole role = EngineRole::kWhole;
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  std::uint64_t generation = 0;
  std::uint64_t quoted_stamp_us = 0;  // EngineState::clock_stamp_us of the read it rests on.
  Duration validity{0};               // The engine refuses past quoted stamp + validity.
  bool only_when_idle = true;         // Refused while requests run or wait.
};

enum class OrderVerdict : std::uint8_t {
  kAccepted,
  kRepeated,      // The same order again; nothing done twice.
  kRefusedFence,  // A higher token was seen.
  kRefusedBoot,
  kRefusedStale,  // Past its validity.
  kRefusedBusy,
};

// Why an engine stopped a stream.
enum class FinishReason : std::uint8_t { kNone, kLength, kPrefillDone, kCancelled };

// What an attempt asks an engine to do.
enum class AttemptMode : std::uint8_t { kWhole, kPrefill, kDecode };

// One attempt as sent to an engine.
struct Attempt {
  AttemptId id;
  BootId boot;  // The engine run that it is meant for; another refuses it.
  AttemptMode mode = AttemptMode::kWhole;
  ModelVersionId model_version;
  std::string prompt;
  std::uint32_t prompt_tokens = 0;
  std::vector<BlockHash> prompt_blocks;
  std::uint64_t prompt_hash = 0;
  std::uint32_t start_offset = 0;  // Output tokens that the caller already has.
  std::uint32_t max_output_tokens = 0;
  int priority = 0;  // Higher goes first.
  // Decode mode: where the KV cache lies.
  EngineId import_from;
  std::string import_address;
  AttemptId import_attempt;
};

// A piece of an attempt's answer.
struct EngineFrame {
  AttemptId attempt;
  BootId boot;
  std::uint32_t offset = 0;  // Of the first token in `text`.
  std::uint32_t token_count = 0;
  std::string text;
  FinishReason finish = FinishReason::kNone;
  std::uint32_t total_tokens = 0;   // With a terminal frame: offset after the last token.
  std::uint32_t cached_tokens = 0;  // With the first frame: prompt tokens found in the cache.
};

enum class Outcome : std::uint8_t { kCompleted, kNotRun, kUnknown };

// A caller's request, checked and ready for admission.
struct RequestSpec {
  std::string tenant;
  std::string request_class;
  std::string model;
  std::string prompt;
  std::uint32_t prompt_tokens = 0;
  std::vector<BlockHash> prompt_blocks;
  std::uint64_t prompt_hash = 0;
  std::uint32_t max_output_tokens = 0;
  int priority = 0;
  std::optional<Duration> deadline;  // From arrival; the class's own otherwise.
  std::string idempotency_key;       // Empty: the node mints one.
  bool repeatable = true;
  // The caller vouches that no earlier submission of the key is unsettled, so
  // that a refusal before anything is sent proves that it never ran.
  bool first_submission = false;
};

// A load report as peers spread it.
struct EngineLoad {
  EngineId engine;
  BootId boot;
  EngineRole role = EngineRole::kWhole;
  ModelVersionId model_version;
  std::uint32_t generation = 0;
  bool available = true;  // False while an order is in progress or the engine does not answer.
  std::uint16_t running = 0;
  std::uint16_t waiting = 0;
  std::uint32_t queued_prefill_tokens = 0;
  bool operator==(const EngineLoad&) const = default;
};

// Work offered to one node for one model, tokens a second, smoothed.
struct ModelDemand {
  std::uint32_t model = 0;  // Hash of the model's name.
  float prefill_tokens_per_second = 0;
  float whole_prefill_tokens_per_second = 0;  // Part that short requests bring to decode engines.
  float output_tokens_per_second = 0;
  bool operator==(const ModelDemand&) const = default;
};

}  // namespace saltquay
