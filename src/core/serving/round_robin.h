// Selects a bounded number of items in round-robin order.
#pragma once

#include <cstddef>
#include <vector>

namespace saltquay::serving {

// Returns at most `most` of `items`, starting at index `next`, and advances `next` past them.
template <typename Item>
std::vector<Item> TakeRoundRobin(const std::vector<Item>& items, std::size_t most, std::size_t& next) {
  if (items.size() <= most) return items;
  const std::size_t first = next % items.size();
  next = first + most;
  std::vector<Item> taken;
  taken.reserve(most);
  for (std::size_t i = 0; i < most; ++i) taken.push_back(items[(first + i) % items.size()]);
  return taken;
}

}  // namespace saltquay::serving
