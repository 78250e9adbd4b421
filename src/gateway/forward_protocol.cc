#include "src/gateway/forward_protocol.h"

#include <array>
#include <limits>
#include <string>

#include <nlohmann/json.hpp>

#include "src/base/bounded_json.h"
#include "src/gateway/retry_after.h"

namespace saltquay::gateway {
namespace {

using nlohmann::json;
using serving::PeerReply;

constexpr std::size_t kMaxTriedEngines = 64;
constexpr std::array kOutcomes = {
    std::pair(PeerReply::kNone, "served"),
    std::pair(PeerReply::kRefused, "refused"),
    std::pair(PeerReply::kElsewhere, "elsewhere"),
    std::pair(PeerReply::kFailed, "failed"),
};

absl::Status InvalidMember(std::string_view name) {
  return absl::InvalidArgumentError(std::string(kForwardedField) + ": '" + std::string(name) +
                                    "' is missing or has another type; all nodes must run compatible versions");
}

// Reads a count that is not negative.
absl::Status ReadCount(const json& state, const char* name, int& count) {
  const auto member = state.find(name);
  if (member == state.end() || !member->is_number_unsigned()) return InvalidMember(name);
  const auto value = member->get<std::uint64_t>();
  if (value > static_cast<std::uint64_t>(std::numeric_limits<int>::max())) return InvalidMember(name);
  count = static_cast<int>(value);
  return absl::OkStatus();
}

absl::Status ReadTriedEngines(const json& state, std::vector<std::string>& engines) {
  const auto member = state.find("tried_engines");
  if (member == state.end() || !member->is_array() || member->size() > kMaxTriedEngines)
    return InvalidMember("tried_engines");
  for (const json& engine : *member) {
    if (!engine.is_string()) return InvalidMember("tried_engines");
    engines.push_back(engine.get<std::string>());
  }
  return absl::OkStatus();
}

}  // namespace

void AddForwardedState(http::RequestHead& head, const serving::ForwardedRequest& state, std::string_view sender) {
  std::vector<std::string> tried = state.tried_engines;
  if (tried.size() > kMaxTriedEngines) tried.resize(kMaxTriedEngines);
  json encoded = {{"node", sender},
                  {"config_version", state.config_version},
                  {"arrivals", state.arrivals},
                  {"prefills", state.prefills},
                  {"executions", state.executions},
                  {"usage_counted", state.usage_counted},
                  {"tried_engines", tried}};
  if (state.software_version) encoded["software_version"] = *state.software_version;
  head.fields.Remove(kForwardedField);
  head.fields.Add(std::string(kForwardedField), encoded.dump(-1, ' ', true, json::error_handler_t::replace));
}

absl::StatusOr<serving::ForwardedRequest> DecodeForwardedState(const http::RequestHead& head) {
  const absl::StatusOr<json> parsed = ParseBoundedJson(head.fields.Find(kForwardedField).value_or(""));
  if (!parsed.ok() || !parsed->is_object()) return InvalidMember("");
  const json& state = *parsed;
  serving::ForwardedRequest decoded;
  const auto node = state.find("node");
  if (node == state.end() || !node->is_string()) return InvalidMember("node");
  decoded.node = node->get<std::string>();
  const auto version = state.find("config_version");
  if (version == state.end() || !version->is_number_unsigned()) return InvalidMember("config_version");
  decoded.config_version = version->get<std::uint64_t>();
  const auto usage_counted = state.find("usage_counted");
  if (usage_counted == state.end() || !usage_counted->is_boolean()) return InvalidMember("usage_counted");
  decoded.usage_counted = usage_counted->get<bool>();
  absl::Status status = ReadCount(state, "arrivals", decoded.arrivals);
  if (status.ok()) status = ReadCount(state, "prefills", decoded.prefills);
  if (status.ok()) status = ReadCount(state, "executions", decoded.executions);
  if (status.ok()) status = ReadTriedEngines(state, decoded.tried_engines);
  if (!status.ok()) return status;
  const auto software = state.find("software_version");
  if (software == state.end()) return decoded;
  if (!software->is_string()) return InvalidMember("software_version");
  decoded.software_version = software->get<std::string>();
  return decoded;
}

void MarkForwardOutcome(http::ResponseHead& head, PeerReply reply) {
  head.fields.Remove(kForwardOutcomeField);
  for (const auto& [outcome, name] : kOutcomes) {
    if (outcome == reply) head.fields.Add(std::string(kForwardOutcomeField), name);
  }
}

void DecodeForwardOutcome(const http::ResponseHead& head, serving::EngineResponseHead& decoded) {
  decoded.peer_reply = PeerReply::kElsewhere;
  const std::string_view outcome = head.fields.Find(kForwardOutcomeField).value_or("");
  for (const auto& [reply, name] : kOutcomes) {
    if (outcome == name) decoded.peer_reply = reply;
  }
  if (decoded.peer_reply != PeerReply::kNone) decoded.retry_after = ParseRetryAfter(head);
}

}  // namespace saltquay::gateway
