#include "saltquay/duties/usage_reporter.h"

#include <algorithm>
#include <numeric>
#include <string>

namespace saltquay::duties {

namespace {

std::int64_t total(TenantCounts const& counts)
{
    return std::accumulate(counts.begin(), counts.end(), std::int64_t { 0 },
        [](auto sum, auto const& entry) { return sum + entry.second; });
}

}

void UsageReporter::step(Time now, WallTime wall, bool holds, std::int64_t lease_token, std::int64_t initial_window,
    UsageAggregator const& table, UsageActions& actions)
{
    if (!holds)
        return;
    if (lease_token != tenure_)
        lose();
    tenure_ = lease_token;
    if (call_ == Call::None && now >= next_call_) {
        if (!sealed_) {
            call_ = Call::Read;
            actions.push_back(ReadSealedUsage {});
        } else {
            seal(now, wall, initial_window, table, actions);
        }
    }
    if (sealed_)
        send(now, wall, actions);
}

// Another node may seal from now on: what the store has is read again before the next seal.
void UsageReporter::lose()
{
    sealed_.reset();
    draft_.reset();
    sendings_.clear();
}

std::int64_t UsageReporter::next_window(std::int64_t initial_window) const
{
    auto const newest = sealed_->reports.empty() ? initial_window - 1 : sealed_->reports.back().window;
    return std::max(newest, passed_over_) + 1;
}

void UsageReporter::seal(
    Time now, WallTime wall, std::int64_t initial_window, UsageAggregator const& table, UsageActions& actions)
{
    auto const window = next_window(initial_window);
    auto const ended = windows_.end_of(window);
    if (wall < ended + parameters_.settling)
        return;
    auto const complete = table.is_complete(window, now);
    if (!complete && wall < ended + parameters_.patience)
        return;
    auto const is_the_systems_first = sealed_->reports.empty() && window == initial_window;
    if (!is_the_systems_first && !table.covers_time(windows_.start_of(window)))
        return pass_over(window, wall, table, actions);
    UsageReport const report { window, table.counts(window) };
    draft_ = *sealed_;
    draft_->reports.push_back(report);
    while (draft_->reports.size() > parameters_.retained_reports)
        draft_->reports.erase(draft_->reports.begin());
    call_ = Call::Write;
    actions.emplace_back().emplace<WriteSealedUsage>(*draft_);
    actions.push_back(LogUsage { EventId::kUsageSealed, window, complete ? "" : "some nodes were not heard",
        total(report.counts), report.counts.size(), complete });
}

// Nodes that counted then are gone, all of them: a report would be made up. After a long outage these are many.
void UsageReporter::pass_over(std::int64_t first, WallTime wall, UsageAggregator const& table, UsageActions& actions)
{
    passed_over_ = first;
    while (windows_.end_of(passed_over_ + 1) <= wall && !table.covers_time(windows_.start_of(passed_over_ + 1)))
        ++passed_over_;
    auto const cause = "no node that ran then is left, through window " + std::to_string(passed_over_);
    actions.push_back(LogUsage { EventId::kUsageNotReported, first, cause, 0, 0, false });
}

void UsageReporter::send(Time now, WallTime wall, UsageActions& actions)
{
    for (auto const& report : sealed_->reports) {
        if (wall > windows_.end_of(report.window) + parameters_.send_period)
            continue;
        auto& sending = sendings_[report.window];
        if (sending.taken || sending.under_way || now < sending.next)
            continue;
        sending.under_way = true;
        actions.emplace_back().emplace<SendUsageReport>(report);
    }
    if (sealed_->reports.empty())
        return;
    auto const oldest = sealed_->reports.front().window;
    std::erase_if(sendings_, [&](auto const& entry) { return entry.first < oldest; });
}

void UsageReporter::on_read(Time now, std::optional<SealedUsage> const& object)
{
    call_ = Call::None;
    if (!object)
        return back_off(now);
    pause_ = 0s;
    sealed_ = *object;
}

void UsageReporter::on_written(Time /*now*/, std::int64_t revision)
{
    call_ = Call::None;
    pause_ = 0s;
    // The lease may have been lost and won again meanwhile: then the object is read.
    if (!draft_)
        return;
    sealed_ = std::move(*draft_);
    sealed_->revision = revision;
    draft_.reset();
}

void UsageReporter::on_write_failed(Time now)
{
    call_ = Call::None;
    sealed_.reset();
    draft_.reset();
    back_off(now);
}

void UsageReporter::back_off(Time now)
{
    pause_ = std::clamp(pause_ * 2, parameters_.first_pause, parameters_.longest_pause);
    next_call_ = now + pause_;
}

void UsageReporter::on_sent(Time now, std::int64_t window, DutyOutcome outcome)
{
    auto const entry = sendings_.find(window);
    if (entry == sendings_.end())
        return;
    auto& sending = entry->second;
    sending.under_way = false;
    sending.taken = outcome == DutyOutcome::Done;
    sending.pause = std::clamp(sending.pause * 2, parameters_.first_pause, parameters_.longest_pause);
    sending.next = now + sending.pause;
}

std::optional<std::int64_t> UsageReporter::last_sealed_window() const
{
    if (!sealed_ || sealed_->reports.empty())
        return std::nullopt;
    return sealed_->reports.back().window;
}

std::size_t UsageReporter::unacknowledged_reports() const
{
    if (!sealed_)
        return 0;
    return static_cast<std::size_t>(
        std::count_if(sealed_->reports.begin(), sealed_->reports.end(), [&](auto const& report) {
            auto const sending = sendings_.find(report.window);
            return sending == sendings_.end() || !sending->second.taken;
        }));
}

}
