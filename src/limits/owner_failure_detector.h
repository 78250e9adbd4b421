// Which homes do not answer, and which decline.
//
// A node that left asks unanswered is suspected and probed. A suspect is asked nothing; it is absent, so that the next
// node stands in for it, only when it answered no probe for a while: one that is merely not reached by a single node
// must not get a rival.
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
    // Others were asked whether they reach it.
    void note_surveyed(std::uint64_t node, std::size_t asked);
    void note_survey_reply(std::uint64_t node, std::uint64_t from);
    // Returns whether it was absent.
    bool note_heard(Time now, std::uint64_t node);
    // It answered through another node, at the address `via`; it stays suspected. Returns whether it was absent.
    bool note_relayed(Time now, std::uint64_t node, std::string const& via);
    // Through whom a suspected node is reached; empty: nobody.
    std::string via(std::uint64_t node) const;
    // The part of the fleet that answered while nodes became absent; nothing where none is absent.
    std::optional<double> surveyed_share() const;
    // It passed an ask on, for it has just started or stops: it is no owner for a while.
    void note_declined(Time now, std::uint64_t node);

    bool is_suspect(std::uint64_t node) const { return suspects_.contains(node); }
    bool is_absent(Time, std::uint64_t node) const;

    struct Due {
        std::vector<std::uint64_t> probes;  // Nodes to probe now.
        std::vector<std::uint64_t> surveys; // Nodes that others are to be asked about.
        std::vector<std::uint64_t> absent;  // Nodes that became absent.
        bool joined = false;                // A node that had declined may be a owner now.
    };
    // `is_known`: whether a node is still one of the fleet.
    Due step(Time, std::function<bool(std::uint64_t)> const& is_known);
    std::optional<Time> next_deadline() const;

private:
    struct Suspect {
        Time since {};
        Time next_probe {};
        bool absent = false;
        Time next_survey {};
        std::size_t asked = 0;           // Nodes, in the survey.
        std::set<std::uint64_t> replied; // Of them.
        std::string via;
    };

    LimiterParameters parameters_;
    std::map<std::uint64_t, Suspect> suspects_;
    std::map<std::uint64_t, Time> declined_until_;
    std::map<std::uint64_t, Time> cleared_at_; // When a suspect was heard.
};

}
