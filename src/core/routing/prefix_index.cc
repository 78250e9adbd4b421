#include "src/core/routing/prefix_index.h"

#include <algorithm>

namespace saltquay {

std::uint32_t PrefixIndex::CachedTokens(EngineId engine, const std::vector<BlockHash>& blocks) const {
  const auto entry = engines_.find(engine);
  if (entry == engines_.end()) return 0;
  std::uint32_t cached = 0;
  for (const BlockHash block : blocks) {
    if (!entry->second.position.contains(block)) break;
    cached += kBlockTokens;
  }
  return cached;
}

void PrefixIndex::Add(EngineBlocks& blocks, BlockHash block) {
  const auto known = blocks.position.find(block);
  if (known != blocks.position.end()) {
    blocks.recency.splice(blocks.recency.begin(), blocks.recency, known->second);
    return;
  }
  blocks.recency.push_front(block);
  blocks.position[block] = blocks.recency.begin();
  if (blocks.recency.size() <= blocks_per_engine_) return;
  blocks.position.erase(blocks.recency.back());
  blocks.recency.pop_back();
}

void PrefixIndex::Remove(EngineBlocks& blocks, BlockHash block) {
  const auto known = blocks.position.find(block);
  if (known == blocks.position.end()) return;
  blocks.recency.erase(known->second);
  blocks.position.erase(known);
}

void PrefixIndex::NoteServed(EngineId engine, const std::vector<BlockHash>& blocks) {
  EngineBlocks& known = engines_[engine];
  // Front blocks are shared by more prompts, so they are made the most recent.
  for (std::size_t i = blocks.size(); i-- > 0;) Add(known, blocks[i]);
}

void PrefixIndex::Correct(EngineId engine, const std::vector<BlockHash>& blocks, std::uint32_t cached_tokens) {
  const auto entry = engines_.find(engine);
  if (entry == engines_.end()) return;
  for (std::size_t i = cached_tokens / kBlockTokens; i < blocks.size(); ++i) Remove(entry->second, blocks[i]);
}

void PrefixIndex::OnEvents(EngineId engine, BootId boot, const std::vector<CacheEvent>& events) {
  EngineBlocks& known = engines_[engine];
  if (known.boot != boot) {
    known = EngineBlocks{};
    known.boot = boot;
  }
  for (const CacheEvent& event : events) {
    if (event.sequence <= known.last_sequence) continue;
    const bool gap = event.sequence != known.last_sequence + 1;
    if (gap) {
      known.recency.clear();
      known.position.clear();
    }
    known.last_sequence = event.sequence;
    if (event.added) {
      Add(known, event.block);
    } else {
      Remove(known, event.block);
    }
  }
}

std::uint64_t PrefixIndex::LastSequence(EngineId engine) const {
  const auto entry = engines_.find(engine);
  return entry == engines_.end() ? 0 : entry->second.last_sequence;
}

}  // namespace saltquay
