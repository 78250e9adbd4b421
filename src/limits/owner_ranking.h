// Which node is a tenant's owner: the first in a rendezvous order over the nodes that are known, those with the widest
// links before all others. A owner is asked for each request of its tenants: with a narrow link it would fall silent
// just when a tenant sends many times its usual.
//
// Nodes that know the same nodes compute the same order; where one is missing, only the tenants that it was first for
// have another owner.
#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "saltquay/limits/limiter.h"

namespace saltquay::limits {

struct OwnerCandidate {
    std::uint64_t hash = 0; // Of its name.
    LimiterNode node;
};

class OwnerRanking {
public:
    explicit OwnerRanking(LimiterNode const& self);

    // Returns whether anything changed. This node is always one of them.
    bool set_nodes(std::vector<LimiterNode> const&);
    OwnerCandidate const& self() const { return nodes_.at(self_); }
    OwnerCandidate const* find(std::uint64_t hash) const;
    std::size_t size() const { return nodes_.size(); }

    // Some nodes, the same each time, without this one and `but`.
    std::vector<OwnerCandidate const*> sample(std::uint64_t but, std::size_t most) const;

    // The first node of the tenant's order of which `is_left_out(hash)` is false; nullptr where there is none.
    // `before`: how many were left out before it.
    template<typename LeftOut>
    OwnerCandidate const* first(std::uint64_t tenant, LeftOut is_left_out, int* before = nullptr) const
    {
        OwnerCandidate const* best = nullptr;
        std::pair<int, std::uint64_t> best_rank;
        std::vector<std::pair<int, std::uint64_t>> left_out_ranks;
        for (auto const& [hash, node] : nodes_) {
            auto const rank = std::pair(node.node.link_mbps, rank_of(tenant, hash));
            if (is_left_out(hash)) {
                left_out_ranks.push_back(rank);
            } else if (best == nullptr || rank > best_rank) {
                best = &node;
                best_rank = rank;
            }
        }
        if (before != nullptr) {
            *before = 0;
            for (auto const& rank : left_out_ranks)
                *before += rank > best_rank ? 1 : 0;
        }
        return best;
    }

private:
    static std::uint64_t rank_of(std::uint64_t tenant, std::uint64_t node);

    std::uint64_t self_ = 0;
    std::map<std::uint64_t, OwnerCandidate> nodes_; // By hash.
};

}
