#include "src/core/bundle/bundle_ledger.h"

#include <fmt/format.h>

#include "src/core/bundle/bundle.h"

namespace saltquay {
namespace {

constexpr Duration kWriteGiveUp = 20s;

EventId AcceptedEvent(CommandKind kind) {
  switch (kind) {
    case CommandKind::kApprove:
      return EventId::kBundleApproved;
    case CommandKind::kRoll:
      return EventId::kBundleRolled;
    default:
      return EventId::kBundlePublished;
  }
}

// The versions that engines may still have loaded after the next roll.
std::vector<EarlierVersion> EarlierVersionsAfter(const RolledRecord& present) {
  std::vector<EarlierVersion> earlier = present.earlier_versions;
  const absl::StatusOr<Bundle> bundle = ParseBundle(present.text, present.bundle_name);
  if (!bundle.ok()) return earlier;
  for (const ModelDeclaration& model : bundle->models) {
    const EarlierVersion row{model.name, model.version_id()};
    std::erase(earlier, row);
    earlier.push_back(row);
  }
  if (earlier.size() > kEarlierVersionsLimit) {
    earlier.erase(earlier.begin(), earlier.end() - static_cast<std::ptrdiff_t>(kEarlierVersionsLimit));
  }
  return earlier;
}

}  // namespace

std::string BundleLedger::MakeNonce(NodeContext& context) const {
  return fmt::format("{:x}-{:x}", context.self().incarnation.boot.value, context.random().Bits());
}

bool BundleLedger::Refuse(NodeContext& context, const Command& command, ErrorKind kind, const std::string& message) {
  context.Log(EventId::kBundleRefused, message);
  FinishCommand answer;
  answer.handle = command.order.handle;
  answer.status = MakeError(kind, message);
  answer.generation = command.rolled.generation;
  answer.bundle_name = command.order.bundle_name;
  context.Emit(answer);
  return true;
}

bool BundleLedger::Accept(NodeContext& context, const Command& command, std::uint64_t generation,
                          const std::string& detail) {
  const bool read_only = command.order.kind == CommandKind::kShow || command.order.kind == CommandKind::kHistory;
  if (!read_only) {
    context.Log(AcceptedEvent(command.order.kind),
                fmt::format("bundle {} by {}", command.order.bundle_name, command.order.operator_name));
  }
  FinishCommand answer;
  answer.handle = command.order.handle;
  answer.status = absl::OkStatus();
  answer.generation = generation;
  answer.bundle_name = command.order.bundle_name;
  answer.detail = detail;
  context.Emit(answer);
  return true;
}

void BundleLedger::Read(NodeContext& context, Command& command, const std::string& key, Step step) {
  command.step = step;
  command.read = context.NextStoreOperation();
  context.Emit(StoreRead{*command.read, key});
}

void BundleLedger::Write(NodeContext& context, Command& command, const std::string& key, std::uint64_t version,
                         const std::string& value, const std::string& nonce) {
  command.step = Step::kWrite;
  command.write.emplace(context, key, version, value, nonce, kWriteGiveUp);
}

void BundleLedger::OnCommand(NodeContext& context, const OperatorCommand& order) {
  Command command;
  command.order = order;
  if (order.kind != CommandKind::kHistory && order.bundle_name.empty()) {
    Refuse(context, command, ErrorKind::kInvalidRequest, "no bundle is named; name one");
    return;
  }
  const bool changes = order.kind != CommandKind::kShow && order.kind != CommandKind::kHistory;
  if (changes && order.operator_name.empty()) {
    Refuse(context, command, ErrorKind::kNotPermitted, "no operator is named; say who you are");
    return;
  }
  if (order.kind == CommandKind::kPublish) {
    const absl::StatusOr<Bundle> bundle = ParseBundle(order.bundle_text, order.bundle_name);
    if (!bundle.ok()) {
      Refuse(context, command, ErrorKind::kInvalidBundle, MessageOf(bundle.status()));
      return;
    }
    if (bundle->name != order.bundle_name) {
      Refuse(context, command, ErrorKind::kInvalidBundle, "the text names another bundle; make the names agree");
      return;
    }
  }
  Command& stored = commands_[order.handle];
  stored = std::move(command);
  if (order.kind == CommandKind::kHistory) return Read(context, stored, kRolledKey, Step::kReadRolled);
  Read(context, stored, BundleKey(order.bundle_name), Step::kReadBundle);
}

bool BundleLedger::Publish(NodeContext& context, Command& command, const StoredObject& object) {
  if (object.version != 0) {
    const absl::StatusOr<BundleRecord> present = ParseBundleRecord(object.value);
    const std::string who = present.ok() ? present->publisher : "someone";
    return Refuse(
        context, command, ErrorKind::kConflict,
        fmt::format("the bundle '{}' was published by {}; publish under a new name", command.order.bundle_name, who));
  }
  const std::string nonce = MakeNonce(context);
  command.bundle =
      BundleRecord{command.order.bundle_name, command.order.bundle_text, command.order.operator_name, "", nonce};
  Write(context, command, BundleKey(command.order.bundle_name), 0, SerializeBundleRecord(command.bundle), nonce);
  return false;
}

bool BundleLedger::Approve(NodeContext& context, Command& command, const StoredObject& object) {
  BundleRecord& bundle = command.bundle;
  if (bundle.publisher == command.order.operator_name) {
    return Refuse(context, command, ErrorKind::kNotPermitted,
                  fmt::format("{} published it and cannot approve it; ask another operator", bundle.publisher));
  }
  if (!bundle.approver.empty()) {
    return Refuse(context, command, ErrorKind::kConflict,
                  fmt::format("{} approved it already; roll it", bundle.approver));
  }
  bundle.approver = command.order.operator_name;
  bundle.nonce = MakeNonce(context);
  Write(context, command, BundleKey(bundle.name), object.version, SerializeBundleRecord(bundle), bundle.nonce);
  return false;
}

bool BundleLedger::OnBundleRead(NodeContext& context, Command& command, const StoredObject& object) {
  if (command.order.kind == CommandKind::kPublish) return Publish(context, command, object);
  if (object.version == 0) {
    return Refuse(context, command, ErrorKind::kNotFound,
                  fmt::format("no bundle '{}' is published; publish it first", command.order.bundle_name));
  }
  const absl::StatusOr<BundleRecord> record = ParseBundleRecord(object.value);
  if (!record.ok()) return Refuse(context, command, ErrorKind::kCorrupt, MessageOf(record.status()));
  command.bundle = *record;
  if (command.order.kind == CommandKind::kShow) return Accept(context, command, 0, object.value);
  if (command.order.kind == CommandKind::kApprove) return Approve(context, command, object);
  if (command.bundle.approver.empty()) {
    return Refuse(
        context, command, ErrorKind::kNotPermitted,
        fmt::format("the bundle '{}' is not approved; have another operator approve it", command.order.bundle_name));
  }
  Read(context, command, kRolledKey, Step::kReadRolled);
  return false;
}

bool BundleLedger::OnRolledRead(NodeContext& context, Command& command, const StoredObject& object) {
  if (object.version != 0) {
    const absl::StatusOr<RolledRecord> present = ParseRolledRecord(object.value);
    if (!present.ok()) return Refuse(context, command, ErrorKind::kCorrupt, MessageOf(present.status()));
    command.rolled = *present;
  }
  if (command.order.kind == CommandKind::kHistory) {
    return Accept(context, command, command.rolled.generation, object.value);
  }
  const std::optional<std::uint64_t> expected = command.order.expected_generation;
  if (expected.has_value() && *expected != command.rolled.generation) {
    return Refuse(
        context, command, ErrorKind::kConflict,
        fmt::format("generation {} ('{}' by {}) is in force, not {}; look at it, then roll again",
                    command.rolled.generation, command.rolled.bundle_name, command.rolled.rolled_by, *expected));
  }
  RolledRecord next;
  next.generation = command.rolled.generation + 1;
  next.bundle_name = command.bundle.name;
  next.text = command.bundle.text;
  next.rolled_by = command.order.operator_name;
  next.nonce = MakeNonce(context);
  next.earlier_versions = EarlierVersionsAfter(command.rolled);
  next.history = command.rolled.history;
  next.history.push_back(RollRecord{next.generation, next.bundle_name, next.rolled_by});
  if (next.history.size() > kRollHistoryLimit) next.history.erase(next.history.begin());
  command.rolled = next;
  Write(context, command, kRolledKey, object.version, SerializeRolledRecord(next), next.nonce);
  return false;
}

bool BundleLedger::OnRead(NodeContext& context, Command& command, const StoreAnswered& answer) {
  command.read.reset();
  if (answer.result != StoreResult::kDone) {
    return Refuse(context, command, ErrorKind::kStoreUnavailable,
                  "the store does not answer; not accepted, nothing changed; repeat when it is back");
  }
  if (command.step == Step::kReadBundle) return OnBundleRead(context, command, answer.object);
  return OnRolledRead(context, command, answer.object);
}

bool BundleLedger::OnWritten(NodeContext& context, Command& command, std::optional<RolledRecord>* rolled) {
  if (command.order.kind != CommandKind::kRoll) return Accept(context, command, 0, "");
  *rolled = command.rolled;
  command.step = Step::kSpread;
  command.spread_since = context.now();
  return false;
}

bool BundleLedger::Settle(NodeContext& context, Command& command, std::optional<RolledRecord>* rolled) {
  switch (command.write->state()) {
    case SettledWrite::State::kPending:
      return false;
    case SettledWrite::State::kWritten:
      command.write.reset();
      return OnWritten(context, command, rolled);
    case SettledWrite::State::kNothingChanged:
      return Refuse(context, command, ErrorKind::kStoreUnavailable,
                    "the store does not answer; not accepted, nothing changed; repeat when it is back");
    case SettledWrite::State::kUnsettled:
      return Refuse(context, command, ErrorKind::kOutcomeUnknown,
                    "the store took the write and gave no answer; look at 'bundle history' when it is back");
    case SettledWrite::State::kLost:
      break;
  }
  const absl::StatusOr<RolledRecord> winner = ParseRolledRecord(command.write->present().value);
  if (command.order.kind != CommandKind::kRoll || !winner.ok()) {
    return Refuse(
        context, command, ErrorKind::kConflict,
        fmt::format("another operator changed '{}' first; look at it with 'bundle status'", command.order.bundle_name));
  }
  command.rolled = *winner;
  return Refuse(context, command, ErrorKind::kConflict,
                fmt::format("generation {} ('{}' by {}) won; look at it, then roll again if it is still wanted",
                            winner->generation, winner->bundle_name, winner->rolled_by));
}

bool BundleLedger::OnStoreAnswer(NodeContext& context, const StoreAnswered& answer,
                                 std::optional<RolledRecord>* rolled) {
  for (auto& [handle, command] : commands_) {
    bool ended = false;
    if (command.read.has_value() && *command.read == answer.operation) {
      ended = OnRead(context, command, answer);
    } else if (command.write.has_value() && command.write->OnStoreAnswer(context, answer)) {
      ended = Settle(context, command, rolled);
    } else {
      continue;
    }
    if (ended) commands_.erase(handle);
    return true;
  }
  return false;
}

void BundleLedger::OnTick(NodeContext& context) {
  std::optional<RolledRecord> none;
  for (auto entry = commands_.begin(); entry != commands_.end();) {
    Command& command = entry->second;
    bool ended = false;
    if (command.write.has_value()) {
      command.write->OnTick(context);
      ended = Settle(context, command, &none);
    }
    const bool waited =
        command.step == Step::kSpread && context.now() - command.spread_since >= context.parameters().accept_wait;
    if (waited) ended = Accept(context, command, command.rolled.generation, "");
    entry = ended ? commands_.erase(entry) : std::next(entry);
  }
}

void BundleLedger::OnGenerationHeld(NodeContext& context, std::uint64_t generation) {
  for (auto entry = commands_.begin(); entry != commands_.end();) {
    const Command& command = entry->second;
    const bool held = command.step == Step::kSpread && command.rolled.generation <= generation;
    if (held) Accept(context, command, command.rolled.generation, "");
    entry = held ? commands_.erase(entry) : std::next(entry);
  }
}

}  // namespace saltquay
