// Remembers when each of a bounded number of keys last succeeded.
//
// Two generations: once the newer one is full, it becomes the older one, whose keys are forgotten. A key that succeeds
// at least once per generation is therefore never forgotten, whatever else is recorded.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "src/base/time.h"

namespace saltquay::serving {

class SuccessLog {
 public:
  // Remembers between half of `max_keys` and `max_keys` keys.
  explicit SuccessLog(std::size_t max_keys) : generation_size_(max_keys / 2) {}

  void Record(std::uint64_t key, Time at);
  std::optional<Time> Find(std::uint64_t key) const;

 private:
  std::size_t generation_size_;
  std::unordered_map<std::uint64_t, Time> newer_;
  std::unordered_map<std::uint64_t, Time> older_;
};

}  // namespace saltquay::serving
