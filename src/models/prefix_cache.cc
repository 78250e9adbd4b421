#include "src/models/prefix_cache.h"

#include <algorithm>

#include "src/core/routing/prefix_index.h"

namespace saltquay {
namespace {

// Older events are dropped, which shows as a gap.
constexpr std::size_t kEventsHeld = 512;
// One state read carries at most this many.
constexpr std::size_t kEventsPerRead = 128;
// The newest events are withheld: they come late.
constexpr std::size_t kEventsLate = 4;

}  // namespace

std::uint32_t PrefixCache::CachedTokens(const std::vector<BlockHash>& blocks) const {
  std::uint32_t cached = 0;
  for (const BlockHash block : blocks) {
    if (!position_.contains(block)) break;
    cached += kBlockTokens;
  }
  return cached;
}

void PrefixCache::Publish(bool added, BlockHash block) {
  events_.push_back(CacheEvent{++last_sequence_, added, block});
  if (events_.size() > kEventsHeld) events_.pop_front();
}

void PrefixCache::Insert(const std::vector<BlockHash>& blocks) {
  // Front blocks are shared by more prompts, so they are made the most recent.
  for (std::size_t i = blocks.size(); i-- > 0;) {
    const BlockHash block = blocks[i];
    const auto known = position_.find(block);
    if (known != position_.end()) {
      recency_.splice(recency_.begin(), recency_, known->second);
      continue;
    }
    recency_.push_front(block);
    position_[block] = recency_.begin();
    Publish(true, block);
  }
  while (recency_.size() > capacity_blocks_) {
    Publish(false, recency_.back());
    position_.erase(recency_.back());
    recency_.pop_back();
  }
}

void PrefixCache::Clear() {
  for (const BlockHash block : recency_) Publish(false, block);
  recency_.clear();
  position_.clear();
}

std::vector<CacheEvent> PrefixCache::EventsAfter(std::uint64_t sequence) const {
  std::vector<CacheEvent> events;
  if (events_.size() <= kEventsLate) return events;
  for (auto event = events_.begin(); event != events_.end() - kEventsLate; ++event) {
    if (event->sequence <= sequence) continue;
    events.push_back(*event);
    if (events.size() >= kEventsPerRead) break;
  }
  return events;
}

}  // namespace saltquay
