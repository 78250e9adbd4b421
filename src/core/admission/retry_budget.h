// Limits retries to a share of recent successes, so that retries cannot
// multiply an overload. Not thread-safe; owned by Dispatcher.
#pragma once

#include <algorithm>

namespace saltquay {

class RetryBudget {
 public:
  // `ratio`: retries earned by one success. `reserve`: retries allowed after
  // a quiet time, and the least that the budget can hold.
  RetryBudget(double ratio, double reserve) : ratio_(ratio), limit_(reserve * kLimitFactor), balance_(reserve) {}

  void NoteSuccess() { balance_ = std::min(limit_, balance_ + ratio_); }

  // Takes one retry; returns false when none is left.
  bool TryTake() {
    if (balance_ < 1.0) return false;
    balance_ -= 1.0;
    return true;
  }

  double balance() const { return balance_; }

 private:
  static constexpr double kLimitFactor = 10.0;

  double ratio_;
  double limit_;
  double balance_;
};

}  // namespace saltquay
