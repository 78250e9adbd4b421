// Compression of messages between nodes, by zlib: bundles and records repeat themselves.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace saltquay {

std::string Deflate(std::string_view bytes);

// Returns nullopt if `deflated` does not inflate to exactly `size` bytes, or if `size` is more than `max_size`.
std::optional<std::string> Inflate(std::string_view deflated, std::size_t size, std::size_t max_size);

}  // namespace saltquay
