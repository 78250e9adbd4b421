// Tracks owners that are unresponsive or decline ownership.
//
// A node that does not respond to charge requests is suspected and probed. A suspect receives no requests. It is
// declared failed, so that the next node in the ranking takes over, only after it has responded to no probe for some
// time: a node that is merely unreachable from a single node must not get a second owner beside it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/limits/limiter_parameters.h"

namespace saltquay::limits {

class OwnerFailureDetector {
public:
    explicit OwnerFailureDetector(LimiterParameters const& parameters)
        : parameters_(parameters)
    {
    }

    void suspect(Time now, std::uint64_t node);
    // Other nodes were asked whether they can reach the suspect.
    void record_survey(std::uint64_t node, std::size_t surveyed);
    void record_survey_reply(std::uint64_t node, std::uint64_t from);
    // The node responded; it is no longer suspected. Returns whether it had been declared failed.
    bool mark_responsive(Time now, std::uint64_t node);
    // The node responded through the relay at that address; it stays suspected. Returns whether it had been declared
    // failed.
    bool mark_reachable_via(Time now, std::uint64_t node, std::string const& relay_address);
    // Address of a node that relays to the suspect; empty: none.
    std::string relay_address(std::uint64_t node) const;
    // Share of the surveyed nodes that responded before suspects were declared failed; nullopt: none is failed.
    std::optional<double> reachable_share_estimate() const;
    // The node declined ownership since it has just started or stops: it is unavailable for some time.
    void record_decline(Time now, std::uint64_t node);

    bool is_suspect(std::uint64_t node) const { return suspects_.contains(node); }
    bool is_unavailable(Time, std::uint64_t node) const;

    struct Due {
        std::vector<std::uint64_t> probes;  // Nodes to probe now.
        std::vector<std::uint64_t> surveys; // Suspects about which to survey other nodes.
        std::vector<std::uint64_t> failed;  // Nodes that were declared failed.
        bool returned = false;              // A node that had declined is available again.
    };
    // `is_known`: whether a node is still in the fleet.
    Due step(Time, std::function<bool(std::uint64_t)> const& is_known);
    std::optional<Time> next_deadline() const;

private:
    struct Suspect {
        Time since {};
        Time next_probe {};
        bool failed = false;
        Time next_survey {};
        std::size_t surveyed = 0;        // Number of surveyed nodes.
        std::set<std::uint64_t> replied; // Surveyed nodes that replied.
        std::string relay_address;
    };

    LimiterParameters parameters_;
    std::map<std::uint64_t, Suspect> suspects_;
    std::map<std::uint64_t, Time> declined_until_;
    std::map<std::uint64_t, Time> responsive_at_; // When a former suspect last responded.
};

}
