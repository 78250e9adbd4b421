// Settings of the form key=value on the command line, whose values are numbers.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "src/base/status.h"

namespace saltquay {

// A setting's name and its destination; one of the two pointers is set.
struct NumericSetting {
  const char* name = nullptr;
  int* whole = nullptr;
  double* number = nullptr;
};

// Applies `assignments`, each "key=value" or empty, to the settings. Errors: kInvalidSetting for an unknown key, and
// for a value that is not a number from 0 to `max`.
absl::Status ApplyNumericSettings(const std::vector<std::string>& assignments, std::span<const NumericSetting> settings,
                                  int max);

}  // namespace saltquay
