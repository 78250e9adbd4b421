// Decides from whom a node learns the store's objects: from the store itself,
// or from a peer that knows them.
//
// Protocol. Nodes are ranked by link capacity, then by a hash of their names;
// all nodes compute the same ranking from the reports that they hear. In a small
// fleet the first nodes of each zone read the store ("readers") and the others of
// the zone follow them. In a large one the store's calls must not grow with the
// fleet: two readers in different zones serve all, the first nodes of each zone
// follow them ("relays"), and the others follow a relay of their zone. Where the fleet
// lies in several regions, each has one reader, and its relays follow that one: what the
// store tells does not go from region to region. A node that
// does not answer, or whose knowledge lags behind what any peer reports, is
// avoided for a while; the next in the ranking takes its place. Nodes may
// disagree on the ranking: that costs calls, never correctness, since each answer
// says how many nodes it passed through, and long chains are refused.
//
// A node that has just started knows nobody but the seeds of its settings: it asks
// them before the store, for with many nodes started at once each would call it. Seeds
// that have just started as well get a moment to learn from the store themselves.
//
// When nobody is heard to hear the store, every node would ask it. Most of them
// are then held back: all nodes together ask a store that is down only a
// few times a second.
#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/time.h"
#include "src/core/serving/node_ranking.h"
#include "src/core/serving/topology.h"

namespace saltquay::replica {

struct UpstreamParameters {
    int readers_per_zone = 2;       // Of a small fleet; relays of a large one. At least.
    int nodes_per_reader = 16;      // A larger zone has more of them.
    int small_fleet_limit = 16;     // Up to so many nodes the zones' readers read the store themselves.
    int readers = 2;                // Of a large fleet: one may be lost without a gap.
    Duration avoidance_period = 3s; // A node that failed.
    Duration lag_grace = 600ms;     // Knowledge may be this much behind a peer's: two gathering pauses and their way.
    Duration disconnected_retry =
        600ms;                        // A node that the store turns away asks peers again that did not hear it either.
    Duration seed_wait_limit = 400ms; // Given to seeds that answer but know nothing; a fifth of a second is usual.
    Duration seed_retry_delay = 60ms; // Between two questions to such a seed.
    Duration starting_retry_delay = 200ms; // Between two questions to any other node that has just started.
    // Given to relays that have just started before their followers turn to a reader: all followers' lists at once are
    // more than a reader's link carries, and relays know within a second.
    Duration relay_start_wait_limit = 2s;
    // When nodes cease to hear of the store, each asks it once within this time: the store may turn away only those
    // that they follow, and what it says must be in force everywhere within seconds.
    Duration initial_probe_spread = 400ms;
    Duration probe_interval_per_node = 40ms; // After that, between two calls of all nodes to a store that nobody hears.
};

// Where to ask next.
struct Upstream {
    enum class Source {
        Store,
        Peer,
        Nobody, // Peers answer but do not hear the store; ask again later.
    };
    Source source = Source::Store;
    serving::PeerNode peer; // Where the source is a peer.
};

class UpstreamSelector {
public:
    using Regions = std::map<std::string, std::string, std::less<>>;

    // `seeds`: addresses of peers that may be there. `regions`: of each zone, see Topology.
    UpstreamSelector(serving::PeerNode self, UpstreamParameters const& parameters, std::vector<std::string> seeds = {},
        Regions regions = {})
        : self_(std::move(self))
        , topology_(self_.zone, std::move(regions), {})
        , parameters_(parameters)
        , seeds_(std::move(seeds))
    {
    }

    Upstream choose(std::span<serving::PeerNode const> peers, Time now);
    // It does not answer, or what it knows is old.
    void avoid(std::string_view node, Time now)
    {
        avoided_until_[std::string(node)] = now + parameters_.avoidance_period;
    }
    // It answers, and says that it does not hear the store.
    void note_disconnected(std::string_view node, Time now)
    {
        disconnected_until_[std::string(node)] = now + parameters_.avoidance_period;
    }
    // The store turned this node away, or did not answer it: others may be served meanwhile, so it follows one of them.
    void record_store_failure(Time now) { avoid(self_.node, now); }
    // It answers, and knows nothing yet: after the loss of all nodes it soon will.
    void record_starting(std::string_view node, Time now)
    {
        starting_until_[std::string(node)] = now + parameters_.starting_retry_delay;
    }
    // The store answered this node itself: while it does, nothing is held back.
    void record_store_success(Time now) { store_answered_ = now; }

private:
    using Ranked = serving::RankedNode;

    // Without `self` this node is left out of both.
    std::vector<Ranked> relays(std::span<serving::PeerNode const> peers, bool self) const;
    // The first nodes of all zones, or of all regions where there are several, of those that answer.
    std::vector<Ranked> readers(std::span<serving::PeerNode const> peers, bool self) const;
    // Whether it is this node's place to read the store, as far as it knows the others.
    bool is_reader_by_rank(std::span<serving::PeerNode const> peers) const;
    // Those of them that are in this node's region.
    std::vector<Ranked> readers_near(std::span<Ranked const> readers) const;
    // A seed that was not tried lately; the source is the store where none is worth waiting for.
    Upstream choose_seed(Time now);
    bool may_ask_seed(std::string const& address, Time now) const;
    bool is_large(std::span<serving::PeerNode const> peers) const
    {
        return peers.size() + 1 > static_cast<std::size_t>(parameters_.small_fleet_limit);
    }
    bool contains_self(std::span<Ranked const>) const;
    // The one that this node prefers; nullptr where none hears the store.
    serving::PeerNode const* pick(std::span<Ranked const>) const;
    // Whether the relays have just started and are worth waiting for.
    bool waits_for(std::span<Ranked const> relays, Time now);
    // Whether this node's turn to ask a store that nobody hears has come.
    bool may_probe(std::size_t nodes, Time now);

    serving::PeerNode self_;
    serving::Topology topology_; // Only regions are asked of it.
    UpstreamParameters parameters_;
    std::vector<std::string> seeds_;
    std::map<std::string, Time> avoided_until_;      // Nodes that do not answer.
    std::map<std::string, Time> disconnected_until_; // Nodes that do not hear the store.
    std::map<std::string, Time> starting_until_;     // Nodes that know nothing yet.
    std::optional<Time> next_probe_;
    std::optional<Time> store_answered_;
    std::optional<Time> seeds_unheard_since_;
    std::optional<Time> relays_starting_since_;
};

}
