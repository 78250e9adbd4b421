#include "src/gateway/log_explainer.h"

#include <algorithm>
#include <map>
#include <set>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace saltquay::gateway {
namespace {

using nlohmann::json;

bool IsEngineOrNodeState(const LogLine& line) { return line.request.empty(); }

bool IsNodeState(const LogLine& line) {
  return line.name == "store_contact" || line.name == "config_in_force" || line.name == "config_received" ||
         line.name == "records_behind" || line.name == "node_ready" || line.name == "node_stopping" ||
         line.name == "record_upstream" || line.name == "records_stale" || line.name == "records_fresh";
}

std::string EngineOf(const LogLine& line) {
  const json members = json::parse(line.text, nullptr, false);
  return members.is_object() ? members.value("engine", "") : "";
}

}  // namespace

void LogExplainer::Read(std::istream& log, const std::string& source) {
  std::string text;
  for (int number = 1; std::getline(log, text); ++number) {
    const std::size_t brace = text.find('{');
    const json members = brace == std::string::npos ? json() : json::parse(text.substr(brace), nullptr, false);
    const bool event = members.is_object() && members.contains("time_ms") && members["time_ms"].is_number_integer() &&
                       members.contains("name") && members["name"].is_string();
    if (!event) {
      if (!text.empty()) unparsed_lines_.push_back({source, number});
      continue;
    }
    const auto word = [&](const char* key) {
      return members.contains(key) && members[key].is_string() ? members[key].get<std::string>() : std::string();
    };
    lines_.push_back(
        {members["time_ms"].get<std::int64_t>(), word("process"), word("name"), word("request"), text.substr(brace)});
  }
  std::stable_sort(lines_.begin(), lines_.end(),
                   [](const LogLine& first, const LogLine& second) { return first.time_ms < second.time_ms; });
}

std::vector<LogLine> LogExplainer::Request(const std::string& id) const {
  std::set<std::pair<std::string, std::string>> engines;  // (node, engine)
  std::set<std::string> nodes;
  std::map<std::string, std::int64_t> last_at;
  for (const LogLine& line : lines_) {
    if (line.request != id) continue;
    nodes.insert(line.node);
    last_at[line.node] = line.time_ms;
    const std::string engine = EngineOf(line);
    if (!engine.empty()) engines.insert({line.node, engine});
  }
  std::map<std::string, std::size_t> last_state;  // Subject -> index of its last line before the end of the request.
  std::set<std::size_t> chosen;
  for (std::size_t i = 0; i < lines_.size(); ++i) {
    const LogLine& line = lines_[i];
    if (line.request == id) chosen.insert(i);
    if (!IsEngineOrNodeState(line) || !nodes.contains(line.node) || line.time_ms > last_at[line.node]) continue;
    const std::string engine = EngineOf(line);
    if (!engine.empty() && engines.contains({line.node, engine})) {
      last_state[line.node + " " + engine + " " + line.name] = i;
    } else if (IsNodeState(line)) {
      last_state[line.node + " " + line.name] = i;
    }
  }
  for (const auto& [subject, index] : last_state) chosen.insert(index);
  std::vector<LogLine> selected;
  selected.reserve(chosen.size());
  for (const std::size_t index : chosen) selected.push_back(lines_[index]);
  return selected;
}

std::vector<LogLine> LogExplainer::Engine(const std::string& id) const {
  std::vector<LogLine> states;
  for (const LogLine& line : lines_) {
    if (IsEngineOrNodeState(line) && EngineOf(line) == id) states.push_back(line);
  }
  return states;
}

std::vector<LogLine> LogExplainer::Fingerprint(const std::string& fingerprint) const {
  const std::string quoted = fmt::format("\"{}\"", fingerprint);
  std::vector<LogLine> lines;
  std::copy_if(lines_.begin(), lines_.end(), std::back_inserter(lines),
               [&](const LogLine& line) { return line.text.find(quoted) != std::string::npos; });
  return lines;
}

std::vector<LogLine> LogExplainer::UsageWindow(std::int64_t window) const {
  std::vector<LogLine> lines;
  std::vector<LogLine> holders;  // Lease changes since the last line about the window.
  for (const LogLine& line : lines_) {
    if (line.name == "lease_acquired" || line.name == "lease_lost") holders.push_back(line);
    if (!line.name.starts_with("usage_")) continue;
    const json members = json::parse(line.text, nullptr, false);
    if (!members.is_object() || members.value("window", std::int64_t{-1}) != window) continue;
    // Before the first line about the window, only the last lease change is relevant.
    const std::size_t first = lines.empty() && !holders.empty() ? holders.size() - 1 : 0;
    lines.insert(lines.end(), holders.begin() + static_cast<std::ptrdiff_t>(first), holders.end());
    holders.clear();
    lines.push_back(line);
  }
  return lines;
}

std::string FormatLogLine(const LogLine& line) {
  json members = json::parse(line.text, nullptr, false);
  for (const char* key : {"time_ms", "process", "name", "event", "level", "request"}) members.erase(key);
  std::string details;
  for (const auto& [key, value] : members.items()) {
    details += fmt::format(" {}={}", key, value.is_string() ? value.get<std::string>() : value.dump());
  }
  return fmt::format("{} {} {}:{}", line.time_ms, line.node, line.name, details);
}

}  // namespace saltquay::gateway
