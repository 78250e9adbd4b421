#include "saltquay/replica/upstream_selector.h"

#include <algorithm>
#include <iterator>
#include <set>

#include "src/base/hash.h"

namespace saltquay::replica {

std::vector<UpstreamSelector::Ranked> UpstreamSelector::relays(
    std::span<serving::PeerNode const> peers, bool self) const
{
    auto nodes = serving::RankZone(self_, peers, self_.zone);
    if (!self)
        std::erase_if(nodes, [&](Ranked const& ranked) { return ranked.node == &self_; });
    auto const count = static_cast<int>(nodes.size());
    auto const wanted = std::max(
        parameters_.readers_per_zone, (count + parameters_.nodes_per_reader - 1) / parameters_.nodes_per_reader);
    nodes.resize(static_cast<std::size_t>(std::min(count, wanted)));
    return nodes;
}

std::vector<UpstreamSelector::Ranked> UpstreamSelector::readers(
    std::span<serving::PeerNode const> peers, bool self) const
{
    auto ranked = serving::RankNodes(self_, peers);
    std::erase_if(ranked, [&](Ranked const& candidate) {
        return candidate.node == &self_ ? !self : avoided_until_.contains(candidate.node->node);
    });
    if (!topology_.HasMultipleRegions())
        return serving::PickAcrossZones(ranked, static_cast<std::size_t>(parameters_.readers));
    std::set<std::string_view> regions;
    std::erase_if(ranked, [&](Ranked const& candidate) {
        auto const is_first = regions.insert(topology_.RegionOf(candidate.node->zone)).second;
        return !is_first;
    });
    return ranked;
}

std::vector<UpstreamSelector::Ranked> UpstreamSelector::readers_in_region(std::span<Ranked const> readers) const
{
    std::vector<Ranked> in_region;
    std::copy_if(readers.begin(), readers.end(), std::back_inserter(in_region),
        [&](Ranked const& reader) { return topology_.IsOwnRegion(reader.node->zone); });
    return in_region;
}

bool UpstreamSelector::is_reader_by_rank(std::span<serving::PeerNode const> peers) const
{
    return contains_self(relays(peers, true)) || (is_large(peers) && contains_self(readers(peers, true)));
}

bool UpstreamSelector::contains_self(std::span<Ranked const> nodes) const
{
    return std::any_of(nodes.begin(), nodes.end(), [&](Ranked const& ranked) { return ranked.node == &self_; });
}

serving::PeerNode const* UpstreamSelector::pick_connected(std::span<Ranked const> nodes) const
{
    serving::PeerNode const* best = nullptr;
    std::uint64_t best_rank = 0;
    for (auto const& ranked : nodes) {
        auto const& name = ranked.node->node;
        if (avoided_until_.contains(name) || disconnected_until_.contains(name) || starting_until_.contains(name))
            continue;
        // Followers spread over their upstreams, and stay with the same one while it is available.
        auto const rank = HashPair(HashText(self_.node), ranked.hash);
        if (best != nullptr && rank <= best_rank)
            continue;
        best = ranked.node;
        best_rank = rank;
    }
    return best;
}

bool UpstreamSelector::may_ask_seed(std::string const& address, Time now) const
{
    auto const disconnected = disconnected_until_.find(address);
    if (disconnected != disconnected_until_.end()
        && disconnected->second - parameters_.avoidance_period + parameters_.seed_retry_delay > now)
        return false;
    auto const starting = starting_until_.find(address);
    return starting == starting_until_.end()
        || starting->second - parameters_.starting_retry_delay + parameters_.seed_retry_delay <= now;
}

Upstream UpstreamSelector::choose_seed(Time now)
{
    auto const is_seed = std::find(seeds_.begin(), seeds_.end(), self_.address) != seeds_.end();
    auto has_unready_seed = false;
    for (auto const& address : seeds_) {
        if (avoided_until_.contains(address) || address == self_.address)
            continue;
        if (may_ask_seed(address, now))
            return { Upstream::Source::Peer, { address, address, self_.zone, 0, false } };
        has_unready_seed = true;
    }
    if (!has_unready_seed || is_seed)
        return {};
    if (!seeds_unready_since_)
        seeds_unready_since_ = now;
    if (now - *seeds_unready_since_ >= parameters_.seed_wait_limit)
        return {};
    return { Upstream::Source::None, {} };
}

Upstream UpstreamSelector::choose(std::span<serving::PeerNode const> peers, Time now)
{
    auto const has_expired = [&](auto const& entry) { return entry.second <= now; };
    std::erase_if(avoided_until_, has_expired);
    std::erase_if(disconnected_until_, has_expired);
    std::erase_if(starting_until_, has_expired);
    if (peers.empty())
        return choose_seed(now);
    auto const store_failed = avoided_until_.contains(self_.node);
    if (store_failed) {
        // If many nodes lose the store at once, it takes a moment until the first one that is served again is known.
        auto const left = parameters_.avoidance_period - parameters_.disconnected_retry_delay;
        std::erase_if(disconnected_until_, [&](auto const& entry) { return entry.second <= now + left; });
    }
    auto const zone_relays = relays(peers, !store_failed);
    auto const is_relay = contains_self(zone_relays);
    if (!is_large(peers) && is_relay)
        return {};
    auto const fleet_readers = is_large(peers) ? readers(peers, !store_failed) : std::vector<Ranked> {};
    if (contains_self(fleet_readers))
        return {};
    // If no other node is connected to the store, the nodes that the ranking assigns to it retry it.
    auto const retries_store = store_failed && is_reader_by_rank(peers);
    auto const* peer = is_relay ? nullptr : pick_connected(zone_relays);
    if (peer == nullptr && !is_relay && !retries_store && should_wait_for(zone_relays, relays_starting_since_, now))
        return { Upstream::Source::None, {} };
    if (peer == nullptr)
        peer = pick_connected(readers_in_region(fleet_readers));
    if (peer == nullptr)
        peer = pick_connected(fleet_readers);
    if (peer != nullptr)
        return { Upstream::Source::Peer, *peer };
    // Readers that are listing will have a replica soon. If each node listed meanwhile, the store would serve the whole
    // list to the whole fleet.
    if (!retries_store && should_wait_for(fleet_readers, readers_starting_since_, now))
        return { Upstream::Source::None, {} };
    auto const store_responds = last_store_success_ && now - *last_store_success_ < parameters_.avoidance_period;
    auto const peers_disconnected = !disconnected_until_.empty() || !starting_until_.empty();
    if (!peers_disconnected || is_relay || retries_store || store_responds || may_probe(peers.size() + 1, now))
        return {};
    return { Upstream::Source::None, {} };
}

bool UpstreamSelector::should_wait_for(
    std::span<Ranked const> upstreams, std::optional<Time>& starting_since, Time now) const
{
    auto const is_starting = [&](Ranked const& upstream) { return starting_until_.contains(upstream.node->node); };
    if (std::none_of(upstreams.begin(), upstreams.end(), is_starting))
        return false;
    if (!starting_since)
        starting_since = now;
    return now - *starting_since < parameters_.relay_start_wait_limit;
}

bool UpstreamSelector::may_probe(std::size_t nodes, Time now)
{
    auto const interval = parameters_.probe_interval_per_node * static_cast<int>(nodes);
    // First probe, or the first after a period of connectivity.
    if (!next_probe_ || *next_probe_ + interval < now) {
        auto const spread = std::min(interval, parameters_.initial_probe_spread);
        next_probe_ = now + spread * static_cast<int>(HashText(self_.node) % nodes) / static_cast<int>(nodes);
    }
    if (now < *next_probe_)
        return false;
    next_probe_ = now + interval;
    return true;
}

}
