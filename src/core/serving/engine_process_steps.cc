// Which process of an engine serves, of those that run one after the other under its id.
//
// Protocol. A record tells late that an engine has started again, and with it another software version. A process that
// starts again cannot keep its connections, so the driver asks on each new connection which process serves it, before a
// stream is sent there that may be taken up elsewhere, and sends the stream only to the process that this node expects.
// One whose record has not arrived yet is the last choice for such streams. If a stream begins there all the same, its
// origin names the process instead of the version, and goes on once a record tells it.
#include "src/core/serving/serving_core.h"

namespace saltquay::serving {

bool MayBeResumed(const Flow& flow, AttemptMode mode) {
  return flow.route.kind == RouteKind::kStreaming && flow.route.resumable && mode != AttemptMode::kPrefill;
}

StreamOrigin OriginAt(const EngineState& engine, Time now) {
  if (!engine.HasUnknownVersion(now)) return {engine.record.software_version};
  return {"", 0, EngineProcess{engine.record.id, *engine.process_started_ms}};
}

void ServingCore::On(const AttemptAtOtherProcess& event) {
  Flow* flow = FindFlow(event.flow);
  if (flow == nullptr || !flow->attempts.contains(event.attempt)) return;
  const Attempt attempt = flow->attempts[event.attempt];
  EndAttempt(*flow, event.attempt);
  EngineState* engine = engines_.Find(attempt.engine_id);
  if (engine != nullptr) engine->RecordOtherProcess(event.started_ms, now_);
  UncountAttempt(*flow, attempt);
  Retry(*flow, "engine runs another process than its record describes");
}

std::optional<std::string> ServingCore::SoftwareVersionOf(const StreamOrigin& origin) const {
  if (!origin.process) return origin.software_version;
  if (origin.process->started_ms == 0) return std::nullopt;
  const auto engine = engines_.all().find(origin.process->engine_id);
  if (engine == engines_.all().end() || engine->second.record.started_ms != origin.process->started_ms)
    return std::nullopt;
  return engine->second.record.software_version;
}

void ServingCore::BindOrigin(Flow& flow, const StreamOrigin& origin) {
  flow.software_version = SoftwareVersionOf(origin);
  flow.origin_process = flow.software_version ? std::nullopt : origin.process;
}

void ServingCore::ResolveOrigins(const EngineRecord& record) {
  if (record.started_ms == 0) return;
  const EngineProcess process{record.id, record.started_ms};
  stream_origins_.Resolve(process, record.software_version);
  for (auto& [id, flow] : flows_) {
    if (flow->origin_process == process) BindOrigin(*flow, {record.software_version});
  }
}

}  // namespace saltquay::serving
