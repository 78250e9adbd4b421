// The largest of the values that were noted within a span of time.
#pragma once

#include <cstddef>
#include <deque>

#include "src/base/time.h"

namespace saltquay {

class SlidingMaximum {
 public:
  explicit SlidingMaximum(Duration span) : span_(span) {}

  void RecordValue(int value, Time now) {
    Trim(now);
    // A smaller value matters once those before it are over.
    while (!values_.empty() && values_.back().value <= value) values_.pop_back();
    values_.push_back({now, value});
  }
  // 0: nothing was noted lately.
  int Get() const { return values_.empty() ? 0 : values_.front().value; }

 private:
  static constexpr std::size_t kMostValues = 256;  // Bounds memory; the largest of them are dropped first.

  struct Noted {
    Time at{};
    int value = 0;
  };

  void Trim(Time now) {
    while (!values_.empty() && (values_.front().at < now - span_ || values_.size() > kMostValues)) values_.pop_front();
  }

  Duration span_;
  std::deque<Noted> values_;  // Largest first.
};

}  // namespace saltquay
