// Interface to the platform API that only the duty lease holder may call.
//
// Callbacks run asynchronously on the event loop's thread, exactly once.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "saltquay/duties/capacity_controller.h"
#include "saltquay/duties/usage_reporter.h"

namespace saltquay::gateway {

// The calling node and its fencing token of the duty lease.
struct DutyHolder {
  std::string node;
  std::int64_t token = 0;
};

class DutyApi {
 public:
  using Done = std::function<void(duties::DutyOutcome)>;

  virtual ~DutyApi() = default;

  virtual void ReportUsage(const DutyHolder& holder, const duties::UsageReport& report, Done done) = 0;
  virtual void OrderEngines(const DutyHolder& holder, const duties::ScalingOrder& order, Done done) = 0;
};

}  // namespace saltquay::gateway
