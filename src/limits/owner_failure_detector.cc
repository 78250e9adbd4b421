#include "src/limits/owner_failure_detector.h"

#include <algorithm>
#include <utility>

namespace saltquay::limits {

void OwnerFailureDetector::suspect(Time now, std::uint64_t node)
{
    auto const cleared = cleared_at_.find(node);
    if (cleared != cleared_at_.end() && now - cleared->second < parameters_.cleared_for)
        return;
    auto const [suspect, is_new] = suspects_.try_emplace(node);
    if (is_new)
        suspect->second.since = suspect->second.next_probe = suspect->second.next_survey = now;
}

void OwnerFailureDetector::note_surveyed(std::uint64_t node, std::size_t asked)
{
    auto const suspect = suspects_.find(node);
    if (suspect != suspects_.end())
        suspect->second.asked = asked;
}

void OwnerFailureDetector::note_survey_reply(std::uint64_t node, std::uint64_t from)
{
    auto const suspect = suspects_.find(node);
    if (suspect != suspects_.end() && !suspect->second.absent)
        suspect->second.replied.insert(from);
}

bool OwnerFailureDetector::note_relayed(Time now, std::uint64_t node, std::string const& via)
{
    auto const suspect = suspects_.find(node);
    if (suspect == suspects_.end())
        return false;
    suspect->second.since = now;
    suspect->second.via = via;
    suspect->second.next_survey = std::min(suspect->second.next_survey, now + parameters_.survey_interval);
    return std::exchange(suspect->second.absent, false);
}

std::string OwnerFailureDetector::via(std::uint64_t node) const
{
    auto const suspect = suspects_.find(node);
    return suspect == suspects_.end() ? std::string() : suspect->second.via;
}

std::optional<double> OwnerFailureDetector::surveyed_share() const
{
    std::optional<double> least;
    for (auto const& [node, suspect] : suspects_) {
        if (!suspect.absent)
            continue;
        // This node is there, the silent one is not.
        auto const share =
            (1.0 + static_cast<double>(suspect.replied.size())) / (2.0 + static_cast<double>(suspect.asked));
        least = std::min(least.value_or(1), share);
    }
    return least;
}

bool OwnerFailureDetector::note_heard(Time now, std::uint64_t node)
{
    auto const suspect = suspects_.find(node);
    if (suspect == suspects_.end())
        return false;
    auto const was_absent = suspect->second.absent;
    suspects_.erase(suspect);
    cleared_at_[node] = now;
    return was_absent;
}

// What it declines again meanwhile does not lengthen it: it joins at a time of its own.
void OwnerFailureDetector::note_declined(Time now, std::uint64_t node)
{
    auto const [declined, is_new] = declined_until_.try_emplace(node, now + parameters_.joining);
    if (!is_new && declined->second <= now)
        declined->second = now + parameters_.joining;
}

bool OwnerFailureDetector::is_absent(Time now, std::uint64_t node) const
{
    auto const declined = declined_until_.find(node);
    if (declined != declined_until_.end() && now < declined->second)
        return true;
    auto const suspect = suspects_.find(node);
    return suspect != suspects_.end() && suspect->second.absent;
}

OwnerFailureDetector::Due OwnerFailureDetector::step(Time now, std::function<bool(std::uint64_t)> const& is_known)
{
    Due due;
    due.joined = std::erase_if(declined_until_, [&](auto const& entry) { return entry.second <= now; }) > 0;
    std::erase_if(cleared_at_, [&](auto const& entry) { return now - entry.second >= parameters_.cleared_for; });
    std::erase_if(suspects_, [&](auto const& entry) { return !is_known(entry.first); });
    for (auto& [node, suspect] : suspects_) {
        if (!suspect.absent && now - suspect.since >= parameters_.stand_in_after) {
            suspect.absent = true;
            due.absent.push_back(node);
        }
        if (now >= suspect.next_survey) {
            due.surveys.push_back(node);
            suspect.next_survey =
                now + (suspect.absent ? parameters_.absent_probe_interval : parameters_.survey_interval);
        }
        if (now < suspect.next_probe)
            continue;
        due.probes.push_back(node);
        suspect.next_probe = now + (suspect.absent ? parameters_.absent_probe_interval : parameters_.probe_interval);
    }
    return due;
}

std::optional<Time> OwnerFailureDetector::next_deadline() const
{
    std::optional<Time> next;
    for (auto const& [node, suspect] : suspects_)
        next = next ? std::min(*next, suspect.next_probe) : suspect.next_probe;
    for (auto const& [node, until] : declined_until_)
        next = next ? std::min(*next, until) : until;
    return next;
}

}
