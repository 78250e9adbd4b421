// Which software versions of a service's engines have served lately, by the records that this node receives.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/core/serving/engine_directory.h"

namespace saltquay::serving {

class SoftwareVersionHistory {
 public:
  // Brings the history up to date with the directory. Must be called before each query.
  void Refresh(const EngineDirectory& engines, Time now);
  // An engine's record was received; it may be gone by the next Refresh().
  void RecordSeen(const EngineRecord& record, Time now) { services_[record.service][record.software_version] = now; }
  // The records are known completely from now on; what came and went before is not, unless they were known already.
  void Begin(Time now) { known_since_ = known_since_.value_or(now); }
  // The whole system starts for the first time: no records came and went before.
  void BeginFirstStart() { known_since_ = Time::min(); }
  // The records may change unseen.
  void End() { known_since_.reset(); }
  // Since when the records have been known without a gap; nullopt if they may change unseen.
  std::optional<Time> known_since() const { return known_since_; }
  // The known records are complete as of that time, see RecordsConfirmed.
  void Confirm(Time as_of) { confirmed_ = std::max(confirmed_, as_of); }
  // Time {} until the first confirmation.
  Time confirmed() const { return confirmed_; }
  // The versions that engines of the service are known to have had within that time.
  std::vector<std::string> SeenWithin(const std::string& service, Duration time, Time now) const;
  // The only version within that time; nullopt if there were several or none, or if this node has not known the records
  // for so long.
  std::optional<std::string> OnlyVersionWithin(const std::string& service, Duration time, Time now) const;

 private:
  using LastSeen = std::map<std::string, Time>;  // By version.

  std::optional<std::uint64_t> generation_;  // Of the directory.
  std::optional<Time> known_since_;
  Time confirmed_{};
  std::map<std::string, LastSeen> services_;
  std::map<std::string, LastSeen> present_;  // At the last refresh.
};

}  // namespace saltquay::serving
