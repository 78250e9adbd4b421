#include "src/core/serving/engine_gate.h"

#include <algorithm>

namespace saltquay::serving {

bool EngineGate::IsOpen(const EngineState& engine, Time now) const {
  if (now < engine.rests_until) return false;
  return !engine.rate_limit || permits_.holds(now, engine.key.hash);
}

Time EngineGate::OpensAt(const EngineState& engine, Time now) const {
  if (IsOpen(engine, now)) return now;
  const Time permit_at = engine.rate_limit ? permits_.available_at(now, engine.key.hash) : now;
  return std::max(engine.rests_until, permit_at);
}

bool EngineGate::MayRequestPermit(const EngineState& engine, Time now) const {
  return engine.rate_limit && now >= engine.rests_until && permits_.may_request(now, engine.key.hash);
}

std::optional<EngineAdmission> EngineGate::Admit(EngineState& engine, Time now) {
  if (!IsOpen(engine, now)) return std::nullopt;
  if (engine.rate_limit) permits_.use(now, engine.key.hash);
  return EngineAdmission(engine);
}

}  // namespace saltquay::serving
