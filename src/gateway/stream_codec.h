// Messages about the origins of streams on the wire.
#pragma once

#include <optional>
#include <vector>

#include "src/core/serving/stream_messages.h"
#include "src/gateway/peer_report_generated.h"

namespace saltquay::gateway {

// Returns 0 if there are none.
flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<wire::StreamMessage>>> StreamMessagesToWire(
    flatbuffers::FlatBufferBuilder& builder, const std::vector<serving::StreamMessage>& messages);
// Returns nullopt for a message that is damaged or of an unknown kind.
std::optional<serving::StreamMessage> StreamMessageFromWire(const wire::StreamMessage& message);

}  // namespace saltquay::gateway
