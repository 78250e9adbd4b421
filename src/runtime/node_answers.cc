#include "src/runtime/node_answers.h"

#include <cmath>

#include <fmt/format.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <nlohmann/json.hpp>

namespace saltquay {
namespace {

using Json = nlohmann::json;

std::string Dump(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

std::string MemberStateName(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeft:
      return "left";
  }
  return "unknown";
}

Json ChoiceOf(CompletionShape shape, const std::string& text, bool streamed) {
  if (shape == CompletionShape::kText) return {{"index", 0}, {"text", text}};
  const char* field = streamed ? "delta" : "message";
  return {{"index", 0}, {field, {{"role", "assistant"}, {"content", text}}}};
}

std::string ObjectName(CompletionShape shape, bool streamed) {
  if (shape == CompletionShape::kText) return "text_completion";
  return streamed ? "chat.completion.chunk" : "chat.completion";
}

}  // namespace

unsigned HttpStatusOf(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidRequest:
    case ErrorKind::kInvalidSetting:
    case ErrorKind::kInvalidBundle:
      return 400;
    case ErrorKind::kNotPermitted:
      return 403;
    case ErrorKind::kUnknownModel:
    case ErrorKind::kNotFound:
      return 404;
    case ErrorKind::kConflict:
      return 409;
    case ErrorKind::kTenantLimit:
      return 429;
    case ErrorKind::kOutcomeUnknown:
      return 502;
    case ErrorKind::kOverloaded:
    case ErrorKind::kNotReady:
    case ErrorKind::kNoEngine:
    case ErrorKind::kStoreUnavailable:
      return 503;
    case ErrorKind::kDeadlineExceeded:
      return 504;
    case ErrorKind::kCorrupt:
    case ErrorKind::kInternal:
      return 500;
  }
  return 500;
}

std::string OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kCompleted:
      return "completed";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string EngineRoleName(EngineRole role) {
  switch (role) {
    case EngineRole::kWhole:
      return "whole";
    case EngineRole::kPrefill:
      return "prefill";
    case EngineRole::kDecode:
      return "decode";
  }
  return "unknown";
}

std::string ErrorJson(const absl::Status& status, const std::string& outcome, std::optional<Duration> retry_after) {
  Json error = {{"type", std::string(ErrorKindName(KindOf(status)))}, {"message", MessageOf(status)}};
  if (!outcome.empty()) error["outcome"] = outcome;
  if (retry_after.has_value()) error["retry_after_ms"] = retry_after->count() / 1000;
  return Dump({{"error", error}});
}

std::vector<HttpHeader> RefusalHeaders(const std::string& outcome, std::optional<Duration> retry_after) {
  std::vector<HttpHeader> headers = {{"Content-Type", "application/json"}};
  if (!outcome.empty()) headers.push_back({"X-Outcome", outcome});
  if (retry_after.has_value()) {
    headers.push_back({"Retry-After", fmt::format("{}", std::ceil(ToSeconds(*retry_after)))});
  }
  return headers;
}

std::string StreamEvent(CompletionShape shape, const std::string& model, const std::string& text, bool last) {
  Json choice = ChoiceOf(shape, text, true);
  choice["finish_reason"] = last ? Json("length") : Json(nullptr);
  return "data: " + Dump({{"object", ObjectName(shape, true)}, {"model", model}, {"choices", Json::array({choice})}}) +
         "\n\n";
}

std::string WholeAnswer(CompletionShape shape, const std::string& model, const std::string& text,
                        const FinishRequest& finish) {
  Json choice = ChoiceOf(shape, text, false);
  choice["finish_reason"] = "length";
  const Json usage = {{"prompt_tokens", finish.prompt_tokens},
                      {"completion_tokens", finish.total_tokens},
                      {"total_tokens", finish.prompt_tokens + finish.total_tokens}};
  return Dump(
      {{"object", ObjectName(shape, false)}, {"model", model}, {"choices", Json::array({choice})}, {"usage", usage}});
}

std::string StatusJson(const NodeStatus& status) {
  Json members = Json::array();
  for (const MemberUpdate& member : status.members) {
    members.push_back({{"node", member.node.node.value},
                       {"boot", fmt::format("{:x}", member.node.boot.value)},
                       {"state", MemberStateName(member.state)}});
  }
  Json engines = Json::array();
  for (const EngineLoad& engine : status.engines) {
    engines.push_back({{"engine", engine.engine.value},
                       {"role", EngineRoleName(engine.role)},
                       {"model_version", engine.model_version.value},
                       {"generation", engine.generation},
                       {"available", engine.available},
                       {"running", engine.running},
                       {"waiting", engine.waiting},
                       {"queued_prefill_tokens", engine.queued_prefill_tokens}});
  }
  const Json leader = {
      {"node", status.leader.leader.value}, {"view", status.leader.view}, {"ballot", status.leader.ballot}};
  return Dump({{"node", status.identity.incarnation.node.value},
               {"boot", fmt::format("{:x}", status.identity.incarnation.boot.value)},
               {"ready", status.ready},
               {"stopping", status.stopping},
               {"store_available", status.store_available},
               {"generation", status.generation},
               {"bundle", status.bundle_name},
               {"view", status.view},
               {"settled_view", status.settled_view},
               {"is_leader", status.is_leader},
               {"leader", leader},
               {"members", members},
               {"engines", engines},
               {"active_requests", status.active_requests},
               {"records", status.records},
               {"role_changes", status.role_changes}});
}

std::string CommandJson(const FinishCommand& finish) {
  Json json = {{"accepted", finish.status.ok()}, {"bundle", finish.bundle_name}, {"generation", finish.generation}};
  if (!finish.status.ok()) {
    json["error"] = {{"type", std::string(ErrorKindName(KindOf(finish.status)))},
                     {"message", MessageOf(finish.status)}};
  }
  if (!finish.detail.empty()) json["detail"] = Json::parse(finish.detail, nullptr, false);
  return Dump(json);
}

std::string MetricsText(const NodeStatus& status) {
  prometheus::Registry registry;
  const auto gauge = [&](const char* name, const char* help, double value) {
    prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({}).Set(value);
  };
  auto& requests =
      prometheus::BuildCounter().Name("saltquay_requests_total").Help("Requests ended, by outcome").Register(registry);
  requests.Add({{"outcome", "completed"}}).Increment(static_cast<double>(status.counters.completed));
  requests.Add({{"outcome", "not_run"}}).Increment(static_cast<double>(status.counters.not_run));
  requests.Add({{"outcome", "unknown"}}).Increment(static_cast<double>(status.counters.unknown));
  const auto counter = [&](const char* name, const char* help, std::uint64_t value) {
    prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({}).Increment(static_cast<double>(value));
  };
  counter("saltquay_retries_total", "Attempts sent again", status.counters.retries);
  counter("saltquay_frames_dropped_total", "Late and crossed engine frames", status.counters.frames_dropped);
  counter("saltquay_prompt_tokens_total", "Prompt tokens served", status.counters.prompt_tokens);
  counter("saltquay_cached_prompt_tokens_total", "Prompt tokens found cached", status.counters.cached_prompt_tokens);
  counter("saltquay_role_changes_total", "Role changes ordered by this node", status.role_changes);
  gauge("saltquay_ready", "1 while this node serves callers", status.ready ? 1 : 0);
  gauge("saltquay_leader", "1 while this node leads its cell", status.is_leader ? 1 : 0);
  gauge("saltquay_store_available", "1 while the platform's store answers", status.store_available ? 1 : 0);
  gauge("saltquay_generation", "Generation in force on this node", static_cast<double>(status.generation));
  gauge("saltquay_view", "Authority view adopted", static_cast<double>(status.view));
  gauge("saltquay_members", "Nodes alive in the cell", static_cast<double>(status.members.size()));
  gauge("saltquay_engines", "Engines heard recently", static_cast<double>(status.engines.size()));
  gauge("saltquay_active_requests", "Requests in flight", static_cast<double>(status.active_requests));
  return prometheus::TextSerializer().Serialize(registry.Collect());
}

}  // namespace saltquay
