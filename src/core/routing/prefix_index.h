// What each engine's prefix cache is believed to hold.
//
// Filled from answers and cache events, corrected by what answers say was
// cached, and forgotten for an engine whose events have a gap or whose boot
// changed. Bounded: each engine keeps its most recent blocks.
//
// Not thread-safe; owned by Node.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <unordered_map>
#include <vector>

#include "src/core/types.h"

namespace saltquay {

// Prompt tokens in one cache block.
inline constexpr std::uint32_t kBlockTokens = 256;

class PrefixIndex {
 public:
  // `blocks_per_engine`: bound of one engine's part.
  explicit PrefixIndex(std::size_t blocks_per_engine) : blocks_per_engine_(blocks_per_engine) {}

  // Prompt tokens that `engine` is believed to have cached.
  std::uint32_t CachedTokens(EngineId engine, const std::vector<BlockHash>& blocks) const;

  // The engine answered a prompt of these blocks and now holds them.
  void NoteServed(EngineId engine, const std::vector<BlockHash>& blocks);
  // The engine said how many tokens it found; blocks beyond are forgotten.
  void Correct(EngineId engine, const std::vector<BlockHash>& blocks, std::uint32_t cached_tokens);
  // Applies events of one engine run; a gap or another run distrusts all before.
  void OnEvents(EngineId engine, BootId boot, const std::vector<CacheEvent>& events);
  // Sequence of the last event applied for `engine`.
  std::uint64_t LastSequence(EngineId engine) const;
  void Forget(EngineId engine) { engines_.erase(engine); }

 private:
  struct EngineBlocks {
    BootId boot;
    std::uint64_t last_sequence = 0;
    std::list<BlockHash> recency;  // Most recent first.
    std::unordered_map<BlockHash, std::list<BlockHash>::iterator> position;
  };

  void Add(EngineBlocks& blocks, BlockHash block);
  static void Remove(EngineBlocks& blocks, BlockHash block);

  std::size_t blocks_per_engine_;
  std::map<EngineId, EngineBlocks> engines_;
};

}  // namespace saltquay
