// Limits that engines name for the requests of all nodes together.
#include <fmt/format.h>

#include "src/core/serving/serving_core.h"

namespace saltquay::serving {

void ServingCore::On(const EngineNoticeReceived& event) {
  EngineState* engine = engines_.Find(event.engine_id);
  if (engine == nullptr || engine->key != event.engine) return;  // From an earlier incarnation.
  const bool keeps_limit = event.notice.limit_unreadable && !event.notice.requests_per_s;
  if (!keeps_limit) SetEngineLimit(*engine, event.notice.requests_per_s, now_);
}

void ServingCore::SetEngineLimit(EngineState& engine, std::optional<double> requests_per_s, Time stated_at) {
  const double before = engine.rate_limit ? engine.rate_limit->requests_per_s : -1;
  if (requests_per_s) {
    engine.rate_limit = EngineRateLimit{*requests_per_s, stated_at};
  } else {
    engine.rate_limit.reset();
  }
  const double after = requests_per_s.value_or(-1);
  if (before == after) return;
  Log(EventId::kEngineLimit, nullptr,
      fmt::format(R"("engine":"{}","requests_per_s":{},"before":{})", engine.record.id, after, before));
}

}  // namespace saltquay::serving
