#include "src/gateway/engine_control.h"

#include <fmt/format.h>

namespace saltquay::gateway {
namespace {

constexpr std::chrono::milliseconds kCallTimeout{600};
constexpr std::chrono::milliseconds kConnectTimeout{200};
constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kConflict = 409;
constexpr int kPreconditionFailed = 412;

serving::OrderOutcome ToOutcome(const absl::StatusOr<fetch::Reply>& reply) {
  if (absl::IsDeadlineExceeded(reply.status()) || absl::IsDataLoss(reply.status())) {
    return serving::OrderOutcome::kUnknown;
  }
  const int status = reply.ok() ? reply->status : 0;
  if (status == kOk || status == kAccepted) return serving::OrderOutcome::kAccepted;
  if (status == kConflict) return serving::OrderOutcome::kConflict;
  if (status == kPreconditionFailed) return serving::OrderOutcome::kFenced;
  return serving::OrderOutcome::kRefused;
}

}  // namespace

std::string EngineControl::NextCallId() { return fmt::format("{}-control-{}", node_name_, ++last_call_); }

void EngineControl::ReadState(const serving::ReadEngineState& call, StateHandler done) {
  const std::string id = NextCallId();
  Call(call.address, call.engine_id, protocol_.MakeStateRead(call, id), "", id,
       [this, done = std::move(done)](const absl::StatusOr<fetch::Reply>& reply) {
         const bool read = reply.ok() && reply->status == kOk;
         done(read ? protocol_.DecodeEngineState(reply->body) : std::nullopt);
       });
}

void EngineControl::SendOrder(const serving::SendStageOrder& call, OrderHandler done) {
  const std::string id = NextCallId();
  Call(call.address, call.engine_id, protocol_.MakeOrderHead(call, id), protocol_.MakeOrderBody(call, node_name_), id,
       [done = std::move(done)](const absl::StatusOr<fetch::Reply>& reply) { done(ToOutcome(reply)); });
}

void EngineControl::Call(const std::string& address, const std::string& engine_id, const http::RequestHead& head,
                         const std::string& body, const std::string& call_id, fetch::Fetcher::Handler done) {
  fetch::Options options;
  options.pool = address + "#" + engine_id;
  options.connect_timeout = kConnectTimeout;
  options.timeout = kCallTimeout;
  options.call_id = call_id;
  options.owner_of = [this, call_id](const http::ResponseHead& response) {
    return protocol_.OwnerOf(response, call_id);
  };
  fetcher_.fetch(address, head, body, options, std::move(done));
}

}  // namespace saltquay::gateway
