// Holds each tenant to its share of this node: requests a second and tokens in
// flight. A node enforces twice its even share of the cell's limit, because
// callers do not spread evenly over nodes. Tenants without recent work take
// no memory. Not thread-safe; owned by Dispatcher.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "src/core/bundle/bundle.h"
#include "src/core/context.h"

namespace saltquay {

class TenantLimiter {
 public:
  // Admits `tokens` of work, or says when to come back.
  // `nodes`: nodes alive in the cell, this one included.
  std::optional<Duration> Admit(const NodeContext& context, const TenantLimit& limit, const std::string& tenant,
                                std::uint64_t tokens, std::size_t nodes);
  // Work admitted earlier ended.
  void Release(const std::string& tenant, std::uint64_t tokens);
  // Drops tenants that have been quiet.
  void OnTick(const NodeContext& context);

  std::size_t tenant_count() const { return tenants_.size(); }

 private:
  struct TenantState {
    double allowance = 0;  // Requests that may come at once.
    Time updated_at{};
    std::uint64_t outstanding_tokens = 0;
  };

  std::map<std::string, TenantState> tenants_;
  Time next_sweep_{};
};

}  // namespace saltquay
