// State of one caller's request inside its dispatcher.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "src/core/bundle/bundle.h"
#include "src/core/messages.h"
#include "src/core/routing/router.h"

namespace saltquay {

enum class RequestPhase {
  kClaiming,  // Non-repeatable: recorders decide whether it may run here.
  kJoining,   // Non-repeatable: the key is another claim's; its answer is sought.
  kRunning,   // An attempt is at an engine.
  kResuming,  // The attempt's stream broke; the same engine run is asked for it.
};

// Where the KV cache of a finished prefill lies.
struct KvLocation {
  EngineId engine;
  std::string address;
  ZoneId zone;
  AttemptId attempt;
};

struct ActiveRequest {
  RequestHandle handle;
  RequestSpec spec;
  // In force at admission and kept to the end.
  std::shared_ptr<const RolledBundle> bundle;
  const ModelDeclaration* model = nullptr;
  const PoolDeclaration* pool = nullptr;
  const ClassDeclaration* request_class = nullptr;
  std::string key;

  RequestPhase phase = RequestPhase::kRunning;
  Time arrived_at{};
  Time deadline_at{};
  std::uint32_t delivered = 0;  // Output tokens that the caller has.
  std::uint32_t attempts = 0;   // Sent so far, prefill and decode halves counted as one.
  std::uint32_t attempt_number = 0;
  bool maybe_ran = false;          // Some attempt may have started.
  bool earlier_maybe_ran = false;  // One before the present attempt may have.
  bool caller_gone = false;
  std::set<EngineId> avoid;
  std::optional<ModelVersionId> pinned_version;  // Of the tokens delivered.

  // The present attempt.
  Route route;
  AttemptId attempt;
  Time sent_at{};
  Time progress_at{};
  bool first_frame_seen = false;
  std::optional<KvLocation> kv;

  // Why it will not be sent, once the records prove that the key never ran.
  absl::Status deferred_refusal;
  std::optional<Duration> deferred_retry_after;
  bool tenant_admitted = false;

  // Non-repeatable work.
  ClaimId claim;
  ClaimId replaces;
  RecordClaim existing;  // While joining.
  std::uint64_t join_number = 0;
  Time join_started_at{};
  Time next_step_at{};  // Of the next join or resume try.
  Time resume_started_at{};
  std::string answer;  // Kept for those who join.
};

}  // namespace saltquay
