#include "src/models/engine_model.h"

#include <algorithm>

#include "src/base/hash.h"
#include "src/models/token_text.h"

namespace saltquay {
namespace {

constexpr std::uint32_t kPrefillChunkTokens = 2048;
constexpr std::uint32_t kWholeChunkTokens = 512;
constexpr Duration kShortestStep{500};
constexpr Duration kShortestOrder{100'000};

std::uint64_t StampOf(Time now) { return static_cast<std::uint64_t>(now.time_since_epoch().count()); }

}  // namespace

EngineModel::EngineModel(EngineId id, BootId boot, const EngineModelOptions& options)
    : id_(id), boot_(boot), options_(options), cache_(options.cache_blocks) {}

std::optional<AttemptFailure> EngineModel::RefusalOf(const Attempt& attempt) const {
  const bool other_boot = attempt.boot != BootId{} && attempt.boot != boot_;
  const bool other_model = attempt.model_version != model_version_;
  const bool role_misfit = (attempt.mode == AttemptMode::kPrefill && role_ != EngineRole::kPrefill) ||
                           (attempt.mode != AttemptMode::kPrefill && role_ == EngineRole::kPrefill);
  if (other_boot || other_model || role_misfit || order_.has_value() || barred_.contains(attempt.id)) {
    return AttemptFailure::kRefused;
  }
  return std::nullopt;
}

void EngineModel::Start(Time now, const Attempt& attempt, EngineOutput* output) {
  if (streams_.contains(attempt.id) || ended_.contains(attempt.id) || forgotten_.contains(attempt.id)) return;
  const std::optional<AttemptFailure> refusal = RefusalOf(attempt);
  if (refusal.has_value()) {
    Bar(now, attempt.id);
    output->refusals.push_back({attempt.id, *refusal});
    return;
  }
  Stream& stream = streams_[attempt.id];
  stream.attempt = attempt;
  stream.arrival = ++last_arrival_;
  stream.produced = attempt.start_offset;
  stream.framed = attempt.start_offset;
  if (attempt.mode == AttemptMode::kDecode) {
    stream.phase = Phase::kDecoding;
    stream.not_before = now + ImportTime(attempt.prompt_tokens);
    stream.cached = attempt.prompt_tokens;
    MarkStarted(now, stream, output);
  } else {
    stream.prefill_left = attempt.prompt_tokens + attempt.start_offset;
  }
  if (!step_ends_at_.has_value()) BeginStep(now, output);
}

Duration EngineModel::ImportTime(std::uint32_t prompt_tokens) const {
  return FromSeconds(prompt_tokens * options_.profile.kv_bytes_per_token / options_.profile.kv_bytes_per_second);
}

void EngineModel::MarkStarted(Time now, Stream& stream, EngineOutput* output) {
  if (stream.started) return;
  stream.started = true;
  output->started.push_back({stream.attempt.id, now});
}

void EngineModel::Resume(Time now, BootId boot, const AttemptId& attempt, std::uint32_t offset, EngineOutput* output) {
  if (boot != boot_) {
    output->refusals.push_back({attempt, AttemptFailure::kOtherBoot});
    return;
  }
  if (forgotten_.contains(attempt)) {
    output->refusals.push_back({attempt, AttemptFailure::kOtherBoot});
    return;
  }
  Stream* stream = FindStream(attempt);
  if (stream == nullptr) {
    Bar(now, attempt);
    output->refusals.push_back({attempt, AttemptFailure::kNeverSeen});
    return;
  }
  if (stream->finish == FinishReason::kCancelled) {
    output->refusals.push_back({attempt, stream->started ? AttemptFailure::kOtherBoot : AttemptFailure::kNeverSeen});
    return;
  }
  stream->framed = std::min(offset, stream->produced);
  if (stream->framed < stream->produced || stream->phase == Phase::kEnded) EmitFrame(*stream, output);
}

void EngineModel::Cancel(Time now, const AttemptId& attempt) {
  const auto entry = streams_.find(attempt);
  if (entry != streams_.end()) {
    End(entry->second, FinishReason::kCancelled);
    SweepEnded(now);
    return;
  }
  if (FindStream(attempt) == nullptr && !forgotten_.contains(attempt)) Bar(now, attempt);
}

EngineModel::Stream* EngineModel::FindStream(const AttemptId& attempt) {
  const auto active = streams_.find(attempt);
  if (active != streams_.end()) return &active->second;
  const auto ended = ended_.find(attempt);
  return ended == ended_.end() ? nullptr : &ended->second;
}

// A barred attempt is refused from now on.
void EngineModel::Bar(Time now, const AttemptId& attempt) {
  if (barred_.insert(attempt).second) forget_.push_back({attempt, now});
}

std::size_t EngineModel::ActiveCount() const { return streams_.size(); }

std::size_t EngineModel::DecodingCount() const {
  return static_cast<std::size_t>(std::count_if(streams_.begin(), streams_.end(), [](const auto& entry) {
    return entry.second.phase == Phase::kDecoding || entry.second.phase == Phase::kPrefilling;
  }));
}

EngineState EngineModel::ReadState(Time now, const std::optional<FenceToken>& raise_fence,
                                   std::uint64_t cache_events_after) {
  if (raise_fence.has_value()) fence_ = std::max(fence_, *raise_fence);
  EngineState state;
  state.engine = id_;
  state.boot = boot_;
  state.fence = fence_;
  state.role = role_;
  state.model_version = model_version_;
  state.generation = generation_;
  state.order_in_progress = order_.has_value();
  state.last_order = last_order_;
  RefreshSnapshot(now);
  state.running = snapshot_.running;
  state.waiting = snapshot_.waiting;
  state.queued_prefill_tokens = snapshot_.queued_prefill_tokens;
  state.clock_stamp_us = StampOf(now);
  state.cache_events = cache_.EventsAfter(cache_events_after);
  return state;
}

void EngineModel::RefreshSnapshot(Time now) {
  if (snapshot_.at != Time{} && now - snapshot_.at < options_.report_lag) return;
  snapshot_ = LoadSnapshot{now, 0, 0, 0};
  for (const auto& [id, stream] : streams_) {
    (stream.phase == Phase::kWaiting ? snapshot_.waiting : snapshot_.running) += 1;
    snapshot_.queued_prefill_tokens += stream.prefill_left;
  }
}

OrderVerdict EngineModel::JudgeOrder(Time now, const EngineOrder& order) const {
  if (order.token == last_order_) return OrderVerdict::kRepeated;
  if (order.token <= fence_) return OrderVerdict::kRefusedFence;
  if (order.boot != boot_) return OrderVerdict::kRefusedBoot;
  const bool limited = order.validity > Duration{0};
  if (limited && StampOf(now) > order.quoted_stamp_us + static_cast<std::uint64_t>(order.validity.count())) {
    return OrderVerdict::kRefusedStale;
  }
  if (order.only_when_idle && ActiveCount() > 0) return OrderVerdict::kRefusedBusy;
  return OrderVerdict::kAccepted;
}

OrderVerdict EngineModel::Order(Time now, const EngineOrder& order, EngineOutput* output) {
  const OrderVerdict verdict = JudgeOrder(now, order);
  if (verdict != OrderVerdict::kAccepted) return verdict;
  output->conflicting_order = order_.has_value();
  CutAll(now, output);
  fence_ = order.token;
  last_order_ = order.token;
  order_ = order;
  const bool other_model = MakeModelVersionId(order.model, order.version, order.adapters) != model_version_;
  const bool other_role = order.role != role_;
  Duration lasts = kShortestOrder;
  if (other_model) lasts += options_.load_time;
  if (other_role && model_version_ != ModelVersionId{}) lasts += options_.role_change_time;
  order_done_at_ = now + lasts;
  return verdict;
}

void EngineModel::CutAll(Time now, EngineOutput* output) {
  for (auto& [id, stream] : streams_) {
    output->cut.push_back(id);
    output->refusals.push_back({id, AttemptFailure::kBroken});
    End(stream, FinishReason::kCancelled);
  }
  SweepEnded(now);
  step_ends_at_.reset();
  chunk_.clear();
}

void EngineModel::FinishOrder() {
  const ModelVersionId loaded = MakeModelVersionId(order_->model, order_->version, order_->adapters);
  if (loaded != model_version_ || order_->role != role_) {
    cache_.Clear();
    exports_.clear();
  }
  model_version_ = loaded;
  role_ = order_->role;
  generation_ = order_->generation;
  order_.reset();
}

std::optional<Time> EngineModel::NextWorkTime() const {
  std::optional<Time> next;
  for (const auto& [id, stream] : streams_) {
    if (!next.has_value() || stream.not_before < *next) next = stream.not_before;
  }
  return next;
}

std::optional<Time> EngineModel::NextStepTime() const {
  std::optional<Time> next = step_ends_at_;
  if (!next.has_value()) next = NextWorkTime();
  if (order_.has_value() && (!next.has_value() || order_done_at_ < *next)) next = order_done_at_;
  return next;
}

void EngineModel::Advance(Time now, EngineOutput* output) {
  if (order_.has_value() && now >= order_done_at_) FinishOrder();
  if (step_ends_at_.has_value() && now >= *step_ends_at_) FinishStep(now, output);
  if (!step_ends_at_.has_value()) BeginStep(now, output);
  ForgetOld(now);
}

std::uint32_t EngineModel::ChunkLimit() const {
  switch (role_) {
    case EngineRole::kPrefill:
      return kPrefillChunkTokens;
    case EngineRole::kDecode:
      return options_.profile.decode_chunk_tokens;
    case EngineRole::kWhole:
      return kWholeChunkTokens;
  }
  return kWholeChunkTokens;
}

std::vector<EngineModel::Stream*> EngineModel::PrefillOrder() {
  std::vector<Stream*> order;
  for (auto& [id, stream] : streams_) {
    if (stream.phase == Phase::kWaiting || stream.phase == Phase::kPrefilling) order.push_back(&stream);
  }
  std::sort(order.begin(), order.end(), [](const Stream* left, const Stream* right) {
    if (left->attempt.priority != right->attempt.priority) return left->attempt.priority > right->attempt.priority;
    return left->arrival < right->arrival;
  });
  return order;
}

std::uint32_t EngineModel::PlanPrefill(Time now, EngineOutput* output) {
  chunk_.clear();
  std::uint32_t planned = 0;
  std::size_t slots = DecodingCount();
  for (Stream* stream : PrefillOrder()) {
    const bool needs_slot = stream->phase == Phase::kWaiting;
    if (planned >= ChunkLimit()) break;
    if (needs_slot && slots >= options_.profile.max_streams) continue;
    if (needs_slot) {
      ++slots;
      stream->phase = Phase::kPrefilling;
      // At least one token is computed, to produce the first output token.
      stream->cached = std::min(cache_.CachedTokens(stream->attempt.prompt_blocks), stream->prefill_left - 1);
      stream->prefill_left -= stream->cached;
      MarkStarted(now, *stream, output);
    }
    const std::uint32_t tokens = std::min(stream->prefill_left, ChunkLimit() - planned);
    chunk_[stream->attempt.id] = tokens;
    planned += tokens;
  }
  return planned;
}

void EngineModel::BeginStep(Time now, EngineOutput* output) {
  if (order_.has_value()) return;
  const std::uint32_t prefill_tokens = PlanPrefill(now, output);
  std::size_t decoding = 0;
  for (const auto& [id, stream] : streams_) {
    if (stream.phase == Phase::kDecoding && stream.not_before <= now) ++decoding;
  }
  if (decoding == 0 && prefill_tokens == 0) return;
  Duration lasts = FromSeconds(prefill_tokens / options_.profile.prefill_tokens_per_second);
  if (decoding > 0) {
    const auto batch = static_cast<std::int64_t>(std::min<std::size_t>(decoding, options_.profile.max_streams));
    lasts += options_.profile.decode_step + options_.profile.decode_per_stream * batch;
  }
  lasts = std::max(lasts, kShortestStep);
  busy_seconds_ += ToSeconds(lasts);
  step_ends_at_ = now + lasts;
}

void EngineModel::FinishStep(Time now, EngineOutput* output) {
  const Time began_before = *step_ends_at_;
  step_ends_at_.reset();
  std::size_t decoded = 0;
  for (auto& [id, stream] : streams_) {
    const bool decodes = stream.phase == Phase::kDecoding && stream.not_before < began_before;
    if (!decodes || decoded >= options_.profile.max_streams) continue;
    ++decoded;
    stream.produced += 1;
    const bool done = stream.produced >= stream.attempt.max_output_tokens;
    if (done) End(stream, FinishReason::kLength);
    const bool full = stream.produced - stream.framed >= options_.frame_tokens;
    if (done || full || !stream.first_frame_sent) EmitFrame(stream, output);
  }
  for (const auto& [id, tokens] : chunk_) {
    const auto entry = streams_.find(id);
    if (entry == streams_.end() || entry->second.phase != Phase::kPrefilling) continue;
    entry->second.prefill_left -= tokens;
    if (entry->second.prefill_left == 0) FinishPrefill(entry->second, output);
  }
  chunk_.clear();
  SweepEnded(now);
}

void EngineModel::FinishPrefill(Stream& stream, EngineOutput* output) {
  cache_.Insert(stream.attempt.prompt_blocks);
  if (stream.attempt.mode == AttemptMode::kPrefill) {
    exports_.insert(stream.attempt.id);
    End(stream, FinishReason::kPrefillDone);
    return EmitFrame(stream, output);
  }
  stream.phase = Phase::kDecoding;
  stream.produced += 1;
  if (stream.produced >= stream.attempt.max_output_tokens) End(stream, FinishReason::kLength);
  EmitFrame(stream, output);
}

void EngineModel::EmitFrame(Stream& stream, EngineOutput* output) {
  EngineFrame frame;
  frame.attempt = stream.attempt.id;
  frame.boot = boot_;
  frame.offset = stream.framed;
  frame.token_count = stream.produced - stream.framed;
  frame.text = TokenTexts(stream.attempt.prompt_hash, stream.framed, frame.token_count);
  frame.cached_tokens = stream.cached;
  if (stream.phase == Phase::kEnded) {
    frame.finish = stream.finish;
    frame.total_tokens = stream.produced;
  }
  stream.framed = stream.produced;
  stream.first_frame_sent = true;
  output->frames.push_back(std::move(frame));
}

void EngineModel::End(Stream& stream, FinishReason finish) {
  stream.phase = Phase::kEnded;
  stream.finish = finish;
  stream.prefill_left = 0;
}

// Ended streams are kept for resumption, without what only running needs.
void EngineModel::SweepEnded(Time now) {
  for (auto entry = streams_.begin(); entry != streams_.end();) {
    if (entry->second.phase != Phase::kEnded) {
      ++entry;
      continue;
    }
    entry->second.attempt.prompt.clear();
    entry->second.attempt.prompt_blocks.clear();
    forget_.push_back({entry->first, now});
    ended_.insert(streams_.extract(entry++));
  }
}

// Started attempts stay known by identity, so that none is ever taken for one
// that was never seen.
void EngineModel::ForgetOld(Time now) {
  while (!forget_.empty() && now - forget_.front().at >= options_.forget_after) {
    const AttemptId& attempt = forget_.front().attempt;
    const auto entry = ended_.find(attempt);
    if (entry != ended_.end()) {
      if (entry->second.started) forgotten_.insert(attempt);
      if (!entry->second.started) barred_.insert(attempt);
      exports_.erase(attempt);
      ended_.erase(entry);
    }
    forget_.pop_front();
  }
}

}  // namespace saltquay
