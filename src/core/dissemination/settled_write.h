// A compare-and-swap whose outcome is always settled, even when its answer is
// lost.
//
// Protocol: the value carries a nonce that no other write has. After a lost
// answer the same compare-and-swap is sent again, with the same expected
// version. Either it succeeds, or it conflicts; on a conflict the present
// value's nonce tells whether the first try took effect. Why this is safe: the
// object's version grows with each write, so at most one of all tries at one
// expected version takes effect.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "src/core/context.h"
#include "src/core/events.h"

namespace saltquay {

class SettledWrite {
 public:
  enum class State {
    kPending,
    kWritten,
    kLost,            // Another write won; `present()` holds it.
    kNothingChanged,  // The store refused before any effect.
    kUnsettled,       // Gave up without knowing.
  };

  // `value` must contain `nonce`. Sends the first try.
  SettledWrite(NodeContext& context, std::string key, std::uint64_t expected_version, std::string value,
               std::string nonce, Duration give_up_after);

  // Returns true when `answer` belongs to this write.
  bool OnStoreAnswer(NodeContext& context, const StoreAnswered& answer);
  // Sends further tries and applies the limit.
  void OnTick(NodeContext& context);

  State state() const { return state_; }
  const StoredObject& present() const { return present_; }

 private:
  void Send(NodeContext& context);

  std::string key_;
  std::uint64_t expected_version_;
  std::string value_;
  std::string nonce_;
  Time give_up_at_;
  std::optional<StoreOperationId> operation_;
  Time next_try_{};
  bool effect_possible_ = false;
  State state_ = State::kPending;
  StoredObject present_;
};

}  // namespace saltquay
