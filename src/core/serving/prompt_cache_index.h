// Which engines keep which prompt parts, as far as is known from this node's readings and the peers' news.
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
  // A part is kept for about `memory` after its last use.
  explicit PromptCacheIndex(Duration memory) : memory_(memory) {}

  // Notes that the engine reads the prompt: its shared parts are there then.
  void RecordPrefill(const EngineKey& engine, const PromptMetadata& prompt, Time now);
  // A peer's news of the same kind.
  void RecordCachedPart(const KeptPart& kept, Time now);
  // What this node noted by itself since `since`, for the peers.
  std::vector<KeptPart> CacheUpdatesSince(Time since);
  // Tokens that the engine would read of the prompt.
  int TokensToPrefill(const EngineKey& engine, const PromptMetadata& prompt, Time now) const;
  // Engines that were the last to be known to keep the longest of the prompt's beginnings that any keeps; some only
  // where there are many.
  const std::vector<EngineKey>& EnginesCaching(const PromptMetadata& prompt) const;

 private:
  bool Keeps(const EngineKey& engine, const PromptPart& part, Time now) const;
  // Makes room where too many parts are known: the unused go.
  void Forget(Time now);

  Duration memory_;
  std::unordered_map<KeptPart, Time, KeptPartHash> kept_;              // -> last use known.
  std::unordered_map<std::uint64_t, std::vector<EngineKey>> keepers_;  // By part; the last that were noted.
  std::deque<std::pair<Time, KeptPart>> news_;
};

// Prompt tokens in parts that other requests share, and those of the request itself.
int SharedTokens(const PromptMetadata& prompt);
int UnsharedTokens(const PromptMetadata& prompt);

}  // namespace saltquay::serving
