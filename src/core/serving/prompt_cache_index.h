// Tracks which engines cache which prompt parts, from this node's prefills and the peers' cache updates.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/base/time.h"
#include "src/core/serving/engine_key.h"
#include "src/core/serving/events.h"

namespace saltquay::serving {

class PromptCacheIndex {
 public:
  // `lifetime`: how long an engine is assumed to cache a part after its last use.
  explicit PromptCacheIndex(Duration lifetime) : lifetime_(lifetime) {}

  // Records that the engine processes the prompt and will cache its shared parts.
  void RecordPrefill(const EngineKey& engine, const PromptMetadata& prompt, Time now);
  // The same from a peer's report.
  void RecordCachedPart(const KeptPart& cached, Time now);
  // Cache updates recorded by this node since `since`, for reports to peers.
  std::vector<KeptPart> CacheUpdatesSince(Time since);
  // Number of the prompt's tokens that the engine has to process.
  int TokensToPrefill(const EngineKey& engine, const PromptMetadata& prompt, Time now) const;
  // Engines most recently known to cache the longest cached prefix of the prompt. The list is incomplete if there are
  // many.
  const std::vector<EngineKey>& EnginesCaching(const PromptMetadata& prompt) const;

 private:
  bool IsCached(const EngineKey& engine, const PromptPart& part, Time now) const;
  // Drops expired entries when there are too many.
  void EvictExpired(Time now);

  Duration lifetime_;
  std::unordered_map<KeptPart, Time, KeptPartHash> last_used_;  // Time of the last known use.
  // By part; the most recently recorded engines.
  std::unordered_map<std::uint64_t, std::vector<EngineKey>> engines_by_part_;
  std::deque<std::pair<Time, KeptPart>> updates_;
};

// Prompt tokens in parts shared with other requests, and tokens of the request's own part.
int SharedTokens(const PromptMetadata& prompt);
int UnsharedTokens(const PromptMetadata& prompt);

}  // namespace saltquay::serving
