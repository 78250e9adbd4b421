#include "src/core/authority/view_keeper.h"

#include <algorithm>

#include <fmt/format.h>

namespace saltquay {
namespace {

constexpr Duration kWriteGiveUp = 5s;
// A read of the store is followed up within this time.
constexpr Duration kReadStaysFresh = 300ms;

}  // namespace

bool ViewKeeper::is_member(const NodeContext& context) const {
  return view_.current.HasMember(context.self().incarnation);
}

bool ViewKeeper::Adopt(NodeContext& context, const View& view) {
  if (view.current.number <= view_.current.number) return false;
  view_ = view;
  adopted_at_ = context.now();
  context.Log(EventId::kViewAdopted,
              fmt::format("view {} with {} members, {} seats, {} predecessors", view.current.number,
                          view.current.members.size(), view.current.seats.size(), view.predecessors.size()));
  return true;
}

bool ViewKeeper::InContact(const NodeContext& context, const Membership& membership) const {
  std::size_t heard = 0;
  for (const NodeIncarnation& seat : view_.current.seats) {
    if (membership.HeardWithin(context, seat, context.parameters().contact_timeout)) ++heard;
  }
  return has_view() && heard >= view_.current.Majority();
}

bool ViewKeeper::IsLost(const NodeContext& context, const NodeIncarnation& seat, const ViewSituation& situation) {
  if (situation.membership->IsReplaced(context, seat)) return true;
  if (!situation.list_known || situation.listed.contains(seat.node)) {
    unlisted_since_.erase(seat);
    return false;
  }
  const Time since = unlisted_since_.try_emplace(seat, context.now()).first->second;
  return context.now() - since >= context.parameters().record_window;
}

std::vector<ViewMember> ViewKeeper::WantedMembers(const NodeContext& context, const ViewSituation& situation) const {
  std::vector<ViewMember> wanted;
  for (const MemberUpdate& member : situation.membership->AliveMembers(context)) {
    if (!situation.leaving.contains(member.node.node)) wanted.push_back(ViewMember{member.node, member.zone});
  }
  std::sort(wanted.begin(), wanted.end());
  return wanted;
}

bool ViewKeeper::MajorityAccounted(const NodeContext& context, const ViewSituation& situation) {
  std::size_t accounted = 0;
  for (const NodeIncarnation& seat : view_.current.seats) {
    const bool heard = situation.membership->HeardWithin(context, seat, context.parameters().contact_timeout);
    if (heard || IsLost(context, seat, situation)) ++accounted;
  }
  return accounted >= view_.current.Majority();
}

bool ViewKeeper::MayPropose(const NodeContext& context, const ViewSituation& situation) {
  const std::vector<MemberUpdate> alive = situation.membership->AliveMembers(context);
  const bool lowest_alive = !alive.empty() && alive.front().node == context.self().incarnation;
  if (!has_view()) return lowest_alive;
  if (!InContact(context, *situation.membership)) return lowest_alive && MajorityAccounted(context, situation);
  // While records are in transit a further change would only pile up work.
  const bool settled = situation.all_settled || context.now() - adopted_at_ >= context.parameters().record_window +
                                                                                   context.parameters().contact_timeout;
  const bool seats_suffer = std::any_of(view_.current.seats.begin(), view_.current.seats.end(), [&](const auto& seat) {
    return !situation.membership->HeardWithin(context, seat, context.parameters().contact_timeout);
  });
  if (!settled && !seats_suffer) return false;
  return situation.is_leader || (!situation.leader_known && is_member(context));
}

View ViewKeeper::NextView(const std::vector<ViewMember>& members, const ViewSituation& situation,
                          std::size_t seat_count) const {
  View next;
  next.current.number = view_.current.number + 1;
  next.current.members = members;
  next.current.seats = ChooseSeats(members, view_.current.seats, seat_count);
  if (!has_view()) return next;
  const bool taken_over = situation.all_settled && situation.leader_known;
  if (!taken_over) next.predecessors = view_.predecessors;
  next.predecessors.push_back(view_.current);
  return next;
}

void ViewKeeper::OnTick(NodeContext& context, const ViewSituation& situation) {
  if (write_.has_value()) write_->OnTick(context);
  if (write_.has_value() && write_->state() != SettledWrite::State::kPending) write_.reset();
  std::vector<ViewMember> wanted = WantedMembers(context, situation);
  if (wanted != wanted_) {
    wanted_ = std::move(wanted);
    wanted_since_ = context.now();
  }
  const bool busy = read_.has_value() || write_.has_value() || context.now() < next_proposal_;
  const bool stable = context.now() - wanted_since_ >= context.parameters().view_settle_time;
  if (busy || !stable || wanted_.empty() || wanted_ == view_.current.members) return;
  if (!MayPropose(context, situation)) return;
  const bool read_is_fresh = read_done_.has_value() && context.now() - read_done_->at < kReadStaysFresh;
  if (read_is_fresh) {
    proposal_ = NextView(wanted_, situation, static_cast<std::size_t>(context.parameters().seats));
    WriteProposal(context);
    return;
  }
  read_ = context.NextStoreOperation();
  context.Emit(StoreRead{*read_, kViewKey});
}

void ViewKeeper::WriteProposal(NodeContext& context) {
  next_proposal_ = context.now() + context.parameters().view_proposal_pause +
                   context.random().DurationBelow(context.parameters().candidate_jitter);
  const std::string nonce = fmt::format("{:x}-{:x}", context.self().incarnation.boot.value, context.random().Bits());
  context.Log(EventId::kViewProposed, fmt::format("view {}", proposal_->current.number));
  write_.emplace(context, kViewKey, read_done_->version, SerializeView(*proposal_, nonce), nonce, kWriteGiveUp);
  read_done_.reset();
}

bool ViewKeeper::OnStoreAnswer(NodeContext& context, const StoreAnswered& answer, std::optional<View>* learned) {
  if (write_.has_value() && write_->OnStoreAnswer(context, answer)) {
    const SettledWrite::State state = write_->state();
    if (state == SettledWrite::State::kWritten) *learned = proposal_;
    if (state == SettledWrite::State::kLost) {
      absl::StatusOr<View> winner = ParseView(write_->present().value);
      if (winner.ok()) *learned = *winner;
    }
    if (state != SettledWrite::State::kPending) write_.reset();
    return true;
  }
  if (!read_.has_value() || answer.operation != *read_) return false;
  read_.reset();
  if (answer.result != StoreResult::kDone) return true;
  absl::StatusOr<View> stored = ParseView(answer.object.value);
  const bool present = answer.object.version != 0 && stored.ok();
  if (present && stored->current.number > view_.current.number) {
    *learned = *stored;
    return true;
  }
  // Only what follows the store's own view may be written; the next tick decides
  // with a fresh picture whether it is still wanted.
  const std::uint64_t stored_number = present ? stored->current.number : 0;
  if (stored_number == view_.current.number) read_done_ = ReadDone{answer.object.version, context.now()};
  return true;
}

}  // namespace saltquay
