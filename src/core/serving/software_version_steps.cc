// Software versions at which streams begin and go on; see stream_origins.h for the protocol.
#include <algorithm>
#include <set>

#include <fmt/format.h>

#include "src/base/log_stream.h"
#include "src/core/serving/serving_core.h"

namespace saltquay::serving {
namespace {

constexpr int kUnavailable = 503;

}  // namespace

StreamKey StreamKeyOf(const Flow& flow) {
  const bool names_origin = !flow.metadata.last_event_id.empty() && !flow.metadata.resumes.empty();
  return HashText(names_origin ? flow.metadata.resumes : flow.metadata.request_id);
}

bool NeedsStreamOrigin(const Flow& flow) {
  const bool resumes = flow.route.kind == RouteKind::kStreaming && !flow.metadata.last_event_id.empty();
  return resumes && !flow.software_version;
}

void ServingCore::FindStreamOrigin(Flow& flow) {
  const StreamKey stream = StreamKeyOf(flow);
  const std::optional<StreamOrigin> origin = stream_origins_.Find(stream, now_);
  if (origin && origin->known()) return ResumeAt(flow, *origin, "this node", "");
  flow.origin_pending = true;
  awaiting_origin_.emplace(stream, flow.id);
  ScheduleWakeUp(flow);
  stream_origins_.Ask(stream, flow.service, stream_lifetime_, now_);
}

void ServingCore::OnStreamAnswer(Flow& flow, const StreamAnswer& answer) {
  flow.origin_pending = false;
  flow.records_wait_ends.reset();
  if (answer.origin) return ResumeAt(flow, *answer.origin, "peer", DescribeEvidence(answer));
  const std::optional<StreamOrigin> recorded = stream_origins_.Find(answer.stream, now_);
  if (recorded && recorded->known()) return ResumeAt(flow, *recorded, "this node", DescribeEvidence(answer));
  const auto refuse_unknown = [&] {
    RenewStream(flow, kUnknownOrigin);
    RefuseResumption(flow, answer);
  };
  const std::optional<std::string> version = InferSoftwareVersion(flow, answer);
  if (!version) return refuse_unknown();
  // Silence says nothing: a peer that was told may be the one that does not answer.
  if (answer.complete && (answer.only_version || OnlySoftwareVersion(flow.service)))
    return ResumeAt(flow, {*version}, "only version", DescribeEvidence(answer));
  // Otherwise the records have to tell all versions that may have begun the stream. A peer's statement covers the time
  // until its own records were confirmed.
  const std::optional<Time> known_since = version_history_.known_since();
  const Duration needed = answer.only_version ? parameters_.max_record_age : stream_lifetime_;
  if (!known_since || *known_since > flow.arrived - needed) return refuse_unknown();
  if (version_history_.confirmed() >= flow.arrived)
    return ResumeAt(flow, {*version}, "only version", DescribeEvidence(answer));
  flow.origin_pending = true;
  flow.records_wait_ends = std::min(flow.arrived + parameters_.max_confirmation_wait, flow.expires_at);
  awaiting_records_[flow.id] = answer;
  ScheduleWakeUp(flow);
}

std::optional<std::string> ServingCore::InferSoftwareVersion(const Flow& flow, const StreamAnswer& answer) {
  const bool is_unknown = answer.origin_unknown || stream_origins_.Find(answer.stream, now_).has_value();
  if (answer.several_versions || is_unknown) return std::nullopt;
  version_history_.Refresh(engines_, now_);
  const std::vector<std::string> seen = version_history_.SeenWithin(flow.service, stream_lifetime_, now_);
  std::set<std::string> versions(seen.begin(), seen.end());
  if (answer.only_version) versions.insert(*answer.only_version);
  return versions.size() == 1 ? std::optional(*versions.begin()) : std::nullopt;
}

std::optional<std::string> ServingCore::OnlySoftwareVersion(const std::string& service) {
  version_history_.Refresh(engines_, now_);
  const bool confirmed = version_history_.confirmed() != Time{};
  const bool current =
      store_connected_ && confirmed && now_ - version_history_.confirmed() < parameters_.max_record_age;
  if (!current || !ready()) return std::nullopt;
  return version_history_.OnlyVersionWithin(service, stream_lifetime_, now_);
}

// Only the proof was missing, so the stream is not recorded as one of unknown origin: a later attempt may find it.
void ServingCore::OnRecordsLate(Flow& flow) {
  const StreamAnswer answer = awaiting_records_[flow.id];
  awaiting_records_.erase(flow.id);
  RefuseResumption(flow, answer);
}

void ServingCore::RefuseResumption(Flow& flow, const StreamAnswer& answer) {
  actions_->push_back(ResumptionDecided{ResumptionOutcome::kVersionUnknown});
  Refuse(flow, kUnavailable, "software version of the stream is not known", parameters_.retry_after,
         DescribeEvidence(answer));
}

std::string ServingCore::DescribeEvidence(const StreamAnswer& answer) const {
  const auto age = [this](Time time) { return time > Time{} ? (now_ - time) / 1ms : -1; };
  return fmt::format(R"(,"asked":{},"answered":{},"record_age_ms":{},"known_ms":{})", answer.peers_asked,
                     answer.peers_answered, age(version_history_.confirmed()),
                     age(version_history_.known_since().value_or(Time{})));
}

void ServingCore::ResumeAt(Flow& flow, const StreamOrigin& origin, std::string_view source, std::string_view evidence) {
  RenewStream(flow, origin);
  BindOrigin(flow, origin);
  if (!flow.software_version) {
    actions_->push_back(ResumptionDecided{ResumptionOutcome::kVersionUnknown});
    return Refuse(flow, "software version of the stream's engine is not known yet");
  }
  Log(EventId::kStreamResumed, &flow,
      fmt::format(R"("resumes":"{}","last_event":"{}","software":"{}","source":"{}"{})",
                  EscapeJson(flow.metadata.resumes), EscapeJson(flow.last_event_id), EscapeJson(*flow.software_version),
                  source, evidence));
  const bool lacks_engine = LacksSoftwareVersion(flow);
  actions_->push_back(ResumptionDecided{lacks_engine ? ResumptionOutcome::kNoEngine : ResumptionOutcome::kSent});
  Advance(flow);
}

void ServingCore::RenewStream(const Flow& flow, const StreamOrigin& origin) {
  const StreamKey stream = StreamKeyOf(flow);
  const bool tells_peers = stream_origins_.Renew(stream, origin, stream_lifetime_, now_);
  const bool announces = UpdateStreamAnnouncing(flow.service) || !origin.known() || origin.process;
  if (tells_peers && announces) stream_origins_.Announce(stream, now_);
}

bool ServingCore::LacksSoftwareVersion(Flow& flow) {
  if (flow.origin_process) BindOrigin(flow, {"", 0, flow.origin_process});
  if (!flow.software_version) return flow.origin_process.has_value();
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
  if (!MayBeResumed(flow, attempt.mode) || attempt.mode == AttemptMode::kForward) return;
  const bool announces = UpdateStreamAnnouncing(flow.service) || attempt.origin.process;
  const StreamKey stream = StreamKeyOf(flow);
  // The attempts of a peer come after those of the node that handed the request to it.
  const int earlier_attempts = flow.metadata.forwarded ? parameters_.max_attempts_per_flow : 0;
  StreamOrigin origin = attempt.origin;
  origin.attempt = earlier_attempts + flow.attempt_count;
  stream_origins_.Record(stream, origin, stream_lifetime_, now_);
  if (announces) stream_origins_.Announce(stream, now_);
}

void ServingCore::BindSoftwareVersion(Flow& flow, const Attempt& attempt) {
  if (flow.software_version || flow.origin_process || attempt.mode == AttemptMode::kForward) return;
  BindOrigin(flow, attempt.origin);
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

void ServingCore::On(const StreamMessageArrived& event) {
  if (const auto* notice = std::get_if<StreamNotice>(&event.message)) return stream_origins_.OnNotice(*notice, now_);
  if (const auto* reply = std::get_if<StreamReply>(&event.message)) return stream_origins_.OnReply(*reply);
  const auto& query = std::get<StreamQuery>(event.message);
  version_history_.Refresh(engines_, now_);
  const bool several = version_history_.SeenWithin(query.service, stream_lifetime_, now_).size() > 1;
  stream_origins_.Respond(query, OnlySoftwareVersion(query.service), several, now_);
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
