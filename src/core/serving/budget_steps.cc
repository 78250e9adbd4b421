// What calls to engines cost of the retry budget; see retry_allowance.h.
#include <fmt/format.h>

#include "src/core/serving/serving_core.h"

namespace saltquay::serving {

void ServingCore::ChargeExtra(const Flow& flow, ExtraArrival cause) {
  allowance_.NoteExtra(flow.service, now_);
  Log(EventId::kExtraArrival, &flow,
      fmt::format(R"("service":"{}","cause":"{}","allowance":{:.1f},"sharers":{})", flow.service, NameOf(cause),
                  allowance_.Left(flow.service, now_), allowance_.sharers()));
  actions_->push_back(ExtraArrivalCounted{flow.service, cause});
}

void ServingCore::SettleFirstReading(const Flow& flow, bool taken_up) {
  if (flow.prefills != 1) return;
  if (!taken_up) ChargeExtra(flow, ExtraArrival::kReadingRefused);
  allowance_.NoteRisked(flow.service, !taken_up);
}

}  // namespace saltquay::serving
