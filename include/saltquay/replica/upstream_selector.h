// Selects the upstream from which a node learns the store's objects: the store itself, or a peer that has a replica.
//
// Protocol. Nodes are ranked by link capacity, then by a hash of their names; all nodes compute the same ranking from
// the reports that they receive. In a small fleet the first nodes of each zone read the store ("readers") and the other
// nodes of the zone follow them. In a large fleet the number of calls to the store must not grow with the fleet: two
// readers in different zones serve all, the first nodes of each zone follow them ("relays"), and the others follow a
// relay of their zone. If the fleet spans several regions, each region has one reader, and the relays of the region
// follow it, so that relayed records do not cross regions. A node that does not respond, or whose replica lags behind
// what any peer reports, is avoided for a while; the next node in the ranking takes its place. Nodes may disagree on
// the ranking: that costs calls but does not affect correctness, since each response carries its number of hops, and
// long chains are rejected.
//
// A node that has just started knows only the seeds from its settings. It asks them before the store, because otherwise
// each of many nodes started at once would call the store. Seeds that have just started as well get a short time to
// learn from the store themselves.
//
// If no node is known to be connected to the store, every node would ask it. Most of them are then held back: all nodes
// together ask a store that is down only a few times a second.
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
    // Minimum number of readers of a zone in a small fleet, or of relays of a zone in a large one.
    int readers_per_zone = 2;
    // A zone with more nodes has more readers (or relays): one for each so many nodes.
    int nodes_per_reader = 16;
    // Up to this number of nodes the readers of each zone read the store themselves.
    int small_fleet_limit = 16;
    // Of a large fleet: two, so that one may fail without a gap.
    int readers = 2;
    Duration avoidance_period = 3s; // How long a failed node is avoided.
    // Allowed lag of a replica behind a peer's: two report intervals and their network time.
    Duration lag_grace = 600ms;
    // A node that the store rejects asks peers again after this time even if they reported being disconnected.
    Duration disconnected_retry_delay = 600ms;
    // For seeds that respond but have no replica yet; they usually have one after 200 ms.
    Duration seed_wait_limit = 400ms;
    Duration seed_retry_delay = 60ms; // Between two requests to such a seed.
    // Between two requests to any other node that has just started.
    Duration starting_retry_delay = 200ms;
    // How long followers wait for relays that have just started before they turn to a reader: the lists of all
    // followers at once exceed the capacity of a reader's link, and relays have a replica within a second. Also how
    // long nodes wait for readers that have just started.
    Duration relay_start_wait_limit = 2s;
    // When nodes lose their connection to the store, each asks it once within this time: the store may be rejecting
    // only the nodes that they follow, and its changes must take effect everywhere within seconds.
    Duration initial_probe_spread = 400ms;
    // After that, between two calls of all nodes together to a store to which no node is connected.
    Duration probe_interval_per_node = 40ms;
};

// The upstream for the next request.
struct Upstream {
    enum class Source {
        Store,
        Peer,
        None, // Peers respond but are disconnected from the store; try again later.
    };
    Source source = Source::Store;
    serving::PeerNode peer; // Set if the source is a peer.
};

class UpstreamSelector {
public:
    using Regions = std::map<std::string, std::string, std::less<>>;

    // `seeds`: addresses of possible peers. `regions`: the region of each zone, see Topology.
    UpstreamSelector(serving::PeerNode self, UpstreamParameters const& parameters, std::vector<std::string> seeds = {},
        Regions regions = {})
        : self_(std::move(self))
        , topology_(self_.zone, std::move(regions), {})
        , parameters_(parameters)
        , seeds_(std::move(seeds))
    {
    }

    Upstream choose(std::span<serving::PeerNode const> peers, Time now);
    // The node does not respond, or its replica is old.
    void avoid(std::string_view node, Time now)
    {
        avoided_until_[std::string(node)] = now + parameters_.avoidance_period;
    }
    // The node responded that it is disconnected from the store.
    void record_disconnected(std::string_view node, Time now)
    {
        disconnected_until_[std::string(node)] = now + parameters_.avoidance_period;
    }
    // The store rejected a call of this node or did not respond: other nodes may still be served, so this node follows
    // one of them.
    void record_store_failure(Time now) { avoid(self_.node, now); }
    // The node responded that it has no replica yet. After a restart of the whole fleet it soon will.
    void record_starting(std::string_view node, Time now)
    {
        starting_until_[std::string(node)] = now + parameters_.starting_retry_delay;
    }
    // The store responded to this node directly, be it that the history is lost: while it does, this node is not held
    // back.
    void record_store_success(Time now) { last_store_success_ = now; }
    // Another node relayed fresh records to this one: the next outage is a new one, in which every node has a turn.
    void record_connected() { next_probe_.reset(); }

private:
    using Ranked = serving::RankedNode;

    // If `self` is false, this node is excluded from relays() and readers().
    std::vector<Ranked> relays(std::span<serving::PeerNode const> peers, bool self) const;
    // The first responsive nodes of the ranking: of different zones, or one of each region if there are several.
    std::vector<Ranked> readers(std::span<serving::PeerNode const> peers, bool self) const;
    // Whether this node should read the store according to the ranking of the nodes that it knows.
    bool is_reader_by_rank(std::span<serving::PeerNode const> peers) const;
    // The readers in this node's region.
    std::vector<Ranked> readers_in_region(std::span<Ranked const> readers) const;
    // Chooses a seed that was not tried lately, or the store if no seed is worth waiting for.
    Upstream choose_seed(Time now);
    bool may_ask_seed(std::string const& address, Time now) const;
    bool is_large(std::span<serving::PeerNode const> peers) const
    {
        return peers.size() + 1 > static_cast<std::size_t>(parameters_.small_fleet_limit);
    }
    bool contains_self(std::span<Ranked const>) const;
    // The connected node that this node prefers; nullptr if none is connected to the store.
    serving::PeerNode const* pick_connected(std::span<Ranked const>) const;
    // Whether some of these nodes have just started and are still worth waiting for. `starting_since`: when this was
    // first so.
    bool should_wait_for(std::span<Ranked const> upstreams, std::optional<Time>& starting_since, Time now) const;
    // Whether it is this node's turn to ask a store to which no node is connected.
    bool may_probe(std::size_t nodes, Time now);

    serving::PeerNode self_;
    serving::Topology topology_; // Used for regions only.
    UpstreamParameters parameters_;
    std::vector<std::string> seeds_;
    std::map<std::string, Time> avoided_until_;      // Nodes that do not respond.
    std::map<std::string, Time> disconnected_until_; // Nodes that are disconnected from the store.
    std::map<std::string, Time> starting_until_;     // Nodes that have no replica yet.
    std::optional<Time> next_probe_;
    std::optional<Time> last_store_success_;
    std::optional<Time> seeds_unready_since_;
    std::optional<Time> relays_starting_since_;
    std::optional<Time> readers_starting_since_;
};

}
