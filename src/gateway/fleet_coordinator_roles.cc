// Performs the actions of the role controller: reads engine states, sends role change orders, announces holds.
#include "src/gateway/fleet_coordinator.h"

namespace saltquay::gateway {

void FleetCoordinator::Perform(const std::vector<serving::RoleAction>& actions) {
  for (const serving::RoleAction& action : actions) {
    std::visit([this](const auto& typed) { PerformOne(typed); }, action);
  }
}

void FleetCoordinator::PerformOne(const serving::ReadEngineState& action) {
  engine_control_.ReadState(action,
                            [this, id = action.engine_id](const std::optional<serving::EngineStateReport>& report) {
                              std::vector<serving::RoleAction> actions;
                              roles_.OnEngineStateRead(gateway_.Now(), id, report, gateway_.core().engines(), actions);
                              Perform(actions);
                            });
}

void FleetCoordinator::PerformOne(const serving::SendStageOrder& action) {
  engine_control_.SendOrder(action, [this, id = action.engine_id](serving::OrderOutcome outcome) {
    std::vector<serving::RoleAction> actions;
    roles_.OnOrderResponse(gateway_.Now(), id, outcome, gateway_.core().engines(), actions);
    Perform(actions);
  });
}

void FleetCoordinator::PerformOne(const serving::AnnounceHolds& /*action*/) {
  if (exchange_ != nullptr) exchange_->SendReportNow();
  ExchangeDigestsImmediately();
  DispatchPeersChanged({});
}

void FleetCoordinator::PerformOne(const serving::LogRole& action) { gateway_.Log(action.event, "", action.details); }

}  // namespace saltquay::gateway
