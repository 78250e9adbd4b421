#include "src/gateway/permit_codec.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <variant>

namespace saltquay::gateway {
namespace {

// Message kinds on the wire: the values must not change.
enum class Kind : std::uint8_t { kRequest = 1, kResponse = 2, kReturn = 3 };

// The fields of a message as laid out in the FlatBuffers table.
struct Fields {
  Kind kind = Kind::kRequest;
  limits::ChargeId permit;
  std::uint64_t engine = 0;
  double requests_per_s = 0;
  Duration time = 0s;
  bool flag = false;
  std::string reply_to;
};

Fields ToFields(const limits::PermitRequest& request) {
  return {Kind::kRequest,    request.permit,   request.engine,  request.requests_per_s,
          request.limit_age, request.is_final, request.reply_to};
}
Fields ToFields(const limits::PermitResponse& response) {
  return {Kind::kResponse, response.permit, 0, 0, response.retry_after, response.granted, ""};
}
Fields ToFields(const limits::PermitReturn& message) {
  return {Kind::kReturn, message.permit, message.engine, 0, 0s, false, ""};
}

// Saturates: an age or a wait of that length has no exact meaning.
std::int32_t ToMilliseconds(Duration time) {
  const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(time).count();
  return static_cast<std::int32_t>(std::clamp<std::int64_t>(milliseconds, 0, std::numeric_limits<std::int32_t>::max()));
}

bool IsRate(double value) { return std::isfinite(value) && value >= 0; }

}  // namespace

flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<wire::PermitMessage>>> PermitMessagesToWire(
    flatbuffers::FlatBufferBuilder& builder, const std::vector<limits::PermitMessage>& messages) {
  if (messages.empty()) return 0;
  std::vector<flatbuffers::Offset<wire::PermitMessage>> offsets;
  offsets.reserve(messages.size());
  for (const limits::PermitMessage& message : messages) {
    const Fields fields = std::visit([](const auto& typed) { return ToFields(typed); }, message);
    const auto reply_to = fields.reply_to.empty() ? 0 : builder.CreateSharedString(fields.reply_to);
    offsets.push_back(wire::CreatePermitMessage(builder, static_cast<std::uint8_t>(fields.kind), fields.permit.node,
                                                fields.permit.number, fields.engine, fields.requests_per_s,
                                                ToMilliseconds(fields.time), fields.flag, reply_to));
  }
  return builder.CreateVector(offsets);
}

std::optional<limits::PermitMessage> PermitMessageFromWire(const wire::PermitMessage& message) {
  const limits::ChargeId permit{message.node(), message.number()};
  const Duration time = std::chrono::milliseconds(message.time_ms());
  if (time < 0s || !IsRate(message.requests_per_s())) return std::nullopt;
  switch (static_cast<Kind>(message.kind())) {
    case Kind::kRequest:
      if (message.reply_to() == nullptr) return std::nullopt;
      return limits::PermitRequest{permit, message.engine(),          message.requests_per_s(),
                                   time,   message.reply_to()->str(), message.flag()};
    case Kind::kResponse:
      return limits::PermitResponse{permit, message.flag(), time};
    case Kind::kReturn:
      return limits::PermitReturn{permit, message.engine()};
  }
  return std::nullopt;
}

flatbuffers::Offset<flatbuffers::Vector<const wire::EngineLimit*>> EngineLimitsToWire(
    flatbuffers::FlatBufferBuilder& builder, const std::vector<serving::EngineLimitMark>& marks) {
  if (marks.empty()) return 0;
  std::vector<wire::EngineLimit> limits;
  limits.reserve(marks.size());
  for (const serving::EngineLimitMark& mark : marks) {
    limits.emplace_back(mark.engine.hash, ToMilliseconds(mark.age),
                        static_cast<float>(mark.requests_per_s.value_or(-1)));
  }
  return builder.CreateVectorOfStructs(limits);
}

std::optional<serving::EngineLimitMark> EngineLimitFromWire(const wire::EngineLimit& limit) {
  if (!std::isfinite(limit.requests_per_s())) return std::nullopt;
  serving::EngineLimitMark mark{serving::EngineKey(limit.engine()), std::nullopt,
                                std::chrono::milliseconds(limit.age_ms())};
  if (limit.requests_per_s() >= 0) mark.requests_per_s = limit.requests_per_s();
  return mark;
}

}  // namespace saltquay::gateway
