#include "src/gateway/engine_protocol.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "src/base/bounded_json.h"
#include "src/gateway/retry_after.h"

namespace saltquay::gateway {
namespace {

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr std::size_t kMaxPromptParts = 256;
constexpr std::size_t kMaxHandleBytes = 256;

std::optional<int> ParseInt(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  int value = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
  if (result.ec != std::errc{}) return std::nullopt;
  return value;
}

// Returns nullopt unless the whole text is a number that is finite and not negative.
std::optional<double> ParseRate(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
  double value = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
  const bool whole = result.ec == std::errc{} && result.ptr == text.data() + text.size();
  return whole && std::isfinite(value) && value >= 0 ? std::optional(value) : std::nullopt;
}

std::vector<std::string_view> SplitCommas(std::string_view text) {
  std::vector<std::string_view> items;
  while (true) {
    const std::size_t comma = text.find(',');
    items.push_back(text.substr(0, comma));
    if (comma == std::string_view::npos) return items;
    text.remove_prefix(comma + 1);
  }
}

std::vector<serving::PromptPart> ParseParts(std::string_view text) {
  std::vector<serving::PromptPart> parts;
  for (const std::string_view item : SplitCommas(text)) {
    const std::size_t colon = item.find(':');
    if (colon == std::string_view::npos || parts.size() >= kMaxPromptParts) continue;
    const std::optional<int> tokens = ParseInt(item.substr(colon + 1));
    if (tokens) parts.push_back({std::string(item.substr(0, colon)), *tokens});
  }
  return parts;
}

// Handles become part of a request's target and of a header field.
bool IsHandle(std::string_view text) {
  return !text.empty() && text.size() <= kMaxHandleBytes &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > ' ' && c < 0x7F; });
}

// Returns an object; an empty one if the body is none.
nlohmann::json ParseObject(const std::string& body) {
  absl::StatusOr<nlohmann::json> parsed = ParseBoundedJson(body);
  return parsed.ok() && parsed->is_object() ? std::move(*parsed) : nlohmann::json::object();
}

// Returns nullopt unless the object has an integer of that name that fits.
std::optional<std::int64_t> IntegerMember(const nlohmann::json& object, const std::string& name) {
  const auto member = object.find(name);
  if (member == object.end() || !member->is_number_integer()) return std::nullopt;
  const bool fits = !member->is_number_unsigned() ||
                    member->get<std::uint64_t>() <= std::uint64_t{std::numeric_limits<std::int64_t>::max()};
  return fits ? std::optional(member->get<std::int64_t>()) : std::nullopt;
}

std::string HostWithoutPort(std::string_view host) {
  host = host.substr(0, host.find(':'));
  return std::string{host};
}

}  // namespace

serving::RequestMetadata EngineProtocol::DecodeRequest(const http::RequestHead& head) const {
  serving::RequestMetadata metadata;
  metadata.request_id = std::string(head.fields.Find(names_.request_id).value_or(""));
  metadata.host = HostWithoutPort(head.fields.Find("Host").value_or(""));
  metadata.path = std::string(http::PathOf(head.target));
  if (const auto text = head.fields.Find(names_.deadline_ms)) {
    if (const auto value = ParseInt(*text)) metadata.deadline = std::chrono::milliseconds(std::max(0, *value));
  }
  metadata.last_event_id = std::string(head.fields.Find(names_.last_event_id).value_or(""));
  metadata.resumes = std::string(head.fields.Find(names_.resumes).value_or(""));
  metadata.api_key = std::string(head.fields.Find(names_.api_key).value_or(""));
  const auto counts = head.fields.Find(names_.token_counts);
  if (!counts) return metadata;
  serving::PromptMetadata prompt;
  const std::vector<std::string_view> numbers = SplitCommas(*counts);
  prompt.tokens = ParseInt(numbers[0]).value_or(0);
  if (numbers.size() > 1) prompt.output_tokens = ParseInt(numbers[1]).value_or(0);
  prompt.model = std::string(head.fields.Find(names_.model).value_or(""));
  prompt.parts = ParseParts(head.fields.Find(names_.prompt_parts).value_or(""));
  metadata.prompt = std::move(prompt);
  return metadata;
}

http::RequestHead EngineProtocol::CopyRequest(const http::RequestHead& client, Duration time_left,
                                              const std::string& last_event_id) const {
  http::RequestHead head;
  head.method = client.method;
  head.target = client.target;
  head.fields = client.fields;
  http::RemoveConnectionFields(head.fields);
  head.fields.Remove(names_.deadline_ms);
  head.fields.Remove(names_.last_event_id);
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(time_left).count();
  head.fields.Add(names_.deadline_ms, std::to_string(std::max<std::int64_t>(1, left)));
  if (!last_event_id.empty()) head.fields.Add(names_.last_event_id, last_event_id);
  return head;
}

http::RequestHead EngineProtocol::MakePeerRequest(const http::RequestHead& client,
                                                  const serving::ForwardRequest& forward) const {
  return CopyRequest(client, forward.time_left, forward.last_event_id);
}

http::RequestHead EngineProtocol::MakeRequest(const http::RequestHead& client,
                                              const serving::StartAttempt& attempt) const {
  http::RequestHead head = CopyRequest(client, attempt.time_left, attempt.last_event_id);
  for (const std::string& name : names_.system_fields) head.fields.Remove(name);
  head.fields.Add(names_.expected_engine, attempt.engine_id);
  head.fields.Add(names_.priority, std::to_string(std::clamp(attempt.priority, 0, 9)));
  if (!attempt.tenant.empty()) head.fields.Add(names_.tenant, attempt.tenant);
  if (attempt.mode == serving::AttemptMode::kPrefill) head.fields.Add(names_.stage, names_.stage_prefill);
  if (!attempt.copy_from.empty()) head.fields.Add(names_.copy_source, attempt.copy_from);
  if (attempt.kv_cache_source)
    head.fields.Add(names_.kv_source, attempt.kv_cache_source->address + "/" + attempt.kv_cache_source->handle);
  return head;
}

serving::EngineResponseHead EngineProtocol::DecodeResponse(const http::ResponseHead& head) const {
  serving::EngineResponseHead response_head;
  response_head.status = head.status;
  response_head.not_executed = head.fields.Has(names_.not_executed) || head.status == kMisdirected;
  response_head.signed_by_engine = head.fields.Has(names_.signature);
  const auto load = head.fields.Find(names_.load);
  if (!load) return response_head;
  const std::vector<std::string_view> numbers = SplitCommas(*load);
  if (numbers.size() < 3) return response_head;
  response_head.load = serving::EngineLoad{ParseInt(numbers[0]).value_or(0), ParseInt(numbers[1]).value_or(0),
                                           ParseInt(numbers[2]).value_or(0)};
  return response_head;
}

std::optional<serving::EngineNotice> EngineProtocol::DecodeNotice(const http::ResponseHead& head) const {
  if (head.status == kMisdirected) return std::nullopt;
  serving::EngineNotice notice;
  if (head.status == kUnavailable) notice.rest = ParseRetryAfter(head);
  notice.leaving = head.fields.HasToken(names_.leaving, "1");
  for (const http::Field& field : head.fields.all()) {
    if (!http::SameName(field.name, names_.request_limit)) continue;
    const std::optional<double> limit = ParseRate(field.value);
    if (!limit) notice.limit_unreadable = true;
    // Of several values the smallest applies.
    if (limit) notice.requests_per_s = std::min(*limit, notice.requests_per_s.value_or(*limit));
  }
  return notice;
}

std::string_view EngineProtocol::RequestIdOf(const http::ResponseHead& head) const {
  return head.fields.Find(names_.request_id).value_or("");
}

http::ResponseOwner EngineProtocol::OwnerOf(const http::ResponseHead& head, std::string_view call_id) const {
  const std::string_view id = RequestIdOf(head);
  if (id.empty()) return http::ResponseOwner::kUnnamed;
  return id == call_id ? http::ResponseOwner::kThisCall : http::ResponseOwner::kAnotherCall;
}

std::string EngineProtocol::DecodeKvHandle(const std::string& body) const {
  const nlohmann::json response = ParseObject(body);
  const auto member = response.find(names_.handle_member);
  if (member == response.end() || !member->is_string()) return "";
  const auto& handle = member->get_ref<const std::string&>();
  return IsHandle(handle) ? handle : "";
}

http::RequestHead EngineProtocol::MakeKvRelease(const serving::KvCacheSource& kv_cache_source,
                                                const std::string& call_id) const {
  http::RequestHead head;
  head.method = "DELETE";
  head.target = names_.release_path + kv_cache_source.handle;
  head.fields.Add("Host", kv_cache_source.address);
  head.fields.Add(names_.request_id, call_id);
  return head;
}

http::RequestHead EngineProtocol::MakeStateRead(const serving::ReadEngineState& action,
                                                const std::string& call_id) const {
  http::RequestHead head;
  head.method = "GET";
  head.target = names_.report_path;
  head.fields.Add("Host", action.address);
  head.fields.Add(names_.request_id, call_id);
  head.fields.Add(names_.expected_engine, action.engine_id);
  return head;
}

std::optional<serving::EngineStateReport> EngineProtocol::DecodeEngineState(const std::string& body) const {
  const nlohmann::json response = ParseObject(body);
  const auto stage = response.find(names_.stage_member);
  const std::optional<std::int64_t> sequence = IntegerMember(response, names_.sequence_member);
  const auto busy = response.find(names_.busy_member);
  if (stage == response.end() || !stage->is_string() || !sequence) return std::nullopt;
  serving::EngineStateReport report;
  report.stage = *stage == names_.stage_prefill ? serving::EngineStage::kPrefill : serving::EngineStage::kDecode;
  report.sequence = *sequence;
  report.busy = busy != response.end() && busy->is_boolean() && busy->get<bool>();
  return report;
}

std::int64_t EngineProtocol::DecodeStartTime(const http::ResponseHead& head, const std::string& body) const {
  if (head.status != kOk) return 0;
  return std::max<std::int64_t>(0, IntegerMember(ParseObject(body), names_.started_ms_member).value_or(0));
}

http::RequestHead EngineProtocol::MakeOrderHead(const serving::SendStageOrder& action,
                                                const std::string& call_id) const {
  http::RequestHead head;
  head.method = "POST";
  head.target = names_.order_path;
  head.fields.Add("Host", action.address);
  head.fields.Add("Content-Type", "application/json");
  head.fields.Add(names_.request_id, call_id);
  head.fields.Add(names_.expected_engine, action.engine_id);
  return head;
}

std::string EngineProtocol::MakeOrderBody(const serving::SendStageOrder& action, const std::string& holder) const {
  const bool prefill = action.stage == serving::EngineStage::kPrefill;
  const nlohmann::json body = {{names_.operation_member, names_.stage_member},
                               {names_.stage_member, prefill ? names_.stage_prefill : names_.stage_decode},
                               {names_.holder_member, holder},
                               {names_.token_member, action.fencing_token},
                               {names_.expected_sequence_member, action.expected_sequence}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace saltquay::gateway
