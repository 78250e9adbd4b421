#include <algorithm>
#include <utility>

#include "src/simulation/world.h"

namespace saltquay {
namespace {

// A connection that a cut silences is given up after this long.
constexpr Duration kBrokenAfter = 1s;
constexpr Duration kShortestDelay{1};
constexpr Duration kLatestFrame = 3s;

}  // namespace

EngineProcess::EngineProcess(World& world, const Machine& machine, const EngineModelOptions& options, double clock_rate)
    : world_(world), machine_(machine), options_(options), clock_rate_(clock_rate) {}

Time EngineProcess::LocalNow() const {
  const double elapsed = static_cast<double>(world_.queue().now().time_since_epoch().count());
  return Time{Duration{static_cast<std::int64_t>(elapsed * clock_rate_)}};
}

void EngineProcess::Start() {
  ++life_;
  paused_ = false;
  model_ = std::make_unique<EngineModel>(id(), world_.NextBoot(), options_);
}

void EngineProcess::Crash() {
  if (!alive()) return;
  past_busy_seconds_ += model_->busy_seconds();
  model_.reset();
  queued_.clear();
  for (const auto& entry : senders_) {
    const AttemptId attempt = entry.first;
    const Sender& sender = entry.second;
    NodeProcess* node = world_.FindNode(sender.node);
    if (node == nullptr || node->life() != sender.node_life) continue;
    const EngineId engine = id();
    const std::uint64_t life = sender.node_life;
    world_.queue().After(world_.network().StreamDelay(endpoint(), node->endpoint()), [node, life, engine, attempt] {
      if (node->life() == life) node->Deliver(AttemptFailed{engine, attempt, AttemptFailure::kBroken});
    });
  }
  senders_.clear();
}

void EngineProcess::WhenAwake(std::function<void()> call) {
  if (!alive()) return;
  if (!paused_) return call();
  queued_.push_back(std::move(call));
}

void EngineProcess::Wake() {
  if (!paused_) return;
  paused_ = false;
  if (!alive()) return;
  const std::vector<std::function<void()>> queued = std::exchange(queued_, {});
  for (const std::function<void()>& call : queued) call();
  Schedule();
}

void EngineProcess::Schedule() {
  const std::optional<Time> next = model_->NextStepTime();
  if (!next.has_value()) return;
  const std::uint64_t schedule = ++schedule_;
  const std::uint64_t life = life_;
  const Duration local = std::max(kShortestDelay, *next - LocalNow());
  const Duration delay = std::max(kShortestDelay, FromSeconds(ToSeconds(local) / clock_rate_) + kShortestDelay);
  world_.queue().After(delay, [this, schedule, life] {
    if (alive() && life_ == life && schedule_ == schedule && !paused_) Advance();
  });
}

void EngineProcess::Advance() {
  EngineOutput output;
  model_->Advance(LocalNow(), &output);
  TakeOutput(output);
  Schedule();
}

void EngineProcess::TakeOutput(const EngineOutput& output) {
  const Time now = world_.queue().now();
  for (const AttemptMoment& started : output.started) {
    const auto sender = senders_.find(started.attempt);
    if (sender == senders_.end()) continue;
    world_.truth().OnWorkStarted(now, sender->second.work, sender->second.repeatable, started.attempt, model_->boot(),
                                 sender->second.sent_at);
  }
  for (const AttemptId& cut : output.cut) world_.truth().OnPlannedCut(now, id(), cut);
  if (output.conflicting_order) world_.truth().OnConflictingOrder(now, id());
  for (const EngineFrame& frame : output.frames) SendFrame(frame);
  for (const AttemptRefused& refused : output.refusals) SendRefusal(refused);
}

void EngineProcess::SendFrame(const EngineFrame& frame) {
  const auto entry = senders_.find(frame.attempt);
  if (entry == senders_.end()) return;
  Sender& sender = entry->second;
  NodeProcess* node = world_.FindNode(sender.node);
  const EngineId engine = id();
  const std::uint64_t life = sender.node_life;
  Random& random = world_.random();
  const auto deliver = [this, engine](NodeProcess* to, std::uint64_t to_life, Duration delay, EngineFrame copy) {
    world_.queue().After(delay, [to, to_life, engine, copy = std::move(copy)] {
      if (to->life() == to_life) to->Deliver(EngineFrameReceived{engine, copy});
    });
  };
  if (node != nullptr && node->alive() && node->life() == life) {
    if (world_.network().IsCut(endpoint(), node->endpoint())) {
      const AttemptId attempt = frame.attempt;
      world_.queue().After(kBrokenAfter, [node, life, engine, attempt] {
        if (node->life() == life) node->Deliver(AttemptFailed{engine, attempt, AttemptFailure::kBroken});
      });
      senders_.erase(entry);
      return;
    }
    // Bytes of one connection stay in order.
    const Time arrival = std::max(world_.queue().now() + world_.network().StreamDelay(endpoint(), node->endpoint()),
                                  sender.last_frame_arrival + kShortestDelay);
    sender.last_frame_arrival = arrival;
    deliver(node, life, arrival - world_.queue().now(), frame);
    const bool late = world_.options().late_frames > 0 && random.Chance(world_.options().late_frames);
    if (late) deliver(node, life, random.DurationBelow(kLatestFrame) + kShortestDelay, frame);
  }
  const bool crossed = world_.options().crossed_frames > 0 && random.Chance(world_.options().crossed_frames);
  if (crossed) {
    auto other = world_.nodes().begin();
    std::advance(other, static_cast<std::ptrdiff_t>(random.Below(world_.nodes().size())));
    deliver(other->second.get(), other->second->life(), random.DurationBelow(kLatestFrame) + kShortestDelay, frame);
  }
  if (frame.finish != FinishReason::kNone) senders_.erase(frame.attempt);
}

void EngineProcess::SendRefusal(const AttemptRefused& refused) {
  const auto entry = senders_.find(refused.attempt);
  if (entry == senders_.end()) return;
  const Sender sender = entry->second;
  senders_.erase(entry);
  NodeProcess* node = world_.FindNode(sender.node);
  if (node == nullptr || node->life() != sender.node_life) return;
  const bool cut = world_.network().IsCut(endpoint(), node->endpoint());
  const AttemptFailure failure = cut ? AttemptFailure::kBroken : refused.failure;
  const Duration delay = cut ? Duration(kBrokenAfter) : world_.network().StreamDelay(endpoint(), node->endpoint());
  const EngineId engine = id();
  world_.queue().After(delay, [node, sender, engine, refused, failure] {
    if (node->life() == sender.node_life) node->Deliver(AttemptFailed{engine, refused.attempt, failure});
  });
}

void EngineProcess::OnStart(NodeId from, const Attempt& attempt, Time sent_at) {
  NodeProcess* node = world_.FindNode(from);
  Sender sender;
  sender.node = from;
  sender.node_life = node->life();
  sender.sent_at = sent_at;
  sender.work = WorkId{attempt.prompt_hash};
  // Claimed attempts carry the claim in their key.
  sender.repeatable = attempt.id.key.find('/') == std::string::npos;
  senders_.emplace(attempt.id, sender);
  EngineOutput output;
  if (attempt.mode == AttemptMode::kDecode) {
    EngineProcess* source = world_.FindEngine(attempt.import_from);
    const bool held = source != nullptr && source->alive() && source->model().HasExport(attempt.import_attempt) &&
                      !world_.network().IsCut(source->endpoint(), endpoint());
    if (!held) return SendRefusal({attempt.id, AttemptFailure::kRefused});
  }
  model_->Start(LocalNow(), attempt, &output);
  TakeOutput(output);
  Schedule();
}

void EngineProcess::OnResume(NodeId from, BootId boot, const AttemptId& attempt, std::uint32_t offset) {
  NodeProcess* node = world_.FindNode(from);
  Sender& sender = senders_[attempt];
  sender.node = from;
  sender.node_life = node->life();
  EngineOutput output;
  model_->Resume(LocalNow(), boot, attempt, offset, &output);
  TakeOutput(output);
  Schedule();
}

void EngineProcess::OnCancel(const AttemptId& attempt) {
  model_->Cancel(LocalNow(), attempt);
  senders_.erase(attempt);
}

std::optional<EngineState> EngineProcess::OnReadState(const std::optional<FenceToken>& raise_fence,
                                                      std::uint64_t events_after) {
  if (!alive() || paused_) return std::nullopt;
  return model_->ReadState(LocalNow(), raise_fence, events_after);
}

std::optional<OrderVerdict> EngineProcess::OnOrder(NodeId from, const EngineOrder& order) {
  if (!alive() || paused_) return std::nullopt;
  EngineOutput output;
  const bool changes_role = model_->model_version() != ModelVersionId{} && model_->role() != order.role;
  const OrderVerdict verdict = model_->Order(LocalNow(), order, &output);
  if (verdict == OrderVerdict::kAccepted && changes_role) world_.CountRoleChange();
  if (verdict == OrderVerdict::kAccepted) {
    NodeProcess* sender = world_.FindNode(from);
    const bool gone = sender == nullptr || !sender->alive();
    bool holds = gone;
    if (!gone) {
      const std::optional<FenceToken> held = sender->node().PromisedLease(sender->LocalNow());
      holds = held.has_value() && held->view == order.token.view && held->ballot == order.token.ballot;
    }
    world_.truth().OnOrderAccepted(world_.queue().now(), id(), order.token, holds);
    world_.Fold(order.token.sequence);
  }
  TakeOutput(output);
  Schedule();
  return verdict;
}

}  // namespace saltquay
