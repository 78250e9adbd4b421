// Selects a bounded number of items in round-robin order.
#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace saltquay::serving {

// Returns at most `most` of `items`, starting at index `next`, and advances `next` past them.
template <typename Item>
std::vector<Item> TakeRoundRobin(std::vector<Item> items, std::size_t most, std::size_t& next) {
  if (items.size() <= most) return items;
  const std::size_t first = next % items.size();
  next = first + most;
  std::rotate(items.begin(), items.begin() + static_cast<std::ptrdiff_t>(first), items.end());
  items.resize(most);
  return items;
}

}  // namespace saltquay::serving
