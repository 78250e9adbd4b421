#include "src/core/dissemination/versioned_objects.h"

#include <algorithm>

namespace saltquay {
namespace {

constexpr std::size_t kAnnounceFanout = 4;
constexpr Duration kPullTimeout = 300ms;

}  // namespace

bool IsNewer(const ObjectVersion& candidate, const ObjectVersion& present) { return candidate > present; }

bool VersionedObjects::Offer(const NodeContext& context, ObjectKind kind, const ObjectVersion& version,
                             const std::string& bytes) {
  VersionedObject& present = objects_[static_cast<std::size_t>(kind)];
  const bool guarded = context.parameters().protections.newest_object_wins;
  const bool taken = guarded ? IsNewer(version, present.version) : version != present.version;
  if (!taken) return false;
  present = VersionedObject{version, bytes};
  pulls_[static_cast<std::size_t>(kind)].reset();
  return true;
}

std::vector<ObjectDigest> VersionedObjects::Digests() const {
  std::vector<ObjectDigest> digests;
  for (int kind = 0; kind < kObjectKindCount; ++kind) {
    const ObjectVersion& version = objects_[static_cast<std::size_t>(kind)].version;
    if (version != ObjectVersion{}) digests.push_back(ObjectDigest{static_cast<ObjectKind>(kind), version});
  }
  return digests;
}

void VersionedObjects::Announce(NodeContext& context, ObjectKind kind, const std::vector<NodeId>& peers) {
  std::vector<NodeId> targets = peers;
  const std::size_t count = std::min(kAnnounceFanout, targets.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(targets[i], targets[i + context.random().Below(targets.size() - i)]);
    context.Send(targets[i], ObjectAnnounce{{kind, Get(kind).version}});
  }
}

void VersionedObjects::OnDigests(NodeContext& context, NodeId sender, const std::vector<ObjectDigest>& digests) {
  for (const ObjectDigest& digest : digests) {
    const std::size_t index = static_cast<std::size_t>(digest.kind);
    const bool guarded = context.parameters().protections.newest_object_wins;
    const ObjectVersion& present = objects_[index].version;
    if (guarded ? !IsNewer(digest.version, present) : digest.version == present) continue;
    std::optional<PendingPull>& pull = pulls_[index];
    const bool pending =
        pull.has_value() && !IsNewer(digest.version, pull->version) && context.now() - pull->sent_at < kPullTimeout;
    if (pending) continue;
    pull = PendingPull{digest.version, context.now()};
    context.Send(sender, ObjectPull{digest.kind});
  }
}

void VersionedObjects::OnPull(NodeContext& context, NodeId sender, ObjectKind kind) {
  const VersionedObject& object = Get(kind);
  if (object.version == ObjectVersion{}) return;
  context.Send(sender, ObjectPush{kind, object.version, object.bytes});
}

}  // namespace saltquay
