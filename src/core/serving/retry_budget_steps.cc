// Charges to the retry budget; see retry_budget_share.h.
#include <fmt/format.h>

#include "src/core/serving/serving_core.h"

namespace saltquay::serving {

void ServingCore::ChargeRetryBudget(const Flow& flow, ExtraArrival cause) {
  retry_budget_share_.RecordExtraArrival(flow.service, now_);
  Log(EventId::kExtraArrival, &flow,
      fmt::format(R"("service":"{}","cause":"{}","allowance":{:.1f},"sharers":{})", flow.service, NameOf(cause),
                  retry_budget_share_.Remaining(flow.service, now_), retry_budget_share_.sharing_nodes()));
  actions_->push_back(ExtraArrivalCounted{flow.service, cause});
}

void ServingCore::SettleFirstPrefill(const Flow& flow, bool accepted) {
  if (flow.prefills != 1) return;
  if (!accepted) ChargeRetryBudget(flow, ExtraArrival::kPrefillRefused);
  retry_budget_share_.RecordSettledCall(flow.service, !accepted);
}

}  // namespace saltquay::serving
