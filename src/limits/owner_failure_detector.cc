#include "src/limits/owner_failure_detector.h"

#include <algorithm>
#include <utility>

namespace saltquay::limits {

void OwnerFailureDetector::suspect(Time now, std::uint64_t node)
{
    auto const responsive = responsive_at_.find(node);
    if (responsive != responsive_at_.end() && now - responsive->second < parameters_.suspicion_cooldown)
        return;
    auto const [suspect, is_new] = suspects_.try_emplace(node);
    if (is_new)
        suspect->second.since = suspect->second.next_probe = suspect->second.next_survey = now;
}

void OwnerFailureDetector::record_survey(std::uint64_t node, std::size_t surveyed)
{
    auto const suspect = suspects_.find(node);
    if (suspect != suspects_.end())
        suspect->second.surveyed = surveyed;
}

void OwnerFailureDetector::record_survey_reply(std::uint64_t node, std::uint64_t from)
{
    auto const suspect = suspects_.find(node);
    if (suspect != suspects_.end() && !suspect->second.failed)
        suspect->second.replied.insert(from);
}

bool OwnerFailureDetector::mark_reachable_via(Time now, std::uint64_t node, std::string const& relay_address)
{
    auto const suspect = suspects_.find(node);
    if (suspect == suspects_.end())
        return false;
    suspect->second.since = now;
    suspect->second.relay_address = relay_address;
    suspect->second.next_survey = std::min(suspect->second.next_survey, now + parameters_.survey_interval);
    return std::exchange(suspect->second.failed, false);
}

std::string OwnerFailureDetector::relay_address(std::uint64_t node) const
{
    auto const suspect = suspects_.find(node);
    return suspect == suspects_.end() ? std::string() : suspect->second.relay_address;
}

std::optional<double> OwnerFailureDetector::reachable_share_estimate() const
{
    std::optional<double> min_share;
    for (auto const& [node, suspect] : suspects_) {
        if (!suspect.failed)
            continue;
        // Counts this node as reachable and the unresponsive one as not.
        auto const share =
            (1.0 + static_cast<double>(suspect.replied.size())) / (2.0 + static_cast<double>(suspect.surveyed));
        min_share = std::min(min_share.value_or(1), share);
    }
    return min_share;
}

bool OwnerFailureDetector::mark_responsive(Time now, std::uint64_t node)
{
    auto const suspect = suspects_.find(node);
    if (suspect == suspects_.end())
        return false;
    auto const had_failed = suspect->second.failed;
    suspects_.erase(suspect);
    responsive_at_[node] = now;
    return had_failed;
}

// Further declines do not extend the period: the end of the node's warm-up does not depend on them.
void OwnerFailureDetector::record_decline(Time now, std::uint64_t node)
{
    auto const [declined, is_new] = declined_until_.try_emplace(node, now + parameters_.warm_up);
    if (!is_new && declined->second <= now)
        declined->second = now + parameters_.warm_up;
}

bool OwnerFailureDetector::is_unavailable(Time now, std::uint64_t node) const
{
    auto const declined = declined_until_.find(node);
    if (declined != declined_until_.end() && now < declined->second)
        return true;
    auto const suspect = suspects_.find(node);
    return suspect != suspects_.end() && suspect->second.failed;
}

OwnerFailureDetector::Due OwnerFailureDetector::step(Time now, std::function<bool(std::uint64_t)> const& is_known)
{
    Due due;
    due.returned = std::erase_if(declined_until_, [&](auto const& entry) { return entry.second <= now; }) > 0;
    std::erase_if(
        responsive_at_, [&](auto const& entry) { return now - entry.second >= parameters_.suspicion_cooldown; });
    std::erase_if(suspects_, [&](auto const& entry) { return !is_known(entry.first); });
    for (auto& [node, suspect] : suspects_) {
        if (!suspect.failed && now - suspect.since >= parameters_.failover_timeout) {
            suspect.failed = true;
            due.failed.push_back(node);
        }
        if (now >= suspect.next_survey) {
            due.surveys.push_back(node);
            suspect.next_survey =
                now + (suspect.failed ? parameters_.failed_probe_interval : parameters_.survey_interval);
        }
        if (now < suspect.next_probe)
            continue;
        due.probes.push_back(node);
        suspect.next_probe = now + (suspect.failed ? parameters_.failed_probe_interval : parameters_.probe_interval);
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
