#include "src/gateway/quarantine_store.h"

#include <algorithm>
#include <optional>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "src/base/bounded_json.h"

namespace saltquay::gateway {
namespace {

using nlohmann::json;

constexpr std::string_view kKind = "saltquay-quarantine";
constexpr std::string_view kName = "requests";
// Retry delay after a revision conflict: up to three nodes observe engine crashes under the same request within a
// second.
constexpr Duration kConflictRetryDelay = 100ms;
constexpr Duration kInitialBackoff = 1s;
constexpr Duration kMaxBackoff = 8s;
// Marks are at most a few minutes old when they are written. Older ages would overflow Duration.
constexpr std::uint64_t kMaxAgeMs = 365LL * 24 * 60 * 60 * 1000;

std::set<serving::CrashSubject> SubjectsOf(const std::vector<serving::CrashMark>& marks) {
  std::set<serving::CrashSubject> subjects;
  for (const serving::CrashMark& mark : marks) subjects.insert(mark.subject);
  return subjects;
}

std::optional<std::uint64_t> NumberMember(const json& item, const char* name) {
  const auto member = item.find(name);
  if (member == item.end() || !member->is_number_unsigned()) return std::nullopt;
  return member->get<std::uint64_t>();
}

std::optional<serving::CrashMark> DecodeMark(const json& item, std::int64_t unix_ms) {
  if (!item.is_object()) return std::nullopt;
  const std::optional<std::uint64_t> part = NumberMember(item, "part");
  const std::optional<std::uint64_t> request = NumberMember(item, "request");
  const std::optional<std::uint64_t> engine = NumberMember(item, "engine");
  const std::optional<std::uint64_t> at_ms = NumberMember(item, "at_ms");
  if ((!part && !request) || !engine || !at_ms) return std::nullopt;
  const auto now_ms = static_cast<std::uint64_t>(std::max<std::int64_t>(0, unix_ms));
  const std::uint64_t age_ms = std::min(now_ms - std::min(now_ms, *at_ms), kMaxAgeMs);
  const auto subject = part ? serving::CrashSubject::PromptPart(*part) : serving::CrashSubject::Request(*request);
  return serving::CrashMark{subject, serving::EngineKey(*engine), std::chrono::milliseconds(age_ms)};
}

// The member that holds the subject's fingerprint.
const char* MemberOf(const serving::CrashSubject& subject) { return subject.is_part() ? "part" : "request"; }

}  // namespace

std::string EncodeQuarantine(const std::vector<serving::CrashMark>& marks, std::int64_t unix_ms) {
  json list = json::array();
  for (const serving::CrashMark& mark : marks) {
    const std::int64_t at_ms = unix_ms - std::chrono::duration_cast<std::chrono::milliseconds>(mark.age).count();
    list.push_back(
        {{MemberOf(mark.subject), mark.subject.fingerprint}, {"engine", mark.engine.hash}, {"at_ms", at_ms}});
  }
  return json{{"marks", list}}.dump();
}

std::vector<serving::CrashMark> DecodeQuarantine(const std::string& content, std::int64_t unix_ms) {
  std::vector<serving::CrashMark> marks;
  const absl::StatusOr<json> document = ParseBoundedJson(content);
  if (!document.ok() || !document->is_object()) return marks;
  const auto list = document->find("marks");
  if (list == document->end() || !list->is_array()) return marks;
  for (const json& item : *list) {
    if (const std::optional<serving::CrashMark> mark = DecodeMark(item, unix_ms)) marks.push_back(*mark);
  }
  return marks;
}

QuarantineStore::QuarantineStore(Gateway& gateway, ObjectStore& store, bool read_at_start, std::uint64_t seed)
    : gateway_(gateway), store_(store), random_(seed), read_pending_(read_at_start), backoff_(kInitialBackoff) {}

void QuarantineStore::Step() {
  if (in_flight_ || gateway_.Now() < next_) return;
  if (read_pending_ || HasUnsavedSubjects()) Read();
}

bool QuarantineStore::HasUnsavedSubjects() const {
  const std::vector<serving::CrashSubject> local = gateway_.core().crashes().LocallyObservedQuarantined(gateway_.Now());
  return std::any_of(local.begin(), local.end(),
                     [this](const serving::CrashSubject& subject) { return !saved_.contains(subject); });
}

void QuarantineStore::Read() {
  in_flight_ = true;
  store_.Read(std::string(kKind), std::string(kName),
              [this](const absl::StatusOr<StoredObject>& object) { OnRead(object); });
}

void QuarantineStore::OnRead(const absl::StatusOr<StoredObject>& object) {
  in_flight_ = false;
  const bool is_known = object.ok() || absl::IsNotFound(object.status());
  if (!is_known) {
    LogCall("read", 0, object.status());
    return RetryAfter(backoff_);
  }
  backoff_ = kInitialBackoff;
  read_pending_ = false;
  std::vector<serving::CrashMark> marks;
  if (object.ok()) marks = DecodeQuarantine(object->content, UnixMilliseconds());
  saved_ = SubjectsOf(marks);
  if (!marks.empty()) {
    LogCall("read", saved_.size(), absl::OkStatus());
    gateway_.Dispatch(serving::PeerCrashesReported{marks});
  }
  if (HasUnsavedSubjects()) Write(object.ok() ? object->revision : 0);
}

void QuarantineStore::Write(std::int64_t revision) {
  in_flight_ = true;
  const std::vector<serving::CrashMark> marks = gateway_.core().crashes().QuarantineMarks(gateway_.Now());
  const StoredObject object{std::string(kName), revision, EncodeQuarantine(marks, UnixMilliseconds())};
  store_.Write(std::string(kKind), object,
               [this, subjects = SubjectsOf(marks)](const absl::StatusOr<StoredObject>& written) {
                 OnWritten(subjects, written.status());
               });
}

void QuarantineStore::OnWritten(const std::set<serving::CrashSubject>& subjects, const absl::Status& status) {
  in_flight_ = false;
  LogCall("write", subjects.size(), status);
  if (status.ok()) {
    saved_ = subjects;
    backoff_ = kInitialBackoff;
  } else {
    RetryAfter(absl::IsAborted(status) ? kConflictRetryDelay : backoff_);
  }
}

// The delay is jittered, so that nodes whose calls failed together do not retry together.
void QuarantineStore::RetryAfter(Duration delay) {
  next_ = gateway_.Now() + FromSeconds(ToSeconds(delay) * (0.5 + random_.Unit()));
  if (delay == backoff_) backoff_ = std::min(2 * backoff_, kMaxBackoff);
}

void QuarantineStore::LogCall(std::string_view call, std::size_t subjects, const absl::Status& status) {
  gateway_.Log(EventId::kQuarantineStored, "",
               fmt::format(R"("call":"{}","subjects":{},"outcome":"{}")", call, subjects,
                           status.ok() ? "ok" : EscapeJson(MessageOf(status))));
}

}  // namespace saltquay::gateway
