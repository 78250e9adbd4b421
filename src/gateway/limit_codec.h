// FlatBuffers encoding of tenant limit messages, which are part of peer reports.
#pragma once

#include <optional>
#include <vector>

#include "saltquay/limits/limit_messages.h"
#include "src/gateway/peer_report_generated.h"

namespace saltquay::gateway {

flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<wire::LimitMessage>>> LimitMessagesToWire(
    flatbuffers::FlatBufferBuilder& builder, const std::vector<limits::LimitMessage>& messages);

// Returns nullopt for a message kind that this version does not know.
std::optional<limits::LimitMessage> LimitMessageFromWire(const wire::LimitMessage& message);

}  // namespace saltquay::gateway
