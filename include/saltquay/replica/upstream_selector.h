// Decides from whom a node learns the store's objects: from the store itself,
// or from a peer that does.
//
// Protocol. In each zone a few nodes read the store ("readers"): the first by
// link capacity, then by a hash of their names; all nodes compute the same
// ranking from the reports that they hear. Every other node follows a reader
// of its zone. A reader that does not answer, or whose knowledge lags behind
// what any peer reports, is avoided for a while; where no reader is left, the
// node reads the store itself. Nodes may disagree on the ranking: that costs
// calls, never correctness, since only nodes that read the store directly
// answer followers.
#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/time.h"
#include "src/core/serving/peer_table.h"

namespace saltquay::replica {

struct UpstreamKnobs {
    int readers_per_zone = 2;   // At least.
    int nodes_per_reader = 16;  // A larger zone has more readers.
    Duration avoid_for = 3s;    // A reader that failed.
    Duration lag_grace = 400ms; // Knowledge may be this much behind a peer's.
};

class UpstreamSelector {
public:
    UpstreamSelector(serving::PeerNode self, UpstreamKnobs const& knobs)
        : self_(std::move(self))
        , knobs_(knobs)
    {
    }

    // The reader to follow; nothing: read the store.
    std::optional<serving::PeerNode> choose(std::span<serving::PeerNode const> peers, Time now);
    void avoid(std::string_view node, Time now) { avoided_until_[std::string(node)] = now + knobs_.avoid_for; }

private:
    std::vector<serving::PeerNode> readers(std::span<serving::PeerNode const> peers) const;

    serving::PeerNode self_;
    UpstreamKnobs knobs_;
    std::map<std::string, Time> avoided_until_;
};

}
