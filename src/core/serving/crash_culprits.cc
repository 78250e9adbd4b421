#include "src/core/serving/crash_culprits.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <vector>

namespace saltquay::serving {
namespace {

// Orders the likeliest culprit first: what has never succeeded, then what has more crashes. A request is preferred to a
// part of its prompt with the same crashes.
bool IsLikelier(const AccusedSubject& first, const AccusedSubject& second) {
  return std::tuple(first.has_succeeded, second.crashes->size(), first.subject.kind, first.subject.fingerprint) <
         std::tuple(second.has_succeeded, first.crashes->size(), second.subject.kind, second.subject.fingerprint);
}

// Times within `gap` of the first one of an occasion belong to it.
int CountOccasions(std::vector<Time> times, Duration gap) {
  std::sort(times.begin(), times.end());
  int occasions = 0;
  Time occasion{};
  for (const Time at : times) {
    if (occasions > 0 && at - occasion < gap) continue;
    occasion = at;
    ++occasions;
  }
  return occasions;
}

bool IsCulprit(const AccusedSubject& accused, const std::vector<Time>& unexplained,
               const CulpritParameters& parameters) {
  if (!accused.subject.is_part()) return static_cast<int>(unexplained.size()) >= parameters.threshold;
  const int required = parameters.threshold + (accused.has_succeeded ? parameters.proven_part_margin : 0);
  return CountOccasions(unexplained, parameters.occasion_gap) >= required;
}

}  // namespace

std::set<CrashSubject> FindCulprits(std::span<const AccusedSubject> accused, const CulpritParameters& parameters) {
  std::vector<AccusedSubject> candidates;
  std::copy_if(accused.begin(), accused.end(), std::back_inserter(candidates), [&](const AccusedSubject& one) {
    return static_cast<int>(one.crashes->size()) >= parameters.threshold;
  });
  std::sort(candidates.begin(), candidates.end(), IsLikelier);
  std::set<CrashSubject> culprits;
  std::set<EngineKey> explained_by_parts;
  std::set<EngineKey> explained_by_requests;
  std::size_t parts = 0;
  for (const AccusedSubject& candidate : candidates) {
    const bool is_part = candidate.subject.is_part();
    if (is_part && parts >= parameters.max_parts) continue;
    std::vector<Time> unexplained;
    for (const auto& [engine, at] : *candidate.crashes) {
      const bool explained = explained_by_parts.contains(engine) || (is_part && explained_by_requests.contains(engine));
      if (!explained) unexplained.push_back(at);
    }
    if (!IsCulprit(candidate, unexplained, parameters)) continue;
    culprits.insert(candidate.subject);
    std::set<EngineKey>& explained = is_part ? explained_by_parts : explained_by_requests;
    for (const auto& [engine, at] : *candidate.crashes) explained.insert(engine);
    if (is_part) ++parts;
  }
  return culprits;
}

}  // namespace saltquay::serving
