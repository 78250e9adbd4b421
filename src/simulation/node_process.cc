#include <utility>

#include "src/simulation/world.h"

namespace saltquay {
namespace {

constexpr std::size_t kQueuedWhilePaused = 4096;

}  // namespace

NodeProcess::NodeProcess(World& world, const Machine& machine, double clock_rate)
    : world_(world), machine_(machine), clock_rate_(clock_rate) {}

Time NodeProcess::LocalNow() const {
  const double elapsed = static_cast<double>(world_.queue().now().time_since_epoch().count());
  return Time{Duration{static_cast<std::int64_t>(elapsed * clock_rate_)}};
}

void NodeProcess::Start() {
  ++life_;
  paused_ = false;
  stopping_ = false;
  hold_next_actions_ = false;
  queued_.clear();
  held_.clear();
  const NodeIdentity identity{NodeIncarnation{id(), world_.NextBoot()}, machine_.zone};
  node_ = std::make_unique<Node>(identity, world_.options().parameters, world_.random().Bits());
  std::vector<Machine> seeds;
  for (const auto& [other_id, other] : world_.nodes()) {
    if (seeds.size() < 3) seeds.push_back(other->machine());
  }
  node_->SetSeeds(seeds);
  NoteDisturbed(world_.queue().now());
  ScheduleTick();
}

void NodeProcess::Kill() { End(false); }

void NodeProcess::Exit() { End(true); }

void NodeProcess::End(bool planned) {
  if (!alive()) return;
  node_.reset();
  queued_.clear();
  held_.clear();
  world_.clients()->OnNodeGone(id(), life_, planned);
}

void NodeProcess::Pause() {
  if (!alive() || paused_ || hold_next_actions_) return;
  hold_next_actions_ = true;
  NoteDisturbed(world_.queue().now());
}

void NodeProcess::Wake() {
  hold_next_actions_ = false;
  if (!alive() || !paused_) return;
  paused_ = false;
  NoteDisturbed(world_.queue().now());
  // First what it was about to do, then what arrived meanwhile.
  const ActionList held = std::exchange(held_, {});
  for (const Action& action : held) {
    if (alive()) world_.Execute(*this, action);
  }
  std::deque<Event> queued = std::exchange(queued_, {});
  for (const Event& event : queued) {
    if (alive()) Handle(event);
  }
}

void NodeProcess::ScheduleTick() {
  const Duration interval = world_.options().parameters.tick_interval;
  const std::uint64_t life = life_;
  world_.queue().After(interval, [this, life] {
    if (!alive() || life_ != life) return;
    if (!paused_) Handle(Tick{});
    if (alive() && life_ == life) ScheduleTick();
  });
}

void NodeProcess::Deliver(Event event) {
  if (!alive()) return;
  if (!paused_) return Handle(event);
  if (queued_.size() < kQueuedWhilePaused) queued_.push_back(std::move(event));
}

void NodeProcess::Handle(const Event& event) {
  ActionList actions;
  node_->OnEvent(LocalNow(), event, &actions);
  if (hold_next_actions_) {
    hold_next_actions_ = false;
    paused_ = true;
    held_ = std::move(actions);
    return;
  }
  for (const Action& action : actions) {
    if (alive()) world_.Execute(*this, action);
  }
}

}  // namespace saltquay
