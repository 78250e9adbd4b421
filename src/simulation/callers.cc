#include "src/simulation/callers.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "src/base/hash.h"
#include "src/core/routing/prefix_index.h"
#include "src/models/token_text.h"

namespace saltquay {
namespace {

constexpr std::uint32_t kPrefixesPerKind = 6;
constexpr Duration kUnreachablePause = 200ms;
constexpr Duration kPatienceAfterDeadline = 1s;
constexpr Duration kResubmitPause = 700ms;
constexpr int kMostSubmissions = 10;
// A key is not sent again this shortly before it may be forgotten.
constexpr Duration kKeyMargin = 2s;

}  // namespace

Callers::Callers(World& world, const Workload& workload)
    : world_(world),
      workload_(workload),
      kinds_(RequestKindsOf(world.options().deployment)),
      random_(world.random().Bits()) {}

void Callers::Run(Time until) {
  until_ = until;
  ScheduleArrival();
}

void Callers::ScheduleArrival() {
  const double rate = std::max(0.01, workload_.Rate(world_.queue().now()));
  const Duration gap = FromSeconds(random_.Exponential(1.0 / rate)) + Duration{1};
  if (world_.queue().now() + gap > until_) return;
  world_.queue().After(gap, [this] {
    Arrive();
    ScheduleArrival();
  });
}

const RequestKind& Callers::DrawKind() {
  const double surge = workload_.Surge(world_.queue().now());
  const auto share = [&](const RequestKind& kind) {
    return kind.share_quiet + (kind.share_surge - kind.share_quiet) * surge;
  };
  double total = 0;
  for (const RequestKind& kind : kinds_) total += share(kind);
  double draw = random_.Unit() * total;
  for (const RequestKind& kind : kinds_) {
    draw -= share(kind);
    if (draw < 0) return kind;
  }
  return kinds_.back();
}

void Callers::Arrive() {
  const std::uint64_t id = ++last_work_;
  CallerWork& work = works_[id];
  work.id = id;
  work.kind = &DrawKind();
  work.prefix = static_cast<std::uint32_t>(random_.Below(kPrefixesPerKind));
  work.key = fmt::format("work-{}", id);
  work.retries_left = world_.options().caller_retries;
  work.submitted_at = world_.queue().now();
  counts_.submitted += 1;
  Submit(work);
}

void Callers::Submit(CallerWork& work) {
  work.submissions += 1;
  auto node = world_.nodes().begin();
  std::advance(node, static_cast<std::ptrdiff_t>(world_.random().Below(world_.nodes().size())));
  work.node = node->first;
  work.reached_node = false;
  work.before_stop = false;
  work.tokens = 0;
  work.text.clear();
  work.sent_at = world_.queue().now();
  work.first_token_at = Time{};
  work.handle = RequestHandle{++last_handle_};
  // A repeatable request submitted again is new work; a key stays the same.
  work.prompt_hash = HashPair(work.id, work.kind->repeatable ? static_cast<std::uint64_t>(work.submissions) : 0);
  const int submission = work.submissions;
  world_.queue().After(world_.network().ClientDelay(), [this, id = work.id, submission] { Reach(id, submission); });
}

RequestSpec Callers::MakeSpec(CallerWork& work) {
  const RequestKind& kind = *work.kind;
  RequestSpec spec;
  spec.tenant = "tenant";
  spec.request_class = kind.request_class;
  spec.model = kind.model;
  spec.prompt_tokens = kind.prompt_tokens;
  spec.max_output_tokens = kind.output_tokens;
  spec.prompt_hash = work.prompt_hash;
  spec.repeatable = kind.repeatable;
  if (!kind.repeatable) spec.idempotency_key = work.key;
  spec.first_submission = !work.unsettled;
  std::uint64_t chain = HashPair(HashText(kind.request_class), work.prefix);
  for (std::uint32_t tokens = kBlockTokens; tokens <= kind.prompt_tokens; tokens += kBlockTokens) {
    chain = HashPair(chain, tokens <= kind.shared_tokens ? tokens : HashPair(work.prompt_hash, tokens));
    spec.prompt_blocks.push_back(BlockHash{chain});
  }
  return spec;
}

void Callers::Reach(std::uint64_t work_id, int submission) {
  const auto entry = works_.find(work_id);
  if (entry == works_.end() || entry->second.submissions != submission) return;
  CallerWork& work = entry->second;
  NodeProcess* node = world_.FindNode(work.node);
  if (!node->alive()) return Again(work, CallerOutcome::kLost, kUnreachablePause);
  work.reached_node = true;
  work.node_life = node->life();
  by_handle_[work.handle] = work.id;
  WatchTime(work, Duration{0});
  node->Deliver(CallerRequest{work.handle, MakeSpec(work)});
}

// A caller that hears nothing long after the deadline hangs up.
void Callers::WatchTime(const CallerWork& work, Duration) {
  const Duration whole = 4800ms + 80ms * static_cast<std::int64_t>(work.kind->output_tokens) + kPatienceAfterDeadline;
  const RequestHandle handle = work.handle;
  world_.queue().After(whole, [this, handle] {
    const auto entry = by_handle_.find(handle);
    if (entry == by_handle_.end()) return;
    CallerWork& late = works_.at(entry->second);
    NodeProcess* node = world_.FindNode(late.node);
    if (node->alive() && node->life() == late.node_life) node->Deliver(CallerGone{handle});
    Again(late, late.kind->repeatable ? CallerOutcome::kLost : CallerOutcome::kUnknown, kResubmitPause);
  });
}

CallerWork* Callers::FindByHandle(RequestHandle handle, NodeId node, std::uint64_t life) {
  const auto entry = by_handle_.find(handle);
  if (entry == by_handle_.end()) return nullptr;
  CallerWork& work = works_.at(entry->second);
  return work.node == node && work.node_life == life ? &work : nullptr;
}

void Callers::OnTokens(NodeId node, std::uint64_t life, const DeliverTokens& tokens) {
  CallerWork* work = FindByHandle(tokens.handle, node, life);
  if (work == nullptr) return;
  if (work->tokens == 0) work->first_token_at = world_.queue().now() + world_.options().client_delay;
  work->last_token_at = world_.queue().now() + world_.options().client_delay;
  work->tokens += tokens.token_count;
  work->text += tokens.text;
}

void Callers::Completed(CallerWork& work, const FinishRequest&) {
  const std::string expected = TokenTexts(work.prompt_hash, 0, work.kind->output_tokens);
  const bool prefix_right = expected.compare(0, work.text.size(), work.text) == 0;
  const bool whole = work.tokens == work.kind->output_tokens && work.text.size() == expected.size();
  world_.truth().OnAnswer(world_.queue().now(), WorkId{work.prompt_hash}, prefix_right, whole);
  End(work, CallerOutcome::kCompleted);
}

void Callers::OnFinished(NodeId node, std::uint64_t life, const FinishRequest& finish) {
  CallerWork* work = FindByHandle(finish.handle, node, life);
  if (work == nullptr) return;
  const bool stop_cut = work->before_stop && finish.outcome != Outcome::kCompleted &&
                        MessageOf(finish.status).find("the node stops") != std::string::npos;
  if (stop_cut) {
    world_.truth().Report(Invariant::kPlannedStopCutsNothing, world_.queue().now(),
                          fmt::format("node {} cut {} as it stopped", node.value, work->key));
  }
  const Duration retry_after = finish.retry_after.value_or(kResubmitPause) + world_.random().DurationBelow(1s);
  switch (finish.outcome) {
    case Outcome::kCompleted:
      return Completed(*work, finish);
    case Outcome::kNotRun:
      world_.truth().OnNotRun(world_.queue().now(), WorkId{work->prompt_hash});
      return Again(*work, CallerOutcome::kNotRun, retry_after);
    case Outcome::kUnknown:
      return Again(*work, CallerOutcome::kUnknown, retry_after);
  }
}

void Callers::OnCommandFinished(NodeId node, const FinishCommand& finish) {
  if (command_listener_) command_listener_(node, finish);
}

void Callers::NotePlannedStop(NodeId node) {
  for (const auto& [handle, id] : by_handle_) {
    CallerWork& work = works_.at(id);
    if (work.node == node && work.reached_node) work.before_stop = true;
  }
}

void Callers::OnNodeGone(NodeId node, std::uint64_t life, bool planned) {
  std::vector<std::uint64_t> broken;
  for (const auto& [handle, id] : by_handle_) {
    const CallerWork& work = works_.at(id);
    if (work.node == node && work.node_life == life) broken.push_back(id);
  }
  for (const std::uint64_t id : broken) {
    CallerWork& work = works_.at(id);
    if (work.before_stop && planned) {
      world_.truth().Report(Invariant::kPlannedStopCutsNothing, world_.queue().now(),
                            fmt::format("node {} went with {} unanswered", node.value, work.key));
    }
    Again(work, work.kind->repeatable ? CallerOutcome::kLost : CallerOutcome::kUnknown, kResubmitPause);
  }
}

void Callers::Again(CallerWork& work, CallerOutcome otherwise, Duration after) {
  by_handle_.erase(work.handle);
  const bool may_have_run = otherwise != CallerOutcome::kNotRun && work.reached_node;
  work.unsettled = work.unsettled || may_have_run;
  // A node that was never reached costs the caller no try.
  const bool spent = work.reached_node && work.retries_left-- <= 0;
  // Keys are remembered for a while only; callers know for how long.
  const Duration key_age = world_.queue().now() + after - work.submitted_at;
  const Duration key_lasts = world_.options().parameters.record_window - kKeyMargin;
  const bool key_too_old = !work.kind->repeatable && work.unsettled && key_age > key_lasts;
  if (spent || key_too_old || work.submissions >= kMostSubmissions) return End(work, otherwise);
  work.reached_node = false;
  world_.queue().After(after, [this, id = work.id, submission = work.submissions] {
    const auto entry = works_.find(id);
    if (entry != works_.end() && entry->second.submissions == submission) Submit(entry->second);
  });
}

void Callers::End(CallerWork& work, CallerOutcome outcome) {
  by_handle_.erase(work.handle);
  work.outcome = outcome;
  work.ended_at = world_.queue().now();
  if (outcome == CallerOutcome::kCompleted) counts_.completed += 1;
  if (outcome == CallerOutcome::kNotRun) counts_.not_run += 1;
  if (outcome == CallerOutcome::kUnknown) counts_.unknown += 1;
  if (outcome == CallerOutcome::kLost) counts_.lost += 1;
  if (end_listener_) end_listener_(work);
  works_.erase(work.id);
}

}  // namespace saltquay
