#include "src/runtime/caller_request.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "src/base/hash.h"
#include "src/core/routing/prefix_index.h"

namespace saltquay {
namespace {

using Json = nlohmann::json;

// A token is taken for this many bytes of text; engines count their own.
constexpr std::size_t kBytesPerToken = 4;
constexpr std::size_t kLongestHeader = 256;
constexpr std::uint32_t kDefaultOutputTokens = 64;
constexpr std::int64_t kLongestDeadlineMilliseconds = 3'600'000;
constexpr std::int64_t kHighestPriority = 100;
constexpr std::int64_t kMostOutputTokens = 1'000'000;

absl::Status Invalid(const std::string& message) { return MakeError(ErrorKind::kInvalidRequest, message); }

absl::StatusOr<std::optional<std::int64_t>> IntegerHeader(const HttpRequest& request, const std::string& name,
                                                          std::int64_t minimum, std::int64_t maximum) {
  const std::string text = request.Header(name);
  if (text.empty()) return std::optional<std::int64_t>();
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const std::from_chars_result parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end || value < minimum || value > maximum) {
    return Invalid(fmt::format("header {} is not a whole number from {} to {}; correct it", name, minimum, maximum));
  }
  return std::optional<std::int64_t>(value);
}

absl::StatusOr<std::string> TextHeader(const HttpRequest& request, const std::string& name) {
  std::string text = request.Header(name);
  const bool printable = std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > ' ' && c < 127; });
  if (text.size() > kLongestHeader || !printable) {
    return Invalid(fmt::format("header {} is longer than {} characters or holds others than printable ones; correct it",
                               name, kLongestHeader));
  }
  return text;
}

absl::StatusOr<std::string> PromptOf(const Json& body, CompletionShape shape) {
  if (shape == CompletionShape::kText) {
    if (!body.contains("prompt") || !body["prompt"].is_string()) return Invalid("'prompt' is not a string; send one");
    return body["prompt"].get<std::string>();
  }
  const bool has_messages = body.contains("messages") && body["messages"].is_array() && !body["messages"].empty();
  if (!has_messages) return Invalid("'messages' is not a list with messages; send one");
  std::string prompt;
  for (const Json& message : body["messages"]) {
    const bool fits = message.is_object() && message.contains("role") && message["role"].is_string() &&
                      message.contains("content") && message["content"].is_string();
    if (!fits) return Invalid("a message lacks 'role' or 'content' as strings; send both");
    prompt += message["role"].get<std::string>() + ": " + message["content"].get<std::string>() + "\n";
  }
  return prompt;
}

absl::Status ReadBody(const HttpRequest& request, CompletionShape shape, ParsedRequest* parsed) {
  const Json body = Json::parse(request.body, nullptr, false);
  if (body.is_discarded() || !body.is_object()) return Invalid("the body is not a JSON object; send one");
  if (!body.contains("model") || !body["model"].is_string()) return Invalid("'model' is not a string; name a model");
  parsed->spec.model = body["model"].get<std::string>();
  absl::StatusOr<std::string> prompt = PromptOf(body, shape);
  if (!prompt.ok()) return prompt.status();
  if (prompt->empty()) return Invalid("the prompt is empty; send some text");
  parsed->spec.prompt = std::move(*prompt);
  parsed->spec.max_output_tokens = kDefaultOutputTokens;
  if (body.contains("max_tokens")) {
    const Json& limit = body["max_tokens"];
    const bool fits =
        limit.is_number_integer() && limit.get<std::int64_t>() >= 1 && limit.get<std::int64_t>() <= kMostOutputTokens;
    if (!fits) return Invalid(fmt::format("'max_tokens' is not a whole number from 1 to {}", kMostOutputTokens));
    parsed->spec.max_output_tokens = limit.get<std::uint32_t>();
  }
  if (body.contains("stream") && !body["stream"].is_boolean()) return Invalid("'stream' is not true or false");
  parsed->stream = body.value("stream", false);
  return absl::OkStatus();
}

absl::Status ReadHeaders(const HttpRequest& request, RequestSpec* spec) {
  absl::StatusOr<std::string> tenant = TextHeader(request, "x-tenant");
  if (!tenant.ok()) return tenant.status();
  spec->tenant = tenant->empty() ? "default" : *tenant;
  absl::StatusOr<std::string> request_class = TextHeader(request, "x-request-class");
  if (!request_class.ok()) return request_class.status();
  spec->request_class = *request_class;
  absl::StatusOr<std::string> key = TextHeader(request, "idempotency-key");
  if (!key.ok()) return key.status();
  spec->idempotency_key = *key;
  const std::string not_repeatable = request.Header("x-not-repeatable");
  if (!not_repeatable.empty() && not_repeatable != "true" && not_repeatable != "false") {
    return Invalid("header x-not-repeatable is neither true nor false; correct it");
  }
  spec->repeatable = not_repeatable != "true";
  spec->first_submission = request.Header("x-first-submission") == "true";
  const absl::StatusOr<std::optional<std::int64_t>> priority =
      IntegerHeader(request, "x-priority", 0, kHighestPriority);
  if (!priority.ok()) return priority.status();
  spec->priority = static_cast<int>(priority->value_or(0));
  const absl::StatusOr<std::optional<std::int64_t>> deadline =
      IntegerHeader(request, "x-deadline-ms", 1, kLongestDeadlineMilliseconds);
  if (!deadline.ok()) return deadline.status();
  if (deadline->has_value()) spec->deadline = std::chrono::milliseconds(**deadline);
  return absl::OkStatus();
}

}  // namespace

void DescribePrompt(RequestSpec* spec) {
  const std::string_view prompt = spec->prompt;
  spec->prompt_tokens = static_cast<std::uint32_t>(prompt.size() / kBytesPerToken + 1);
  spec->prompt_hash = HashText(prompt);
  constexpr std::size_t kBlockBytes = kBlockTokens * kBytesPerToken;
  std::uint64_t chain = HashText(spec->model);
  spec->prompt_blocks.clear();
  for (std::size_t at = 0; at + kBlockBytes <= prompt.size(); at += kBlockBytes) {
    chain = HashPair(chain, HashText(prompt.substr(at, kBlockBytes)));
    spec->prompt_blocks.push_back(BlockHash{chain});
  }
}

absl::StatusOr<ParsedRequest> ParseCallerRequest(const HttpRequest& request, CompletionShape shape) {
  ParsedRequest parsed;
  parsed.shape = shape;
  const absl::Status headers = ReadHeaders(request, &parsed.spec);
  if (!headers.ok()) return headers;
  const absl::Status body = ReadBody(request, shape, &parsed);
  if (!body.ok()) return body;
  DescribePrompt(&parsed.spec);
  return parsed;
}

}  // namespace saltquay
