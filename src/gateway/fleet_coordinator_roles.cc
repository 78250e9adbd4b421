// Performs the actions of the role controller: reads engine states, sends role change orders, announces holds.
#include "src/gateway/fleet_coordinator.h"

namespace saltquay::gateway {
namespace {

constexpr std::chrono::milliseconds kEngineCallTimeout{600};
constexpr std::chrono::milliseconds kEngineConnectTimeout{200};
constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kConflict = 409;
constexpr int kPreconditionFailed = 412;

serving::OrderOutcome ToOutcome(const absl::StatusOr<fetch::Reply>& reply) {
  if (absl::IsDeadlineExceeded(reply.status())) return serving::OrderOutcome::kUnknown;
  const int status = reply.ok() ? reply->status : 0;
  if (status == kOk || status == kAccepted) return serving::OrderOutcome::kAccepted;
  if (status == kConflict) return serving::OrderOutcome::kConflict;
  if (status == kPreconditionFailed) return serving::OrderOutcome::kFenced;
  return serving::OrderOutcome::kRefused;
}

}  // namespace

void FleetCoordinator::Perform(const std::vector<serving::RoleAction>& actions) {
  for (const serving::RoleAction& action : actions) {
    std::visit([this](const auto& typed) { PerformOne(typed); }, action);
  }
}

void FleetCoordinator::PerformOne(const serving::ReadEngineState& action) {
  CallEngine(action.address, action.engine_id, protocol_.MakeStateRead(action), "",
             [this, id = action.engine_id](const absl::StatusOr<fetch::Reply>& reply) {
               std::vector<serving::RoleAction> actions;
               const bool read = reply.ok() && reply->status == kOk;
               const auto report = read ? protocol_.DecodeEngineState(reply->body) : std::nullopt;
               roles_.OnEngineStateRead(gateway_.Now(), id, report, gateway_.core().engines(), actions);
               Perform(actions);
             });
}

void FleetCoordinator::PerformOne(const serving::SendStageOrder& action) {
  CallEngine(action.address, action.engine_id, protocol_.MakeOrderHead(action),
             protocol_.MakeOrderBody(action, settings_.node_name),
             [this, id = action.engine_id](const absl::StatusOr<fetch::Reply>& reply) {
               std::vector<serving::RoleAction> actions;
               roles_.OnOrderResponse(gateway_.Now(), id, ToOutcome(reply), gateway_.core().engines(), actions);
               Perform(actions);
             });
}

void FleetCoordinator::PerformOne(const serving::AnnounceHolds& /*action*/) {
  if (exchange_ != nullptr) exchange_->SendReportNow();
  ExchangeDigestsImmediately();
  DispatchPeersChanged({});
}

void FleetCoordinator::PerformOne(const serving::LogRole& action) { gateway_.Log(action.event, "", action.details); }

void FleetCoordinator::CallEngine(const std::string& address, const std::string& engine_id,
                                  const http::RequestHead& head, const std::string& body,
                                  fetch::Fetcher::Handler done) {
  fetch::Options options;
  options.pool = address + "#" + engine_id;
  options.connect_timeout = kEngineConnectTimeout;
  options.timeout = kEngineCallTimeout;
  fetcher_.fetch(address, head, body, options, std::move(done));
}

}  // namespace saltquay::gateway
