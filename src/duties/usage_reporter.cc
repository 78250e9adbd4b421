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

void UsageReporter::step(Time now, WallTime wall, bool holds_lease, std::int64_t lease_token,
    std::int64_t initial_window, UsageAggregator const& aggregator, UsageActions& actions)
{
    if (!holds_lease)
        return;
    if (lease_token != lease_token_)
        reset_state();
    lease_token_ = lease_token;
    if (call_ == Call::None && now >= next_call_) {
        if (!sealed_) {
            call_ = Call::Read;
            actions.push_back(ReadSealedUsage {});
        } else {
            seal(now, wall, initial_window, aggregator, actions);
        }
    }
    if (sealed_)
        send(now, wall, actions);
}

// Another node may have sealed: the object is read again before the next seal.
void UsageReporter::reset_state()
{
    sealed_.reset();
    draft_.reset();
    deliveries_.clear();
}

std::int64_t UsageReporter::next_window(std::int64_t initial_window) const
{
    auto const newest = sealed_->reports.empty() ? initial_window - 1 : sealed_->reports.back().window;
    return std::max(newest, skipped_through_) + 1;
}

void UsageReporter::seal(
    Time now, WallTime wall, std::int64_t initial_window, UsageAggregator const& aggregator, UsageActions& actions)
{
    auto const window = next_window(initial_window);
    auto const ended = windows_.end_of(window);
    if (wall < ended + parameters_.settle_delay)
        return;
    auto const complete = aggregator.is_complete(window, now);
    if (!complete && wall < ended + parameters_.completeness_timeout)
        return;
    auto const is_first_window_ever = sealed_->reports.empty() && window == initial_window;
    if (!is_first_window_ever && !aggregator.covers_time(windows_.start_of(window)))
        return skip_windows(window, wall, aggregator, actions);
    UsageReport const report { window, aggregator.counts(window) };
    draft_ = *sealed_;
    draft_->reports.push_back(report);
    while (draft_->reports.size() > parameters_.retained_reports)
        draft_->reports.erase(draft_->reports.begin());
    call_ = Call::Write;
    actions.emplace_back().emplace<WriteSealedUsage>(*draft_);
    actions.push_back(LogUsage { EventId::kUsageSealed, window, complete ? "" : "some nodes did not report",
        total(report.counts), report.counts.size(), complete });
}

// All nodes that counted in these windows are gone, so a report would be made up. After a long outage there are many
// such windows.
void UsageReporter::skip_windows(
    std::int64_t first, WallTime wall, UsageAggregator const& aggregator, UsageActions& actions)
{
    skipped_through_ = first;
    while (windows_.end_of(skipped_through_ + 1) <= wall
        && !aggregator.covers_time(windows_.start_of(skipped_through_ + 1)))
        ++skipped_through_;
    auto const cause =
        "no node that counted then is left; windows are skipped through " + std::to_string(skipped_through_);
    actions.push_back(LogUsage { EventId::kUsageNotReported, first, cause, 0, 0, false });
}

void UsageReporter::send(Time now, WallTime wall, UsageActions& actions)
{
    for (auto const& report : sealed_->reports) {
        if (wall > windows_.end_of(report.window) + parameters_.send_period)
            continue;
        auto& delivery = deliveries_[report.window];
        if (delivery.acknowledged || delivery.in_flight || now < delivery.next)
            continue;
        delivery.in_flight = true;
        actions.emplace_back().emplace<SendUsageReport>(report);
    }
    if (sealed_->reports.empty())
        return;
    auto const oldest = sealed_->reports.front().window;
    std::erase_if(deliveries_, [&](auto const& entry) { return entry.first < oldest; });
}

void UsageReporter::on_read(Time now, std::optional<SealedUsage> const& object)
{
    call_ = Call::None;
    if (!object)
        return back_off(now);
    retry_delay_ = 0s;
    sealed_ = *object;
}

void UsageReporter::on_written(Time /*now*/, std::int64_t revision)
{
    call_ = Call::None;
    retry_delay_ = 0s;
    // If the lease was lost and regained meanwhile, the object is read instead.
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
    retry_delay_ = std::clamp(retry_delay_ * 2, parameters_.initial_retry_delay, parameters_.max_retry_delay);
    next_call_ = now + retry_delay_;
}

void UsageReporter::on_sent(Time now, std::int64_t window, DutyOutcome outcome)
{
    auto const entry = deliveries_.find(window);
    if (entry == deliveries_.end())
        return;
    auto& delivery = entry->second;
    delivery.in_flight = false;
    delivery.acknowledged = outcome == DutyOutcome::Done;
    delivery.retry_delay =
        std::clamp(delivery.retry_delay * 2, parameters_.initial_retry_delay, parameters_.max_retry_delay);
    delivery.next = now + delivery.retry_delay;
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
            auto const delivery = deliveries_.find(report.window);
            return delivery == deliveries_.end() || !delivery->second.acknowledged;
        }));
}

}
