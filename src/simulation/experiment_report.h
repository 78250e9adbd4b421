// An experiment's page: the table and plots of load, goodput and roles.
#pragma once

#include <string>
#include <vector>

#include "src/base/status.h"
#include "src/simulation/experiment.h"

namespace saltquay {

// Place of "best_static_split" among PolicyNames().
inline constexpr std::size_t kBestStaticIndex = 4;

// Writes FOLDER/NAME.html with SVG plots of one seed's run.
absl::Status WriteExperimentReport(const std::string& folder, const Experiment& experiment,
                                   const std::vector<PolicyResult>& results);

// A line plot as an SVG element. All series share the axes.
struct PlotSeries {
  std::string name;
  std::vector<double> values;  // One each second.
};
std::string LinePlot(const std::string& title, const std::string& unit, const std::vector<PlotSeries>& series);

}  // namespace saltquay
