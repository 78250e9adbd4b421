#include "src/core/serving/tenant_directory.h"

namespace saltquay::serving {

TenantDirectory::TenantDirectory(const std::vector<Tenant>& tenants) {
  tenants_.reserve(tenants.size());
  for (const Tenant& tenant : tenants) {
    for (const std::string& key : tenant.api_keys) {
      if (!key.empty()) by_key_.emplace(key, tenants_.size());
    }
    tenants_.push_back(Tenant{tenant.name, {}, tenant.priority, tenant.limit});
  }
}

const Tenant* TenantDirectory::FindByKey(std::string_view key) const {
  const auto entry = by_key_.find(absl::string_view(key.data(), key.size()));
  return entry == by_key_.end() ? nullptr : &tenants_[entry->second];
}

}  // namespace saltquay::serving
