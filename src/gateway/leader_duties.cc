#include "src/gateway/leader_duties.h"

#include <algorithm>

#include <fmt/format.h>

#include "src/core/serving/node_ranking.h"
#include "src/gateway/usage_codec.h"

namespace saltquay::gateway {
namespace {

constexpr std::string_view kUsageKind = "saltquay-usage";
constexpr std::string_view kUsageName = "reports";
// Minimum remaining lease time for a call to the platform, to cover its transmission.
constexpr Duration kMinCallTime = 200ms;
// A changed count is repeated for this long (three consecutive messages), since datagrams may be lost.
constexpr Duration kChangeRepeatTime = 300ms;
constexpr Duration kFullSendInterval = 1s;
// About 3 KB: two Ethernet frames.
constexpr std::size_t kMaxCountsPerMessage = 120;
// After the end of a window a node may still learn of requests that started in it: responses take tens of milliseconds.
constexpr std::chrono::milliseconds kLateRequestMargin{500};
// Number of past windows whose counts are retained, so that a new lease holder can still report them.
constexpr std::int64_t kRetainedWindows = 8;

std::string_view OutcomeName(duties::DutyOutcome outcome) {
  switch (outcome) {
    case duties::DutyOutcome::Done:
      return "done";
    case duties::DutyOutcome::Fenced:
      return "fenced";
    case duties::DutyOutcome::Refused:
      return "refused";
    case duties::DutyOutcome::Unknown:
      break;
  }
  return "unknown";
}

duties::CapacityControllerParameters CapacityPlannerParameters(const GatewaySettings& settings) {
  duties::CapacityControllerParameters parameters;
  parameters.planner = settings.capacity;
  return parameters;
}

}  // namespace

LeaderDuties::LeaderDuties(const GatewaySettings& settings, Gateway& gateway, ObjectStore& store, DutyApi* api,
                           serving::DutyLease& lease, std::uint64_t incarnation)
    : settings_(settings),
      gateway_(gateway),
      store_(store),
      api_(api),
      lease_(lease),
      self_{settings.node_name, settings.peer_listen, settings.zone, settings.link_mbps, false},
      incarnation_(incarnation),
      windows_(settings.duties.report_window),
      counter_(windows_),
      aggregator_(duties::UsageAggregatorParameters{}, gateway.Now()),
      reporter_(duties::UsageReporterParameters{}, windows_),
      capacity_(CapacityPlannerParameters(settings)) {}

void LeaderDuties::OnExecutionStarted(const serving::ExecutionStarted& execution) {
  if (!is_enabled() || execution.tenant.empty()) return;
  counter_.record_usage(execution.tenant, clock_.at(execution.began), gateway_.Now());
}

void LeaderDuties::OnUsage(const serving::PeerReport& report) {
  aggregator_.record_usage(report, gateway_.Now());
  OnClock(report);
}

void LeaderDuties::OnClock(const serving::PeerReport& report) {
  if (report.wall_ms > 0) {
    clock_.record_peer_clock(report.node, gateway_.Now(), duties::WallTime(std::chrono::milliseconds(report.wall_ms)));
  }
}

// Determines which node would acquire the lease next: highest link bandwidth first. Nodes with the same membership view
// compute the same order.
void LeaderDuties::UpdateRank(const std::vector<serving::PeerNode>& members) {
  const std::vector<serving::RankedNode> ranked = serving::RankNodes(self_, members);
  const auto self =
      std::find_if(ranked.begin(), ranked.end(), [&](const serving::RankedNode& node) { return node.node == &self_; });
  local_rank_ = static_cast<int>(self - ranked.begin());
  const std::string holder = lease_.known().holder;
  const auto next = std::find_if(ranked.begin(), ranked.end(),
                                 [&](const serving::RankedNode& node) { return node.node->node != holder; });
  next_holder_ = next == ranked.end() || next->node == &self_ ? "" : next->node->address;
}

void LeaderDuties::Tick(const std::vector<serving::PeerNode>& members,
                        const std::map<std::string, serving::ServiceDemand>& demand, const SendMessages& send) {
  const Time now = gateway_.Now();
  clock_.record_local_clock(now, duties::WallTime(std::chrono::milliseconds(UnixMilliseconds())));
  if (!is_enabled()) return;
  UpdateRank(members);
  const std::int64_t window = windows_.number_at(clock_.at(now));
  if (first_window_ == 0) first_window_ = window;
  counter_.discard_before(window - kRetainedWindows);
  aggregator_.discard(now, window - kRetainedWindows);
  if (settings_.duties.reports_usage) {
    SendUsageCounts(send);
    RunUsageReporter();
  }
  if (settings_.duties.orders_engines) RunCapacityController(demand);
  gateway_.metrics().SetDuties(static_cast<double>(reporter_.last_sealed_window().value_or(0)),
                               static_cast<double>(reporter_.unacknowledged_reports()),
                               ToSeconds(std::chrono::duration_cast<Duration>(clock_.local_clock_error(now))));
}

std::int64_t LeaderDuties::ClosedThrough() const {
  return windows_.number_at(clock_.at(gateway_.Now()) - kLateRequestMargin) - 1;
}

std::vector<serving::PeerReport> LeaderDuties::LocalUsageReports(const std::vector<duties::UsageCount>& counts) const {
  std::vector<serving::PeerReport> reports;
  serving::PeerReport report;
  report.scope = serving::ReportScope::kUsage;
  report.node = settings_.node_name;
  report.address = settings_.peer_listen;
  report.boot = incarnation_;
  report.wall_ms = UnixMilliseconds();
  std::size_t first = 0;
  do {
    const std::size_t last = std::min(counts.size(), first + kMaxCountsPerMessage);
    serving::PeerReport& part = reports.emplace_back(report);
    part.usage.assign(counts.begin() + static_cast<std::ptrdiff_t>(first),
                      counts.begin() + static_cast<std::ptrdiff_t>(last));
    // Only the last message declares windows closed, i.e. that no counts are missing.
    part.closed_through = last < counts.size() ? 0 : ClosedThrough();
    first = last;
  } while (first < counts.size());
  return reports;
}

// Addresses of the lease holder and of its first successor.
std::vector<std::string> LeaderDuties::UsageReceivers() const {
  std::vector<std::string> addresses;
  const std::string holder = lease_.known().address;
  if (!holder.empty() && holder != settings_.peer_listen) addresses.push_back(holder);
  if (!next_holder_.empty()) addresses.push_back(next_holder_);
  return addresses;
}

void LeaderDuties::SendUsageCounts(const SendMessages& send) {
  const Time now = gateway_.Now();
  const std::string holder = lease_.known().address;
  const bool new_holder = !holder.empty() && holder != last_synced_holder_;
  const bool full = new_holder || now >= next_full_send_;
  if (full) next_full_send_ = now + kFullSendInterval;
  const std::vector<duties::UsageCount> counts =
      full ? counter_.all() : counter_.counts_changed_since(now - kChangeRepeatTime);
  if (counts.empty() && !full) return;
  std::vector<serving::FleetMessage> messages;
  const std::vector<std::string> receivers = UsageReceivers();
  for (serving::PeerReport& report : LocalUsageReports(counts)) {
    aggregator_.record_usage(report, now);
    messages.push_back({receivers, std::move(report)});
  }
  if (new_holder) {
    last_synced_holder_ = holder;
    // The counts received from other nodes may be the only remaining ones of nodes that were killed.
    if (holder != settings_.peer_listen) {
      for (serving::PeerReport& report : aggregator_.contributions(settings_.node_name, kMaxCountsPerMessage)) {
        if (!report.usage.empty()) messages.push_back({{holder}, std::move(report)});
      }
    }
  }
  send(messages);
}

void LeaderDuties::RunUsageReporter() {
  const Time now = gateway_.Now();
  const bool holds = lease_.IsHeldFor(now, kMinCallTime);
  const bool leads = lease_.IsHeldFor(now);
  // Before this node held the lease, it received counts from only some nodes: collect a new full set.
  if (leads && !was_holder_) aggregator_.restart_collection(now);
  was_holder_ = leads;
  duties::UsageActions actions;
  reporter_.step(now, clock_.at(now), holds, lease_.token(), first_window_, aggregator_, actions);
  for (const duties::UsageAction& action : actions) {
    std::visit([this](const auto& typed) { Perform(typed); }, action);
  }
}

void LeaderDuties::RunCapacityController(const std::map<std::string, serving::ServiceDemand>& demand) {
  const std::optional<serving::ServingConfig>& config = gateway_.core().config();
  if (!config || !gateway_.core().ready()) return;
  std::vector<duties::CapacityAction> actions;
  capacity_.step(gateway_.Now(), lease_.IsHeldFor(gateway_.Now(), kMinCallTime), lease_.token(), *config, demand,
                 gateway_.core().engines(), actions);
  for (const duties::CapacityAction& action : actions) {
    std::visit([this](const auto& typed) { Perform(typed); }, action);
  }
}

void LeaderDuties::LogStoreFailure(std::string_view call, const absl::Status& cause) {
  gateway_.Log(EventId::kUsageStoreFailed, "",
               fmt::format(R"("call":"{}","cause":"{}")", call, EscapeJson(MessageOf(cause))));
}

void LeaderDuties::Perform(const duties::ReadSealedUsage& /*action*/) {
  store_.Read(std::string(kUsageKind), std::string(kUsageName), [this](const absl::StatusOr<StoredObject>& object) {
    const Time now = gateway_.Now();
    if (absl::IsNotFound(object.status())) return reporter_.on_read(now, duties::SealedUsage{});
    const absl::StatusOr<duties::SealedUsage> sealed =
        object.ok() ? DecodeSealedUsage(*object) : absl::StatusOr<duties::SealedUsage>(object.status());
    if (sealed.ok()) return reporter_.on_read(now, *sealed);
    LogStoreFailure("read", sealed.status());
    reporter_.on_read(now, std::nullopt);
  });
}

void LeaderDuties::Perform(const duties::WriteSealedUsage& action) {
  const StoredObject object{std::string(kUsageName), action.object.revision, EncodeSealedUsage(action.object)};
  store_.Write(std::string(kUsageKind), object, [this](const absl::StatusOr<StoredObject>& written) {
    const Time now = gateway_.Now();
    if (written.ok()) return reporter_.on_written(now, written->revision);
    LogStoreFailure("write", written.status());
    reporter_.on_write_failed(now);
  });
}

void LeaderDuties::Perform(const duties::SendUsageReport& action) {
  const std::int64_t token = lease_.token();
  api_->ReportUsage(Holder(), action.report, [this, token, window = action.report.window](duties::DutyOutcome outcome) {
    gateway_.Log(EventId::kUsageReported, "",
                 fmt::format(R"("window":{},"token":{},"outcome":"{}")", window, token, OutcomeName(outcome)));
    HandleOutcome(outcome);
    reporter_.on_sent(gateway_.Now(), window, outcome);
  });
}

void LeaderDuties::Perform(const duties::LogUsage& action) {
  gateway_.Log(
      action.event, "",
      fmt::format(R"("window":{},"requests":{},"tenants":{},"lives":{},"complete":{},"cause":"{}")", action.window,
                  action.requests, action.tenants, aggregator_.incarnation_count(), action.complete, action.cause));
}

void LeaderDuties::Perform(const duties::ScalingOrder& order) {
  api_->OrderEngines(Holder(), order, [this, order, token = lease_.token()](duties::DutyOutcome outcome) {
    gateway_.Log(EventId::kEnginesOrdered, "",
                 fmt::format(R"("service":"{}","zone":"{}","engines":{},"spot":{},"token":{},"outcome":"{}")",
                             order.service, order.zone, order.engines, order.spot, token, OutcomeName(outcome)));
    HandleOutcome(outcome);
    capacity_.on_order_completed(gateway_.Now(), order, outcome);
  });
}

void LeaderDuties::Perform(const duties::LogCapacity& action) { gateway_.Log(action.event, "", action.details); }

void LeaderDuties::HandleOutcome(duties::DutyOutcome outcome) {
  if (outcome == duties::DutyOutcome::Fenced) lease_.OnFenced();
}

}  // namespace saltquay::gateway
