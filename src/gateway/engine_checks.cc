#include "src/gateway/engine_checks.h"

#include <array>
#include <charconv>

#include <fmt/format.h>

namespace saltquay::gateway {
namespace {

using serving::EngineProbeOutcome;

constexpr int kOk = 200;
constexpr std::string_view kPrefix = "/engine-checks/";
constexpr std::string_view kIncarnation = "?incarnation=";
constexpr std::chrono::milliseconds kConnectTimeout{150};
constexpr std::chrono::milliseconds kTimeout{450};  // A probe takes up to 300 ms.
constexpr std::size_t kMaxChecks = 64;
constexpr std::array kNames = {std::pair(EngineProbeOutcome::kAccepted, std::string_view("accepted")),
                               std::pair(EngineProbeOutcome::kRefused, std::string_view("refused")),
                               std::pair(EngineProbeOutcome::kUnknown, std::string_view("unknown"))};

std::string_view NameOf(EngineProbeOutcome outcome) {
  for (const auto& [value, name] : kNames) {
    if (value == outcome) return name;
  }
  return "unknown";
}

EngineProbeOutcome ParseOutcome(std::string_view text) {
  for (const auto& [value, name] : kNames) {
    if (name == text) return value;
  }
  return EngineProbeOutcome::kUnknown;
}

// Returns 0 if the target names no incarnation.
std::uint64_t IncarnationOf(std::string_view target) {
  const std::size_t start = target.find(kIncarnation);
  if (start == std::string_view::npos) return 0;
  const std::string_view digits = target.substr(start + kIncarnation.size());
  std::uint64_t hash = 0;
  const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), hash);
  return result.ec == std::errc{} ? hash : 0;
}

void Respond(http::Exchange& exchange, EngineProbeOutcome outcome) {
  http::ResponseHead head;
  head.status = kOk;
  exchange.Respond(head, NameOf(outcome));
}

}  // namespace

struct EngineChecks::Check {
  std::shared_ptr<http::Exchange> exchange;
  int probes_left = 2;
  EngineProbeOutcome engine = EngineProbeOutcome::kUnknown;
  EngineProbeOutcome control = EngineProbeOutcome::kUnknown;
};

void EngineChecks::Ask(const serving::CheckEngineAtPeers& action) {
  http::RequestHead head;
  head.method = "GET";
  head.target = fmt::format("{}{}{}{}", kPrefix, action.engine_id, kIncarnation, action.engine.hash);
  fetch::Options options;
  options.connect_timeout = kConnectTimeout;
  options.timeout = kTimeout;
  for (const serving::PeerNode& peer : action.peers) {
    options.pool = "check " + peer.node;
    fetcher_.fetch(peer.address, head, "", options,
                   [this, id = action.engine_id, key = action.engine](absl::StatusOr<fetch::Reply> const& reply) {
                     const bool answered = reply.ok() && reply->status == kOk;
                     gateway_.Dispatch(serving::PeerProbedEngine{
                         id, key, answered ? std::optional(ParseOutcome(reply->body)) : std::nullopt});
                   });
  }
}

bool EngineChecks::Handle(const std::shared_ptr<http::Exchange>& exchange) {
  const std::string_view path = http::PathOf(exchange->head.target);
  if (!path.starts_with(kPrefix)) return false;
  const std::string id(path.substr(kPrefix.size()));
  const serving::EngineState* engine = gateway_.core().engines().Find(id);
  const serving::EngineState* control = gateway_.core().ControlEngine(id);
  const bool known = engine != nullptr && !engine->gone && engine->key.hash == IncarnationOf(exchange->head.target);
  if (!known || control == nullptr || checks_ >= kMaxChecks) {
    Respond(*exchange, EngineProbeOutcome::kUnknown);
    return true;
  }
  ++checks_;
  const auto check = std::make_shared<Check>();
  check->exchange = exchange;
  probe_.Check(engine->record.address, [this, check](EngineProbeOutcome outcome) {
    check->engine = outcome;
    FinishOne(check);
  });
  probe_.Check(control->record.address, [this, check](EngineProbeOutcome outcome) {
    check->control = outcome;
    FinishOne(check);
  });
  return true;
}

void EngineChecks::FinishOne(const std::shared_ptr<Check>& check) {
  if (--check->probes_left > 0) return;
  --checks_;
  const bool refused = check->engine == EngineProbeOutcome::kRefused;
  const bool knows = !refused || check->control == EngineProbeOutcome::kAccepted;
  Respond(*check->exchange, knows ? check->engine : EngineProbeOutcome::kUnknown);
}

}  // namespace saltquay::gateway
