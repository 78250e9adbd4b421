// A node's copy of one kind of the store's objects, with the recent changes.
//
// It is filled by what the store answers (a list, then batches of changes) and
// answers peers that follow this node instead of the store.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "src/gateway/object_store.h"

namespace saltquay::replica {

// Where what a node passes on comes from.
struct Provenance {
    int hops = 0; // Nodes that it went through since the store: 0 from one that reads the store.
    std::optional<std::chrono::milliseconds> age; // Since the store confirmed it; nothing where that is not known.
    std::chrono::milliseconds held { 0 };         // How long the question was there when the answer was written.
};
struct RelayedList {
    gateway::ObjectList list;
    Provenance from;
};
struct RelayedEvents {
    gateway::ObjectEvents events;
    Provenance from;
};

class RecordReplica {
public:
    // What is kept of the past, in bytes of content; older changes are forgotten.
    static constexpr std::size_t max_history_bytes = 1024 * 1024;

    void replace(gateway::ObjectList const&);
    void apply(gateway::ObjectEvents const&);

    bool known() const { return known_; }
    // The store's revision up to which this copy is complete.
    std::int64_t at() const { return at_; }
    // The revision of the last change that this copy holds.
    std::int64_t changed_at() const { return changed_at_; }

    gateway::ObjectList list() const;
    // Changes after `revision`, in their order; a change may come again that the asker has already. Nothing where
    // they are forgotten, or where the asker knows more than this copy.
    std::optional<gateway::ObjectEvents> changes_since(std::int64_t revision) const;

private:
    struct Batch {
        std::int64_t up_to = 0;
        std::size_t bytes = 0;
        std::vector<gateway::ObjectEvent> events;
    };

    void note_change(gateway::ObjectEvent const&);
    void forget_old_changes();

    bool known_ = false;
    std::int64_t at_ = 0;
    std::int64_t changed_at_ = 0;
    std::int64_t history_from_ = 0; // Changes after this revision are in history_.
    std::size_t held_bytes_ = 0;
    std::deque<Batch> history_;
    std::map<std::string, gateway::StoredObject> objects_;
};

}
