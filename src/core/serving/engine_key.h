// Identifies engines in messages between nodes and in lookups by a hash of their ids.
#pragma once

#include <compare>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "src/base/hash.h"

namespace saltquay::serving {

// A 64-bit hash of an engine's id. With 11,000 engines, two share a key in one of 10^11 fleets; the only effect would
// be that their reported loads are mixed up.
struct EngineKey {
  std::uint64_t hash = 0;

  EngineKey() = default;
  explicit EngineKey(std::uint64_t value) : hash(value) {}
  // From an engine's id.
  template <typename Text>
  // NOLINTNEXTLINE(google-explicit-constructor): an id and its key name the same engine.
  requires std::convertible_to<Text, std::string_view> EngineKey(const Text& id) : hash(HashText(id)) {}

  auto operator<=>(const EngineKey&) const = default;
};

// A prompt part that an engine has recently processed and caches.
struct KeptPart {
  EngineKey engine;
  std::uint64_t part = 0;  // Hash of the part's id.

  auto operator<=>(const KeptPart&) const = default;
};

struct KeptPartHash {
  std::size_t operator()(const KeptPart& kept) const { return kept.engine.hash ^ (kept.part * 0x9E3779B97F4A7C15ULL); }
};
struct EngineKeyHash {
  std::size_t operator()(const EngineKey& key) const { return key.hash; }
};

}  // namespace saltquay::serving
