#include "src/core/serving/prompt_cache_index.h"

#include <algorithm>
#include <set>

namespace saltquay::serving {
namespace {

// Entries are 48 bytes each, about 2 MB including the table.
constexpr std::size_t kMaxParts = 30000;
// Maximum engines listed per part. A part cached by more engines is also found on one of these.
constexpr std::size_t kMaxEnginesPerPart = 16;

int TokensBefore(const PromptMetadata& prompt, std::size_t part) {
  int tokens = 0;
  for (std::size_t i = 0; i < part; ++i) tokens += prompt.parts[i].tokens;
  return tokens;
}

}  // namespace

int SharedTokens(const PromptMetadata& prompt) {
  return prompt.parts.empty() ? 0 : TokensBefore(prompt, prompt.parts.size() - 1);
}

std::vector<std::uint64_t> PromptMetadata::SharedPartFingerprints() const {
  std::vector<std::uint64_t> fingerprints;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) fingerprints.push_back(parts[i].fingerprint);
  return fingerprints;
}

int UnsharedTokens(const PromptMetadata& prompt) { return std::max(0, prompt.tokens - SharedTokens(prompt)); }

bool PromptCacheIndex::IsCached(const EngineKey& engine, const PromptPart& part, Time now) const {
  const auto entry = last_used_.find(KeptPart{engine, part.hash});
  return entry != last_used_.end() && now - entry->second < lifetime_;
}

void PromptCacheIndex::RecordPrefill(const EngineKey& engine, const PromptMetadata& prompt, Time now) {
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    const KeptPart cached{engine, prompt.parts[i].hash};
    RecordCachedPart(cached, now);
    updates_.emplace_back(now, cached);
  }
}

void PromptCacheIndex::RecordCachedPart(const KeptPart& cached, Time now) {
  if (last_used_.size() > kMaxParts) EvictExpired(now);
  last_used_[cached] = now;
  std::vector<EngineKey>& engines = engines_by_part_[cached.part];
  if (std::find(engines.begin(), engines.end(), cached.engine) != engines.end()) return;
  if (engines.size() >= kMaxEnginesPerPart) engines.erase(engines.begin());
  engines.push_back(cached.engine);
}

void PromptCacheIndex::EvictExpired(Time now) {
  std::erase_if(last_used_, [&](const auto& entry) { return now - entry.second >= lifetime_; });
  if (last_used_.size() > kMaxParts) last_used_.clear();
  for (auto& [part, engines] : engines_by_part_) {
    std::erase_if(engines, [&, id = part](const EngineKey& engine) {
      return !last_used_.contains(KeptPart{engine, id});
    });
  }
  std::erase_if(engines_by_part_, [](const auto& entry) { return entry.second.empty(); });
}

std::vector<KeptPart> PromptCacheIndex::CacheUpdatesSince(Time since) {
  while (!updates_.empty() && updates_.front().first < since) updates_.pop_front();
  std::set<KeptPart> unique;
  for (const auto& [at, cached] : updates_) unique.insert(cached);
  return {unique.begin(), unique.end()};
}

int PromptCacheIndex::TokensToPrefill(const EngineKey& engine, const PromptMetadata& prompt, Time now) const {
  int tokens = UnsharedTokens(prompt);
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    // A cached part is usable only if all parts before it are cached too.
    if (!IsCached(engine, prompt.parts[i], now)) return prompt.tokens - TokensBefore(prompt, i);
  }
  return tokens;
}

const std::vector<EngineKey>& PromptCacheIndex::EnginesCaching(const PromptMetadata& prompt) const {
  static const std::vector<EngineKey> kNone;
  for (std::size_t parts = prompt.parts.size(); parts >= 2; --parts) {
    const auto entry = engines_by_part_.find(prompt.parts[parts - 2].hash);
    if (entry != engines_by_part_.end()) return entry->second;
  }
  return kNone;
}

}  // namespace saltquay::serving
