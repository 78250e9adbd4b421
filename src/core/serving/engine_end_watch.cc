#include "src/core/serving/engine_end_watch.h"

namespace saltquay::serving {
namespace {

// What an engine had sent before it ended is read within the same turns of the event loop.
constexpr Duration kOnItsWay = 20ms;
// Longer than a check and the connections of other work take to fail.
constexpr Duration kWatched = 5s;

}  // namespace

bool EngineEndWatch::NoteBroken(const std::string& engine_id, EngineKey life, std::uint64_t request, Time now) {
  const auto [entry, is_new] = suspects_.try_emplace(engine_id);
  if (is_new) {
    entry->second.life = life;
    entry->second.since = now;
  }
  if (request != 0) entry->second.requests.insert(request);
  return is_new;
}

void EngineEndWatch::NoteChecked(const std::string& engine_id, EngineCheckOutcome outcome) {
  const auto suspect = suspects_.find(engine_id);
  if (suspect == suspects_.end()) return;
  if (outcome == EngineCheckOutcome::kRefused) {
    suspect->second.refused = true;
  } else {
    suspects_.erase(suspect);
  }
}

void EngineEndWatch::NoteHeard(const std::string& engine_id, Time sent_at, Time now) {
  const auto suspect = suspects_.find(engine_id);
  if (suspect == suspects_.end()) return;
  if (sent_at > suspect->second.since || now > suspect->second.since + kOnItsWay) suspects_.erase(suspect);
}

std::vector<std::uint64_t> EngineEndWatch::Listed(const Suspect& suspect) {
  return {suspect.requests.begin(), suspect.requests.end()};
}

void EngineEndWatch::Forget(Time now) {
  std::erase_if(suspects_, [&](const auto& entry) { return now - entry.second.since > kWatched; });
}

}  // namespace saltquay::serving
