// What engines state about themselves: limits for the requests of all nodes together
// (saltquay/limits/engine_permits.h), rests, and that they are leaving.
#include <algorithm>

#include <fmt/format.h>

#include "src/core/serving/serving_core.h"

namespace saltquay::serving {
namespace {

// How long peers are told that an engine has ended its limit. Statements of the limit that are still on their way
// between nodes are not older.
constexpr Duration kEndedLimitMemory = 10s;
// Reports list at most this many limits, the latest statements first.
constexpr std::size_t kMaxReportedLimits = 64;
constexpr std::size_t kMaxReportedLeaving = 64;
// Of reports beside the periodic ones.
constexpr Duration kMinReportInterval = 50ms;

}  // namespace

void ServingCore::set_engine_permits(std::unique_ptr<limits::EnginePermits> permits) {
  permits_ = std::move(permits);
  gate_ = std::make_unique<EngineGate>(*permits_);
  selector_.set_gate(gate_.get());
}

void ServingCore::On(const EngineNoticeReceived& event) {
  EngineState* engine = engines_.Find(event.engine_id);
  if (engine == nullptr || engine->key != event.engine) return;  // From an earlier incarnation.
  // A response that states no limit may have been on its way when the engine named one, unless its request was sent
  // after that.
  const bool ends_limit = !event.notice.limit_unreadable && event.sent_at && *event.sent_at >= engine->limit_stated_at;
  if (event.notice.requests_per_s || ends_limit) SetEngineLimit(*engine, event.notice.requests_per_s, now_, "engine");
  if (event.notice.rest) RecordRest(*engine, *event.notice.rest);
  if (event.notice.leaving) RecordLeavingStatement(*engine, "engine");
}

// Peers would learn of it with the next periodic report, and keep to the earlier statement until then.
void ServingCore::ReportStatementsSoon() {
  if (now_ < next_statement_report_) return;
  next_statement_report_ = now_ + kMinReportInterval;
  actions_->push_back(ReportEngineStatements{});
}

void ServingCore::RecordLeavingStatement(EngineState& engine, std::string_view source) {
  if (engine.stated_leaving) return;
  Log(EventId::kEngineLeaving, nullptr,
      fmt::format(R"("engine":"{}","source":"{}","recorded":{})", engine.record.id, source, engine.record.leaving));
  ReportStatementsSoon();
  engines_.RecordLeavingStatement(engine);
  ApplyRecord(engine.record.id);
}

void ServingCore::RecordRest(EngineState& engine, Duration rest) {
  engine.rests_until = std::max(engine.rests_until, now_ + rest);
  last_rest_ends_ = std::max(last_rest_ends_, engine.rests_until);
  Log(EventId::kEngineRest, nullptr,
      fmt::format(R"("engine":"{}","for_ms":{})", engine.record.id, rest.count() / 1000));
}

void ServingCore::On(const PeerEngineLimitsReported& event) {
  for (const EngineLimitMark& mark : event.marks) {
    EngineState* engine = engines_.FindPresent(mark.engine);
    if (engine != nullptr) SetEngineLimit(*engine, mark.requests_per_s, now_ - mark.age, "peer");
  }
}

void ServingCore::SetEngineLimit(EngineState& engine, std::optional<double> requests_per_s, Time stated_at,
                                 std::string_view source) {
  if (stated_at < engine.limit_stated_at) return;
  engine.limit_stated_at = stated_at;
  const std::optional<limits::EngineLimit> before = engine.rate_limit;
  if (requests_per_s) {
    engine.rate_limit = limits::EngineLimit{*requests_per_s, stated_at};
    engine_limits_[engine.key] = {engine.record.id, std::nullopt};
  } else if (before) {
    engine.rate_limit.reset();
    engine_limits_[engine.key] = {engine.record.id, now_};
  }
  const double after = requests_per_s.value_or(-1);
  const double known = before ? before->requests_per_s : -1;
  if (known == after) return;
  // Permits of a higher limit do not hold any more.
  if (after < known) permits_->forget(engine.key.hash);
  ReportStatementsSoon();
  Log(EventId::kEngineLimit, nullptr,
      fmt::format(R"("engine":"{}","requests_per_s":{},"before":{},"source":"{}","age_ms":{})", engine.record.id, after,
                  known, source, (now_ - stated_at).count() / 1000));
}

void ServingCore::On(const PermitMessageArrived& event) { permits_->on_message(now_, event.message); }

void ServingCore::On(const PeerLeavingEnginesReported& event) {
  for (const EngineKey& key : event.engines) {
    EngineState* engine = engines_.FindPresent(key);
    if (engine != nullptr) RecordLeavingStatement(*engine, "peer");
  }
}

std::vector<EngineKey> ServingCore::LeavingEngines() const {
  std::vector<EngineKey> leaving(leaving_engines_.begin(), leaving_engines_.end());
  if (leaving.size() > kMaxReportedLeaving) leaving.resize(kMaxReportedLeaving);
  return leaving;
}

std::vector<EngineLimitMark> ServingCore::EngineLimitMarks(Time now) const {
  std::vector<EngineLimitMark> marks;
  for (const auto& [key, known] : engine_limits_) {
    const auto engine = engines_.all().find(known.engine_id);
    if (engine == engines_.all().end() || engine->second.key != key || engine->second.gone) continue;
    EngineLimitMark mark{key, std::nullopt, now - engine->second.limit_stated_at};
    if (engine->second.rate_limit) mark.requests_per_s = engine->second.rate_limit->requests_per_s;
    marks.push_back(mark);
  }
  if (marks.size() <= kMaxReportedLimits) return marks;
  std::stable_sort(marks.begin(), marks.end(),
                   [](const EngineLimitMark& a, const EngineLimitMark& b) { return a.age < b.age; });
  marks.resize(kMaxReportedLimits);
  return marks;
}

void ServingCore::StepPermits() {
  for (const EngineKey& key : selector_.TakeEnginesWithoutPermit()) {
    const EngineState* engine = engines_.FindPresent(key);
    if (engine != nullptr && engine->rate_limit) permits_->request(now_, key.hash, *engine->rate_limit);
  }
  const std::optional<Time> due = permits_->next_deadline();
  if (due && *due <= now_) permits_->step(now_);
  limits::EnginePermits::Output output = permits_->take_output();
  if (output.granted && next_dispatch_) next_dispatch_ = now_;  // A queued prompt may be waiting for it.
  if (!output.messages.empty()) actions_->push_back(SendPermitMessages{std::move(output.messages)});
  std::erase_if(leaving_engines_, [this](const EngineKey& key) { return engines_.FindPresent(key) == nullptr; });
  std::erase_if(engine_limits_, [this](const auto& entry) {
    const EngineState* engine = engines_.FindPresent(entry.first);
    const bool ended = entry.second.ended_at && now_ - *entry.second.ended_at > kEndedLimitMemory;
    if (engine == nullptr) permits_->forget(entry.first.hash);
    return engine == nullptr || ended;
  });
}

std::optional<Time> ServingCore::ExecutionOpensAt(const Flow& flow) {
  const EngineFilter filter(flow.tried_engines, flow.software_version);
  std::optional<Time> earliest;
  for (const EngineStage stage : {EngineStage::kUniform, EngineStage::kDecode}) {
    const std::optional<Time> at = selector_.OpensAt(engines_, flow.service, stage, filter, now_);
    if (at) earliest = std::min(earliest.value_or(*at), *at);
  }
  return earliest;
}

}  // namespace saltquay::serving
