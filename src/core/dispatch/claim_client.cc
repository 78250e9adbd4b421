#include "src/core/dispatch/claim_client.h"

#include <algorithm>

namespace saltquay {

ClaimId ClaimClient::Start(NodeContext& context, const View& view, RecordClaim claim, const ClaimId& replaces) {
  claim.id = ClaimId{context.self().incarnation, ++last_number_};
  Pending& pending = pending_[claim.id];
  pending.claim = claim;
  pending.replaces = replaces;
  pending.view = view.current.number;
  pending.recorders = RecordersOf(view.current, claim.key);
  pending.started_at = context.now();
  Send(context, pending);
  return claim.id;
}

void ClaimClient::Send(NodeContext& context, Pending& pending) {
  pending.sent_at = context.now();
  for (const NodeIncarnation& recorder : pending.recorders) {
    const auto reply = pending.replies.find(recorder);
    const bool answered = reply != pending.replies.end() && reply->second.verdict != ClaimVerdict::kNotReady;
    if (!answered) context.SendTo(recorder, ClaimRequest{pending.view, pending.claim, pending.replaces});
  }
}

std::optional<ClaimResult> ClaimClient::Decide(const Pending& pending) const {
  std::size_t granted = 0;
  std::size_t refused = 0;
  ClaimResult result{pending.claim.id, ClaimResult::Kind::kGranted, {}};
  for (const auto& [recorder, reply] : pending.replies) {
    if (reply.verdict == ClaimVerdict::kGranted) ++granted;
    if (reply.verdict != ClaimVerdict::kExists) continue;
    ++refused;
    result.existing = reply.existing;
  }
  const std::size_t quorum = RecorderQuorum(pending.recorders.size());
  if (granted >= quorum) return result;
  const bool quorum_impossible = pending.recorders.size() - refused < quorum;
  if (!quorum_impossible) return std::nullopt;
  result.kind = ClaimResult::Kind::kExists;
  return result;
}

std::optional<ClaimResult> ClaimClient::OnReply(NodeContext& context, const NodeIncarnation& sender,
                                                const ClaimReply& reply) {
  const auto entry = pending_.find(reply.claim);
  if (entry == pending_.end() || entry->second.view != reply.view) return std::nullopt;
  Pending& pending = entry->second;
  if (std::find(pending.recorders.begin(), pending.recorders.end(), sender) == pending.recorders.end()) {
    return std::nullopt;
  }
  pending.replies[sender] = reply;
  // A decision this late could outlive the recorders' memory; OnTick ends it.
  if (context.now() - pending.started_at >= context.parameters().claim_send_limit) return std::nullopt;
  std::optional<ClaimResult> result = Decide(pending);
  if (result.has_value()) pending_.erase(entry);
  return result;
}

std::vector<ClaimResult> ClaimClient::OnTick(NodeContext& context, const View& view) {
  std::vector<ClaimResult> results;
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    Pending& pending = entry->second;
    if (context.now() - pending.started_at >= context.parameters().claim_send_limit) {
      ClaimResult result{pending.claim.id, ClaimResult::Kind::kUnavailable, {}};
      for (const auto& [recorder, reply] : pending.replies) {
        if (reply.verdict != ClaimVerdict::kExists) continue;
        result.kind = ClaimResult::Kind::kExists;
        result.existing = reply.existing;
      }
      results.push_back(result);
      entry = pending_.erase(entry);
      continue;
    }
    if (pending.view != view.current.number) {
      pending.view = view.current.number;
      pending.recorders = RecordersOf(view.current, pending.claim.key);
      pending.replies.clear();
      Send(context, pending);
    } else if (context.now() - pending.sent_at >= context.parameters().record_retry) {
      Send(context, pending);
    }
    ++entry;
  }
  return results;
}

void ClaimClient::Release(NodeContext& context, const View& view, const std::string& key, const ClaimId& id) {
  for (const NodeIncarnation& recorder : RecordersOf(view.current, key)) {
    context.SendTo(recorder, ClaimRelease{key, id});
  }
}

void ClaimClient::ReportOutcome(NodeContext& context, const View& view, const RecordClaim& claim) {
  for (const NodeIncarnation& recorder : RecordersOf(view.current, claim.key)) {
    context.SendTo(recorder, ClaimOutcome{claim});
  }
}

void ClaimClient::Abandon(NodeContext& context, const View& view, const ClaimId& id) {
  const auto entry = pending_.find(id);
  if (entry == pending_.end()) return;
  Release(context, view, entry->second.claim.key, id);
  pending_.erase(entry);
}

}  // namespace saltquay
