// Carries callers' requests to engines and their answers back.
//
// Protocol: each attempt has its own identity, and each frame is matched on
// attempt, engine run and offset; late and crossed frames are dropped. An
// answer is whole only with its terminal frame and a token count that agrees.
// Repeatable work is retried elsewhere, from the offset delivered, within its
// deadline, a number of attempts and the retry budget. Non-repeatable work is
// claimed at its recorders first; after it was sent only that engine run is
// asked about it, until the run itself says that it never started it.
//
// Outcomes: kNotRun only when nothing was sent, or the engine run confirmed
// that it did not and will not start; kCompleted only with a whole answer;
// otherwise kUnknown. A request that is given up ends at once.
//
// Not thread-safe; owned by Node.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/core/admission/demand_meter.h"
#include "src/core/admission/retry_budget.h"
#include "src/core/admission/tenant_limiter.h"
#include "src/core/authority/view.h"
#include "src/core/context.h"
#include "src/core/dispatch/active_request.h"
#include "src/core/dispatch/claim_client.h"
#include "src/core/events.h"
#include "src/core/routing/load_table.h"
#include "src/core/routing/prefix_index.h"
#include "src/core/routing/router.h"

namespace saltquay {

// What the dispatcher needs to know of the rest of the node.
struct ServingState {
  std::shared_ptr<const RolledBundle> bundle;
  const View* view = nullptr;
  std::size_t nodes_alive = 1;
  bool ready = false;
  bool stopping = false;
};

// Counters for metrics; they only grow.
struct DispatchCounters {
  std::uint64_t completed = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t retries = 0;
  std::uint64_t frames_dropped = 0;
  std::uint64_t cached_prompt_tokens = 0;
  std::uint64_t prompt_tokens = 0;
};

class Dispatcher {
 public:
  Dispatcher(const Parameters& parameters, LoadTable& table, PrefixIndex& prefixes);

  void OnRequest(NodeContext& context, const ServingState& state, const CallerRequest& request);
  void OnCallerGone(NodeContext& context, const ServingState& state, RequestHandle handle);
  void OnFrame(NodeContext& context, const ServingState& state, const EngineFrameReceived& event);
  void OnAttemptFailed(NodeContext& context, const ServingState& state, const AttemptFailed& event);
  void OnClaimReply(NodeContext& context, const ServingState& state, const NodeIncarnation& sender,
                    const ClaimReply& reply);
  void OnJoinRequest(NodeContext& context, const NodeIncarnation& sender, const JoinRequest& request);
  void OnJoinReply(NodeContext& context, const ServingState& state, const JoinReply& reply);
  void OnTick(NodeContext& context, const ServingState& state);
  // Cuts every request off; only tests of the planned stop use it.
  void AbandonAll(NodeContext& context, const ServingState& state);

  std::size_t active_count() const { return requests_.size(); }
  const DispatchCounters& counters() const { return counters_; }
  std::vector<ModelDemand> Demands() const { return demand_.Demands(); }

 private:
  struct FinishedAnswer {
    Outcome outcome = Outcome::kUnknown;
    std::string text;
    std::uint32_t token_count = 0;
    Time finished_at{};
  };
  struct Refusal {
    absl::Status status;
    std::optional<Duration> retry_after;
  };

  // dispatcher.cc: admission, routing, sending, ending.
  std::optional<Refusal> Check(const NodeContext& context, const ServingState& state, const RequestSpec& spec) const;
  std::optional<Refusal> AdmitTenant(const NodeContext& context, const ServingState& state, const RequestSpec& spec);
  ActiveRequest MakeRequest(NodeContext& context, const ServingState& state, const CallerRequest& request);
  RouteRequest MakeRouteRequest(const ActiveRequest& request) const;
  std::optional<Refusal> ShedReason(const NodeContext& context, const ActiveRequest& request,
                                    const std::optional<Route>& route) const;
  void NoteDemand(const ActiveRequest& request, const std::optional<Route>& route);
  void Send(NodeContext& context, ActiveRequest& request, const Route& route);
  void EndAttempt(NodeContext& context, ActiveRequest& request, bool cancel);
  void Refuse(NodeContext& context, const CallerRequest& request, const Refusal& refusal);
  void Finish(NodeContext& context, const ServingState& state, RequestHandle handle, Outcome outcome,
              const Refusal& refusal);
  void Complete(NodeContext& context, const ServingState& state, ActiveRequest& request);

  // dispatcher_progress.cc: frames, failures, time.
  ActiveRequest* MatchFrame(NodeContext& context, const EngineFrameReceived& event);
  void TakeFrame(NodeContext& context, const ServingState& state, ActiveRequest& request, const EngineFrame& frame);
  void NoteFirstFrame(const EngineFrame& frame, ActiveRequest& request);
  void ContinueWithDecode(NodeContext& context, const ServingState& state, ActiveRequest& request);
  void Retry(NodeContext& context, const ServingState& state, ActiveRequest& request, const char* cause);
  void BeginResume(NodeContext& context, ActiveRequest& request);
  void OnBroken(NodeContext& context, const ServingState& state, ActiveRequest& request);
  void CheckTime(NodeContext& context, const ServingState& state, ActiveRequest& request);
  bool IsStalled(const NodeContext& context, const ActiveRequest& request) const;

  // dispatcher_once.cc: non-repeatable work.
  void BeginClaim(NodeContext& context, const ServingState& state, ActiveRequest& request);
  void OnClaimResult(NodeContext& context, const ServingState& state, const ClaimResult& result);
  void BeginJoin(NodeContext& context, const ServingState& state, ActiveRequest& request, const RecordClaim& existing);
  void ContinueJoin(NodeContext& context, const ServingState& state, ActiveRequest& request);
  void OnOnceFailed(NodeContext& context, const ServingState& state, ActiveRequest& request, AttemptFailure failure);
  void ReportClaim(NodeContext& context, const ServingState& state, const ActiveRequest& request, Outcome outcome);
  void KeepAnswer(const NodeContext& context, const ActiveRequest& request, Outcome outcome);

  ActiveRequest* Find(RequestHandle handle);

  LoadTable& table_;
  PrefixIndex& prefixes_;
  Router router_;
  RetryBudget retry_budget_;
  TenantLimiter tenants_;
  DemandMeter demand_;
  ClaimClient claims_;
  std::map<RequestHandle, ActiveRequest> requests_;
  std::map<AttemptId, RequestHandle> attempts_;
  std::map<ClaimId, RequestHandle> claiming_;
  std::map<std::string, FinishedAnswer> answers_;  // Of non-repeatable work, by key.
  std::uint64_t last_minted_key_ = 0;
  std::uint64_t last_join_ = 0;
  DispatchCounters counters_;
};

// Identity of the attempt that a claim stands for.
AttemptId AttemptOfClaim(const RecordClaim& claim);

}  // namespace saltquay
