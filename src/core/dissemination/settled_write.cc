#include "src/core/dissemination/settled_write.h"

#include <utility>

namespace saltquay {
namespace {

constexpr Duration kRetryInterval = 300ms;

}  // namespace

SettledWrite::SettledWrite(NodeContext& context, std::string key, std::uint64_t expected_version, std::string value,
                           std::string nonce, Duration give_up_after)
    : key_(std::move(key)),
      expected_version_(expected_version),
      value_(std::move(value)),
      nonce_(std::move(nonce)),
      give_up_at_(context.now() + give_up_after) {
  Send(context);
}

void SettledWrite::Send(NodeContext& context) {
  operation_ = context.NextStoreOperation();
  context.Emit(StoreWrite{*operation_, key_, expected_version_, value_});
}

bool SettledWrite::OnStoreAnswer(NodeContext& context, const StoreAnswered& answer) {
  if (!operation_.has_value() || answer.operation != *operation_) return false;
  operation_.reset();
  switch (answer.result) {
    case StoreResult::kDone:
      state_ = State::kWritten;
      present_ = StoredObject{answer.object.version, value_};
      break;
    case StoreResult::kConflict:
      present_ = answer.object;
      state_ = present_.value.find(nonce_) != std::string::npos ? State::kWritten : State::kLost;
      break;
    case StoreResult::kUnavailable:
      if (!effect_possible_) state_ = State::kNothingChanged;
      break;
    case StoreResult::kNoAnswer:
      effect_possible_ = true;
      break;
  }
  next_try_ = context.now() + kRetryInterval;
  return true;
}

void SettledWrite::OnTick(NodeContext& context) {
  if (state_ != State::kPending) return;
  if (context.now() >= give_up_at_) {
    state_ = State::kUnsettled;
    return;
  }
  if (!operation_.has_value() && context.now() >= next_try_) Send(context);
}

}  // namespace saltquay
