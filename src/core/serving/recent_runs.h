// Runs at engines that may yet turn out to have crashed them.
//
// An engine may complete a short response, or the rest of a resumed one, and crash right after it. A response without a
// length or a last chunk even looks complete if the engine crashes between two of its events (RFC 9112, 8). A run is
// therefore not known to be harmless until its engine has survived it by `survival_time`.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "src/base/time.h"
#include "src/core/serving/crash_subject.h"
#include "src/core/serving/engine_key.h"

namespace saltquay::serving {

class RecentRuns {
 public:
  explicit RecentRuns(Duration survival_time) : survival_time_(survival_time) {}

  // The engine's incarnation began, at `since`, what would have made it crash if it was one of the subjects.
  void Add(EngineKey engine, std::vector<CrashSubject> subjects, Time since);
  // The incarnation was running at `alive_at`. Removes and returns the subjects that it has survived.
  std::vector<CrashSubject> TakeSurvived(EngineKey engine, Time alive_at);
  // The incarnation was found crashed at `found_at`. Removes its runs and returns the subjects that it may not have
  // survived.
  std::vector<CrashSubject> TakeUnsurvived(EngineKey engine, Time found_at);
  bool HasRuns(EngineKey engine) const { return runs_.contains(engine); }
  // The incarnations with runs that they may have survived by `alive_at`.
  std::vector<EngineKey> EnginesWithRunsBefore(Time alive_at) const;
  std::size_t size() const { return size_; }

 private:
  struct Run {
    Time since{};
    std::vector<CrashSubject> subjects;
  };

  using EngineRuns = std::map<EngineKey, std::vector<Run>>;

  // Removes the first `count` runs of the engine and returns their subjects.
  std::vector<CrashSubject> TakeFirst(EngineRuns::iterator engine, std::size_t count);
  void ForgetOld(Time now);

  Duration survival_time_;
  EngineRuns runs_;  // Of each engine, the earliest first.
  std::size_t size_ = 0;
};

}  // namespace saltquay::serving
