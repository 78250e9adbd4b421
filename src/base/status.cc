#include "src/base/status.h"

#include <array>

#include "absl/strings/cord.h"

namespace saltquay {
namespace {

constexpr char kKindPayloadUrl[] = "saltquay/error-kind";

struct KindRow {
  ErrorKind kind;
  std::string_view name;
  absl::StatusCode code;
};

constexpr std::array<KindRow, 16> kKinds = {{
    {ErrorKind::kInvalidRequest, "invalid_request", absl::StatusCode::kInvalidArgument},
    {ErrorKind::kUnknownModel, "unknown_model", absl::StatusCode::kNotFound},
    {ErrorKind::kInvalidSetting, "invalid_setting", absl::StatusCode::kInvalidArgument},
    {ErrorKind::kInvalidBundle, "invalid_bundle", absl::StatusCode::kInvalidArgument},
    {ErrorKind::kOverloaded, "overloaded", absl::StatusCode::kResourceExhausted},
    {ErrorKind::kTenantLimit, "tenant_limit", absl::StatusCode::kResourceExhausted},
    {ErrorKind::kNotReady, "not_ready", absl::StatusCode::kUnavailable},
    {ErrorKind::kNoEngine, "no_engine", absl::StatusCode::kUnavailable},
    {ErrorKind::kDeadlineExceeded, "deadline_exceeded", absl::StatusCode::kDeadlineExceeded},
    {ErrorKind::kOutcomeUnknown, "outcome_unknown", absl::StatusCode::kUnknown},
    {ErrorKind::kConflict, "conflict", absl::StatusCode::kAborted},
    {ErrorKind::kNotPermitted, "not_permitted", absl::StatusCode::kPermissionDenied},
    {ErrorKind::kStoreUnavailable, "store_unavailable", absl::StatusCode::kUnavailable},
    {ErrorKind::kNotFound, "not_found", absl::StatusCode::kNotFound},
    {ErrorKind::kCorrupt, "corrupt", absl::StatusCode::kDataLoss},
    {ErrorKind::kInternal, "internal", absl::StatusCode::kInternal},
}};

const KindRow& RowOf(ErrorKind kind) {
  for (const KindRow& row : kKinds) {
    if (row.kind == kind) return row;
  }
  return kKinds.back();
}

}  // namespace

std::string_view ErrorKindName(ErrorKind kind) { return RowOf(kind).name; }

absl::Status MakeError(ErrorKind kind, const std::string& message) {
  const KindRow& row = RowOf(kind);
  absl::Status status(row.code, message);
  status.SetPayload(kKindPayloadUrl, absl::Cord(std::string(row.name)));
  return status;
}

ErrorKind KindOf(const absl::Status& status) {
  const absl::optional<absl::Cord> payload = status.GetPayload(kKindPayloadUrl);
  if (!payload.has_value()) return ErrorKind::kInternal;
  const std::string name(*payload);
  for (const KindRow& row : kKinds) {
    if (row.name == name) return row.kind;
  }
  return ErrorKind::kInternal;
}

std::string MessageOf(const absl::Status& status) {
  return std::string(status.message().data(), status.message().size());
}

}  // namespace saltquay
