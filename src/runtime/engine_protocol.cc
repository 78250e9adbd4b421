#include "src/runtime/engine_protocol.h"

#include <functional>

#include <nlohmann/json.hpp>

#include "src/base/bounded_json.h"
#include "src/base/json_numbers.h"

namespace saltquay {
namespace {

using Json = nlohmann::json;

std::string Dump(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

// Runs `read` on the parsed text; any JSON error becomes kCorrupt.
template <typename Value>
absl::StatusOr<Value> Parse(const std::string& text, const char* what, const std::function<Value(const Json&)>& read) {
  const auto corrupt = [&](const std::string& cause) {
    return MakeError(ErrorKind::kCorrupt,
                     std::string("an engine's ") + what + " does not parse; check its version: " + cause);
  };
  try {
    const absl::StatusOr<Json> json = ParseBoundedJson(text);
    return json.ok() ? absl::StatusOr<Value>(read(*json)) : corrupt(MessageOf(json.status()));
  } catch (const Json::exception& error) {
    return corrupt(error.what());
  }
}

template <typename Enum>
Enum ReadEnum(const Json& json, Enum last) {
  const auto value = ReadInteger<std::uint8_t>(json);
  if (value > static_cast<std::uint8_t>(last)) {
    throw Json::other_error::create(0, "a value is out of range", nullptr);
  }
  return static_cast<Enum>(value);
}

Json TokenToJson(const FenceToken& token) { return {token.view, token.ballot, token.sequence}; }

FenceToken TokenFromJson(const Json& json) {
  return {ReadInteger<std::uint64_t>(json.at(0)), ReadInteger<std::uint64_t>(json.at(1)),
          ReadInteger<std::uint64_t>(json.at(2))};
}

Json IdToJson(const AttemptId& id) { return {id.key, id.number}; }

AttemptId IdFromJson(const Json& json) {
  return {json.at(0).get<std::string>(), ReadInteger<std::uint32_t>(json.at(1))};
}

}  // namespace

std::string EncodeAttempt(const Attempt& attempt) {
  Json blocks = Json::array();
  for (const BlockHash block : attempt.prompt_blocks) blocks.push_back(block.value);
  Json json = {{"id", IdToJson(attempt.id)},
               {"boot", attempt.boot.value},
               {"mode", static_cast<int>(attempt.mode)},
               {"model_version", attempt.model_version.value},
               {"prompt", attempt.prompt},
               {"prompt_tokens", attempt.prompt_tokens},
               {"blocks", blocks},
               {"prompt_hash", attempt.prompt_hash},
               {"start_offset", attempt.start_offset},
               {"max_output_tokens", attempt.max_output_tokens},
               {"priority", attempt.priority}};
  if (attempt.mode == AttemptMode::kDecode) {
    json["import_from"] = attempt.import_from.value;
    json["import_address"] = attempt.import_address;
    json["import_attempt"] = IdToJson(attempt.import_attempt);
  }
  return Dump(json);
}

absl::StatusOr<Attempt> DecodeAttempt(const std::string& text) {
  return Parse<Attempt>(text, "attempt", [](const Json& json) {
    Attempt attempt;
    attempt.id = IdFromJson(json.at("id"));
    attempt.boot = BootId{ReadInteger<std::uint64_t>(json.at("boot"))};
    attempt.mode = ReadEnum(json.at("mode"), AttemptMode::kDecode);
    attempt.model_version = ModelVersionId{ReadInteger<std::uint32_t>(json.at("model_version"))};
    attempt.prompt = json.at("prompt").get<std::string>();
    attempt.prompt_tokens = ReadInteger<std::uint32_t>(json.at("prompt_tokens"));
    for (const Json& block : json.at("blocks"))
      attempt.prompt_blocks.push_back(BlockHash{ReadInteger<std::uint64_t>(block)});
    attempt.prompt_hash = ReadInteger<std::uint64_t>(json.at("prompt_hash"));
    attempt.start_offset = ReadInteger<std::uint32_t>(json.at("start_offset"));
    attempt.max_output_tokens = ReadInteger<std::uint32_t>(json.at("max_output_tokens"));
    attempt.priority = ReadInteger<int>(json.at("priority"));
    if (attempt.mode != AttemptMode::kDecode) return attempt;
    attempt.import_from = EngineId{ReadInteger<std::uint32_t>(json.at("import_from"))};
    attempt.import_address = json.at("import_address").get<std::string>();
    attempt.import_attempt = IdFromJson(json.at("import_attempt"));
    return attempt;
  });
}

std::string EncodeFrame(const EngineFrame& frame) {
  Json json = {{"id", IdToJson(frame.attempt)}, {"boot", frame.boot.value}, {"offset", frame.offset},
               {"count", frame.token_count},    {"text", frame.text},       {"cached", frame.cached_tokens}};
  if (frame.finish != FinishReason::kNone) {
    json["finish"] = static_cast<int>(frame.finish);
    json["total"] = frame.total_tokens;
  }
  return Dump(json) + "\n";
}

absl::StatusOr<EngineFrame> DecodeFrame(const std::string& line) {
  return Parse<EngineFrame>(line, "frame", [](const Json& json) {
    EngineFrame frame;
    frame.attempt = IdFromJson(json.at("id"));
    frame.boot = BootId{ReadInteger<std::uint64_t>(json.at("boot"))};
    frame.offset = ReadInteger<std::uint32_t>(json.at("offset"));
    frame.token_count = ReadInteger<std::uint32_t>(json.at("count"));
    frame.text = json.at("text").get<std::string>();
    frame.cached_tokens = ReadInteger<std::uint32_t>(json.at("cached"));
    if (!json.contains("finish")) return frame;
    frame.finish = ReadEnum(json.at("finish"), FinishReason::kCancelled);
    frame.total_tokens = ReadInteger<std::uint32_t>(json.at("total"));
    return frame;
  });
}

std::string EncodeState(const EngineState& state) {
  Json events = Json::array();
  for (const CacheEvent& event : state.cache_events) {
    events.push_back({event.sequence, event.added, event.block.value});
  }
  return Dump({{"engine", state.engine.value},
               {"boot", state.boot.value},
               {"fence", TokenToJson(state.fence)},
               {"role", static_cast<int>(state.role)},
               {"model_version", state.model_version.value},
               {"generation", state.generation},
               {"order_in_progress", state.order_in_progress},
               {"last_order", TokenToJson(state.last_order)},
               {"running", state.running},
               {"waiting", state.waiting},
               {"queued_prefill_tokens", state.queued_prefill_tokens},
               {"clock_stamp_us", state.clock_stamp_us},
               {"cache_events", events}});
}

absl::StatusOr<EngineState> DecodeState(const std::string& text) {
  return Parse<EngineState>(text, "state", [](const Json& json) {
    EngineState state;
    state.engine = EngineId{ReadInteger<std::uint32_t>(json.at("engine"))};
    state.boot = BootId{ReadInteger<std::uint64_t>(json.at("boot"))};
    state.fence = TokenFromJson(json.at("fence"));
    state.role = ReadEnum(json.at("role"), EngineRole::kDecode);
    state.model_version = ModelVersionId{ReadInteger<std::uint32_t>(json.at("model_version"))};
    state.generation = ReadInteger<std::uint64_t>(json.at("generation"));
    state.order_in_progress = json.at("order_in_progress").get<bool>();
    state.last_order = TokenFromJson(json.at("last_order"));
    state.running = ReadInteger<std::uint32_t>(json.at("running"));
    state.waiting = ReadInteger<std::uint32_t>(json.at("waiting"));
    state.queued_prefill_tokens = ReadInteger<std::uint64_t>(json.at("queued_prefill_tokens"));
    state.clock_stamp_us = ReadInteger<std::uint64_t>(json.at("clock_stamp_us"));
    for (const Json& event : json.at("cache_events")) {
      state.cache_events.push_back({ReadInteger<std::uint64_t>(event.at(0)), event.at(1).get<bool>(),
                                    BlockHash{ReadInteger<std::uint64_t>(event.at(2))}});
    }
    return state;
  });
}

std::string EncodeOrder(const EngineOrder& order) {
  return Dump({{"token", TokenToJson(order.token)},
               {"boot", order.boot.value},
               {"role", static_cast<int>(order.role)},
               {"model", order.model},
               {"version", order.version},
               {"adapters", order.adapters},
               {"generation", order.generation},
               {"quoted_stamp_us", order.quoted_stamp_us},
               {"validity_us", order.validity.count()},
               {"only_when_idle", order.only_when_idle}});
}

absl::StatusOr<EngineOrder> DecodeOrder(const std::string& text) {
  return Parse<EngineOrder>(text, "order", [](const Json& json) {
    EngineOrder order;
    order.token = TokenFromJson(json.at("token"));
    order.boot = BootId{ReadInteger<std::uint64_t>(json.at("boot"))};
    order.role = ReadEnum(json.at("role"), EngineRole::kDecode);
    order.model = json.at("model").get<std::string>();
    order.version = json.at("version").get<std::string>();
    order.adapters = json.at("adapters").get<std::vector<std::string>>();
    order.generation = ReadInteger<std::uint64_t>(json.at("generation"));
    order.quoted_stamp_us = ReadInteger<std::uint64_t>(json.at("quoted_stamp_us"));
    order.validity = Duration{ReadInteger<std::int64_t>(json.at("validity_us"))};
    order.only_when_idle = json.at("only_when_idle").get<bool>();
    return order;
  });
}

std::string EncodeVerdict(OrderVerdict verdict) { return Dump({{"verdict", static_cast<int>(verdict)}}); }

absl::StatusOr<OrderVerdict> DecodeVerdict(const std::string& text) {
  return Parse<OrderVerdict>(text, "verdict",
                             [](const Json& json) { return ReadEnum(json.at("verdict"), OrderVerdict::kRefusedBusy); });
}

std::string EncodeResume(const ResumeRequest& request) {
  return Dump({{"boot", request.boot.value}, {"id", IdToJson(request.attempt)}, {"offset", request.offset}});
}

absl::StatusOr<ResumeRequest> DecodeResume(const std::string& text) {
  return Parse<ResumeRequest>(text, "resume request", [](const Json& json) {
    return ResumeRequest{BootId{ReadInteger<std::uint64_t>(json.at("boot"))}, IdFromJson(json.at("id")),
                         ReadInteger<std::uint32_t>(json.at("offset"))};
  });
}

std::string EncodeAttemptId(const AttemptId& attempt) { return Dump({{"id", IdToJson(attempt)}}); }

absl::StatusOr<AttemptId> DecodeAttemptId(const std::string& text) {
  return Parse<AttemptId>(text, "attempt identity", [](const Json& json) { return IdFromJson(json.at("id")); });
}

std::string EncodeStateRequest(const StateRequest& request) {
  Json json = {{"cache_events_after", request.cache_events_after}};
  if (request.raise_fence.has_value()) json["raise_fence"] = TokenToJson(*request.raise_fence);
  return Dump(json);
}

absl::StatusOr<StateRequest> DecodeStateRequest(const std::string& text) {
  return Parse<StateRequest>(text, "state request", [](const Json& json) {
    StateRequest request;
    request.cache_events_after = ReadInteger<std::uint64_t>(json.at("cache_events_after"));
    if (json.contains("raise_fence")) request.raise_fence = TokenFromJson(json.at("raise_fence"));
    return request;
  });
}

std::string EncodeFailure(AttemptFailure failure) { return Dump({{"failure", static_cast<int>(failure)}}); }

absl::StatusOr<AttemptFailure> DecodeFailure(const std::string& text) {
  return Parse<AttemptFailure>(
      text, "refusal", [](const Json& json) { return ReadEnum(json.at("failure"), AttemptFailure::kOtherBoot); });
}

}  // namespace saltquay
