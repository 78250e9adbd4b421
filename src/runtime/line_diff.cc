#include "src/runtime/line_diff.h"

#include <algorithm>
#include <sstream>

namespace saltquay {
namespace {

std::vector<std::string> SplitLines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) lines.push_back(line);
  return lines;
}

// Lengths of the longest common subsequences of all suffixes.
std::vector<std::vector<std::size_t>> CommonLengths(const std::vector<std::string>& first,
                                                    const std::vector<std::string>& second) {
  std::vector<std::vector<std::size_t>> lengths(first.size() + 1, std::vector<std::size_t>(second.size() + 1, 0));
  for (std::size_t i = first.size(); i-- > 0;) {
    for (std::size_t j = second.size(); j-- > 0;) {
      lengths[i][j] =
          first[i] == second[j] ? lengths[i + 1][j + 1] + 1 : std::max(lengths[i + 1][j], lengths[i][j + 1]);
    }
  }
  return lengths;
}

}  // namespace

std::vector<std::string> DiffLines(const std::string& first, const std::string& second) {
  const std::vector<std::string> old_lines = SplitLines(first);
  const std::vector<std::string> new_lines = SplitLines(second);
  const std::vector<std::vector<std::size_t>> common = CommonLengths(old_lines, new_lines);
  std::vector<std::string> differences;
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < old_lines.size() || j < new_lines.size()) {
    if (i < old_lines.size() && j < new_lines.size() && old_lines[i] == new_lines[j]) {
      ++i;
      ++j;
      continue;
    }
    const bool take_old = i < old_lines.size() && (j == new_lines.size() || common[i + 1][j] >= common[i][j + 1]);
    differences.push_back(take_old ? "- " + old_lines[i++] : "+ " + new_lines[j++]);
  }
  return differences;
}

}  // namespace saltquay
