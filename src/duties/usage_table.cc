#include "saltquay/duties/usage_table.h"

#include <algorithm>

namespace saltquay::duties {

void UsageTable::note(serving::PeerReport const& report, Time now)
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

TenantCounts UsageTable::counts(std::int64_t window) const
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
bool UsageTable::is_over(Life const& life) const
{
    auto const next = std::next(lives_.find(life));
    return next != lives_.end() && next->first.first == life.first;
}

bool UsageTable::is_complete(std::int64_t window, Time now) const
{
    if (now < began_ + knobs_.first_round)
        return false;
    return std::all_of(lives_.begin(), lives_.end(), [&](auto const& entry) {
        auto const& [life, contribution] = entry;
        return contribution.closed_through >= window || now - contribution.heard > knobs_.silence || is_over(life);
    });
}

bool UsageTable::reaches_back_to(WallTime at) const
{
    auto const milliseconds = static_cast<std::uint64_t>(at.time_since_epoch().count());
    return std::any_of(
        lives_.begin(), lives_.end(), [&](auto const& entry) { return entry.first.second <= milliseconds; });
}

void UsageTable::forget(Time now, std::int64_t before_window)
{
    for (auto& [life, contribution] : lives_)
        std::erase_if(contribution.counts, [&](auto const& entry) { return entry.first < before_window; });
    std::erase_if(lives_, [&](auto const& entry) { return now - entry.second.heard > knobs_.memory; });
}

std::vector<serving::PeerReport> UsageTable::contributions(std::string const& except_node, std::size_t most) const
{
    std::vector<serving::PeerReport> reports;
    for (auto const& [life, contribution] : lives_) {
        if (life.first == except_node)
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
