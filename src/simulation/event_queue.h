// The simulator's virtual clock: one queue of callbacks, ordered by time and,
// within one moment, by insertion. Not thread-safe.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "src/base/time.h"

namespace saltquay {

class EventQueue {
 public:
  Time now() const { return now_; }

  void At(Time time, std::function<void()> callback) {
    heap_.push_back(Entry{time < now_ ? now_ : time, ++last_order_, std::move(callback)});
    std::push_heap(heap_.begin(), heap_.end(), Later{});
  }
  void After(Duration delay, std::function<void()> callback) { At(now_ + delay, std::move(callback)); }

  // Runs everything due up to `end`, then stands at `end`.
  void RunUntil(Time end) {
    while (!heap_.empty() && heap_.front().time <= end) {
      std::pop_heap(heap_.begin(), heap_.end(), Later{});
      Entry entry = std::move(heap_.back());
      heap_.pop_back();
      now_ = entry.time;
      ++executed_;
      entry.callback();
    }
    now_ = end;
  }

  std::uint64_t executed() const { return executed_; }

 private:
  struct Entry {
    Time time;
    std::uint64_t order = 0;
    std::function<void()> callback;
  };
  struct Later {
    bool operator()(const Entry& left, const Entry& right) const {
      return left.time != right.time ? left.time > right.time : left.order > right.order;
    }
  };

  Time now_{Duration{1'000'000}};
  std::uint64_t last_order_ = 0;
  std::uint64_t executed_ = 0;
  std::vector<Entry> heap_;
};

}  // namespace saltquay
