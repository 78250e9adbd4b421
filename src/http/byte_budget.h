// A bound for the bytes that all connections of a process hold for their clients: what was read and has not been
// served, and what was answered and has not been read.
#pragma once

#include <cstddef>
#include <functional>
#include <string_view>

namespace saltquay::http {

class ByteBudget {
 public:
  // `limit`: in bytes.
  explicit ByteBudget(std::size_t limit) : limit_(limit) {}

  // A connection holds `now` bytes instead of `before`.
  void Update(std::size_t before, std::size_t now) { held_ = held_ - before + now; }
  // A connection that held `bytes` yields. `kind`: what it held, a literal.
  void RecordRefusal(std::string_view kind, std::size_t bytes) {
    ++refusals_;
    if (on_refusal) on_refusal(kind, bytes);
  }
  // Called by RecordRefusal(); may be empty.
  std::function<void(std::string_view kind, std::size_t bytes)> on_refusal;

  bool exceeded() const { return held_ > limit_; }
  std::size_t held() const { return held_; }
  // Requests refused and responses ended so that the budget holds.
  std::size_t refusals() const { return refusals_; }

 private:
  std::size_t limit_;
  std::size_t held_ = 0;
  std::size_t refusals_ = 0;
};

}  // namespace saltquay::http
