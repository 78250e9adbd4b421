#include "src/core/dispatch/record_keeper.h"

#include <algorithm>

#include <fmt/format.h>

namespace saltquay {

void RecordKeeper::OnView(NodeContext& context, const View& view) {
  view_ = view;
  // A predecessor's records age from when this run learned that it was replaced.
  std::map<std::uint64_t, Time> replaced_since;
  for (const MemberSet& set : view.predecessors) {
    const auto known = replaced_since_.find(set.number);
    replaced_since[set.number] = known == replaced_since_.end() ? context.now() : known->second;
  }
  replaced_since_ = std::move(replaced_since);
  sealed_below_ = std::max(sealed_below_, view.current.number);
  transferred_.clear();
  lost_.clear();
  next_transfer_request_ = context.now();
  // What this run itself recorded counts as transferred.
  transferred_.insert(context.self().incarnation);
  CheckSettled(context);
}

bool RecordKeeper::WindowPassed(const NodeContext& context, const MemberSet& predecessor) const {
  // Old recorders stop within contact_timeout; their last record then ages.
  const Duration longest = context.parameters().record_window + context.parameters().contact_timeout * 2;
  return context.now() - replaced_since_.at(predecessor.number) >= longest;
}

bool RecordKeeper::IsReady(const NodeContext& context, const std::string& key) const {
  for (const MemberSet& set : view_.predecessors) {
    if (WindowPassed(context, set)) continue;
    const std::vector<NodeIncarnation> recorders = RecordersOf(set, key);
    const auto here = std::count_if(recorders.begin(), recorders.end(), [this](const NodeIncarnation& recorder) {
      return transferred_.contains(recorder);
    });
    if (static_cast<std::size_t>(here) < RecorderQuorum(recorders.size())) return false;
  }
  return true;
}

bool RecordKeeper::AllZonesButOneTransferred(const MemberSet& set) const {
  std::set<ZoneId> zones;
  std::set<ZoneId> missing_zones;
  std::size_t missing = 0;
  for (const ViewMember& member : set.members) {
    zones.insert(member.zone);
    if (transferred_.contains(member.node)) continue;
    missing_zones.insert(member.zone);
    ++missing;
  }
  // With three zones or more, each key has one recorder in each of three.
  if (zones.size() >= kRecordersPerKey) return missing_zones.size() <= 1;
  return missing == 0 || (missing == 1 && set.members.size() >= kRecordersPerKey);
}

void RecordKeeper::CheckSettled(NodeContext& context) {
  if (settled_view_ == view_.current.number) return;
  const bool all = std::all_of(view_.predecessors.begin(), view_.predecessors.end(), [&](const MemberSet& set) {
    return AllZonesButOneTransferred(set) || WindowPassed(context, set);
  });
  if (!all) return;
  settled_view_ = view_.current.number;
  context.Log(EventId::kRecordsSettled, fmt::format("view {}", settled_view_));
}

void RecordKeeper::OnTick(NodeContext& context) {
  Forget(context);
  if (settled_view_ == view_.current.number) return;
  CheckSettled(context);
  if (context.now() < next_transfer_request_) return;
  next_transfer_request_ = context.now() + context.parameters().record_retry * 2;
  std::set<NodeIncarnation> asked;
  for (const MemberSet& set : view_.predecessors) {
    for (const ViewMember& member : set.members) {
      const bool settled = transferred_.contains(member.node) || lost_.contains(member.node);
      if (settled || !asked.insert(member.node).second) continue;
      context.SendTo(member.node, RecordTransferRequest{view_.current.number});
    }
  }
}

void RecordKeeper::Forget(const NodeContext& context) {
  while (!expiry_.empty() && context.now() - expiry_.front().first >= context.parameters().record_window) {
    const auto entry = records_.find(expiry_.front().second);
    if (entry != records_.end()) {
      std::erase_if(entry->second, [&](const Record& record) {
        return context.now() - record.recorded_at >= context.parameters().record_window;
      });
      if (entry->second.empty()) records_.erase(entry);
    }
    expiry_.pop_front();
  }
}

void RecordKeeper::Remember(const NodeContext& context, const RecordClaim& claim) {
  std::vector<Record>& records = records_[claim.key];
  for (Record& record : records) {
    if (record.claim.id != claim.id) continue;
    if (claim.finished) record.claim = claim;
    record.recorded_at = context.now();
    expiry_.emplace_back(context.now(), claim.key);
    return;
  }
  records.push_back(Record{claim, context.now()});
  expiry_.emplace_back(context.now(), claim.key);
}

void RecordKeeper::Erase(const std::string& key, const ClaimId& claim) {
  const auto entry = records_.find(key);
  if (entry == records_.end()) return;
  std::erase_if(entry->second, [&](const Record& record) { return record.claim.id == claim; });
  if (entry->second.empty()) records_.erase(entry);
}

ClaimReply RecordKeeper::OnClaim(const NodeContext& context, const ClaimRequest& request, bool in_contact) {
  ClaimReply reply{request.view, request.claim.id, ClaimVerdict::kNotReady, {}};
  const std::string& key = request.claim.key;
  const std::vector<NodeIncarnation> recorders = RecordersOf(view_.current, key);
  const bool is_recorder = std::find(recorders.begin(), recorders.end(), context.self().incarnation) != recorders.end();
  const bool view_fits = request.view == view_.current.number && request.view >= sealed_below_;
  if (!view_fits || !is_recorder || !in_contact || !IsReady(context, key)) return reply;
  if (request.replaces.number != 0) Erase(key, request.replaces);
  const auto entry = records_.find(key);
  if (entry != records_.end()) {
    for (Record& record : entry->second) {
      const bool proved_not_run = record.claim.finished && record.claim.outcome == Outcome::kNotRun;
      if (record.claim.id == request.claim.id || proved_not_run) continue;
      // A key that is still asked for is still remembered.
      record.recorded_at = context.now();
      expiry_.emplace_back(context.now(), key);
      reply.verdict = ClaimVerdict::kExists;
      reply.existing = record.claim;
      return reply;
    }
  }
  Remember(context, request.claim);
  reply.verdict = ClaimVerdict::kGranted;
  return reply;
}

void RecordKeeper::OnRelease(const ClaimRelease& release) { Erase(release.key, release.claim); }

void RecordKeeper::OnOutcome(const NodeContext& context, const RecordClaim& claim) { Remember(context, claim); }

RecordTransfer RecordKeeper::OnTransferRequest(const NodeContext& context, const NodeIncarnation& sender,
                                               const RecordTransferRequest& request) {
  sealed_below_ = std::max(sealed_below_, request.view);
  RecordTransfer transfer{request.view, false, {}};
  const bool view_known = view_.current.number == request.view;
  for (const auto& [key, records] : records_) {
    if (view_known) {
      const std::vector<NodeIncarnation> recorders = RecordersOf(view_.current, key);
      if (std::find(recorders.begin(), recorders.end(), sender) == recorders.end()) continue;
    }
    for (const Record& record : records) {
      if (context.now() - record.recorded_at < context.parameters().record_window)
        transfer.records.push_back(record.claim);
    }
  }
  return transfer;
}

void RecordKeeper::OnTransfer(NodeContext& context, const NodeIncarnation& sender, const RecordTransfer& transfer) {
  if (transfer.view != view_.current.number) return;
  if (transfer.member_lost) {
    for (const MemberSet& set : view_.predecessors) {
      for (const ViewMember& member : set.members) {
        if (member.node.node == sender.node && member.node.boot < sender.boot) lost_.insert(member.node);
      }
    }
    return;
  }
  for (const RecordClaim& claim : transfer.records) Remember(context, claim);
  transferred_.insert(sender);
  CheckSettled(context);
}

}  // namespace saltquay
