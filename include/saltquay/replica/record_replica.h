// A node's copy of the store's objects of one kind, with a bounded history of recent changes.
//
// It is filled from the store's responses (a list, then batches of changes) and serves peers that follow this node
// instead of the store.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "src/gateway/object_store.h"

namespace saltquay::replica {

// How relayed content reached the sender, and how old it is.
struct Provenance {
    // Hops since the store: 0 when sent by a node that reads the store.
    int hops = 0;
    // Time since the store confirmed the content; empty if unknown.
    std::optional<std::chrono::milliseconds> age;
    // How long the request was held open before the response was written.
    std::chrono::milliseconds hold_time { 0 };
};
struct RelayedList {
    gateway::ObjectList list;
    Provenance from;
};
struct RelayedEvents {
    gateway::ObjectEvents events;
    Provenance from;
};

// The objects of a list in their compressed form, which is independent of who asks for them.
struct PackedList {
    std::string bytes;
    std::size_t inflated_bytes = 0; // 0: not compressed.
};

class RecordReplica {
public:
    // Limit of the history in bytes of names and content; older changes are evicted, but never the last batch.
    static constexpr std::size_t max_history_bytes = 1024 * 1024;

    // Takes over a complete list. The history is kept, so that followers that have the earlier list need only the
    // differences, unless the list is older than this copy.
    void replace(gateway::ObjectList const&);
    void apply(gateway::ObjectEvents const&);

    bool has_snapshot() const { return has_snapshot_; }
    // The store revision up to which this copy is complete.
    std::int64_t at() const { return at_; }
    // The revision of the newest change in this copy.
    std::int64_t changed_at() const { return changed_at_; }
    // Increases whenever the objects change.
    std::uint64_t version() const { return version_; }

    gateway::ObjectList list() const;
    // Returns the changes after `revision` in order; changes that the requester already has may be included. Returns
    // nothing if those changes were evicted, or if `revision` is newer than this copy.
    std::optional<gateway::ObjectEvents> changes_since(std::int64_t revision) const;

private:
    struct Batch {
        std::int64_t up_to = 0;
        std::size_t bytes = 0;
        std::vector<gateway::ObjectEvent> events;
    };

    // The changes that lead from this copy to the list.
    std::vector<gateway::ObjectEvent> differences(gateway::ObjectList const&) const;
    void apply_event(gateway::ObjectEvent const&);
    void evict_old_changes();

    bool has_snapshot_ = false;
    std::int64_t at_ = 0;
    std::int64_t changed_at_ = 0;
    std::uint64_t version_ = 0;
    std::int64_t history_from_ = 0; // history_ holds the changes after this revision.
    std::size_t history_size_ = 0;
    std::deque<Batch> history_;
    std::map<std::string, gateway::StoredObject> objects_;
};

}
