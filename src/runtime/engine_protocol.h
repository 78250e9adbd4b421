// The engines' HTTP protocol: JSON requests, newline-delimited JSON streams.
// Shared by the node and the stand-in engine. docs/API.md describes it.
#pragma once

#include <optional>
#include <string>

#include "src/base/status.h"
#include "src/core/events.h"
#include "src/core/types.h"

namespace saltquay {

// Paths.
inline constexpr char kEngineAttemptsPath[] = "/v1/attempts";
inline constexpr char kEngineResumePath[] = "/v1/attempts/resume";
inline constexpr char kEngineCancelPath[] = "/v1/attempts/cancel";
inline constexpr char kEngineExportPath[] = "/v1/export";
inline constexpr char kEngineStatePath[] = "/v1/state";
inline constexpr char kEngineOrdersPath[] = "/v1/orders";

// Asks for a known attempt's stream again.
struct ResumeRequest {
  BootId boot;
  AttemptId attempt;
  std::uint32_t offset = 0;
};

// Reads the state, raising the fence first if asked.
struct StateRequest {
  std::optional<FenceToken> raise_fence;
  std::uint64_t cache_events_after = 0;
};

std::string EncodeAttempt(const Attempt& attempt);
std::string EncodeFrame(const EngineFrame& frame);  // One line, with its newline.
std::string EncodeState(const EngineState& state);
std::string EncodeOrder(const EngineOrder& order);
std::string EncodeVerdict(OrderVerdict verdict);
std::string EncodeResume(const ResumeRequest& request);
std::string EncodeAttemptId(const AttemptId& attempt);
std::string EncodeStateRequest(const StateRequest& request);
// The body of an answer that refuses an attempt.
std::string EncodeFailure(AttemptFailure failure);

// Errors are kCorrupt.
absl::StatusOr<Attempt> DecodeAttempt(const std::string& text);
absl::StatusOr<EngineFrame> DecodeFrame(const std::string& line);
absl::StatusOr<EngineState> DecodeState(const std::string& text);
absl::StatusOr<EngineOrder> DecodeOrder(const std::string& text);
absl::StatusOr<OrderVerdict> DecodeVerdict(const std::string& text);
absl::StatusOr<ResumeRequest> DecodeResume(const std::string& text);
absl::StatusOr<AttemptId> DecodeAttemptId(const std::string& text);
absl::StatusOr<StateRequest> DecodeStateRequest(const std::string& text);
absl::StatusOr<AttemptFailure> DecodeFailure(const std::string& text);

}  // namespace saltquay
