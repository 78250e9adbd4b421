#include "src/gateway/log_explainer.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "src/base/bounded_json.h"

namespace saltquay::gateway {
namespace {

using nlohmann::json;

bool IsEngineOrNodeState(const LogLine& line) { return line.request.empty(); }

bool IsNodeState(const LogLine& line) {
  return line.name == "store_contact" || line.name == "config_in_force" || line.name == "config_received" ||
         line.name == "records_behind" || line.name == "node_ready" || line.name == "node_stopping" ||
         line.name == "record_upstream" || line.name == "records_stale" || line.name == "records_fresh";
}

// Returns an empty object if the text is not a readable object.
json ParseMembers(std::string_view text) {
  absl::StatusOr<json> members = ParseBoundedJson(text);
  return members.ok() && members->is_object() ? std::move(*members) : json::object();
}

// Returns an empty string unless the member is a string.
std::string StringMember(const json& members, const char* name) {
  const auto member = members.find(name);
  return member != members.end() && member->is_string() ? member->get<std::string>() : "";
}

std::optional<std::int64_t> IntegerMember(const json& members, const char* name) {
  const auto member = members.find(name);
  if (member == members.end() || !member->is_number_integer()) return std::nullopt;
  return member->get<std::int64_t>();
}

std::string EngineOf(const LogLine& line) { return StringMember(ParseMembers(line.text), "engine"); }

}  // namespace

void LogExplainer::Read(std::istream& log, const std::string& source) {
  std::string text;
  for (int number = 1; std::getline(log, text); ++number) {
    const std::size_t brace = text.find('{');
    const json members = brace == std::string::npos ? json::object() : ParseMembers(text.substr(brace));
    const std::optional<std::int64_t> time_ms = IntegerMember(members, "time_ms");
    const std::string name = StringMember(members, "name");
    if (!time_ms || name.empty()) {
      if (!text.empty()) unparsed_lines_.push_back({source, number});
      continue;
    }
    lines_.push_back(
        {*time_ms, StringMember(members, "process"), name, StringMember(members, "request"), text.substr(brace)});
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
    if (IntegerMember(ParseMembers(line.text), "window") != window) continue;
    // Before the first line about the window, only the last lease change is relevant.
    const std::size_t first = lines.empty() && !holders.empty() ? holders.size() - 1 : 0;
    lines.insert(lines.end(), holders.begin() + static_cast<std::ptrdiff_t>(first), holders.end());
    holders.clear();
    lines.push_back(line);
  }
  return lines;
}

std::string FormatLogLine(const LogLine& line) {
  json members = ParseMembers(line.text);
  for (const char* key : {"time_ms", "process", "name", "event", "level", "request"}) members.erase(key);
  std::string details;
  for (const auto& [key, value] : members.items()) {
    details += fmt::format(" {}={}", key, value.is_string() ? value.get<std::string>() : value.dump());
  }
  return fmt::format("{} {} {}:{}", line.time_ms, line.node, line.name, details);
}

}  // namespace saltquay::gateway
