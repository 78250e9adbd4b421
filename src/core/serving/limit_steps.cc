// Tenant limits: requests are charged before the first engine is called, and refunded if no engine executed them.
#include <algorithm>
#include <map>

#include <fmt/format.h>

#include "src/core/serving/serving_core.h"

namespace saltquay::serving {
namespace {

std::string_view NameOf(limits::OwnershipChange::Kind kind) {
  using Kind = limits::OwnershipChange::Kind;
  switch (kind) {
    case Kind::TookOver:
      return "took over";
    case Kind::HandedOff:
      return "handed off";
    case Kind::Received:
      return "received";
    case Kind::Unresponsive:
      return "silent";
    case Kind::Responsive:
      return "responsive again";
  }
  return "";
}

}  // namespace

std::int64_t CostOf(const limits::TenantLimit& limit, const RequestMetadata& metadata) {
  if (limit.unit == limits::LimitUnit::Requests) return 1;
  if (!metadata.prompt) return limit.plain_cost;
  return static_cast<std::int64_t>(metadata.prompt->tokens) + metadata.prompt->output_tokens;
}

void ServingCore::SetLimits() {
  std::map<std::string, limits::TenantLimit> limits;
  for (const Tenant& tenant : config_->tenants) {
    if (tenant.limit && tenant.limit->rate_per_s > 0) limits[tenant.name] = *tenant.limit;
  }
  has_limits_ = !limits.empty();
  LogLimits(limits);
  if (limiter_ != nullptr) limiter_->set_limits(now_, limits);
}

void ServingCore::LogLimits(const std::map<std::string, limits::TenantLimit>& limits) {
  constexpr int kMaxLines = 50;  // Per configuration version; the configuration itself has them all.
  int lines = 0;
  for (const auto& [tenant, limit] : limits) {
    const auto known = limits_.find(tenant);
    if ((known != limits_.end() && known->second == limit) || ++lines > kMaxLines) continue;
    Log(EventId::kLimitChanged, nullptr,
        fmt::format(R"("version":{},"tenant":"{}","rate_per_s":{},"burst":{})", version(), tenant, limit.rate_per_s,
                    limit.burst));
  }
  limits_ = limits;
}

void ServingCore::AdmitByLimit(Flow& flow) {
  if (limiter_ == nullptr || flow.limit_cost == 0) return BeginServing(flow);
  OnLimitDecided(flow, limiter_->admit(now_, flow.id, flow.tenant, flow.limit_cost));
}

void ServingCore::OnLimitDecided(Flow& flow, const limits::Decision& decision) {
  constexpr int kTooManyRequests = 429;
  constexpr int kUnavailable = 503;
  flow.limit_pending = decision.verdict == limits::Verdict::Pending;
  if (flow.limit_pending) return ScheduleWakeUp(flow);
  flow.limit_owner = decision.decided_by;
  if (decision.verdict == limits::Verdict::Admitted) return BeginServing(flow);
  const std::string members =
      fmt::format(R"(,"tenant":"{}","cost":{},"limit_home":"{}")", flow.tenant, flow.limit_cost, decision.decided_by);
  const bool over = decision.over_limit;
  Refuse(flow, over ? kTooManyRequests : kUnavailable,
         over ? "tenant limit exceeded" : "owner of the tenant limit not reachable", decision.retry_after, members);
}

void ServingCore::BeginServing(Flow& flow) {
  // A request of a peer earns that peer's share of the budget.
  if (!flow.metadata.forwarded) retry_budget_share_.RecordRequest(flow.service, now_);
  if (NeedsStreamOrigin(flow)) return FindStreamOrigin(flow);
  Advance(flow);
}

void ServingCore::SettleCharge(const Flow& flow) {
  if (limiter_ == nullptr || flow.limit_cost == 0) return;
  // A prefill alone is not an execution and is not charged to the tenant.
  if (flow.executions > 0 || flow.relaying) return limiter_->settle(flow.id);
  limiter_->refund(now_, flow.id);
}

void ServingCore::On(const NodesChanged& event) {
  permits_->set_reachable_nodes(now_, event.reach);
  permits_->set_nodes(now_, event.nodes);
  if (limiter_ == nullptr) return;
  limiter_->set_reachable_nodes(now_, event.reach);
  limiter_->set_nodes(now_, event.nodes);
}

void ServingCore::On(const LimitMessageArrived& event) {
  if (limiter_ != nullptr) limiter_->on_message(now_, event.message);
}

void ServingCore::StepLimiter() {
  const std::optional<Time> due = limiter_->next_deadline();
  if (due && *due <= now_) limiter_->step(now_);
  limits::LimiterOutput output = limiter_->take_output();
  for (const limits::DeferredDecision& late : output.decisions) {
    Flow* flow = FindFlow(late.request);
    if (flow != nullptr) OnLimitDecided(*flow, late.decision);
  }
  limits::LimiterOutput after = limiter_->take_output();
  output.messages.insert(output.messages.end(), after.messages.begin(), after.messages.end());
  output.changes.insert(output.changes.end(), after.changes.begin(), after.changes.end());
  for (const limits::OwnershipChange& change : output.changes) LogOwnershipChange(change);
  if (!output.messages.empty()) actions_->push_back(SendLimitMessages{std::move(output.messages)});
}

void ServingCore::LogOwnershipChange(const limits::OwnershipChange& change) {
  Log(EventId::kLimitHome, nullptr,
      fmt::format(R"("change":"{}","tenant":"{}","node":"{}","level":{:.0f})", NameOf(change.kind), change.tenant,
                  change.node, change.level));
}

std::vector<limits::LimitStatus> ServingCore::LimitStatus(Time now) const {
  return limiter_ == nullptr ? std::vector<limits::LimitStatus>{} : limiter_->status(now);
}

}  // namespace saltquay::serving
