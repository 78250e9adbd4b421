// Reports each window's usage, once and always with the same counts.
//
// Protocol. The node that holds the duties' lease waits until all nodes have told their counts of a window, or no
// longer than `patience` after its end. It then seals the report: one conditional write to an object of the store that
// keeps the last reports. Only what is sealed is ever sent, so whoever holds the lease next repeats the same counts,
// and a call that is carried out late says nothing else. Windows are sealed in order; one that was passed over stays
// unreported, and one that is gone from the object is never sealed again. A write without an answer is settled by
// reading the object back before anything is sent.
//
// Deterministic: times and answers in, actions out.
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

// The object of the store with the last sealed reports, oldest first.
struct SealedUsage {
    std::int64_t revision = 0; // 0: there is none yet.
    std::vector<UsageReport> reports;
};

struct UsageReporterParameters {
    // After a window's end, before it is sealed: what began in its last moments is told by then.
    std::chrono::milliseconds settling { 700 };
    // So long after its end a window is sealed although some nodes were not heard.
    std::chrono::milliseconds patience { 6500 };
    // Sealed reports kept: what a holder that comes late may have to send again.
    std::size_t retained_reports = 6;
    Duration first_pause = 200ms; // Between two tries of a call; doubles up to the longest.
    Duration longest_pause = 1s;
    // A report is sent again for so long; it counts for nobody after that.
    std::chrono::milliseconds send_period { 40000 };
};

struct ReadSealedUsage { };
// Its revision is the condition; 0: create.
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
    bool complete = true; // All nodes that were heard had told their last counts.
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

    // Call it often. `holds`: this node may act now. `lease_token`: the lease's token; with another one, others may
    // have sealed meanwhile. `initial_window`: where reports begin if none was ever sealed.
    void step(Time now, WallTime wall, bool holds, std::int64_t lease_token, std::int64_t initial_window,
        UsageAggregator const&, UsageActions&);
    // The object as it was read; nothing: it could not be read.
    void on_read(Time now, std::optional<SealedUsage> const&);
    void on_written(Time now, std::int64_t revision);
    // Another write won, or nobody knows: the object is read again.
    void on_write_failed(Time now);
    void on_sent(Time now, std::int64_t window, DutyOutcome);

    // The last window that is sealed, as far as this node knows; nothing: unknown or none.
    std::optional<std::int64_t> last_sealed_window() const;
    // Reports that were sealed and not taken yet.
    std::size_t unacknowledged_reports() const;

private:
    enum class Call { None, Read, Write };
    struct Sending {
        bool taken = false;
        bool under_way = false;
        Time next {};
        Duration pause {};
    };

    void lose();
    void seal(Time now, WallTime wall, std::int64_t initial_window, UsageAggregator const&, UsageActions&);
    void send(Time now, WallTime wall, UsageActions&);
    void pass_over(std::int64_t first, WallTime, UsageAggregator const&, UsageActions&);
    std::int64_t next_window(std::int64_t initial_window) const;
    void back_off(Time now);

    UsageReporterParameters parameters_;
    UsageWindows windows_;
    std::optional<SealedUsage> sealed_; // As the store has it; nothing: to be read.
    std::optional<SealedUsage> draft_;  // Written, not answered yet.
    std::int64_t passed_over_ = 0;      // Windows up to this one are not sealed any more.
    std::map<std::int64_t, Sending> sendings_;
    Call call_ = Call::None;
    Time next_call_ {};
    Duration pause_ {};
    std::int64_t tenure_ = 0;
};

}
