#include "src/gateway/lease_client.h"

#include <fmt/format.h>

#include "src/gateway/lease_codec.h"

namespace saltquay::gateway {
namespace {

constexpr std::string_view kLeaseKind = "saltquay-leases";
constexpr std::string_view kLeaseName = "duties";

}  // namespace

void LeaseClient::Step(Duration needed, int rank) {
  const serving::LeaseStep step = lease_.Next(gateway_.Now(), needed, rank);
  if (step == serving::LeaseStep::kRead) Read();
  if (step == serving::LeaseStep::kWrite) Write();
}

void LeaseClient::Read() {
  store_.Read(std::string(kLeaseKind), std::string(kLeaseName), [this](const absl::StatusOr<StoredObject>& object) {
    if (object.ok()) return lease_.OnRead(Decode(*object), gateway_.Now());
    if (absl::IsNotFound(object.status())) return lease_.OnRead(serving::LeaseRecord{}, gateway_.Now());
    lease_.OnReadFailed(gateway_.Now());
  });
}

serving::LeaseRecord LeaseClient::Decode(const StoredObject& object) {
  const absl::StatusOr<serving::LeaseRecord> record = DecodeLease(object);
  if (record.ok()) return *record;
  if (refused_revision_ != object.revision) {
    refused_revision_ = object.revision;
    gateway_.Log(EventId::kLeaseRecordRefused, "",
                 fmt::format(R"("object":"{}/{}","revision":{},"cause":"{}")", kLeaseKind, kLeaseName, object.revision,
                             EscapeJson(MessageOf(record.status()))));
  }
  return LeaseOfUnknownHolder(object.revision);
}

void LeaseClient::Write() {
  const serving::LeaseRecord& draft = lease_.draft();
  const bool renews = draft.token != 0;
  const StoredObject object{std::string(kLeaseName), draft.revision, EncodeLease(draft)};
  store_.Write(std::string(kLeaseKind), object, [this, renews](const absl::StatusOr<StoredObject>& written) {
    if (written.ok()) {
      lease_.OnWritten(written->revision);
      if (renews) return;
      return gateway_.Log(EventId::kLeaseAcquired, "", fmt::format(R"("token":{})", lease_.token()));
    }
    const bool settled = !absl::IsDeadlineExceeded(written.status()) && !absl::IsDataLoss(written.status());
    gateway_.Log(EventId::kLeaseLost, "",
                 fmt::format(R"("cause":"{}","settled":{})", EscapeJson(MessageOf(written.status())), settled));
    lease_.OnWriteFailed(settled, gateway_.Now());
  });
}

void LeaseClient::Resign(const std::function<void()>& done) {
  const std::optional<serving::LeaseRecord> record = lease_.Resign();
  if (!record) return;
  const StoredObject object{std::string(kLeaseName), record->revision, EncodeLease(*record)};
  store_.Write(std::string(kLeaseKind), object, [this, done](const absl::StatusOr<StoredObject>& written) {
    if (written.ok()) lease_.OnResigned(written->revision, gateway_.Now());
    const std::string cause = written.ok() ? "resigned" : MessageOf(written.status());
    gateway_.Log(EventId::kLeaseLost, "", fmt::format(R"("cause":"{}","settled":true)", EscapeJson(cause)));
    done();
  });
}

}  // namespace saltquay::gateway
