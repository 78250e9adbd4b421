#include "saltquay/duties/usage_aggregator.h"

#include <algorithm>

namespace saltquay::duties {

void UsageAggregator::record_usage(serving::PeerReport const& report, Time now)
{
    if (report.node.empty())
        return;
    auto& contribution = incarnations_[{ report.node, report.boot }];
    contribution.last_report_at = now;
    contribution.closed_through = std::max(contribution.closed_through, report.closed_through);
    for (auto const& count : report.usage) {
        auto& known = contribution.counts[count.window][count.tenant];
        known = std::max(known, count.requests);
    }
}

TenantCounts UsageAggregator::counts(std::int64_t window) const
{
    TenantCounts sums;
    for (auto const& [incarnation, contribution] : incarnations_) {
        auto const counts = contribution.counts.find(window);
        if (counts == contribution.counts.end())
            continue;
        for (auto const& [tenant, requests] : counts->second)
            sums[tenant] += requests;
    }
    return sums;
}

// A later incarnation of the same node is known.
bool UsageAggregator::is_superseded(NodeIncarnation const& incarnation) const
{
    auto const next = std::next(incarnations_.find(incarnation));
    return next != incarnations_.end() && next->first.first == incarnation.first;
}

bool UsageAggregator::is_complete(std::int64_t window, Time now) const
{
    if (now < collection_start_ + parameters_.collection_period)
        return false;
    return std::all_of(incarnations_.begin(), incarnations_.end(), [&](auto const& entry) {
        auto const& [incarnation, contribution] = entry;
        return contribution.closed_through >= window
            || now - contribution.last_report_at > parameters_.unresponsive_after || is_superseded(incarnation);
    });
}

bool UsageAggregator::covers_time(WallTime at) const
{
    auto const milliseconds = static_cast<std::uint64_t>(at.time_since_epoch().count());
    return std::any_of(incarnations_.begin(), incarnations_.end(),
        [&](auto const& entry) { return entry.first.second <= milliseconds; });
}

void UsageAggregator::discard(Time now, std::int64_t before_window)
{
    for (auto& [incarnation, contribution] : incarnations_)
        std::erase_if(contribution.counts, [&](auto const& entry) { return entry.first < before_window; });
    std::erase_if(
        incarnations_, [&](auto const& entry) { return now - entry.second.last_report_at > parameters_.retention; });
}

std::vector<serving::PeerReport> UsageAggregator::contributions(
    std::string const& excluded_node, std::size_t max_counts) const
{
    std::vector<serving::PeerReport> reports;
    for (auto const& [incarnation, contribution] : incarnations_) {
        if (incarnation.first == excluded_node)
            continue;
        serving::PeerReport report;
        report.scope = serving::ReportScope::kUsage;
        report.node = incarnation.first;
        report.boot = incarnation.second;
        report.closed_through = contribution.closed_through;
        for (auto const& [window, counts] : contribution.counts) {
            for (auto const& [tenant, requests] : counts) {
                if (report.usage.size() == max_counts) {
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
