// Usage by tenant and window: counted, merged, sealed once, and sent until acknowledged.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "saltquay/duties/usage_reporter.h"

namespace saltquay::duties {

namespace {

UsageWindows const windows(5000ms);

WallTime wall(std::int64_t milliseconds) { return WallTime(std::chrono::milliseconds(milliseconds)); }

serving::PeerReport usage_report(
    std::string const& node, std::uint64_t incarnation, std::int64_t last_closed_window, std::vector<UsageCount> counts)
{
    serving::PeerReport report;
    report.scope = serving::ReportScope::kUsage;
    report.node = node;
    report.boot = incarnation;
    report.closed_through = last_closed_window;
    report.usage = std::move(counts);
    return report;
}

TEST(UsageWindowsTest, AreNumberedFrom1970)
{
    EXPECT_EQ(windows.number_at(wall(0)), 0);
    EXPECT_EQ(windows.number_at(wall(4999)), 0);
    EXPECT_EQ(windows.number_at(wall(5000)), 1);
    EXPECT_EQ(windows.end_of(1), wall(10000));
}

TEST(UsageCounterTest, ReportsChangesAndDiscardsOldWindows)
{
    UsageCounter counter(windows);
    counter.record_usage("a", wall(4000), Time { 1s });
    counter.record_usage("b", wall(5000), Time { 2s });
    counter.record_usage("b", wall(6000), Time { 3s });
    EXPECT_EQ(counter.all(), (std::vector<UsageCount> { { 0, "a", 1 }, { 1, "b", 2 } }));
    EXPECT_EQ(counter.counts_changed_since(Time { 2500ms }), (std::vector<UsageCount> { { 1, "b", 2 } }));
    counter.discard_before(1);
    EXPECT_EQ(counter.all(), (std::vector<UsageCount> { { 1, "b", 2 } }));
}

class UsageAggregatorTest : public ::testing::Test {
protected:
    UsageAggregator aggregator_ { UsageAggregatorParameters {}, Time { 0s } };
    Time now_ { 10s };
};

TEST_F(UsageAggregatorTest, IncarnationsAddUpAndReportsMayBeDuplicatedOrReordered)
{
    aggregator_.record_usage(usage_report("n1", 1, 0, { { 7, "a", 5 } }), now_);
    aggregator_.record_usage(usage_report("n1", 1, 0, { { 7, "a", 3 } }), now_);
    aggregator_.record_usage(usage_report("n1", 1, 0, { { 7, "a", 5 } }), now_);
    aggregator_.record_usage(usage_report("n1", 2, 0, { { 7, "a", 1 } }), now_);
    aggregator_.record_usage(usage_report("n2", 1, 0, { { 7, "a", 2 }, { 8, "b", 9 } }), now_);
    EXPECT_EQ(aggregator_.counts(7), (TenantCounts { { "a", 8 } }));
    EXPECT_EQ(aggregator_.counts(8), (TenantCounts { { "b", 9 } }));
}

TEST_F(UsageAggregatorTest, IsCompleteOnceAllKnownNodesHaveClosedTheWindow)
{
    aggregator_.record_usage(usage_report("n1", 1, 7, {}), now_);
    aggregator_.record_usage(usage_report("n2", 1, 6, {}), now_);
    EXPECT_FALSE(aggregator_.is_complete(7, now_));
    EXPECT_TRUE(aggregator_.is_complete(6, now_));
    aggregator_.record_usage(usage_report("n2", 2, 7, {}), now_); // It was restarted.
    EXPECT_TRUE(aggregator_.is_complete(7, now_));
    aggregator_.record_usage(usage_report("n3", 1, 6, {}), now_);
    EXPECT_FALSE(aggregator_.is_complete(7, now_ + 5s));
    EXPECT_TRUE(aggregator_.is_complete(7, now_ + 7s)); // It is gone.
    aggregator_.restart_collection(now_ + 7s);
    EXPECT_FALSE(aggregator_.is_complete(7, now_ + 7s));
}

TEST_F(UsageAggregatorTest, ContributionsAreForwardedCompletely)
{
    aggregator_.record_usage(usage_report("n1", 1, 7, { { 7, "a", 5 }, { 7, "b", 6 }, { 8, "a", 1 } }), now_);
    aggregator_.record_usage(usage_report("me", 1, 7, { { 7, "a", 5 } }), now_);
    UsageAggregator other { UsageAggregatorParameters {}, Time { 0s } };
    auto const messages = aggregator_.contributions("me", 2);
    EXPECT_EQ(messages.size(), 2U);
    for (auto const& message : messages)
        other.record_usage(message, now_);
    EXPECT_EQ(other.counts(7), (TenantCounts { { "a", 5 }, { "b", 6 } }));
    EXPECT_EQ(other.counts(8), (TenantCounts { { "a", 1 } }));
}

class UsageReporterTest : public ::testing::Test {
protected:
    UsageReporterTest() { aggregator_.record_usage(usage_report("n1", 1, 1000, { { 7, "a", 5 } }), Time { 0s }); }
    UsageActions step(std::int64_t wall_ms, bool holds_lease = true)
    {
        UsageActions actions;
        now_ = Time { std::chrono::milliseconds(wall_ms) };
        reporter_.step(now_, wall(wall_ms), holds_lease, 1, 7, aggregator_, actions);
        return actions;
    }
    template<typename T> static std::vector<T> all(UsageActions const& actions)
    {
        std::vector<T> found;
        for (auto const& action : actions) {
            if (auto const* typed = std::get_if<T>(&action))
                found.push_back(*typed);
        }
        return found;
    }

    UsageAggregator aggregator_ { UsageAggregatorParameters {}, Time { 0s } };
    UsageReporter reporter_ { UsageReporterParameters {}, windows };
    Time now_ {};
};

TEST_F(UsageReporterTest, SealsBeforeSendingAndSendsUntilAcknowledged)
{
    EXPECT_EQ(all<ReadSealedUsage>(step(36000)).size(), 1U);
    reporter_.on_read(now_, SealedUsage {});
    EXPECT_TRUE(step(40500).empty()); // Window 7 ends at 40 s; late counts may still arrive.
    auto const seal_writes = all<WriteSealedUsage>(step(40800));
    ASSERT_EQ(seal_writes.size(), 1U);
    EXPECT_EQ(seal_writes[0].object.reports, (std::vector<UsageReport> { { 7, { { "a", 5 } } } }));
    EXPECT_TRUE(all<SendUsageReport>(step(40900)).empty());
    reporter_.on_written(now_, 12);
    EXPECT_EQ(all<SendUsageReport>(step(41000)).size(), 1U);
    aggregator_.record_usage(usage_report("n1", 1, 1000, { { 7, "a", 6 } }), now_); // Too late: the report is sealed.
    reporter_.on_sent(now_, 7, DutyOutcome::Unknown);
    auto const again = all<SendUsageReport>(step(41300));
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].report.counts, (TenantCounts { { "a", 5 } }));
    reporter_.on_sent(now_, 7, DutyOutcome::Done);
    EXPECT_TRUE(all<SendUsageReport>(step(43000)).empty());
    EXPECT_EQ(reporter_.last_sealed_window(), 7);
}

TEST_F(UsageReporterTest, UnresponsiveNodesAreWaitedForUntilTheTimeout)
{
    step(36000);
    reporter_.on_read(now_, SealedUsage {});
    aggregator_.record_usage(usage_report("n2", 1, 6, {}), Time { 39s });
    EXPECT_TRUE(all<WriteSealedUsage>(step(44000)).empty());
    aggregator_.record_usage(usage_report("n2", 1, 6, {}), Time { 45s });
    EXPECT_EQ(all<WriteSealedUsage>(step(46600)).size(), 1U);
}

TEST_F(UsageReporterTest, FailedWriteIsReadBackBeforeAnythingIsSent)
{
    step(36000);
    reporter_.on_read(now_, SealedUsage {});
    step(41000);
    reporter_.on_write_failed(now_);
    auto const actions = step(41500);
    EXPECT_EQ(all<ReadSealedUsage>(actions).size(), 1U);
    EXPECT_TRUE(all<SendUsageReport>(actions).empty());
    reporter_.on_read(now_, SealedUsage { 30, { { 7, { { "a", 4 } } } } }); // Another node had sealed it.
    auto const sent = all<SendUsageReport>(step(41600));
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].report.counts, (TenantCounts { { "a", 4 } }));
}

TEST_F(UsageReporterTest, NothingIsDoneWithoutTheLease)
{
    EXPECT_TRUE(step(60000, false).empty());
    step(61000);
    reporter_.on_read(now_, SealedUsage { 30, { { 7, { { "a", 4 } } } } });
    EXPECT_TRUE(step(62000, false).empty());
}

// All nodes restarted in the middle of window 10, at 52 s.
class UsageAfterFleetRestartTest : public UsageReporterTest {
protected:
    UsageAfterFleetRestartTest()
    {
        restarted_aggregator_.record_usage(usage_report("n1", 52000, 1000, {}), Time { 52s });
    }

    UsageActions step_at(std::int64_t wall_ms)
    {
        UsageActions actions;
        reporter_.step(
            Time { std::chrono::milliseconds(wall_ms) }, wall(wall_ms), true, 1, 10, restarted_aggregator_, actions);
        return actions;
    }

    UsageAggregator restarted_aggregator_ { UsageAggregatorParameters {}, Time { 0s } };
};

TEST_F(UsageAfterFleetRestartTest, WindowWithoutRemainingNodesIsSkipped)
{
    step_at(52000);
    reporter_.on_read(Time { 52s }, SealedUsage { 30, { { 9, { { "a", 4 } } } } });
    auto const skipped = all<LogUsage>(step_at(57000));
    ASSERT_EQ(skipped.size(), 1U);
    EXPECT_EQ(skipped[0].event, EventId::kUsageNotReported);
    EXPECT_EQ(skipped[0].window, 10);
    auto const seal_writes = all<WriteSealedUsage>(step_at(61000));
    ASSERT_EQ(seal_writes.size(), 1U);
    EXPECT_EQ(seal_writes[0].object.reports.back().window, 11); // It is complete.
}

TEST_F(UsageAfterFleetRestartTest, WindowsOfALongOutageAreSkippedAtOnce)
{
    step_at(52000);
    reporter_.on_read(Time { 52s }, SealedUsage { 30, { { 2, { { "a", 4 } } } } });
    auto const actions = step_at(57000);
    EXPECT_EQ(all<LogUsage>(actions).size(), 1U);
    EXPECT_TRUE(all<WriteSealedUsage>(actions).empty());
    auto const seal_writes = all<WriteSealedUsage>(step_at(61000));
    ASSERT_EQ(seal_writes.size(), 1U);
    EXPECT_EQ(seal_writes[0].object.reports.back().window, 11);
}

// Racing lease holders, writes with a delayed response or none, and calls that are executed late: the platform never
// accepts two different reports of one window.
class RacingLeaseHolders {
public:
    // `seals_before_sending`: false selects a mutant that sends a report before it is sealed.
    explicit RacingLeaseHolders(bool seals_before_sending)
        : seals_before_sending_(seals_before_sending)
    {
    }

    void run()
    {
        for (auto step = 0; step < 400; ++step) {
            now_ms_ += *rc::gen::inRange(20, 400);
            // Two nodes may believe that they hold the lease.
            this->step(static_cast<std::size_t>(*rc::gen::inRange(0, nodes)), step / 50);
        }
    }
    std::size_t windows_reported() const { return accepted_.size(); }

private:
    static constexpr int nodes = 3;

    Time now() const { return Time { std::chrono::milliseconds(now_ms_) }; }

    void step(std::size_t index, std::int64_t lease_token)
    {
        random_outcome_ = *rc::gen::inRange(0, 10);
        receive_usage(aggregators_[index]);
        if (random_outcome_ == 9 && !delayed_writes_.empty()) {
            write(delayed_writes_.back());
            delayed_writes_.pop_back();
        }
        UsageActions actions;
        auto& reporter = reporters_[index];
        reporter.step(now(), wall(now_ms_), random_outcome_ != 8, lease_token, 7, aggregators_[index], actions);
        for (auto const& action : actions) {
            if (std::holds_alternative<ReadSealedUsage>(action))
                reporter.on_read(now(), random_outcome_ == 7 ? std::nullopt : std::optional(stored_));
            if (auto const* seal_write = std::get_if<WriteSealedUsage>(&action))
                seal(reporter, seal_write->object);
            if (auto const* send_action = std::get_if<SendUsageReport>(&action)) {
                accept(send_action->report);
                auto const outcome = random_outcome_ > 4 ? DutyOutcome::Done : DutyOutcome::Unknown;
                reporter.on_sent(now(), send_action->report.window, outcome);
            }
        }
    }
    // Each node has merged different counts.
    void receive_usage(UsageAggregator& aggregator) const
    {
        auto const window = now_ms_ / 5000;
        aggregator.record_usage(usage_report("n" + std::to_string(*rc::gen::inRange(0, 4)), 1,
                                    window - *rc::gen::inRange(0, 2), { { window, "a", *rc::gen::inRange(1, 50) } }),
            now());
    }
    void seal(UsageReporter& reporter, SealedUsage const& object)
    {
        if (!seals_before_sending_)
            accept(object.reports.back());
        if (random_outcome_ == 1)
            delayed_writes_.push_back(object);
        auto const done = random_outcome_ != 1 && write(object);
        if (done && random_outcome_ > 2)
            reporter.on_written(now(), revision_);
        else
            reporter.on_write_failed(now());
    }
    bool write(SealedUsage object)
    {
        if (object.revision != stored_.revision)
            return false;
        object.revision = ++revision_;
        stored_ = std::move(object);
        return true;
    }
    void accept(UsageReport const& report)
    {
        auto const [entry, first] = accepted_.emplace(report.window, report.counts);
        RC_ASSERT(first || entry->second == report.counts);
    }

    bool seals_before_sending_;
    std::vector<UsageReporter> reporters_ { nodes, UsageReporter(UsageReporterParameters {}, windows) };
    std::vector<UsageAggregator> aggregators_ { nodes, UsageAggregator(UsageAggregatorParameters {}, Time { 0s }) };
    SealedUsage stored_;
    std::int64_t revision_ = 10;
    std::vector<SealedUsage> delayed_writes_;
    std::map<std::int64_t, TenantCounts> accepted_;
    std::int64_t now_ms_ = 35000;
    int random_outcome_ = 0;
};

RC_GTEST_PROP(UsageReporterProperty, PlatformNeverReceivesDifferentReportsOfOneWindow, ())
{
    RacingLeaseHolders holders(true);
    holders.run();
    RC_CLASSIFY(holders.windows_reported() > 2, "three windows and more were reported");
}

// The same with reports that are sent before they are sealed: the property must detect it.
TEST(UsageReporterMutantTest, SendingBeforeSealingIsDetected)
{
    EXPECT_FALSE(rc::check("mutant", [] { RacingLeaseHolders(false).run(); }));
}

}
}
