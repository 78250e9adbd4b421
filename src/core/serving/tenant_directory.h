// Looks up tenants by API key.
//
// Built once per configuration version; a lookup costs one hash, whatever the number of tenants.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "saltquay/limits/tenant_limit.h"

namespace saltquay::serving {

// A customer whose requests are authenticated, limited and counted together.
struct Tenant {
  std::string name;
  std::vector<std::string> api_keys;  // Secrets; a tenant may have none.
  std::optional<int> priority;        // Overrides the route's priority; 0 is the most urgent.
  std::optional<limits::TenantLimit> limit{};
};

class TenantDirectory {
 public:
  TenantDirectory() = default;
  explicit TenantDirectory(const std::vector<Tenant>& tenants);

  // Returns the tenant that owns the key, or nullptr. The pointer is valid for the lifetime of the directory.
  const Tenant* FindByKey(std::string_view key) const;
  std::size_t key_count() const { return by_key_.size(); }

 private:
  std::vector<Tenant> tenants_;  // The API keys are left out.
  absl::flat_hash_map<std::string, std::size_t> by_key_;
};

}  // namespace saltquay::serving
