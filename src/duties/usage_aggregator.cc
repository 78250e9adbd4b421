#include "saltquay/duties/usage_aggregator.h"

#include <algorithm>

namespace saltquay::duties {

void UsageAggregator::note(serving::PeerReport const& report, Time now)
{
    if (report.node.empty())
        return;
    auto& contribution = lives_[{ report.node, report.boot }];
    contribution.heard = now;
    contribution.closed_through = std::max(contribution.closed_through, report.closed_through);
    for (auto const& count : report.usage) {
        auto& known = contribution.counts[count.window][count.tenant];
        known = std::max(known, count.requests);
    }
}

TenantCounts UsageAggregator::counts(std::int64_t window) const
{
    TenantCounts sums;
    for (auto const& [life, contribution] : lives_) {
        auto const counts = contribution.counts.find(window);
        if (counts == contribution.counts.end())
            continue;
        for (auto const& [tenant, requests] : counts->second)
            sums[tenant] += requests;
    }
    return sums;
}

// A later life of the same node was heard.
bool UsageAggregator::is_over(Life const& life) const
{
    auto const next = std::next(lives_.find(life));
    return next != lives_.end() && next->first.first == life.first;
}

bool UsageAggregator::is_complete(std::int64_t window, Time now) const
{
    if (now < began_ + parameters_.collection_period)
        return false;
    return std::all_of(lives_.begin(), lives_.end(), [&](auto const& entry) {
        auto const& [life, contribution] = entry;
        return contribution.closed_through >= window || now - contribution.heard > parameters_.silence || is_over(life);
    });
}

bool UsageAggregator::covers_time(WallTime at) const
{
    auto const milliseconds = static_cast<std::uint64_t>(at.time_since_epoch().count());
    return std::any_of(
        lives_.begin(), lives_.end(), [&](auto const& entry) { return entry.first.second <= milliseconds; });
}

void UsageAggregator::forget(Time now, std::int64_t before_window)
{
    for (auto& [life, contribution] : lives_)
        std::erase_if(contribution.counts, [&](auto const& entry) { return entry.first < before_window; });
    std::erase_if(lives_, [&](auto const& entry) { return now - entry.second.heard > parameters_.memory; });
}

std::vector<serving::PeerReport> UsageAggregator::contributions(
    std::string const& excluded_node, std::size_t most) const
{
    std::vector<serving::PeerReport> reports;
    for (auto const& [life, contribution] : lives_) {
        if (life.first == excluded_node)
            continue;
        serving::PeerReport report;
        report.scope = serving::ReportScope::kUsage;
        report.node = life.first;
        report.boot = life.second;
        report.closed_through = contribution.closed_through;
        for (auto const& [window, counts] : contribution.counts) {
            for (auto const& [tenant, requests] : counts) {
                if (report.usage.size() == most) {
                    reports.push_back(report);
                    report.usage.clear();
                }
                report.usage.push_back({ window, tenant, requests });
            }
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

}
