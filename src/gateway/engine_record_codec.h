// Compact form of engine records (FlatBuffers, engine_record.fbs): what nodes store, relay and decode instead of the
// platform's own format, which only the nodes that read the store have to parse.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "src/core/serving/engine_directory.h"

namespace saltquay::gateway {

std::string EncodeEngineRecord(const serving::EngineRecord& record);
// Whether the content is in the compact form; other content is in the platform's format.
bool IsCompactEngineRecord(std::string_view content);
// `id`: the object's name, which the content does not repeat. Errors: kDataLoss if the content is damaged.
absl::StatusOr<serving::EngineRecord> DecodeEngineRecord(const std::string& id, std::string_view content);

}  // namespace saltquay::gateway
