// FlatBuffers encoding of engines' limits and of messages about permits, which are part of peer reports.
#pragma once

#include <optional>
#include <vector>

#include "saltquay/limits/permit_messages.h"
#include "src/core/serving/peer_table.h"
#include "src/gateway/peer_report_generated.h"

namespace saltquay::gateway {

flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<wire::PermitMessage>>> PermitMessagesToWire(
    flatbuffers::FlatBufferBuilder& builder, const std::vector<limits::PermitMessage>& messages);

// Returns nullopt for a message kind that this version does not know, and for values that no node sends.
std::optional<limits::PermitMessage> PermitMessageFromWire(const wire::PermitMessage& message);

flatbuffers::Offset<flatbuffers::Vector<const wire::EngineLimit*>> EngineLimitsToWire(
    flatbuffers::FlatBufferBuilder& builder, const std::vector<serving::EngineLimitMark>& marks);

// Returns nullopt for values that no node sends.
std::optional<serving::EngineLimitMark> EngineLimitFromWire(const wire::EngineLimit& limit);

}  // namespace saltquay::gateway
