// Engines that ended while they ran requests; see engine_end_watch.h for how that is told.
#include <algorithm>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "src/core/serving/serving_core.h"

namespace saltquay::serving {
namespace {

// A log line names so many requests at most.
constexpr std::size_t kMostLogged = 16;

std::string HexList(const std::vector<std::uint64_t>& fingerprints) {
  std::vector<std::string> texts;
  for (std::size_t i = 0; i < std::min(kMostLogged, fingerprints.size()); ++i) {
    texts.push_back(fmt::format("\"{:016x}\"", fingerprints[i]));
  }
  return fmt::format("[{}]", fmt::join(texts, ","));
}

}  // namespace

void ServingCore::NoteBroken(const Flow& flow, const Attempt& attempt) {
  const EngineState* engine = engines_.Find(attempt.engine_id);
  // Who had announced its end, or had gone before, ends by plan.
  if (engine == nullptr || engine->gone || engine->record.leaving) return;
  const bool check = end_watch_.NoteBroken(attempt.engine_id, flow.fingerprint, now_);
  if (check) actions_->push_back(CheckEngine{attempt.engine_id, engine->record.address});
}

void ServingCore::On(const EngineChecked& event) { end_watch_.NoteChecked(event.engine_id, event.outcome); }

void ServingCore::NoteEndedEngines() {
  const auto has_work = [this](const std::string& id) {
    const EngineState* engine = engines_.Find(id);
    return engine != nullptr && engine->outstanding > 0;
  };
  for (const EndedEngine& ended : end_watch_.TakeEnded(has_work, now_)) {
    Log(EventId::kEngineEnded, nullptr,
        fmt::format(R"("engine":"{}","after_ms":{},"requests":{},"fingerprints":{})", ended.engine_id,
                    (now_ - ended.broke_at).count() / 1000, ended.requests.size(), HexList(ended.requests)));
  }
}

}  // namespace saltquay::serving
