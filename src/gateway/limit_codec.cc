#include "src/gateway/limit_codec.h"

#include <chrono>
#include <cmath>
#include <string>
#include <variant>

namespace saltquay::gateway {
namespace {

// Message kinds on the wire: the values must not change.
enum class Kind : std::uint8_t { kRequest = 1, kResponse = 2, kRefund = 3, kProbe = 4, kHandoff = 5 };

// The fields of a message as laid out in the FlatBuffers table.
struct Fields {
  Kind kind = Kind::kRequest;
  limits::ChargeId key;
  std::uint64_t tenant = 0;
  std::uint64_t peer = 0;
  double amount = 0;
  Duration time = 0s;
  std::uint8_t forwards = 0;
  bool flag = false;
  std::string text;
  std::uint8_t step = 0;
  int fleet = 0;
};

Fields ToFields(const limits::ChargeRequest& request) {
  return {Kind::kRequest,
          request.charge,
          request.tenant,
          request.unresponsive_owner,
          static_cast<double>(request.cost),
          0s,
          request.forwards,
          request.declined,
          request.reply_to};
}
Fields ToFields(const limits::ChargeResponse& response) {
  return {Kind::kResponse, response.charge, 0, 0, 0, response.retry_after, 0, response.admitted, response.owner};
}
Fields ToFields(const limits::ChargeRefund& refund) {
  return {Kind::kRefund, refund.charge, refund.tenant, 0, 0, 0s, 0, false, ""};
}
Fields ToFields(const limits::OwnerProbe& probe) {
  return {Kind::kProbe, {}, probe.about, probe.from,     0,
          0s,           0,  false,       probe.reply_to, static_cast<std::uint8_t>(probe.kind),
          probe.fleet};
}
Fields ToFields(const limits::BucketHandoff& message) {
  return {Kind::kHandoff,
          message.key,
          message.tenant,
          message.from,
          message.level,
          0s,
          0,
          message.established,
          "",
          static_cast<std::uint8_t>(message.declined),
          message.fleet};
}

// Beyond this, doubles and 64-bit integers no longer convert to each other.
constexpr double kMaxAmount = 1e15;

bool IsAmount(double value) { return std::isfinite(value) && std::abs(value) <= kMaxAmount; }

std::optional<limits::LimitMessage> ProbeFromWire(const wire::LimitMessage& message, const std::string& text) {
  using ProbeKind = limits::OwnerProbe::Kind;
  if (message.step() > static_cast<std::uint8_t>(ProbeKind::RelayReply)) return std::nullopt;
  return limits::OwnerProbe{static_cast<ProbeKind>(message.step()), message.peer(), message.tenant(), text,
                            message.fleet()};
}

}  // namespace

flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<wire::LimitMessage>>> LimitMessagesToWire(
    flatbuffers::FlatBufferBuilder& builder, const std::vector<limits::LimitMessage>& messages) {
  if (messages.empty()) return 0;
  std::vector<flatbuffers::Offset<wire::LimitMessage>> offsets;
  offsets.reserve(messages.size());
  for (const limits::LimitMessage& message : messages) {
    const Fields fields = std::visit([](const auto& typed) { return ToFields(typed); }, message);
    const auto text = fields.text.empty() ? 0 : builder.CreateSharedString(fields.text);
    const auto time = std::chrono::ceil<std::chrono::milliseconds>(fields.time).count();
    offsets.push_back(wire::CreateLimitMessage(
        builder, static_cast<std::uint8_t>(fields.kind), fields.key.node, fields.key.number, fields.tenant, fields.peer,
        fields.amount, static_cast<std::int32_t>(time), fields.forwards, fields.flag, text, fields.step, fields.fleet));
  }
  return builder.CreateVector(offsets);
}

std::optional<limits::LimitMessage> LimitMessageFromWire(const wire::LimitMessage& message) {
  if (!IsAmount(message.amount())) return std::nullopt;
  const limits::ChargeId key{message.node(), message.number()};
  const std::string text = message.text() == nullptr ? "" : message.text()->str();
  switch (static_cast<Kind>(message.kind())) {
    case Kind::kRequest:
      return limits::ChargeRequest{key,           message.tenant(),   static_cast<std::int64_t>(message.amount()),
                                   text,          message.forwards(), message.peer(),
                                   message.flag()};
    case Kind::kResponse:
      return limits::ChargeResponse{key, message.flag(), std::chrono::milliseconds(message.time_ms()), text};
    case Kind::kRefund:
      return limits::ChargeRefund{key, message.tenant()};
    case Kind::kProbe:
      return ProbeFromWire(message, text);
    case Kind::kHandoff:
      return limits::BucketHandoff{message.tenant(), message.peer(),     key, message.amount(), message.flag(),
                                   message.fleet(),  message.step() != 0};
  }
  return std::nullopt;
}

}  // namespace saltquay::gateway
