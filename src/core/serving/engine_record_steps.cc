// Changes of the engines' records.
#include <utility>

#include <fmt/format.h>

#include "src/base/log_stream.h"
#include "src/core/serving/serving_core.h"

namespace saltquay::serving {
namespace {

// Any writer of the store may choose these texts.
std::string Logged(std::string_view text) { return EscapeJsonPrefix(text, kMaxLoggedBytes); }

}  // namespace

void ServingCore::On(const EnginesReplaced& event) {
  engines_.Replace(event.records);
  for (const EngineRecord& record : event.records) {
    ApplyRecord(record.id);
    ResolveOrigins(record);
  }
  engines_listed_ = true;
  version_history_.Begin(now_);
  Log(EventId::kEngineRecord, nullptr, fmt::format(R"("engines":{},"cause":"listed")", event.records.size()));
}

void ServingCore::On(const EngineChanged& event) {
  const EngineState* known = engines_.Find(event.record.id);
  const bool is_new = known == nullptr;
  const EngineKey key = is_new ? EngineKey{} : known->key;
  if (!engines_.Update(event.record)) return;
  version_history_.RecordSeen(event.record, now_);
  if (!is_new && known->key != key) crash_detector_.RecordRemoval(event.record.id);
  ApplyRecord(event.record.id);
  if (is_new || known->key != key) ResolveOrigins(event.record);
  if (is_new && !event.record.leaving) {
    ++added_engines_;
    return;
  }
  Log(EventId::kEngineRecord, nullptr,
      fmt::format(R"("engine":"{}","started_ms":{},"software":"{}","service":"{}","zone":"{}","leaving":{},"stage":{})",
                  Logged(event.record.id), event.record.started_ms, EscapeJson(event.record.software_version),
                  Logged(event.record.service), Logged(event.record.zone), event.record.leaving,
                  static_cast<int>(event.record.stage)));
}

void ServingCore::ApplyRecord(const std::string& engine_id) {
  EngineState* engine = engines_.Find(engine_id);
  if (engine == nullptr) return;
  engine->record_changed_at = now_;
  if (!engine->record.leaving) engine->leaving_since.reset();
  if (engine->record.leaving && !engine->leaving_since) engine->leaving_since = now_;
  // What the engine stated holds although its record had disappeared.
  if (engine->rate_limit) engine_limits_.try_emplace(engine->key, KnownEngineLimit{engine_id, std::nullopt});
  if (engine->stated_leaving) leaving_engines_.insert(engine->key);
}

void ServingCore::On(const EngineRemoved& event) {
  engines_.Remove(event.id);
  crash_detector_.RecordRemoval(event.id);
  Log(EventId::kEngineRecord, nullptr, fmt::format(R"("engine":"{}","cause":"gone")", Logged(event.id)));
}

void ServingCore::On(const EngineChangesApplied& /*event*/) {
  UpdateAllStreamAnnouncing();
  // One line for all new engines: a starting fleet adds hundreds of them a second.
  const int added = std::exchange(added_engines_, 0);
  if (added > 0) Log(EventId::kEngineRecord, nullptr, fmt::format(R"("engines":{},"cause":"added")", added));
}

}  // namespace saltquay::serving
