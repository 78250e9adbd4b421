#include "src/simulation/experiment_report.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>

#include <fmt/format.h>

namespace saltquay {
namespace {

constexpr double kWidth = 900;
constexpr double kHeight = 260;
constexpr double kMargin = 46;
constexpr std::size_t kSmoothSeconds = 5;
constexpr std::array<const char*, 6> kColours = {"#0b6e4f", "#c1440e", "#1f5fa8", "#8a6d00", "#7a3b8f", "#555555"};

std::vector<double> Smooth(const std::vector<double>& values) {
  std::vector<double> smooth(values.size(), 0);
  for (std::size_t i = 0; i < values.size(); ++i) {
    const std::size_t begin = i + 1 < kSmoothSeconds ? 0 : i + 1 - kSmoothSeconds;
    double sum = 0;
    for (std::size_t j = begin; j <= i; ++j) sum += values[j];
    smooth[i] = sum / static_cast<double>(i - begin + 1);
  }
  return smooth;
}

std::vector<double> Column(const PolicyResult& result, double (*field)(const TimelineSample&)) {
  std::vector<double> values;
  values.reserve(result.timeline.size());
  for (const TimelineSample& sample : result.timeline) values.push_back(field(sample));
  return values;
}

}  // namespace

std::string LinePlot(const std::string& title, const std::string& unit, const std::vector<PlotSeries>& series) {
  double highest = 1e-9;
  std::size_t longest = 2;
  for (const PlotSeries& row : series) {
    longest = std::max(longest, row.values.size());
    for (const double value : row.values) highest = std::max(highest, value);
  }
  const double plot_width = kWidth - 2 * kMargin;
  const double plot_height = kHeight - 2 * kMargin;
  std::string svg = fmt::format(
      "<svg width=\"{0}\" height=\"{1}\" role=\"img\"><title>{2}</title>"
      "<text x=\"{3}\" y=\"20\" font-weight=\"bold\">{2} ({4})</text>"
      "<rect x=\"{3}\" y=\"{3}\" width=\"{5}\" height=\"{6}\" fill=\"none\" stroke=\"#999\"/>"
      "<text x=\"4\" y=\"{7}\">{8:.1f}</text><text x=\"4\" y=\"{9}\">0</text>"
      "<text x=\"{10}\" y=\"{11}\">{12} s</text>",
      kWidth, kHeight, title, kMargin, unit, plot_width, plot_height, kMargin + 10, highest, kHeight - kMargin,
      kWidth - kMargin - 30, kHeight - kMargin + 16, longest - 1);
  for (std::size_t i = 0; i < series.size(); ++i) {
    const char* colour = kColours[i % kColours.size()];
    svg += fmt::format("<polyline fill=\"none\" stroke=\"{}\" stroke-width=\"1.6\" points=\"", colour);
    for (std::size_t at = 0; at < series[i].values.size(); ++at) {
      const double x = kMargin + plot_width * static_cast<double>(at) / static_cast<double>(longest - 1);
      const double y = kHeight - kMargin - plot_height * series[i].values[at] / highest;
      svg += fmt::format("{:.1f},{:.1f} ", x, y);
    }
    svg += fmt::format("\"/><text x=\"{}\" y=\"{}\" fill=\"{}\">{}</text>", kMargin + 150.0 * static_cast<double>(i),
                       kHeight - 8, colour, series[i].name);
  }
  return svg + "</svg>\n";
}

absl::Status WriteExperimentReport(const std::string& folder, const Experiment& experiment,
                                   const std::vector<PolicyResult>& results) {
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  const std::string path = folder + "/" + experiment.name + ".html";
  std::ofstream file(path);
  if (error || !file) {
    return MakeError(ErrorKind::kInvalidSetting, "cannot write '" + path + "'; name a folder that can be written");
  }
  std::vector<PlotSeries> goodput = {
      {"offered", Smooth(Column(results.front(), [](const TimelineSample& s) { return s.offered; }))}};
  for (const PolicyResult& result : results) {
    goodput.push_back({result.policy, Smooth(Column(result, [](const TimelineSample& s) { return s.goodput; }))});
  }
  const std::vector<PlotSeries> roles = {
      {"prefill",
       Column(results.front(), [](const TimelineSample& s) { return static_cast<double>(s.prefill_engines); })},
      {"decode",
       Column(results.front(), [](const TimelineSample& s) { return static_cast<double>(s.decode_engines); })}};
  file << fmt::format(
      "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{0}</title>"
      "<body style=\"font:14px sans-serif\"><h1>{0}</h1><p>{1} One seed.</p>",
      experiment.name, experiment.description);
  file << LinePlot("Load and goodput", "requests a second, mean of 5 s", goodput);
  file << LinePlot("Roles in service under saltquay", "engines", roles);
  file << "<table border=\"1\" cellpadding=\"4\"><tr><th>policy</th><th>goodput/s</th><th>refused</th><th>late</th>"
          "<th>first token p95 s</th><th>role changes</th><th>of fluid bound</th></tr>";
  for (const PolicyResult& result : results) {
    file << fmt::format(
        "<tr><td>{}</td><td>{:.2f}</td><td>{:.0f}</td><td>{:.0f}</td><td>{:.3f}</td><td>{:.0f}</td><td>{:.3f}</td>"
        "</tr>",
        result.policy, result.goodput, result.refused, result.late, result.first_token_p95, result.role_changes,
        result.share_of_fluid_bound);
  }
  file << "</table></body></html>\n";
  return absl::OkStatus();
}

}  // namespace saltquay
