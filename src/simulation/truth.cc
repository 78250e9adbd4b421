#include "src/simulation/truth.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace saltquay {

const char* InvariantName(Invariant invariant) {
  switch (invariant) {
    case Invariant::kNoConflictingOrders:
      return "no_conflicting_orders";
    case Invariant::kNoCutByPlannedChange:
      return "no_cut_by_planned_change";
    case Invariant::kNoOrderWithoutAuthority:
      return "no_order_without_authority";
    case Invariant::kWholeOwnAnswer:
      return "whole_own_answer";
    case Invariant::kNotRunIsTrue:
      return "not_run_is_true";
    case Invariant::kAtMostOnce:
      return "at_most_once";
    case Invariant::kLeavingGetsNoWork:
      return "leaving_gets_no_work";
    case Invariant::kPlannedStopCutsNothing:
      return "planned_stop_cuts_nothing";
    case Invariant::kBundleInForceAndNeverReverts:
      return "bundle_in_force_and_never_reverts";
  }
  return "unknown";
}

void Truth::Report(Invariant invariant, Time at, std::string details) {
  violations_.push_back(Violation{invariant, at, std::move(details)});
}

void Truth::OnWorkStarted(Time at, WorkId work, bool repeatable, const AttemptId& attempt, BootId boot, Time sent_at) {
  Work& known = works_[work];
  known.starts += 1;
  if (!repeatable && known.starts > 1) {
    Report(Invariant::kAtMostOnce, at,
           fmt::format("{} attempt {} began on boot {:x}, start number {}", attempt.key, attempt.number, boot.value,
                       known.starts));
  }
  const bool told_before = known.told_not_run && sent_at <= known.not_run_at;
  if (told_before) {
    Report(Invariant::kNotRunIsTrue, at, fmt::format("{} began after its caller was told \"not run\"", attempt.key));
  }
}

void Truth::OnPlannedCut(Time at, EngineId engine, const AttemptId& attempt) {
  Report(Invariant::kNoCutByPlannedChange, at, fmt::format("an order to engine {} cut {}", engine.value, attempt.key));
}

void Truth::OnConflictingOrder(Time at, EngineId engine) {
  Report(Invariant::kNoConflictingOrders, at,
         fmt::format("engine {} took an order while another was in progress", engine.value));
}

void Truth::OnLeaseAcquired(const FenceToken& token) { highest_lease_ = std::max(highest_lease_, token); }

void Truth::OnOrderAccepted(Time at, EngineId engine, const FenceToken& token, bool sender_holds) {
  const FenceToken lease{token.view, token.ballot, 0};
  const bool superseded = lease < highest_lease_;
  if (!superseded && sender_holds) return;
  Report(Invariant::kNoOrderWithoutAuthority, at,
         fmt::format("engine {} took an order of view {} ballot {}, {}", engine.value, token.view, token.ballot,
                     superseded ? "superseded" : "lapsed"));
}

void Truth::OnNotRun(Time at, WorkId work) {
  Work& known = works_[work];
  known.told_not_run = true;
  known.not_run_at = at;
  if (known.starts == 0) return;
  Report(Invariant::kNotRunIsTrue, at, fmt::format("work {:x} ran and was told \"not run\"", work.prompt_hash));
}

void Truth::OnAnswer(Time at, WorkId work, bool right_text, bool whole) {
  if (right_text && whole) return;
  Report(Invariant::kWholeOwnAnswer, at,
         fmt::format("work {:x} got {}", work.prompt_hash, right_text ? "a part of its answer" : "another text"));
}

std::vector<std::uint64_t> Truth::CountsByInvariant() const {
  std::vector<std::uint64_t> counts(kInvariantCount, 0);
  for (const Violation& violation : violations_) counts[static_cast<std::size_t>(violation.invariant)] += 1;
  return counts;
}

}  // namespace saltquay
