// Software versions at which streams begin and go on; see stream_origins.h for the protocol.
#include <algorithm>
#include <set>

#include <fmt/format.h>

#include "src/base/log_stream.h"
#include "src/core/serving/serving_core.h"

namespace saltquay::serving {

StreamKey ServingCore::StreamKeyOf(const Flow& flow) {
  const bool names_origin = !flow.metadata.last_event_id.empty() && !flow.metadata.resumes.empty();
  return HashText(names_origin ? flow.metadata.resumes : flow.metadata.request_id);
}

bool ServingCore::NeedsStreamOrigin(const Flow& flow) {
  const bool resumes = flow.route.kind == RouteKind::kStreaming && !flow.metadata.last_event_id.empty();
  return resumes && !flow.software_version;
}

void ServingCore::FindStreamOrigin(Flow& flow) {
  const StreamKey stream = StreamKeyOf(flow);
  if (const std::optional<StreamOrigin> origin = stream_origins_.Find(stream, now_))
    return ResumeAt(flow, origin->software_version, "this node");
  flow.origin_pending = true;
  awaiting_origin_.emplace(stream, flow.id);
  ScheduleWakeUp(flow);
  stream_origins_.Ask(stream, flow.service, now_);
}

void ServingCore::OnStreamAnswer(Flow& flow, const StreamAnswer& answer) {
  flow.origin_pending = false;
  if (answer.origin) {
    stream_origins_.Record(answer.stream, *answer.origin, stream_lifetime_, now_);
    return ResumeAt(flow, answer.origin->software_version, "peer");
  }
  if (const std::optional<std::string> only = InferSoftwareVersion(flow.service, answer))
    return ResumeAt(flow, *only, "only version");
  actions_->push_back(ResumptionDecided{ResumptionOutcome::kVersionUnknown});
  Refuse(flow, "software version of the stream is not known");
}

std::optional<std::string> ServingCore::InferSoftwareVersion(const std::string& service, const StreamAnswer& answer) {
  if (answer.several_versions) return std::nullopt;
  version_history_.Refresh(engines_, now_);
  const std::vector<std::string> seen = version_history_.SeenWithin(service, stream_lifetime_, now_);
  std::set<std::string> versions(seen.begin(), seen.end());
  if (answer.only_version) versions.insert(*answer.only_version);
  if (versions.size() != 1) return std::nullopt;
  // Without the store, another version may have come.
  const bool known_here =
      store_connected_ && version_history_.OnlyVersionWithin(service, stream_lifetime_, now_).has_value();
  return known_here || answer.only_version ? std::optional(*versions.begin()) : std::nullopt;
}

void ServingCore::ResumeAt(Flow& flow, const std::string& software_version, std::string_view source) {
  flow.software_version = software_version;
  Log(EventId::kStreamResumed, &flow,
      fmt::format(R"("resumes":"{}","last_event":"{}","software":"{}","source":"{}")",
                  EscapeJson(flow.metadata.resumes), EscapeJson(flow.last_event_id), EscapeJson(software_version),
                  source));
  const bool lacks_engine = LacksSoftwareVersion(flow);
  actions_->push_back(ResumptionDecided{lacks_engine ? ResumptionOutcome::kNoEngine : ResumptionOutcome::kSent});
  Advance(flow);
}

bool ServingCore::LacksSoftwareVersion(const Flow& flow) {
  if (!flow.software_version) return false;
  const EngineIds none_tried;
  const EngineFilter filter(none_tried, flow.software_version);
  const auto exists = [&](EngineStage stage) {
    return selector_.OpensAt(engines_, flow.service, stage, filter, now_).has_value();
  };
  return !exists(EngineStage::kUniform) && !exists(EngineStage::kDecode);
}

void ServingCore::OnSoftwareVersionGone(Flow& flow) {
  constexpr std::string_view kCause = "no engine of the stream's software version";
  if (!flow.attempts.empty()) return ScheduleWakeUp(flow);
  if (flow.relaying) return AbortFlow(flow, kCause);
  Refuse(flow, kCause);
}

void ServingCore::RecordStreamOrigin(const Flow& flow, const Attempt& attempt) {
  const bool may_begin = attempt.mode != AttemptMode::kPrefill && attempt.mode != AttemptMode::kForward;
  if (!may_begin || flow.route.kind != RouteKind::kStreaming || !flow.route.resumable) return;
  const bool announces = UpdateStreamAnnouncing(flow.service);
  const StreamKey stream = StreamKeyOf(flow);
  // The attempts of a peer come after those of the node that handed the request to it.
  const int earlier_attempts = flow.metadata.forwarded ? parameters_.max_attempts_per_flow : 0;
  stream_origins_.RecordSent(stream, {attempt.software_version, earlier_attempts + flow.attempt_count},
                             attempt.engine_key.hash, stream_lifetime_, now_);
  if (announces) stream_origins_.Announce(stream, now_);
}

void ServingCore::BindSoftwareVersion(Flow& flow, const Attempt& attempt) {
  if (flow.software_version || attempt.mode == AttemptMode::kForward) return;
  flow.software_version = attempt.software_version;
  // An earlier attempt may have been announced with another version: the correction must not be lost.
  const bool corrects = flow.attempt_count > 1 && flow.route.resumable;
  if (corrects && announced_services_.contains(flow.service)) stream_origins_.Announce(StreamKeyOf(flow), now_);
}

bool ServingCore::UpdateStreamAnnouncing(const std::string& service) {
  version_history_.Refresh(engines_, now_);
  if (store_connected_ && version_history_.OnlyVersionWithin(service, stream_lifetime_, now_)) {
    announced_services_.erase(service);
    return false;
  }
  if (announced_services_.insert(service).second) stream_origins_.AnnounceAll(now_);
  return true;
}

void ServingCore::UpdateAllStreamAnnouncing() {
  if (!config_) return;
  for (const Service& service : config_->services) UpdateStreamAnnouncing(service.name);
}

// Never shortened: streams that began under an earlier configuration may still go on.
void ServingCore::SetStreamLifetime() {
  for (const Route& route : config_->routes) {
    if (route.kind != RouteKind::kStreaming || !route.resumable) continue;
    stream_lifetime_ = std::max(stream_lifetime_, route.timeout + parameters_.stream_return_time);
  }
}

void ServingCore::On(const EngineDisconnected& event) {
  EngineState* engine = engines_.Find(event.engine_id);
  if (engine != nullptr) engine->disconnected_at = now_;
}

void ServingCore::CorrectSoftwareVersion(const std::string& engine_id, const EngineKey& old_key, Time since) {
  const std::string& version = engines_.Find(engine_id)->record.software_version;
  for (auto& [id, flow] : flows_) {
    for (auto& [attempt_id, attempt] : flow->attempts) {
      if (attempt.engine_id != engine_id || attempt.sent_at < since) continue;
      const bool began_here = flow->relayed_attempt == attempt_id && flow->metadata.last_event_id.empty();
      if (began_here && flow->software_version == attempt.software_version) flow->software_version = version;
      attempt.software_version = version;
    }
  }
  stream_origins_.Correct(old_key.hash, since, version, now_);
}

void ServingCore::On(const StreamMessageArrived& event) {
  if (const auto* notice = std::get_if<StreamNotice>(&event.message)) return stream_origins_.OnNotice(*notice, now_);
  if (const auto* reply = std::get_if<StreamReply>(&event.message)) return stream_origins_.OnReply(*reply);
  const auto& query = std::get<StreamQuery>(event.message);
  version_history_.Refresh(engines_, now_);
  const bool several = version_history_.SeenWithin(query.service, stream_lifetime_, now_).size() > 1;
  const std::optional<std::string> only =
      store_connected_ ? version_history_.OnlyVersionWithin(query.service, stream_lifetime_, now_) : std::nullopt;
  stream_origins_.Respond(query, only, several, now_);
}

void ServingCore::StepStreamOrigins() {
  const std::optional<Time> due = stream_origins_.next_deadline();
  if (due && *due <= now_) stream_origins_.Step(now_);
  for (const StreamAnswer& answer : stream_origins_.TakeAnswers()) {
    const auto [first, last] = awaiting_origin_.equal_range(answer.stream);
    std::vector<FlowId> waiting;
    std::for_each(first, last, [&](const auto& entry) { waiting.push_back(entry.second); });
    awaiting_origin_.erase(first, last);
    for (const FlowId id : waiting) {
      Flow* flow = FindFlow(id);
      if (flow != nullptr) OnStreamAnswer(*flow, answer);
    }
  }
  std::vector<AddressedStreamMessage> messages = stream_origins_.TakeMessages();
  if (!messages.empty()) actions_->push_back(SendStreamMessages{std::move(messages)});
}

}  // namespace saltquay::serving
