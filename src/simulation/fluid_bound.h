// The ceiling that no policy passes: every engine busy with useful work all the
// time, and role changes free.
#pragma once

#include <vector>

#include "src/simulation/experiment.h"

namespace saltquay {

// Works the bound out from the workload's rates, without a run.
PolicyResult FluidBound(const Experiment& experiment, const std::vector<WorkloadPoint>& points);

}  // namespace saltquay
