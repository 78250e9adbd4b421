// Named scenarios: each failure alone, in pairs, twice, and a random mix.
#pragma once

#include <string>
#include <vector>

#include "src/simulation/options.h"

namespace saltquay {

struct Scenario {
  std::string name;
  std::string description;
  SimulationOptions options;
};

const std::vector<Scenario>& Scenarios();

// nullptr when there is none.
const Scenario* FindScenario(const std::string& name);

}  // namespace saltquay
