#include "saltquay/duties/usage_counter.h"

namespace saltquay::duties {

void UsageCounter::record_usage(std::string_view tenant, WallTime began, Time now)
{
    auto& counts = counts_[windows_.number_at(began)];
    auto entry = counts.find(tenant);
    if (entry == counts.end())
        entry = counts.emplace(std::string(tenant), Count {}).first;
    ++entry->second.requests;
    entry->second.changed = now;
}

std::vector<UsageCount> UsageCounter::counts_changed_since(Time since) const
{
    std::vector<UsageCount> changed;
    for (auto const& [window, counts] : counts_) {
        for (auto const& [tenant, count] : counts) {
            if (count.changed >= since)
                changed.push_back({ window, tenant, count.requests });
        }
    }
    return changed;
}

void UsageCounter::discard_before(std::int64_t window) { counts_.erase(counts_.begin(), counts_.lower_bound(window)); }

}
