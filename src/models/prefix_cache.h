// An engine's bounded cache of prompt prefixes, with its event stream.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

#include "src/core/types.h"

namespace saltquay {

// Least recently used blocks leave first. Not thread-safe.
class PrefixCache {
 public:
  explicit PrefixCache(std::size_t capacity_blocks) : capacity_blocks_(capacity_blocks) {}

  // Leading prompt tokens that are cached.
  std::uint32_t CachedTokens(const std::vector<BlockHash>& blocks) const;
  void Insert(const std::vector<BlockHash>& blocks);
  void Clear();

  // Events after `sequence`, as far as they are still held, late by a few: the
  // newest are withheld until more follow.
  std::vector<CacheEvent> EventsAfter(std::uint64_t sequence) const;

 private:
  void Publish(bool added, BlockHash block);

  std::size_t capacity_blocks_;
  std::list<BlockHash> recency_;
  std::unordered_map<BlockHash, std::list<BlockHash>::iterator> position_;
  std::deque<CacheEvent> events_;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace saltquay
