// Identifier types. Each is its own type, so that one cannot stand for another.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace saltquay {

// An integer identifier that converts to no other identifier.
template <typename Tag, typename Representation>
struct StrongId {
  Representation value = 0;
  auto operator<=>(const StrongId&) const = default;
};

// A node machine, as numbered by the machine list and the node's settings.
using NodeId = StrongId<struct NodeIdTag, std::uint32_t>;
// A model engine, as numbered by the machine list.
using EngineId = StrongId<struct EngineIdTag, std::uint32_t>;
// A zone: hash of its name.
using ZoneId = StrongId<struct ZoneIdTag, std::uint32_t>;
// Random identity of one run of a process; a restart draws a new one.
using BootId = StrongId<struct BootIdTag, std::uint64_t>;
// A caller's request inside one node process.
using RequestHandle = StrongId<struct RequestHandleTag, std::uint64_t>;
// An operator's command inside one node process.
using CommandHandle = StrongId<struct CommandHandleTag, std::uint64_t>;
// A store operation inside one node process.
using StoreOperationId = StrongId<struct StoreOperationIdTag, std::uint64_t>;
// Hash of "model@version"; names what an engine has loaded.
using ModelVersionId = StrongId<struct ModelVersionIdTag, std::uint32_t>;
// Hash of one block of a prompt together with all blocks before it.
using BlockHash = StrongId<struct BlockHashTag, std::uint64_t>;

// One run of one node. A restarted node is a new incarnation.
struct NodeIncarnation {
  NodeId node;
  BootId boot;
  auto operator<=>(const NodeIncarnation&) const = default;
};

// Orders the authority's acts: a higher token supersedes every lower one.
// Compared by view, then ballot, then sequence.
struct FenceToken {
  std::uint64_t view = 0;
  std::uint64_t ballot = 0;
  std::uint64_t sequence = 0;
  auto operator<=>(const FenceToken&) const = default;
};

// Identity of one attempt at a request. `key` is the caller's idempotency key
// scoped by tenant, or one minted by the node.
struct AttemptId {
  std::string key;
  std::uint32_t number = 0;
  auto operator<=>(const AttemptId&) const = default;
};

}  // namespace saltquay

template <typename Tag, typename Representation>
struct std::hash<saltquay::StrongId<Tag, Representation>> {
  std::size_t operator()(const saltquay::StrongId<Tag, Representation>& id) const {
    return std::hash<Representation>{}(id.value);
  }
};
