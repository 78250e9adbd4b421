#include "src/gateway/stream_codec.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <variant>

namespace saltquay::gateway {
namespace {

// Message kinds on the wire: the values must not change.
enum class Kind : std::uint8_t { kNotice = 1, kQuery = 2, kReply = 3 };

// The fields of a message as laid out in the FlatBuffers table.
struct Fields {
  Kind kind = Kind::kNotice;
  serving::StreamKey stream = 0;
  serving::StreamOrigin origin;
  Duration time = 0s;
  serving::StreamKnowledge knowledge = serving::StreamKnowledge::kNone;
  std::string service;
  std::string sender;
};

Fields ToFields(const serving::StreamNotice& notice) {
  return {Kind::kNotice, notice.stream, notice.origin, notice.lifetime, serving::StreamKnowledge::kNone, "", ""};
}
Fields ToFields(const serving::StreamQuery& query) {
  return {Kind::kQuery, query.stream, {}, 0s, serving::StreamKnowledge::kNone, query.service, query.reply_to};
}
Fields ToFields(const serving::StreamReply& reply) {
  return {Kind::kReply, reply.stream, reply.origin, 0s, reply.knowledge, "", reply.from};
}

std::int32_t ToMilliseconds(Duration time) {
  const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(time).count();
  return static_cast<std::int32_t>(std::clamp<std::int64_t>(milliseconds, 0, std::numeric_limits<std::int32_t>::max()));
}

std::string Text(const flatbuffers::String* text) { return text == nullptr ? "" : text->str(); }

flatbuffers::Offset<flatbuffers::String> StringToWire(flatbuffers::FlatBufferBuilder& builder,
                                                      const std::string& text) {
  return text.empty() ? 0 : builder.CreateSharedString(text);
}

serving::StreamOrigin OriginFromWire(const wire::StreamMessage& message) {
  serving::StreamOrigin origin{Text(message.software_version()), message.attempt()};
  const std::string engine = Text(message.engine());
  if (!engine.empty()) origin.process = serving::EngineProcess{engine, message.started_ms()};
  return origin;
}

}  // namespace

flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<wire::StreamMessage>>> StreamMessagesToWire(
    flatbuffers::FlatBufferBuilder& builder, const std::vector<serving::StreamMessage>& messages) {
  if (messages.empty()) return 0;
  std::vector<flatbuffers::Offset<wire::StreamMessage>> offsets;
  offsets.reserve(messages.size());
  for (const serving::StreamMessage& message : messages) {
    const Fields fields = std::visit([](const auto& typed) { return ToFields(typed); }, message);
    const auto version = StringToWire(builder, fields.origin.software_version);
    const auto service = StringToWire(builder, fields.service);
    const auto sender = StringToWire(builder, fields.sender);
    const serving::EngineProcess process = fields.origin.process.value_or(serving::EngineProcess{});
    const auto engine = StringToWire(builder, process.engine_id);
    offsets.push_back(wire::CreateStreamMessage(builder, static_cast<std::uint8_t>(fields.kind), fields.stream, version,
                                                fields.origin.attempt, ToMilliseconds(fields.time),
                                                static_cast<std::uint8_t>(fields.knowledge), service, sender, engine,
                                                process.started_ms));
  }
  return builder.CreateVector(offsets);
}

std::optional<serving::StreamMessage> StreamMessageFromWire(const wire::StreamMessage& message) {
  const serving::StreamOrigin origin = OriginFromWire(message);
  const std::string sender = Text(message.sender());
  switch (static_cast<Kind>(message.kind())) {
    case Kind::kNotice:
      if (message.time_ms() < 0) return std::nullopt;
      return serving::StreamNotice{message.stream(), origin, std::chrono::milliseconds(message.time_ms())};
    case Kind::kQuery:
      if (sender.empty()) return std::nullopt;
      return serving::StreamQuery{message.stream(), Text(message.service()), sender};
    case Kind::kReply:
      if (message.knowledge() > static_cast<std::uint8_t>(serving::StreamKnowledge::kSeveralVersions))
        return std::nullopt;
      return serving::StreamReply{message.stream(), static_cast<serving::StreamKnowledge>(message.knowledge()), origin,
                                  sender};
  }
  return std::nullopt;
}

}  // namespace saltquay::gateway
