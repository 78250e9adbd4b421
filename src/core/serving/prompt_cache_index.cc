#include "src/core/serving/prompt_cache_index.h"

#include <algorithm>
#include <set>

namespace saltquay::serving {
namespace {

// Of 48 bytes each, with their place in the table about 2 MB.
constexpr std::size_t kMostParts = 30000;
// Of one part. A part that more engines keep is found at one of these as well.
constexpr std::size_t kMostKeepers = 16;

int TokensBefore(const PromptMetadata& prompt, std::size_t part) {
  int tokens = 0;
  for (std::size_t i = 0; i < part; ++i) tokens += prompt.parts[i].tokens;
  return tokens;
}

}  // namespace

int SharedTokens(const PromptMetadata& prompt) {
  return prompt.parts.empty() ? 0 : TokensBefore(prompt, prompt.parts.size() - 1);
}

int UnsharedTokens(const PromptMetadata& prompt) { return std::max(0, prompt.tokens - SharedTokens(prompt)); }

bool PromptCacheIndex::Keeps(const EngineKey& engine, const PromptPart& part, Time now) const {
  const auto entry = kept_.find(KeptPart{engine, part.hash});
  return entry != kept_.end() && now - entry->second < memory_;
}

void PromptCacheIndex::RecordPrefill(const EngineKey& engine, const PromptMetadata& prompt, Time now) {
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    const KeptPart kept{engine, prompt.parts[i].hash};
    RecordCachedPart(kept, now);
    news_.emplace_back(now, kept);
  }
}

void PromptCacheIndex::RecordCachedPart(const KeptPart& kept, Time now) {
  if (kept_.size() > kMostParts) Forget(now);
  kept_[kept] = now;
  std::vector<EngineKey>& keepers = keepers_[kept.part];
  if (std::find(keepers.begin(), keepers.end(), kept.engine) != keepers.end()) return;
  if (keepers.size() >= kMostKeepers) keepers.erase(keepers.begin());
  keepers.push_back(kept.engine);
}

void PromptCacheIndex::Forget(Time now) {
  std::erase_if(kept_, [&](const auto& entry) { return now - entry.second >= memory_; });
  if (kept_.size() > kMostParts) kept_.clear();
  for (auto& [part, keepers] : keepers_) {
    std::erase_if(keepers, [&, id = part](const EngineKey& engine) { return !kept_.contains(KeptPart{engine, id}); });
  }
  std::erase_if(keepers_, [](const auto& entry) { return entry.second.empty(); });
}

std::vector<KeptPart> PromptCacheIndex::CacheUpdatesSince(Time since) {
  while (!news_.empty() && news_.front().first < since) news_.pop_front();
  std::set<KeptPart> distinct;
  for (const auto& [at, kept] : news_) distinct.insert(kept);
  return {distinct.begin(), distinct.end()};
}

int PromptCacheIndex::TokensToPrefill(const EngineKey& engine, const PromptMetadata& prompt, Time now) const {
  int tokens = UnsharedTokens(prompt);
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    // A part is of use only with all parts before it.
    if (!Keeps(engine, prompt.parts[i], now)) return prompt.tokens - TokensBefore(prompt, i);
  }
  return tokens;
}

const std::vector<EngineKey>& PromptCacheIndex::EnginesCaching(const PromptMetadata& prompt) const {
  static const std::vector<EngineKey> kNone;
  for (std::size_t parts = prompt.parts.size(); parts >= 2; --parts) {
    const auto entry = keepers_.find(prompt.parts[parts - 2].hash);
    if (entry != keepers_.end()) return entry->second;
  }
  return kNone;
}

}  // namespace saltquay::serving
