// How old what a node knows is, what it does when that is too old, and what it passes on.
#include <algorithm>

#include "saltquay/replica/relayed_store.h"

namespace saltquay::replica {
namespace {

constexpr std::chrono::milliseconds shortest_wait { 1 };

}

// Time on the way counts as age: the answer was written `held` after the question came, which was after it was asked.
Time RelayedStore::valid_as_of(PeerRequest const& question, Provenance const& from)
{
    if (!from.age)
        return Time {};
    return std::min(question.asked + from.held, now()) - *from.age;
}

void RelayedStore::confirm(std::string const& kind, Time valid_as_of)
{
    auto& state = kind_state(kind);
    state.freshness->confirm(valid_as_of, state.hops);
    state.asked_again = false;
    state.store_failed = false;
    tell_freshness(kind);
}

void RelayedStore::tell_freshness(std::string const& kind)
{
    auto& state = kind_state(kind);
    auto const fresh = state.freshness->is_fresh(now());
    if (fresh == state.told_fresh)
        return;
    state.told_fresh = fresh;
    if (on_freshness_change) {
        on_freshness_change(kind,
            { fresh, state.freshness->age(now()), state.replica.at(),
                state.reads_store ? std::string() : state.follows });
    }
}

void RelayedStore::on_stale(std::string const& kind)
{
    tell_freshness(kind);
    auto& state = kind_state(kind);
    // A list or a pause after an error is under way: what follows it asks anew.
    if (!state.watching)
        return;
    if (!state.reads_store) {
        selector_.note_disconnected(state.follows, now());
        return watch_upstream(kind, "what the upstream knows is stale");
    }
    // The connection of the watch may be dead: the same question on another one. The first answer counts.
    if (!state.asked_again) {
        state.asked_again = true;
        return ask_store(kind, shortest_wait, "the store's watch is late");
    }
    record_store_failure(state);
    watch_upstream(kind, "the store does not answer");
}

void RelayedStore::record_store_failure(Kind& state)
{
    state.store_failed = true;
    selector_.record_store_failure(now());
}

Time RelayedStore::confirmed(std::string const& kind) const
{
    auto const entry = kinds_.find(kind);
    return entry == kinds_.end() ? Time {} : entry->second.freshness->confirmed();
}

bool RelayedStore::may_pass_on(Kind const& state) const
{
    return !state.store_failed && state.hops <= options_.max_hops && state.freshness->is_fresh(now());
}

Provenance RelayedStore::provenance(Kind const& state)
{
    Provenance from;
    from.hops = state.hops;
    if (state.freshness->confirmed() != Time {})
        from.age = std::chrono::duration_cast<std::chrono::milliseconds>(state.freshness->age(now()));
    return from;
}

std::vector<serving::RecordMark> RelayedStore::marks() const
{
    std::vector<serving::RecordMark> marks;
    for (auto const& [kind, state] : kinds_)
        marks.push_back({ kind, state.replica.changed_at() });
    return marks;
}

absl::StatusOr<RelayedList> RelayedStore::list_for_peer(std::string const& kind, bool allow_stale)
{
    auto const entry = kinds_.find(kind);
    if (entry == kinds_.end() || !entry->second.replica.known())
        return absl::FailedPreconditionError("nothing known yet");
    if (!allow_stale && !may_pass_on(entry->second))
        return absl::UnavailableError("what this node knows is stale");
    return RelayedList { entry->second.replica.list(), provenance(entry->second) };
}

absl::StatusOr<RelayedEvents> RelayedStore::changes_for_peer(std::string const& kind, std::int64_t since)
{
    auto const entry = kinds_.find(kind);
    if (entry == kinds_.end() || !may_pass_on(entry->second))
        return absl::UnavailableError("what this node knows is stale");
    auto const& replica = entry->second.replica;
    // An asker that learnt of a change elsewhere waits like any other.
    if (since > replica.at())
        return RelayedEvents { { {}, since }, provenance(entry->second) };
    auto changes = replica.changes_since(since);
    if (!changes)
        return absl::OutOfRangeError("these changes are forgotten");
    return RelayedEvents { *changes, provenance(entry->second) };
}

}
