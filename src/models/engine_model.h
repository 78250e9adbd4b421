// A model engine as the users describe theirs, for the simulator and the
// stand-in engine alike.
//
// It batches continuously in steps: each step decodes one token of every
// running stream and, by role, takes a chunk of waiting prompts. It caches
// prompt prefixes in bounded memory, honours priorities, resumes and cancels
// streams, exports and imports KV caches, and takes fenced orders. The model
// is passive: its driver calls it with the engine's own clock.
//
// Not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "src/base/time.h"
#include "src/core/bundle/bundle.h"
#include "src/core/events.h"
#include "src/core/types.h"
#include "src/models/prefix_cache.h"

namespace saltquay {

// How this engine behaves beyond its pool's profile.
struct EngineModelOptions {
  EngineProfile profile;
  std::size_t cache_blocks = 4096;
  Duration load_time{2'000'000};  // Of a model's weights, at the weight store's share.
  Duration role_change_time{3'000'000};
  Duration forget_after{120'000'000};  // Ended attempts are remembered this long.
  Duration report_lag{50'000};         // Load in a state read may be this old.
  std::uint32_t frame_tokens = 1;      // Tokens gathered into one frame after the first.
};

// An attempt and a moment of it.
struct AttemptMoment {
  AttemptId attempt;
  Time at{};
};

// What an engine says when a call cannot go on.
struct AttemptRefused {
  AttemptId attempt;
  AttemptFailure failure = AttemptFailure::kRefused;
};

// Frames and refusals since the last call, in order.
struct EngineOutput {
  std::vector<EngineFrame> frames;
  std::vector<AttemptRefused> refusals;
  std::vector<AttemptMoment> started;  // Work that truly began, for checkers.
  std::vector<AttemptId> cut;          // Requests that an order cut off.
  bool conflicting_order = false;      // An order was taken while another was in progress.
};

class EngineModel {
 public:
  EngineModel(EngineId id, BootId boot, const EngineModelOptions& options);

  // Begins an attempt. A repeat of a known one is refused.
  void Start(Time now, const Attempt& attempt, EngineOutput* output);
  // Sends a known attempt's tokens from `offset`; bars an unknown one.
  void Resume(Time now, BootId boot, const AttemptId& attempt, std::uint32_t offset, EngineOutput* output);
  void Cancel(Time now, const AttemptId& attempt);

  // Raises the fence, if asked, and reports the state.
  EngineState ReadState(Time now, const std::optional<FenceToken>& raise_fence, std::uint64_t cache_events_after);
  OrderVerdict Order(Time now, const EngineOrder& order, EngineOutput* output);

  // When Advance() is next due, if anything is under way.
  std::optional<Time> NextStepTime() const;
  // Carries out what is due at `now`.
  void Advance(Time now, EngineOutput* output);

  // Takes over a prompt's cache from another engine: how long that lasts.
  Duration ImportTime(std::uint32_t prompt_tokens) const;
  bool HasExport(const AttemptId& attempt) const { return exports_.contains(attempt); }

  BootId boot() const { return boot_; }
  EngineRole role() const { return role_; }
  bool order_in_progress() const { return order_.has_value(); }
  std::uint64_t generation() const { return generation_; }
  std::size_t stream_count() const { return streams_.size(); }
  double busy_seconds() const { return busy_seconds_; }
  ModelVersionId model_version() const { return model_version_; }

 private:
  enum class Phase { kWaiting, kPrefilling, kDecoding, kEnded };
  struct Stream {
    Attempt attempt;
    Phase phase = Phase::kWaiting;
    std::uint64_t arrival = 0;
    std::uint32_t cached = 0;
    std::uint32_t prefill_left = 0;
    std::uint32_t produced = 0;  // Offset after the last token made.
    std::uint32_t framed = 0;    // Offset after the last token sent.
    bool started = false;
    bool first_frame_sent = false;
    Time not_before{};  // A KV import ends then.
    FinishReason finish = FinishReason::kNone;
  };

  struct LoadSnapshot {
    Time at{};
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t queued_prefill_tokens = 0;
  };

  void RefreshSnapshot(Time now);
  void BeginStep(Time now, EngineOutput* output);
  void FinishStep(Time now, EngineOutput* output);
  std::vector<Stream*> PrefillOrder();
  std::uint32_t PlanPrefill(Time now, EngineOutput* output);
  std::uint32_t ChunkLimit() const;
  std::optional<AttemptFailure> RefusalOf(const Attempt& attempt) const;
  OrderVerdict JudgeOrder(Time now, const EngineOrder& order) const;
  void MarkStarted(Time now, Stream& stream, EngineOutput* output);
  void FinishPrefill(Stream& stream, EngineOutput* output);
  void EmitFrame(Stream& stream, EngineOutput* output);
  Stream* FindStream(const AttemptId& attempt);
  void Bar(Time now, const AttemptId& attempt);
  static void End(Stream& stream, FinishReason finish);
  void SweepEnded(Time now);
  std::size_t DecodingCount() const;
  std::size_t ActiveCount() const;
  std::optional<Time> NextWorkTime() const;
  void FinishOrder();
  void CutAll(Time now, EngineOutput* output);
  void ForgetOld(Time now);

  EngineId id_;
  BootId boot_;
  EngineModelOptions options_;
  FenceToken fence_;
  EngineRole role_ = EngineRole::kWhole;
  ModelVersionId model_version_;
  std::uint64_t generation_ = 0;
  std::optional<EngineOrder> order_;
  Time order_done_at_{};
  FenceToken last_order_;
  std::map<AttemptId, Stream> streams_;       // Waiting and running.
  std::map<AttemptId, Stream> ended_;         // Kept for resumption.
  std::deque<AttemptMoment> forget_;          // When to forget what, oldest first.
  std::set<AttemptId> forgotten_;             // Started, ended, and no longer kept.
  std::map<AttemptId, std::uint32_t> chunk_;  // Prompt tokens of the present step.
  std::set<AttemptId> barred_;                // Refused for good.
  std::set<AttemptId> exports_;
  PrefixCache cache_;
  LoadSnapshot snapshot_;
  std::optional<Time> step_ends_at_;
  std::uint64_t last_arrival_ = 0;
  double busy_seconds_ = 0;
};

}  // namespace saltquay
