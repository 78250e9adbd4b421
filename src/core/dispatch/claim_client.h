// The dispatcher's side of at-most-once records: claims keys at their
// recorders. See record_keeper.h for the protocol.
//
// Not thread-safe; owned by Dispatcher.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "src/core/authority/view.h"
#include "src/core/context.h"

namespace saltquay {

struct ClaimResult {
  enum class Kind { kGranted, kExists, kUnavailable };
  ClaimId id;
  Kind kind = Kind::kUnavailable;
  RecordClaim existing;  // With kExists.
};

class ClaimClient {
 public:
  // Begins to claim `claim.key`; `claim.id` is filled in and returned.
  // `replaces`: an earlier claim proved never to run, or number 0.
  ClaimId Start(NodeContext& context, const View& view, RecordClaim claim, const ClaimId& replaces);

  // Returns a result once the claim is decided.
  std::optional<ClaimResult> OnReply(NodeContext& context, const NodeIncarnation& sender, const ClaimReply& reply);
  // Sends again where no answer came; follows a view change; applies the limit.
  std::vector<ClaimResult> OnTick(NodeContext& context, const View& view);

  // Withdraws a claim that never led to a send.
  void Release(NodeContext& context, const View& view, const std::string& key, const ClaimId& id);
  // Tells the recorders how a claim ended.
  void ReportOutcome(NodeContext& context, const View& view, const RecordClaim& claim);
  // Forgets a claim in progress, releasing it.
  void Abandon(NodeContext& context, const View& view, const ClaimId& id);

 private:
  struct Pending {
    RecordClaim claim;
    ClaimId replaces;
    std::uint64_t view = 0;
    std::vector<NodeIncarnation> recorders;
    std::map<NodeIncarnation, ClaimReply> replies;
    Time started_at{};
    Time sent_at{};
  };

  void Send(NodeContext& context, Pending& pending);
  std::optional<ClaimResult> Decide(const Pending& pending) const;

  std::map<ClaimId, Pending> pending_;
  std::uint64_t last_number_ = 0;
};

}  // namespace saltquay
