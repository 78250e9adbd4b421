#include "src/core/dissemination/store_watcher.h"

#include <algorithm>
#include <vector>

#include "src/base/hash.h"
#include "src/core/authority/view_keeper.h"
#include "src/core/bundle/bundle_records.h"

namespace saltquay {
namespace {

constexpr std::uint64_t kWatcherRankSeed = 0x57A7C4E5;

}  // namespace

bool StoreWatcher::RanksAsWatcher(const NodeContext& context, const Membership& membership) const {
  const std::uint64_t own_rank = HashPair(kWatcherRankSeed, context.self().incarnation.node.value);
  const std::vector<NodeId> peers = membership.AlivePeersInZone(context.self().zone);
  const auto above = std::count_if(peers.begin(), peers.end(),
                                   [&](NodeId peer) { return HashPair(kWatcherRankSeed, peer.value) > own_rank; });
  return above < context.parameters().store_watchers_per_zone;
}

void StoreWatcher::PollObject(NodeContext& context, Poll& poll, const char* key, bool wanted) {
  const bool waiting =
      poll.operation.has_value() && context.now() - poll.sent_at < context.parameters().store_timeout * 2;
  if (!wanted || waiting || context.now() < poll.next_at) return;
  poll.operation = context.NextStoreOperation();
  poll.sent_at = context.now();
  poll.next_at = context.now() + context.parameters().store_poll_interval;
  context.Emit(StoreRead{*poll.operation, key});
}

void StoreWatcher::OnTick(NodeContext& context, const Membership& membership) {
  is_watcher_ = RanksAsWatcher(context, membership);
  PollObject(context, rolled_, kRolledKey, is_watcher_ || !has_read_rolled_);
  PollObject(context, view_, kViewKey, is_watcher_ || !has_read_view_);
  const bool waiting = machines_pending_ && context.now() - machines_sent_at_ < context.parameters().store_timeout * 2;
  const bool wanted = is_watcher_ || !has_read_machines_;
  if (!wanted || waiting || context.now() < machines_next_at_) return;
  machines_pending_ = true;
  machines_sent_at_ = context.now();
  machines_next_at_ = context.now() + context.parameters().machine_poll_interval;
  context.Emit(ReadMachineList{});
}

void StoreWatcher::NoteAvailability(NodeContext& context, bool available) {
  if (available == store_available_) return;
  store_available_ = available;
  context.Log(available ? EventId::kStoreRecovered : EventId::kStoreUnavailable, "polling goes on");
}

bool StoreWatcher::OnStoreAnswer(NodeContext& context, const StoreAnswered& answer,
                                 std::optional<WatchedObject>* object) {
  const bool for_rolled = rolled_.operation.has_value() && *rolled_.operation == answer.operation;
  const bool for_view = view_.operation.has_value() && *view_.operation == answer.operation;
  if (!for_rolled && !for_view) return false;
  (for_rolled ? rolled_ : view_).operation.reset();
  const bool done = answer.result == StoreResult::kDone;
  NoteAvailability(context, done);
  if (!done) return true;
  (for_rolled ? has_read_rolled_ : has_read_view_) = true;
  *object = WatchedObject{for_rolled ? ObjectKind::kRolledBundle : ObjectKind::kView, answer.object};
  return true;
}

void StoreWatcher::OnMachineListRead(NodeContext& context, const MachineListRead& read) {
  machines_pending_ = false;
  if (read.list.has_value()) has_read_machines_ = true;
  machines_next_at_ = std::max(machines_next_at_, context.now());
}

}  // namespace saltquay
