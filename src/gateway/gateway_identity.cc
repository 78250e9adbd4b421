// Asks engines on new connections which process they are, before a stream is sent that may be taken up elsewhere.
#include <fmt/format.h>

#include "src/gateway/gateway.h"

namespace saltquay::gateway {
namespace {

std::string_view OutcomeOf(std::int64_t started_ms, std::int64_t expected) {
  if (started_ms == expected) return "expected";
  return started_ms == 0 ? "untold" : "other";
}

}  // namespace

http::IdentityCheck Gateway::MakeIdentityCheck(const serving::StartAttempt& action) {
  const std::string call_id = fmt::format("{}-identity-{}", node_name_, ++last_identity_check_);
  const serving::ReadEngineState read{action.engine_id, action.address};
  http::IdentityCheck check;
  check.expected = *action.process_started_ms;
  check.request = http::SerializeRequest(protocol_.MakeStateRead(read, call_id), "");
  check.call_id = call_id;
  check.timeout = std::chrono::duration_cast<std::chrono::milliseconds>(action.connect_timeout);
  check.owner_of = [this, call_id](const http::ResponseHead& head) { return protocol_.OwnerOf(head, call_id); };
  check.decode = [this, id = action.attempt](const http::ResponseHead& head, const std::string& body) {
    const std::int64_t started_ms = protocol_.DecodeStartTime(head, body);
    RecordIdentity(id, started_ms);
    return started_ms;
  };
  return check;
}

void Gateway::RecordIdentity(serving::AttemptId id, std::int64_t started_ms) {
  const auto entry = attempts_.find(id);
  if (entry == attempts_.end()) return;
  const ActiveAttempt& attempt = entry->second;
  const std::string_view outcome = OutcomeOf(started_ms, attempt.expected_started_ms);
  metrics_.CountIdentification(std::string(outcome));
  const serving::EngineState* engine = core_.engines().Find(attempt.engine_id);
  const auto age = engine == nullptr ? Duration(0) : Now() - engine->record_changed_at;
  Log(EventId::kEngineIdentified, attempt.request_id,
      fmt::format(R"("engine":"{}","connection":{},"started_ms":{},"expected_ms":{},"outcome":"{}","record_age_ms":{})",
                  attempt.engine_id, attempt.connection, started_ms, attempt.expected_started_ms, outcome,
                  age.count() / 1000));
}

void Gateway::OnOtherProcess(serving::AttemptId id, std::int64_t started_ms) {
  const auto entry = attempts_.find(id);
  if (entry == attempts_.end()) return;
  const serving::FlowId flow = entry->second.flow;
  attempts_.erase(entry);
  Dispatch(serving::AttemptAtOtherProcess{flow, id, started_ms});
}

}  // namespace saltquay::gateway
