// A tenant's rate limit, which applies to all nodes together.
#pragma once

#include <cstdint>

#include "src/base/time.h"

namespace saltquay::limits {

enum class LimitUnit : std::uint8_t { Requests, Tokens };

// A tenant's limit as configured.
struct TenantLimit {
    std::int64_t rate_per_s = 0; // 0: no limit.
    std::int64_t burst = 0;      // Units that an idle tenant may use at once, beyond the rate.
    LimitUnit unit = LimitUnit::Requests;
    std::int64_t plain_cost = 1; // Units charged for a request without a token count.

    bool operator==(TenantLimit const&) const = default;
};

// How far all nodes together may exceed a limit: within any window they admit at most
// (rate x window + burst) x (1 + overage) + slack units.
struct LimitTolerance {
    Duration window = 8s;
    double overage = 0;
    std::int64_t slack = 0; // Units.
};

}
