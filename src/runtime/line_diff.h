// Differences between two texts, by lines.
#pragma once

#include <string>
#include <vector>

namespace saltquay {

// Lines only in `first` come with "- ", lines only in `second` with "+ ", in
// order; common lines are left out.
std::vector<std::string> DiffLines(const std::string& first, const std::string& second);

}  // namespace saltquay
