#include "src/simulation/operators.h"

#include <algorithm>

#include <fmt/format.h>

namespace saltquay {
namespace {

constexpr Duration kInForceLimit = 5s;
constexpr Duration kCheckInterval = 250ms;
constexpr Duration kTryAgain = 2s;
constexpr Duration kNoAnswer = 25s;
constexpr int kMostTries = 20;

}  // namespace

Operators::Operators(World& world, Callers& callers) : world_(world) {
  callers.SetCommandListener([this](NodeId node, const FinishCommand& finish) { OnAnswer(node, finish); });
}

std::uint64_t Operators::newest_accepted() const {
  std::uint64_t newest = 0;
  for (const AcceptedRoll& roll : accepted_) newest = std::max(newest, roll.generation);
  return newest;
}

void Operators::RollOut(const BundlePlan& plan) { Send(Job{plan, Stage::kPublish, 0, "ana"}); }

void Operators::Race(const BundlePlan& first, const BundlePlan& second) {
  Send(Job{first, Stage::kPublish, 0, "ana"});
  Send(Job{second, Stage::kPublish, 0, "ines"});
}

void Operators::Send(const Job& job) {
  std::vector<NodeProcess*> alive;
  for (auto& [id, node] : world_.nodes()) {
    if (node->alive() && !node->paused()) alive.push_back(node.get());
  }
  if (alive.empty()) return Next(job, kTryAgain);
  NodeProcess* node = alive[world_.random().Below(alive.size())];
  OperatorCommand command;
  command.handle = CommandHandle{++last_handle_};
  command.bundle_name = job.plan.name;
  command.operator_name = job.who;
  switch (job.stage) {
    case Stage::kPublish:
      command.kind = CommandKind::kPublish;
      command.bundle_text = MakeBundleText(world_.options().deployment, job.plan);
      break;
    case Stage::kApprove:
      command.kind = CommandKind::kApprove;
      command.operator_name = "luis";
      break;
    case Stage::kRoll:
      command.kind = CommandKind::kRoll;
      break;
  }
  pending_[command.handle] = Pending{job, world_.queue().now()};
  const CommandHandle handle = command.handle;
  world_.queue().After(kNoAnswer, [this, handle] {
    const auto entry = pending_.find(handle);
    if (entry == pending_.end()) return;
    const Job job_without_answer = entry->second.job;
    pending_.erase(entry);
    Next(job_without_answer, Duration{1});
  });
  node->Deliver(command);
}

void Operators::Next(Job job, Duration after) {
  if (++job.tries > kMostTries) return;
  world_.queue().After(after, [this, job] { Send(job); });
}

void Operators::OnAnswer(NodeId node, const FinishCommand& finish) {
  const auto entry = pending_.find(finish.handle);
  if (entry == pending_.end()) return;
  Job job = entry->second.job;
  pending_.erase(entry);
  const ErrorKind kind = KindOf(finish.status);
  const bool done_before = !finish.status.ok() && kind == ErrorKind::kConflict && job.stage != Stage::kRoll;
  world_.Trace(fmt::format("operator {} at node {}: {} {}", job.who, node.value, job.plan.name,
                           finish.status.ok() ? "accepted" : MessageOf(finish.status)));
  if (finish.status.ok() && job.stage == Stage::kRoll) {
    world_.Fold(finish.generation);
    accepted_.push_back(AcceptedRoll{finish.generation, world_.queue().now()});
    return;
  }
  if (finish.status.ok() || done_before) {
    job.stage = job.stage == Stage::kPublish ? Stage::kApprove : Stage::kRoll;
    return Next(job, Duration{1});
  }
  // Lost a race: the winner's generation is in force, and this operator yields.
  if (kind == ErrorKind::kConflict) return;
  Next(job, kTryAgain);
}

void Operators::WatchNodes() {
  CheckNodes();
  world_.queue().After(kCheckInterval, [this] { WatchNodes(); });
}

void Operators::CheckNode(NodeProcess& node) {
  const Time now = world_.queue().now();
  const std::shared_ptr<const RolledBundle> bundle = node.node().bundle();
  const std::uint64_t generation = bundle == nullptr ? 0 : bundle->generation;
  std::uint64_t& seen = seen_[{node.id(), node.life()}];
  if (generation < seen) {
    world_.truth().Report(Invariant::kBundleInForceAndNeverReverts, now,
                          fmt::format("node {} went from generation {} to {}", node.id().value, seen, generation));
  }
  seen = std::max(seen, generation);
  for (const AcceptedRoll& roll : accepted_) {
    const Time known_from = std::max(roll.at, world_.UndisturbedSince(node, false));
    if (generation >= roll.generation || now - known_from <= kInForceLimit) continue;
    world_.truth().Report(Invariant::kBundleInForceAndNeverReverts, now,
                          fmt::format("node {} has generation {}, {} was accepted {:.1f} s ago", node.id().value,
                                      generation, roll.generation, ToSeconds(now - roll.at)));
  }
}

void Operators::CheckNodes() {
  const Time now = world_.queue().now();
  for (auto& [id, node] : world_.nodes()) {
    if (node->alive() && !node->paused()) CheckNode(*node);
  }
  for (const AcceptedRoll& roll : accepted_) {
    bool& everywhere = in_force_everywhere_[roll.generation];
    if (everywhere) continue;
    everywhere = std::all_of(world_.nodes().begin(), world_.nodes().end(), [&](const auto& entry) {
      NodeProcess& node = *entry.second;
      const bool judged = node.alive() && !node.paused() && world_.UndisturbedSince(node, false) <= roll.at;
      if (!judged) return true;
      const std::shared_ptr<const RolledBundle> bundle = node.node().bundle();
      return bundle != nullptr && bundle->generation >= roll.generation;
    });
    if (everywhere) worst_in_force_ = std::max(worst_in_force_, now - roll.at);
  }
}

}  // namespace saltquay
