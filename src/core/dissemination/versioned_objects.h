// Spreads versioned objects over the nodes of a cell.
//
// Protocol: a node that adopts a newer object announces its digest to a few
// random peers; digests also ride on every membership probe. A node that sees
// a newer digest pulls the object from the sender. Merge rule: the higher
// version wins, so merging is commutative, associative, idempotent and
// monotone, and no object ever reverts.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/core/context.h"

namespace saltquay {

struct VersionedObject {
  ObjectVersion version;
  std::string bytes;
};

// Returns true when `candidate` replaces `present`.
bool IsNewer(const ObjectVersion& candidate, const ObjectVersion& present);

class VersionedObjects {
 public:
  // Takes the object if it is newer; returns whether it was. The caller then
  // announces it.
  bool Offer(const NodeContext& context, ObjectKind kind, const ObjectVersion& version, const std::string& bytes);

  const VersionedObject& Get(ObjectKind kind) const { return objects_[static_cast<std::size_t>(kind)]; }

  // Digests of every object held.
  std::vector<ObjectDigest> Digests() const;

  // Tells a few random peers out of `peers` of `kind`.
  void Announce(NodeContext& context, ObjectKind kind, const std::vector<NodeId>& peers);

  // Pulls from `sender` what it has newer.
  void OnDigests(NodeContext& context, NodeId sender, const std::vector<ObjectDigest>& digests);
  void OnPull(NodeContext& context, NodeId sender, ObjectKind kind);

 private:
  struct PendingPull {
    ObjectVersion version;
    Time sent_at{};
  };

  std::array<VersionedObject, kObjectKindCount> objects_;
  std::array<std::optional<PendingPull>, kObjectKindCount> pulls_;
};

}  // namespace saltquay
