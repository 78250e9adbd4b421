#include "src/limits/owner_ranking.h"

#include <algorithm>
#include <utility>

#include "src/base/hash.h"

namespace saltquay::limits {

OwnerRanking::OwnerRanking(LimiterNode const& self)
    : self_(HashText(self.name))
{
    nodes_[self_] = { self_, self };
}

bool OwnerRanking::set_nodes(std::vector<LimiterNode> const& nodes)
{
    std::map<std::uint64_t, OwnerCandidate> next;
    next[self_] = self();
    for (auto const& node : nodes) {
        auto const hash = HashText(node.name);
        if (hash != self_)
            next[hash] = { hash, node };
    }
    auto const is_equal = [](auto const& first, auto const& second) {
        return first.first == second.first && first.second.node.address == second.second.node.address
            && first.second.node.link_mbps == second.second.node.link_mbps;
    };
    auto const changed =
        next.size() != nodes_.size() || !std::equal(next.begin(), next.end(), nodes_.begin(), is_equal);
    nodes_ = std::move(next);
    return changed;
}

OwnerCandidate const* OwnerRanking::find(std::uint64_t hash) const
{
    auto const entry = nodes_.find(hash);
    return entry == nodes_.end() ? nullptr : &entry->second;
}

std::vector<OwnerCandidate const*> OwnerRanking::sample(std::uint64_t excluded, std::size_t max_count) const
{
    std::vector<std::pair<std::uint64_t, OwnerCandidate const*>> ranked;
    auto const seed = HashPair(self_, excluded);
    for (auto const& [hash, node] : nodes_) {
        if (hash != self_ && hash != excluded)
            ranked.emplace_back(score_of(seed, hash), &node);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<OwnerCandidate const*> chosen;
    for (auto const& [rank, node] : ranked) {
        if (chosen.size() < max_count)
            chosen.push_back(node);
    }
    return chosen;
}

std::uint64_t OwnerRanking::score_of(std::uint64_t tenant, std::uint64_t node) { return HashPair(tenant, node); }

}
