// Reports the usage of each window once, always with the same counts.
//
// Protocol. The lease holder waits until all nodes have reported their final counts of a window, but no longer than
// `completeness_timeout` after its end. It then seals the report: one conditional write to a store object that holds
// the last reports. Only sealed reports are sent, so the next lease holder repeats the same counts, and a call that is
// executed late reports nothing else. Windows are sealed in order; a skipped window stays unreported, and one that was
// dropped from the object is never sealed again. After a write without a response the object is read back before
// anything is sent.
//
// Deterministic: takes times and responses as input and produces actions.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "saltquay/duties/duty_outcome.h"
#include "saltquay/duties/usage_aggregator.h"
#include "src/base/event_catalogue.h"

namespace saltquay::duties {

struct UsageReport {
    std::int64_t window = 0;
    TenantCounts counts;

    bool operator==(UsageReport const&) const = default;
};

// The store object with the last sealed reports, oldest first.
struct SealedUsage {
    std::int64_t revision = 0; // 0: the object does not exist yet.
    std::vector<UsageReport> reports;
};

struct UsageReporterParameters {
    // Delay between the end of a window and sealing it: counts of its last moments have been reported by then.
    std::chrono::milliseconds settle_delay { 700 };
    // A window is sealed this long after its end even if some nodes have not reported.
    std::chrono::milliseconds completeness_timeout { 6500 };
    // Number of sealed reports retained, for a new lease holder that may have to send them again.
    std::size_t retained_reports = 6;
    Duration initial_retry_delay = 200ms; // Between two attempts of a call; doubles up to the maximum.
    Duration max_retry_delay = 1s;
    // How long a report is sent again; after that time the platform no longer counts it.
    std::chrono::milliseconds send_period { 40000 };
};

struct ReadSealedUsage { };
// Conditional on the object's revision; 0: create.
struct WriteSealedUsage {
    explicit WriteSealedUsage(SealedUsage const& draft)
        : object(draft)
    {
    }
    SealedUsage object;
};
struct SendUsageReport {
    explicit SendUsageReport(UsageReport const& sealed)
        : report(sealed)
    {
    }
    UsageReport report;
};
struct LogUsage {
    EventId event = EventId::kUsageSealed;
    std::int64_t window = 0;
    std::string cause;
    std::int64_t requests = 0;
    std::size_t tenants = 0;
    bool complete = true; // All known nodes had reported their final counts.
};
using UsageAction = std::variant<ReadSealedUsage, WriteSealedUsage, SendUsageReport, LogUsage>;
using UsageActions = std::deque<UsageAction>;

class UsageReporter {
public:
    UsageReporter(UsageReporterParameters const& parameters, UsageWindows windows)
        : parameters_(parameters)
        , windows_(windows)
    {
    }

    // To be called often. `holds_lease`: this node may act now. `lease_token`: the token of the duty lease; a new token
    // means that other nodes may have sealed meanwhile. `initial_window`: the first window to report if none was ever
    // sealed.
    void step(Time now, WallTime wall, bool holds_lease, std::int64_t lease_token, std::int64_t initial_window,
        UsageAggregator const&, UsageActions&);
    // The object as read; nothing if it could not be read.
    void on_read(Time now, std::optional<SealedUsage> const&);
    void on_written(Time now, std::int64_t revision);
    // Another write won, or the result is unknown: the object is read again.
    void on_write_failed(Time now);
    void on_sent(Time now, std::int64_t window, DutyOutcome);

    // The last sealed window as far as this node knows; nothing if unknown or none.
    std::optional<std::int64_t> last_sealed_window() const;
    // The number of sealed reports that the platform has not acknowledged.
    std::size_t unacknowledged_reports() const;

private:
    enum class Call { None, Read, Write };
    struct Delivery {
        bool acknowledged = false;
        bool in_flight = false;
        Time next {};
        Duration retry_delay {};
    };

    void reset_state();
    void seal(Time now, WallTime wall, std::int64_t initial_window, UsageAggregator const&, UsageActions&);
    void send(Time now, WallTime wall, UsageActions&);
    void skip_windows(std::int64_t first, WallTime, UsageAggregator const&, UsageActions&);
    std::int64_t next_window(std::int64_t initial_window) const;
    void back_off(Time now);

    UsageReporterParameters parameters_;
    UsageWindows windows_;
    std::optional<SealedUsage> sealed_; // As stored; empty if it has to be read.
    std::optional<SealedUsage> draft_;  // Written, without a response yet.
    std::int64_t skipped_through_ = 0;  // Windows up to this one will not be sealed.
    std::map<std::int64_t, Delivery> deliveries_;
    Call call_ = Call::None;
    Time next_call_ {};
    Duration retry_delay_ {};
    std::int64_t lease_token_ = 0;
};

}
