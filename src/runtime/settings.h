// The daemon's settings: a TOML file, overridden by flags.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "src/base/logger.h"
#include "src/base/status.h"
#include "src/core/types.h"
#include "src/runtime/socket_address.h"

namespace saltquay {

struct Settings {
  std::uint32_t node_id = 0;
  std::string zone;
  SocketAddress peer_listen{"127.0.0.1", 7100};
  SocketAddress http_listen{"127.0.0.1", 8100};
  std::string platform_url;
  std::vector<std::string> seeds;  // "id@ip:port" of some nodes' peer ports.
  LogFormat log_format = LogFormat::kText;
  std::size_t max_body_bytes = 4 * 1024 * 1024;
  unsigned idle_timeout_seconds = 30;
};

// One value given on the command line: a settings key and its text.
struct SettingOverride {
  std::string key;
  std::string value;
};

// Reads settings from `text`, then applies `overrides`, checks every key and
// range. Errors are kInvalidSetting with file, line, key and remedy.
absl::StatusOr<Settings> ParseSettings(const std::string& text, const std::string& source,
                                       const std::vector<SettingOverride>& overrides);

// Reads the file at `path`; an empty path stands for an empty file.
absl::StatusOr<Settings> LoadSettings(const std::string& path, const std::vector<SettingOverride>& overrides);

// Parses the seeds as machines. Errors are kInvalidSetting.
absl::StatusOr<std::vector<Machine>> ParseSeeds(const std::vector<std::string>& seeds);

}  // namespace saltquay
