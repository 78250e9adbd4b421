// Which of the subjects that were at crashed engines explain the crashes.
//
// A crash has one cause, but everything that ran at the engine is accused of it. Culprits are selected greedily: what
// has never succeeded first, then what has the most crashes; a crash that it explains does not count against the
// subjects after it. Thereby what only ran next to a culprit part is not one, and of a request and a part of its prompt
// the part is selected only if other requests with it crashed engines as well. Requests do not exonerate each other:
// refusing one more request costs little.
#pragma once

#include <map>
#include <set>
#include <span>

#include "src/base/time.h"
#include "src/core/serving/crash_subject.h"
#include "src/core/serving/engine_key.h"

namespace saltquay::serving {

// A subject and the crashes since its last known success.
struct AccusedSubject {
  CrashSubject subject;
  const std::map<EngineKey, Time>* crashes = nullptr;
  bool has_succeeded = false;  // Before these crashes, as far as is remembered.
};

struct CulpritParameters {
  // The platform's rule counts the executions of a request that are started after its third crash, hence the
  // request is quarantined from that crash on.
  int threshold = 3;
  // Added for a prompt part that engines have responded to before: many requests contain it, and crashes of several
  // engines are rather a coincidence then.
  int proven_part_margin = 2;
  // Engines that crash within this time of each other, as in a failing rack, are one occasion for a prompt part.
  Duration occasion_gap = 50ms;
  // The subjects with most crashes only: if all requests crash engines, no part is the cause.
  std::size_t max_parts = 16;
};

std::set<CrashSubject> FindCulprits(std::span<const AccusedSubject> accused, const CulpritParameters& parameters);

}  // namespace saltquay::serving
