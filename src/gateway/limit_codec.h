// Messages of tenants' limits in FlatBuffers, as a part of the peers' reports.
#pragma once

#include <optional>
#include <vector>

#include "saltquay/limits/limit_messages.h"
#include "src/gateway/peer_report_generated.h"

namespace saltquay::gateway {

flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<wire::LimitMessage>>> LimitMessagesToWire(
    flatbuffers::FlatBufferBuilder& builder, const std::vector<limits::LimitMessage>& messages);

// Nothing: a kind that this version does not know.
std::optional<limits::LimitMessage> LimitMessageFromWire(const wire::LimitMessage& message);

}  // namespace saltquay::gateway
