#include "saltquay/replica/upstream_selector.h"

#include <algorithm>

#include "src/base/hash.h"

namespace saltquay::replica {

std::vector<serving::PeerNode> UpstreamSelector::readers(std::span<serving::PeerNode const> peers) const
{
    std::vector<serving::PeerNode> nodes { self_ };
    for (auto const& peer : peers) {
        if (peer.zone == self_.zone && !peer.stopping)
            nodes.push_back(peer);
    }
    std::sort(nodes.begin(), nodes.end(), [](auto const& first, auto const& second) {
        if (first.link_mbps != second.link_mbps)
            return first.link_mbps > second.link_mbps;
        return HashText(first.node) > HashText(second.node);
    });
    auto const count = static_cast<int>(nodes.size());
    auto const wanted =
        std::max(knobs_.readers_per_zone, (count + knobs_.nodes_per_reader - 1) / knobs_.nodes_per_reader);
    nodes.resize(static_cast<std::size_t>(std::min(count, wanted)));
    return nodes;
}

std::optional<serving::PeerNode> UpstreamSelector::choose(std::span<serving::PeerNode const> peers, Time now)
{
    std::erase_if(avoided_until_, [&](auto const& entry) { return entry.second <= now; });
    auto const candidates = readers(peers);
    std::optional<serving::PeerNode> best;
    std::uint64_t best_rank = 0;
    for (auto const& reader : candidates) {
        if (reader.node == self_.node)
            return std::nullopt;
        if (avoided_until_.contains(reader.node))
            continue;
        // Followers spread over the readers, and stay with theirs while it is there.
        auto const rank = HashPair(HashText(self_.node), HashText(reader.node));
        if (!best || rank > best_rank) {
            best = reader;
            best_rank = rank;
        }
    }
    return best;
}

}
