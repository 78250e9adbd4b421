#include "src/core/admission/tenant_limiter.h"

#include <algorithm>

namespace saltquay {
namespace {

constexpr double kShareFactor = 2.0;
constexpr double kBurstSeconds = 1.0;
constexpr Duration kQuietTime = 10s;
constexpr Duration kTokenLimitRetryAfter = 1s;

}  // namespace

std::optional<Duration> TenantLimiter::Admit(const NodeContext& context, const TenantLimit& limit,
                                             const std::string& tenant, std::uint64_t tokens, std::size_t nodes) {
  const double share = std::min(1.0, kShareFactor / static_cast<double>(std::max<std::size_t>(1, nodes)));
  const double rate = limit.requests_per_second * share;
  const double burst = std::max(1.0, rate * kBurstSeconds);
  const auto [entry, inserted] = tenants_.try_emplace(tenant);
  TenantState& state = entry->second;
  if (inserted) {
    state.allowance = burst;
  } else {
    state.allowance = std::min(burst, state.allowance + rate * ToSeconds(context.now() - state.updated_at));
  }
  state.updated_at = context.now();
  if (state.allowance < 1.0) return std::max(Duration{1000}, FromSeconds((1.0 - state.allowance) / rate));
  const double token_limit = static_cast<double>(limit.outstanding_tokens) * share;
  const bool first = state.outstanding_tokens == 0;
  if (!first && static_cast<double>(state.outstanding_tokens + tokens) > token_limit) return kTokenLimitRetryAfter;
  state.allowance -= 1.0;
  state.outstanding_tokens += tokens;
  return std::nullopt;
}

void TenantLimiter::Release(const std::string& tenant, std::uint64_t tokens) {
  const auto entry = tenants_.find(tenant);
  if (entry == tenants_.end()) return;
  entry->second.outstanding_tokens -= std::min(tokens, entry->second.outstanding_tokens);
}

void TenantLimiter::OnTick(const NodeContext& context) {
  if (context.now() < next_sweep_) return;
  next_sweep_ = context.now() + kQuietTime;
  std::erase_if(tenants_, [&](const auto& entry) {
    return entry.second.outstanding_tokens == 0 && context.now() - entry.second.updated_at >= kQuietTime;
  });
}

}  // namespace saltquay
