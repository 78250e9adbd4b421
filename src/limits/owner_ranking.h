// Determines a tenant's owner by rendezvous hashing: the node with the highest rank among the known nodes. Nodes with
// higher link bandwidth rank before all others, since the owner receives a message for each request of its tenants and
// on a slow link would become unresponsive during a tenant's peak.
//
// Nodes that know the same nodes compute the same ranking. If a node is removed, only the tenants that it owned get a
// new owner.
#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "saltquay/limits/limiter.h"

namespace saltquay::limits {

struct OwnerCandidate {
    std::uint64_t hash = 0; // Hash of the node's name.
    LimiterNode node;
};

class OwnerRanking {
public:
    explicit OwnerRanking(LimiterNode const& self);

    // Returns whether the ranking changed. This node is always included.
    bool set_nodes(std::vector<LimiterNode> const&);
    OwnerCandidate const& self() const { return nodes_.at(self_); }
    OwnerCandidate const* find(std::uint64_t hash) const;
    std::size_t size() const { return nodes_.size(); }

    // Returns up to `max_count` nodes, always the same ones, without this node and `excluded`.
    std::vector<OwnerCandidate const*> sample(std::uint64_t excluded, std::size_t max_count) const;

    // Returns the tenant's highest-ranked node for which `is_excluded(hash)` is false; nullptr: none.
    // `skipped`: receives the number of excluded nodes that rank higher.
    template<typename IsExcluded>
    OwnerCandidate const* first_candidate(std::uint64_t tenant, IsExcluded is_excluded, int* skipped = nullptr) const
    {
        OwnerCandidate const* best = nullptr;
        std::pair<int, std::uint64_t> best_rank;
        std::vector<std::pair<int, std::uint64_t>> excluded_ranks;
        for (auto const& [hash, node] : nodes_) {
            auto const rank = std::pair(node.node.link_mbps, score_of(tenant, hash));
            if (is_excluded(hash)) {
                excluded_ranks.push_back(rank);
            } else if (best == nullptr || rank > best_rank) {
                best = &node;
                best_rank = rank;
            }
        }
        if (skipped != nullptr) {
            *skipped = 0;
            for (auto const& rank : excluded_ranks)
                *skipped += rank > best_rank ? 1 : 0;
        }
        return best;
    }

private:
    static std::uint64_t score_of(std::uint64_t tenant, std::uint64_t node);

    std::uint64_t self_ = 0;
    std::map<std::uint64_t, OwnerCandidate> nodes_; // By hash.
};

}
