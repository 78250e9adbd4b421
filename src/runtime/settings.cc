#include "src/runtime/settings.h"

#include <charconv>
#include <fstream>
#include <sstream>

#include <fmt/format.h>

#include "src/base/config_reader.h"

namespace saltquay {
namespace {

constexpr std::int64_t kHighestNodeId = (1 << 20) - 1;  // A ballot holds 20 bits of it.
constexpr std::int64_t kLargestBody = 256LL * 1024 * 1024;

SocketAddress ReadAddress(ConfigReader& table, const char* key, const std::string& fallback) {
  const std::string text = table.String(key, fallback);
  const absl::StatusOr<SocketAddress> address = ParseSocketAddress(text);
  if (address.ok()) return *address;
  table.Fail(key, "is '" + text + "', not an address", "write it as 127.0.0.1:7000");
  return SocketAddress{};
}

LogFormat ReadLogFormat(ConfigReader& table) {
  const std::string text = table.String("log_format", "text");
  if (text != "text" && text != "json") table.Fail("log_format", "is '" + text + "'", "write \"text\" or \"json\"");
  return text == "json" ? LogFormat::kJson : LogFormat::kText;
}

bool IsInteger(const std::string& text) {
  std::int64_t ignored = 0;
  const char* end = text.data() + text.size();
  const std::from_chars_result parsed = std::from_chars(text.data(), end, ignored);
  return parsed.ec == std::errc() && parsed.ptr == end;
}

std::string QuoteToml(const std::string& text) {
  std::string quoted = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') quoted += '\\';
    quoted += c;
  }
  return quoted + "\"";
}

// Flags win: their keys are taken out of the file's text and put in front.
std::string ApplyOverrides(const std::string& text, const std::vector<SettingOverride>& overrides) {
  std::istringstream lines(text);
  std::string merged;
  std::string line;
  while (std::getline(lines, line)) {
    bool overridden = false;
    for (const SettingOverride& given : overrides) {
      const std::size_t first = line.find_first_not_of(" \t");
      const bool starts = first != std::string::npos && line.compare(first, given.key.size(), given.key) == 0;
      const std::size_t after = starts ? line.find_first_not_of(" \t", first + given.key.size()) : std::string::npos;
      if (starts && after != std::string::npos && line[after] == '=') overridden = true;
    }
    // A blank line keeps the numbers of the lines that follow.
    merged += overridden ? "\n" : line + "\n";
  }
  for (const SettingOverride& given : overrides) {
    const bool list = given.key == "seeds";
    std::string value = IsInteger(given.value) ? given.value : QuoteToml(given.value);
    if (list) {
      value = "[";
      std::istringstream items(given.value);
      for (std::string item; std::getline(items, item, ',');) value += QuoteToml(item) + ",";
      value += "]";
    }
    merged += given.key + " = " + value + "\n";
  }
  return merged;
}

}  // namespace

absl::StatusOr<Settings> ParseSettings(const std::string& text, const std::string& source,
                                       const std::vector<SettingOverride>& overrides) {
  absl::StatusOr<ConfigReader> parsed =
      ConfigReader::Parse(ApplyOverrides(text, overrides), source, ErrorKind::kInvalidSetting);
  if (!parsed.ok()) return parsed.status();
  ConfigReader root = *parsed;
  Settings settings;
  settings.node_id = static_cast<std::uint32_t>(root.Integer("node_id", 1, kHighestNodeId, std::nullopt));
  settings.zone = root.String("zone", std::nullopt);
  if (settings.zone.empty()) root.Fail("zone", "is empty", "name the node's zone");
  settings.peer_listen = ReadAddress(root, "peer_listen", "127.0.0.1:7100");
  settings.http_listen = ReadAddress(root, "http_listen", "127.0.0.1:8100");
  settings.platform_url = root.String("platform_url", std::nullopt);
  if (settings.platform_url.rfind("http://", 0) != 0) {
    root.Fail("platform_url", "is not an http URL", "write it as http://127.0.0.1:9000");
  }
  settings.seeds = root.Strings("seeds");
  const absl::StatusOr<std::vector<Machine>> seeds = ParseSeeds(settings.seeds);
  if (!seeds.ok()) root.Fail("seeds", MessageOf(seeds.status()), "write each as \"2@127.0.0.1:7100\"");
  settings.log_format = ReadLogFormat(root);
  settings.max_body_bytes =
      static_cast<std::size_t>(root.Integer("max_body_bytes", 1024, kLargestBody, 4 * 1024 * 1024));
  settings.idle_timeout_seconds = static_cast<unsigned>(root.Integer("idle_timeout_seconds", 1, 3600, 30));
  root.RejectUnreadKeys();
  if (!root.status().ok()) return root.status();
  return settings;
}

absl::StatusOr<Settings> LoadSettings(const std::string& path, const std::vector<SettingOverride>& overrides) {
  if (path.empty()) return ParseSettings("", "flags", overrides);
  std::ifstream file(path);
  if (!file) {
    return MakeError(ErrorKind::kInvalidSetting, "cannot read the settings file '" + path + "'; check its path");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseSettings(text.str(), path, overrides);
}

absl::StatusOr<std::vector<Machine>> ParseSeeds(const std::vector<std::string>& seeds) {
  std::vector<Machine> machines;
  for (const std::string& seed : seeds) {
    const std::size_t at = seed.find('@');
    const std::string id = seed.substr(0, at);
    const bool valid = at != std::string::npos && IsInteger(id) && ParseSocketAddress(seed.substr(at + 1)).ok();
    if (!valid) return MakeError(ErrorKind::kInvalidSetting, "holds '" + seed + "'");
    Machine machine;
    machine.id = static_cast<std::uint32_t>(std::stoul(id));
    machine.kind = MachineKind::kNode;
    machine.address = seed.substr(at + 1);
    machines.push_back(machine);
  }
  return machines;
}

}  // namespace saltquay
