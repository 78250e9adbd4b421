#include "src/core/serving/success_log.h"

#include <utility>

namespace saltquay::serving {

void SuccessLog::Record(std::uint64_t key, Time at) {
  newer_[key] = at;
  if (newer_.size() < generation_size_) return;
  older_ = std::move(newer_);
  newer_.clear();
}

std::optional<Time> SuccessLog::Find(std::uint64_t key) const {
  for (const auto* generation : {&newer_, &older_}) {
    const auto entry = generation->find(key);
    if (entry != generation->end()) return entry->second;
  }
  return std::nullopt;
}

}  // namespace saltquay::serving
